/**
 * Measures the rate at which the queue of one profile drains while it has work waiting.
 */

import type { MonotonicMs } from '../Types.js'

/** The averaging time: long enough to smooth out single tasks, short enough to follow the loss of a host within a deadline of seconds. */
const AVERAGING_MS = 2_000

/** While a backlog is younger than this, the measurement depends more on its first items than on the rate. */
const MIN_BACKLOG_MS = 500

export class DrainRate {
  private _weightedCostMs = 0
  private _weightMs = 0
  private _updatedAtMs: MonotonicMs = 0
  private _backlogSinceMs: MonotonicMs | undefined

  /** Starts measuring, when the queue becomes non-empty. */
  public startBacklog (nowMs: MonotonicMs): void {
    this._backlogSinceMs = nowMs
    this._updatedAtMs = nowMs
    this._weightedCostMs = 0
    this._weightMs = 0
  }

  public endBacklog (): void {
    this._backlogSinceMs = undefined
  }

  public recordDrained (costMs: number, nowMs: MonotonicMs): void {
    if (this._backlogSinceMs === undefined) return
    this._advance(nowMs)
    this._weightedCostMs += costMs
  }

  /** The cost drained per millisecond, which is the share of the capacity that the profile gets; `prior` until it is known. */
  public perMs (prior: number, nowMs: MonotonicMs): number {
    if (this._backlogSinceMs === undefined) return prior
    this._advance(nowMs)
    const backlogMs = nowMs - this._backlogSinceMs
    const measured = this._weightMs > 0 ? this._weightedCostMs / this._weightMs : prior
    if (backlogMs < MIN_BACKLOG_MS) return Math.max(measured, prior)
    return measured
  }

  private _advance (nowMs: MonotonicMs): void {
    const elapsedMs = nowMs - this._updatedAtMs
    if (elapsedMs <= 0) return
    const kept = Math.exp(-elapsedMs / AVERAGING_MS)
    this._weightedCostMs *= kept
    this._weightMs = this._weightMs * kept + AVERAGING_MS * (1 - kept)
    this._updatedAtMs = nowMs
  }
}
