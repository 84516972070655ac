/**
 * A way to refuse jobs for which the hosts have no room in time. The product doesn't use it: callers gain nothing by it.
 *
 * Designed for a burst in which more is asked for than the hosts can do for some seconds. A late job is worth little to its caller, and a
 * refused one nothing unless it comes back in time, so only a job whose work would make others late is refused.
 */

import type { MonotonicMs } from '../src/common/Types.js'
import type { Job } from '../src/common/cell/Job.js'
import type { RoomForecast } from '../src/common/cell/RoomForecast.js'
import { workCoreMs } from '../src/common/cell/WorkspaceShares.js'

/** A job is refused only if it would be late even if the forecast were wrong by this factor. */
const MARGIN = 1.5
/** A job that takes longer than so many times its objective is of no use to its caller. */
const MAX_OBJECTIVES = 3
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 10_000

export interface IForecastRefusal {
  readonly reason: 'no room before the objective' | 'workspace beyond its share'
  readonly retryAfterMs: number
  readonly inputs: {
    readonly waitingCoreMs: number
    readonly freeCoreMs: number
    readonly forecastMs: number
    readonly dueInMs: number
  }
}

export class AdmissionForecast {
  /** When the work of the callers that were told to come back will be done. */
  private _returnsUntilMs: MonotonicMs = -Infinity

  /** @param refusesWithin whether jobs within the share of their workspace are refused as well */
  public constructor (private readonly _room: RoomForecast, private readonly _refusesWithin = true) {}

  /** Why the job is refused, with the inputs; undefined if it is accepted. */
  public findRefusal (job: Job, nowMs: MonotonicMs): IForecastRefusal | undefined {
    const { queue: { service, priority }, dueMs, receivedAtMs, chainMs, isBeyondWorkShare } = job
    if (!isBeyondWorkShare && !this._refusesWithin) return undefined
    const objectiveMs = dueMs - receivedAtMs
    const dueInMs = dueMs - nowMs
    const coreMs = workCoreMs(job)
    const backlogMs = this._room.waitMs(service, priority, 0)
    const endMs = this._room.waitMs(service, priority, coreMs)
    const freeCoreMs = this._room.freeCoreMs(service, Math.max(0, dueInMs))
    // Nothing is refused unless the backlog exceeds what becomes free until the objective.
    if (backlogMs === undefined || endMs === undefined || freeCoreMs === undefined || backlogMs <= objectiveMs) return undefined
    const forecastMs = Math.max(endMs, backlogMs + chainMs)
    const margin = isBeyondWorkShare ? 1 : MARGIN
    const isUseless = forecastMs / MARGIN > MAX_OBJECTIVES * objectiveMs - (nowMs - receivedAtMs)
    const isLate = forecastMs / margin > dueInMs
    if (!isUseless && !isLate) return undefined
    return {
      reason: isBeyondWorkShare ? 'workspace beyond its share' : 'no room before the objective',
      retryAfterMs: this._retryAfterMs(nowMs, backlogMs - objectiveMs, endMs - backlogMs),
      inputs: { waitingCoreMs: this._room.waitingCoreMs(service, priority), freeCoreMs, forecastMs, dueInMs }
    }
  }

  /** Callers return one after the other, as their work will find room, those that were refused first before the others. */
  private _retryAfterMs (nowMs: MonotonicMs, roomInMs: number, workMs: number): number {
    const soonestMs = nowMs + Math.max(MIN_RETRY_AFTER_MS, roomInMs)
    this._returnsUntilMs = Math.min(nowMs + MAX_RETRY_AFTER_MS, Math.max(this._returnsUntilMs + workMs, soonestMs))
    return this._returnsUntilMs - nowMs
  }
}
