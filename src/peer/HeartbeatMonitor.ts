/**
 * Decides when a peer has been silent for too long. Only the time during which this process itself was running counts.
 */

import type { AwakeClock } from '../common/AwakeClock.js'

/** Monitors one link: whether bytes were received on it since the last tick. */
export class HeartbeatMonitor {
  private _lastReceivedAwakeMs: number
  private _receivedBytes = 0

  public constructor (private readonly _awakeClock: AwakeClock, private readonly _silenceLimitMs: number) {
    this._lastReceivedAwakeMs = _awakeClock.awakeMs
  }

  /** Returns whether bytes were received since the last call. Part of a large message also shows that the peer is alive. */
  public updateReceived (receivedBytes: number): boolean {
    if (receivedBytes === this._receivedBytes) return false
    this._receivedBytes = receivedBytes
    this._lastReceivedAwakeMs = this._awakeClock.awakeMs
    return true
  }

  public isSilent (): boolean {
    return this._awakeClock.awakeMs - this._lastReceivedAwakeMs > this._silenceLimitMs
  }
}
