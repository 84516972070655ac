/**
 * Limits the jobs that an owner accepts: adapts the limit while it is the owner, and logs it with its inputs.
 */

import { ADMISSION_UPDATE_MS, AdmissionRate } from '../common/cell/AdmissionRate.js'
import { URGENT_PRIORITY } from '../common/cell/Placement.js'
import { ShareMeter } from '../common/cell/ShareMeter.js'

import type { IBacklog } from '../common/cell/AdmissionRate.js'
import type { Job } from '../common/cell/Job.js'
import type { ILogFields, ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'

export interface IJobLimiterInputs {
  /** The accepted tasks that wait to be started. */
  countBacklog (): IBacklog
  /** What else may explain a limit, for the log. */
  logFields (): ILogFields
}

/** How often the inputs of the limit are logged while there is one, in ms. */
const LOG_INTERVAL_MS = 2000

export class JobLimiter {
  private readonly _rate = new AdmissionRate()
  private readonly _shares = new ShareMeter()
  private _loggedAtMs: MonotonicMs = -Infinity
  private _isOverloaded = false

  public constructor (private readonly _inputs: IJobLimiterInputs, private readonly _clock: IClock & ITimers, private readonly _log: ILogger) {}

  /** Whether the owner is the bottleneck, as of the last update. */
  public get isOverloaded (): boolean {
    return this._isOverloaded
  }

  /** Adapts the limit until disposed. */
  public start (): IDisposable {
    return this._clock.every(ADMISSION_UPDATE_MS, () => { this._update() })
  }

  /** When a refused job will find room, in ms. */
  public retryAfterMs (job: Job): number {
    return this._rate.retryAfterMs(isUrgent(job))
  }

  /**
   * Whether the job is accepted.
   *
   * @param weight the share of its workspace, in jobs per second
   */
  public tryAdmit (job: Job, weight: number): boolean {
    job.isBeyondShare = !this._shares.recordJob(job.workspace, weight, this._clock.nowMs())
    return this._rate.tryAdmit(job.taskCount, isUrgent(job))
  }

  /** Records the end of a start order: with its answer, or at its timeout. */
  public recordOrder (durationMs: number, isAnswered: boolean): void {
    this._rate.recordOrder(durationMs, isAnswered)
  }

  private _update (): void {
    const nowMs = this._clock.nowMs()
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
