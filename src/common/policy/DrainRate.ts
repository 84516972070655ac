/**
 * How fast the queue of one profile drains, measured while it has work waiting.
 */

import type { MonotonicMs } from '../Types.js'

/** Long enough to smooth over single tasks, short enough to follow a host's loss within a deadline of seconds. */
const AVERAGED_OVER_MS = 2_000

/** Until a backlog has lasted this long, the measurement says more about its first items than about the rate. */
const TRUSTED_AFTER_MS = 500

export class DrainRate {
  private _weightedCostMs = 0
  private _weightMs = 0
  private _updatedAtMs: MonotonicMs = 0
  private _backlogSinceMs: MonotonicMs | undefined

  /** The queue has become non-empty. */
  public startBacklog (nowMs: MonotonicMs): void {
    this._backlogSinceMs = nowMs
    this._updatedAtMs = nowMs
    this._weightedCostMs = 0
    this._weightMs = 0
  }

  public endBacklog (): void {
    this._backlogSinceMs = undefined
  }

  public noteStarted (costMs: number, nowMs: MonotonicMs): void {
    if (this._backlogSinceMs === undefined) return
    this._advance(nowMs)
    this._weightedCostMs += costMs
  }

  /** Cost drained per millisecond: the share of the capacity that the profile gets; `prior` before it is known. */
  public perMs (prior: number, nowMs: MonotonicMs): number {
    if (this._backlogSinceMs === undefined) return prior
    this._advance(nowMs)
    const backlogMs = nowMs - this._backlogSinceMs
    const measured = this._weightMs > 0 ? this._weightedCostMs / this._weightMs : prior
    if (backlogMs < TRUSTED_AFTER_MS) return Math.max(measured, prior)
    return measured
  }

  private _advance (nowMs: MonotonicMs): void {
    const elapsedMs = nowMs - this._updatedAtMs
    if (elapsedMs <= 0) return
    const kept = Math.exp(-elapsedMs / AVERAGED_OVER_MS)
    this._weightedCostMs *= kept
    this._weightMs = this._weightMs * kept + AVERAGED_OVER_MS * (1 - kept)
    this._updatedAtMs = nowMs
  }
}
