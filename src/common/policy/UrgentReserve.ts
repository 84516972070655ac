/**
 * Tracks capacity that urgent work used recently and is likely to need again. It is kept from work that would occupy it
 * for long.
 */

import type { MonotonicMs } from '../Types.js'

/** The half-life of the remembered peak: a stream of urgent work with gaps of seconds keeps its capacity, one that has ended releases it. */
const HALF_LIFE_MS = 30_000

export class UrgentReserve {
  private _currentShare = 0
  private _peakShare = 0
  private _peakAtMs: MonotonicMs = 0

  /** Records that urgent work using `share` of the capacity started (positive) or ended (negative). */
  public add (share: number, nowMs: MonotonicMs): void {
    this._currentShare = Math.max(0, this._currentShare + share)
    const decayedShare = this._decayedPeak(nowMs)
    this._peakShare = Math.max(decayedShare, this._currentShare)
    this._peakAtMs = nowMs
  }

  /**
   * The share of the capacity to keep free of long work.
   *
   * Short urgent tasks come and go on hosts full of long preemptible ones. If each place that an urgent task leaves
   * went to a long task, that task would be stopped again a moment later, and many stops would discard much work.
   */
  public shareToKeep (nowMs: MonotonicMs): number {
    return Math.max(0, this._decayedPeak(nowMs) - this._currentShare)
  }

  private _decayedPeak (nowMs: MonotonicMs): number {
    return this._peakShare * 2 ** ((this._peakAtMs - nowMs) / HALF_LIFE_MS)
  }
}
