/**
 * Limits the jobs that an owner accepts: adapts the limit while it is the owner, and logs it with its inputs.
 */

import { ADMISSION_UPDATE_MS, AdmissionRate } from '../common/cell/AdmissionRate.js'
import { RoomForecast } from '../common/cell/RoomForecast.js'
import { URGENT_PRIORITY } from '../common/cell/Placement.js'
import { ShareMeter } from '../common/cell/ShareMeter.js'
import { WorkspaceShares, workCoreMs } from '../common/cell/WorkspaceShares.js'
import { DisposableStore } from '../common/Emitter.js'

import type { IBacklog } from '../common/cell/AdmissionRate.js'
import type { HostState } from '../common/cell/HostState.js'
import type { Job } from '../common/cell/Job.js'
import type { IWorkspace } from '../common/cell/Types.js'
import type { IShareRow } from '../common/cell/WorkspaceShares.js'
import type { ILogFields, ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'

export interface IJobLimiterInputs {
  /** The accepted tasks that wait to be started. */
  countBacklog (): IBacklog
  /** The processors of the hosts that can take work; undefined while they aren't known. */
  usableCores (): number | undefined
  hosts (): readonly HostState[]
  openJobs (): Iterable<Job>
  /** The free memory of the heap, in bytes. */
  freeHeapBytes (): number
  /** What else may explain a limit, for the log. */
  logFields (): ILogFields
}

/** How often the inputs of the limit are logged while there is one, in ms. */
const LOG_INTERVAL_MS = 2000
/** How often free capacity is forecast, in ms: it is for operators, and takes time for each run of the cell. */
const FORECAST_INTERVAL_MS = 2000
/**
 * Free heap that accepted jobs leave, in bytes: the young generation, and what is allocated until the next full collection. Urgent jobs
 * may use a part of it.
 */
const HEAP_RESERVE_BYTES = 40 * 1024 * 1024
const HEAP_RESERVE_FROM_URGENT_BYTES = 32 * 1024 * 1024

export class JobLimiter {
  private readonly _rate = new AdmissionRate()
  private readonly _shares = new ShareMeter()
  private readonly _workShares = new WorkspaceShares()
  private readonly _room = new RoomForecast()
  /** As of the last update. Infinity, with which no job is beyond a share, while it isn't known. */
  private _cores = Infinity
  private _loggedAtMs: MonotonicMs = -Infinity
  private _isOverloaded = false

  public constructor (private readonly _inputs: IJobLimiterInputs, private readonly _clock: IClock & ITimers, private readonly _log: ILogger) {}

  /** Whether the owner is the bottleneck, as of the last update. */
  public get isOverloaded (): boolean {
    return this._isOverloaded
  }

  /** Adapts the limit until disposed. */
  public start (): IDisposable {
    const timers = new DisposableStore()
    timers.add(this._clock.every(ADMISSION_UPDATE_MS, () => { this._update() }))
    timers.add(this._clock.every(FORECAST_INTERVAL_MS, () => { this._forecast() }))
    return timers
  }

  /** How long the hosts need for the work that waits, by priority, for the metrics. */
  public gauges (): Readonly<Record<string, number>> {
    return Object.fromEntries([...this._room.waitsMs()].map(([priority, waitMs]) => [`room_forecast_ms{kind="${priority}"}`, Math.round(waitMs)]))
  }

  /** Applies the weights of a configuration. */
  public applyWorkspaces (workspaces: readonly IWorkspace[]): void {
    this._workShares.setWeights(workspaces)
  }

  /** Counts the work of jobs that an earlier owner accepted. */
  public restore (jobs: Iterable<Job>): void {
    for (const job of jobs) this._workShares.addWork(job.workspace, workCoreMs(job), job.receivedAtMs)
  }

  /** The use and the share of each workspace, for the state dump. */
  public shares (): readonly IShareRow[] {
    return this._workShares.rows(this._cores, this._clock.nowMs())
  }

  /** When a refused job will find room, in ms. */
  public retryAfterMs (job: Job): number {
    return this._rate.retryAfterMs(isUrgent(job))
  }

  /** Whether there is memory for the job. An owner that accepts jobs until its heap is full ends, and so does the next one. */
  public hasMemoryFor (job: Job): boolean {
    return this._inputs.freeHeapBytes() >= (isUrgent(job) ? HEAP_RESERVE_FROM_URGENT_BYTES : HEAP_RESERVE_BYTES)
  }

  /**
   * Whether the job is accepted.
   *
   * @param weight the share of its workspace, in jobs per second
   */
  public tryAdmit (job: Job, weight: number): boolean {
    job.isBeyondShare = !this._shares.recordJob(job.workspace, weight, this._clock.nowMs())
    if (!this._rate.tryAdmit(job.taskCount, isUrgent(job))) return false
    job.isBeyondWorkShare = this._workShares.recordJob(job, this._cores, this._clock.nowMs())
    return true
  }

  /** Records the end of a start order: with its answer, or at its timeout. */
  public recordOrder (durationMs: number, isAnswered: boolean): void {
    this._rate.recordOrder(durationMs, isAnswered)
  }

  private _forecast (): void {
    const nowMs = this._clock.nowMs()
    this._room.update(this._inputs.hosts(), this._inputs.openJobs(), nowMs)
    for (const shortage of this._room.shortages(nowMs)) this._log.info('room.forecast', { ...shortage })
  }

  private _update (): void {
    const nowMs = this._clock.nowMs()
    if (this._workShares.hasWeights) this._cores = this._inputs.usableCores() ?? Infinity
    const wasLimited = this._rate.tasksPerS !== undefined
    this._isOverloaded = this._rate.update(nowMs, this._inputs.countBacklog())
    const isLimited = this._rate.tasksPerS !== undefined
    const isLogDue = isLimited !== wasLimited || (isLimited && nowMs - this._loggedAtMs >= LOG_INTERVAL_MS)
    if (!isLogDue) return
    this._loggedAtMs = nowMs
    this._log.warn('owner.admission', { ...this._rate.inputs, ...this._inputs.logFields() })
  }
}

function isUrgent ({ queue, isBeyondShare }: Job): boolean {
  return queue.priority === URGENT_PRIORITY && !isBeyondShare
}
