/**
 * Bounds the bytes that membership sends. Made for churn: when a whole failure domain goes or comes back, hundreds of
 * members change at once, and unbounded gossip would crowd out requests and be paid for between regions. What finds
 * no room goes later or is found by comparing views.
 */

import type { IClock, MonotonicMs } from '../Types.js'

const MS_PER_SECOND = 1_000

export class ByteBudget {
  private _savedBytes: number
  private _filledAtMs: MonotonicMs

  public constructor (private readonly _clock: IClock, private readonly _bytesPerSecond: number, private readonly _burstBytes: number) {
    this._savedBytes = _burstBytes
    this._filledAtMs = _clock.nowMs()
  }

  /** Bytes that may be sent now. */
  public get availableBytes (): number {
    const nowMs = this._clock.nowMs()
    this._savedBytes = Math.min(this._burstBytes, this._savedBytes + (nowMs - this._filledAtMs) * this._bytesPerSecond / MS_PER_SECOND)
    this._filledAtMs = nowMs
    return this._savedBytes
  }

  public spend (bytes: number): void {
    this._savedBytes -= bytes
  }
}
