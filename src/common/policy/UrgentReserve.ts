/**
 * Room that urgent work used of late and is likely to want again: not given to work that would keep it for long.
 */

import type { MonotonicMs } from '../Types.js'

/** The remembered peak halves in this time; a stream with gaps of seconds keeps its room, one that has ended gives it up. */
const HALF_LIFE_MS = 30_000

export class UrgentReserve {
  private _currentShare = 0
  private _peakShare = 0
  private _peakAtMs: MonotonicMs = 0

  /** Urgent work that takes `share` of the capacity started (positive) or ended (negative). */
  public add (share: number, nowMs: MonotonicMs): void {
    this._currentShare = Math.max(0, this._currentShare + share)
    const decayedShare = this._decayedPeak(nowMs)
    this._peakShare = Math.max(decayedShare, this._currentShare)
    this._peakAtMs = nowMs
  }

  /**
   * The share of the capacity to keep free of long work.
   *
   * Made for short urgent tasks that come and go on hosts full of long preemptible ones. Each place that one of them leaves
   * would go to a long task, only to be taken back by a stop a moment later: one sees many stops and work thrown away.
   */
  public shareToKeep (nowMs: MonotonicMs): number {
    return Math.max(0, this._decayedPeak(nowMs) - this._currentShare)
  }

  private _decayedPeak (nowMs: MonotonicMs): number {
    return this._peakShare * 2 ** ((this._peakAtMs - nowMs) / HALF_LIFE_MS)
  }
}
