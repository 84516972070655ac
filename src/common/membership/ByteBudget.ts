/**
 * Token bucket that limits the bytes that membership sends. When a whole failure domain is lost or returns, hundreds
 * of members change at once. Unlimited gossip would then displace requests, and traffic between regions costs money.
 * News that exceeds the budget is sent later, or the peers find it by comparing views.
 */

import type { IClock, MonotonicMs } from '../Types.js'

const MS_PER_SECOND = 1_000

export class ByteBudget {
  private _unspentBytes: number
  private _refilledAtMs: MonotonicMs

  public constructor (private readonly _clock: IClock, private readonly _bytesPerSecond: number, private readonly _burstBytes: number) {
    this._unspentBytes = _burstBytes
    this._refilledAtMs = _clock.nowMs()
  }

  /** Number of bytes that may be sent now. */
  public get availableBytes (): number {
    const nowMs = this._clock.nowMs()
    this._unspentBytes = Math.min(this._burstBytes, this._unspentBytes + (nowMs - this._refilledAtMs) * this._bytesPerSecond / MS_PER_SECOND)
    this._refilledAtMs = nowMs
    return this._unspentBytes
  }

  public spend (bytes: number): void {
    this._unspentBytes -= bytes
  }
}
