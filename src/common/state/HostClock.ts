/**
 * What a process knows of a host's clock from its answers. Leases are counted on the host's clock, and no one else's
 * can be trusted to run at its rate, so the estimate is a range that widens until the next answer.
 */

import type { MonotonicMs } from '../Types.js'

/** The most that two clocks may run apart, as a share of the time that passes: 0.01 is 10 ms in a second. */
export const DEFAULT_MAX_DRIFT = 0.01

export interface IHostClockSnapshot {
  /** The host's clock in milliseconds, and the local times between which it was read. */
  readonly hostMs: number
  readonly sentAtMs: MonotonicMs
  readonly receivedAtMs: MonotonicMs
}

export class HostClock {
  private _last: IHostClockSnapshot | undefined

  public constructor (private readonly _maxDrift: number, from?: IHostClockSnapshot) {
    this._last = from
  }

  /** Takes in an answer that held the host's clock. An answer that was overtaken by a later one changes nothing. */
  public observe (answer: IHostClockSnapshot): void {
    if (this._last === undefined || answer.sentAtMs >= this._last.sentAtMs) this._last = answer
  }

  public snapshot (): IHostClockSnapshot | undefined {
    return this._last
  }

  /** The host's clock shows at least this at a time after the last answer; undefined before the first one. */
  public earliestMs (nowMs: MonotonicMs): number | undefined {
    if (this._last === undefined) return undefined
    const passedMs = nowMs - this._last.receivedAtMs
    if (passedMs < 0) return undefined
    return this._last.hostMs + passedMs * (1 - this._maxDrift)
  }

  /** The host's clock shows at most this; undefined before the first answer. */
  public latestMs (nowMs: MonotonicMs): number | undefined {
    if (this._last === undefined) return undefined
    const passedMs = Math.max(0, nowMs - this._last.sentAtMs)
    return this._last.hostMs + passedMs * (1 + this._maxDrift)
  }
}
