/**
 * One task of an accepted job, as its job's owner sees it. The states are those of `charts/task.json`.
 */

import type { ITaskPlacement, ITaskSpec } from '../../common/protocol/Types.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { IRandom, MonotonicMs } from '../../common/Types.js'

export type TaskState = 'queued' | 'reserved' | 'starting' | 'running' | 'unsure' | 'stopping' | 'succeeded' | 'failed' | 'stopped'

export type TaskEvent =
  | 'RESERVE' | 'START' | 'GIVE_BACK' | 'CANCEL' | 'HOST_RUNS' | 'HOST_REFUSED' | 'HOST_LOST' | 'HOST_ENDED' | 'LEASE_LAPSED'
  | 'SUCCEEDED' | 'FAILED'

/** The first pause after a failure; it doubles with each further failure. */
const FIRST_PAUSE_MS = 100
const MAX_PAUSE_MS = 30_000
/** After a task ran this long before it ended, its pauses start again with the first one. */
const STEADY_RUN_MS = 60_000
/** Most hosts to avoid per task; a task that fails on more hosts is probably at fault itself. */
const MAX_AVOIDED_HOSTS = 8

export class TaskRun {
  private _state: TaskState
  private _attempt = 0
  private _pauseCount = 0
  private _stateSinceMs: MonotonicMs = 0
  public failures = 0
  /** The task isn't placed before this time. */
  public notBeforeMs: MonotonicMs = 0
  /** The scheduler that was asked to place the task. */
  public scheduler: string | undefined
  public hostId: string | undefined
  public shardId: string | undefined
  /** The current attempt is to be stopped; the stop is requested until the attempt's end is reported. */
  public isStopWanted = false
  public stopRequestedAtMs: MonotonicMs = -Infinity
  /** The task must be located, because its scheduler or its host may no longer hold it. */
  public isMissing = false
  private readonly _avoidHostIds: string[] = []

  public constructor (public readonly spec: ITaskSpec, private readonly _chart: ChartTable, private _nextAttempt: number) {
    this._state = _chart.initial as TaskState
  }

  public get state (): TaskState {
    return this._state
  }

  /** The current attempt. 0: an earlier owner of the job may have started attempts, whose numbers aren't known. */
  public get attempt (): number {
    return this._attempt
  }

  public get isFinal (): boolean {
    return this._chart.isFinal(this._state)
  }

  /** The time at which the task entered its state. */
  public get stateSinceMs (): MonotonicMs {
    return this._stateSinceMs
  }

  public get avoidHostIds (): readonly string[] {
    return this._avoidHostIds
  }

  /** Marks a task that an earlier owner may have started. */
  public markRecovered (nowMs: MonotonicMs): void {
    this.applyEvent('START', nowMs)
    this.markLost(nowMs)
  }

  /** Marks a task of which it is unknown whether its scheduler still holds it. */
  public markLost (nowMs: MonotonicMs): void {
    this.applyEvent('HOST_LOST', nowMs)
    this.isMissing = this._state === 'unsure' || this._state === 'stopping'
  }

  /** Begins the next attempt at this scheduler; undefined if a reservation still has to find one. */
  public beginAttempt (scheduler: string | undefined, nowMs: MonotonicMs): void {
    this._attempt = this._nextAttempt
    this._nextAttempt += 1
    this.scheduler = scheduler
    this.applyEvent('START', nowMs)
  }

  /** Adopts the number of an attempt that an earlier owner began. */
  public adoptAttempt (attempt: number): void {
    this._attempt = attempt
    this._nextAttempt = Math.max(this._nextAttempt, attempt + 1)
  }

  public applyEvent (event: TaskEvent, nowMs: MonotonicMs): void {
    const before = this._state
    this._state = this._chart.next(before, event) as TaskState
    if (this._state === before) return
    this._stateSinceMs = nowMs
    if (this._state === 'queued' || this.isFinal) this._clearPlace()
  }

  /** Postpones the next attempt, longer after each end without success, with jitter so that many tasks don't return at once. */
  public postpone (nowMs: MonotonicMs, ranMs: number, random: IRandom): void {
    if (ranMs > STEADY_RUN_MS) this._pauseCount = 0
    const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** this._pauseCount, MAX_PAUSE_MS)
    this._pauseCount += 1
    this.notBeforeMs = nowMs + pauseMs * (0.5 + 0.5 * random.next())
  }

  public avoidHost (hostId: string | undefined): void {
    if (hostId === undefined || this._avoidHostIds.includes(hostId)) return
    this._avoidHostIds.push(hostId)
    if (this._avoidHostIds.length > MAX_AVOIDED_HOSTS) this._avoidHostIds.shift()
  }

  public toPlace (): ITaskPlacement {
    const { hostId, shardId } = this
    const { taskId } = this.spec
    return {
      taskId,
      attempt: this._attempt,
      state: REPORTED_STATE[this._state],
      ...(hostId === undefined ? {} : { hostId }),
      ...(shardId === undefined ? {} : { shardId })
    }
  }

  private _clearPlace (): void {
    this.isMissing = false
    this.isStopWanted = false
    this.stopRequestedAtMs = -Infinity
    if (this.isFinal) return
    this.scheduler = undefined
    this.hostId = undefined
    this.shardId = undefined
  }
}

const REPORTED_STATE: Readonly<Record<TaskState, ITaskPlacement['state']>> = {
  queued: 'queued',
  reserved: 'reserved',
  starting: 'queued',
  running: 'running',
  unsure: 'unsure',
  stopping: 'running',
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped'
}
