/**
 * Decides when a peer has been silent for too long, in time during which this process was itself awake.
 */

import type { AwakeClock } from '../common/AwakeClock.js'

/** Watches one link: whether anything was received on it since the last tick. */
export class HeartbeatMonitor {
  private _heardAtAwakeMs: number
  private _receivedBytes = 0

  public constructor (private readonly _awake: AwakeClock, private readonly _silenceLimitMs: number) {
    this._heardAtAwakeMs = _awake.awakeMs
  }

  /** Whether anything came since the last tick: part of a large message is a sign of life too. */
  public noteReceived (receivedBytes: number): boolean {
    if (receivedBytes === this._receivedBytes) return false
    this._receivedBytes = receivedBytes
    this._heardAtAwakeMs = this._awake.awakeMs
    return true
  }

  public isSilent (): boolean {
    return this._awake.awakeMs - this._heardAtAwakeMs > this._silenceLimitMs
  }
}
