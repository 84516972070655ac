/**
 * Estimates a host's clock from its answers. Leases are counted on the host's clock, and no other clock is guaranteed to run at
 * the same rate, so the estimate is a range that widens until the next answer.
 */

import type { MonotonicMs } from '../Types.js'

/** The maximum drift between two clocks, as a share of the elapsed time: 0.01 is 10 ms in a second. */
export const DEFAULT_MAX_DRIFT = 0.01

export interface IHostClockSnapshot {
  /** The host's clock in milliseconds, and the local times between which the host read it. */
  readonly hostMs: number
  readonly sentAtMs: MonotonicMs
  readonly receivedAtMs: MonotonicMs
}

export class HostClock {
  private _last: IHostClockSnapshot | undefined

  public constructor (private readonly _maxDrift: number, from?: IHostClockSnapshot) {
    this._last = from
  }

  /** Processes an answer that contains the host's clock. An answer to a request sent before that of the latest answer is ignored. */
  public observe (answer: IHostClockSnapshot): void {
    if (this._last === undefined || answer.sentAtMs >= this._last.sentAtMs) this._last = answer
  }

  public snapshot (): IHostClockSnapshot | undefined {
    return this._last
  }

  /** The lowest value that the host's clock can show at a time after the last answer; undefined before the first one. */
  public earliestMs (nowMs: MonotonicMs): number | undefined {
    if (this._last === undefined) return undefined
    const passedMs = nowMs - this._last.receivedAtMs
    if (passedMs < 0) return undefined
    return this._last.hostMs + passedMs * (1 - this._maxDrift)
  }

  /** The highest value that the host's clock can show; undefined before the first answer. */
  public latestMs (nowMs: MonotonicMs): number | undefined {
    if (this._last === undefined) return undefined
    const passedMs = Math.max(0, nowMs - this._last.sentAtMs)
    return this._last.hostMs + passedMs * (1 + this._maxDrift)
  }
}
