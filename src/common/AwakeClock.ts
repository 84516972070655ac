/**
 * A clock that counts only the time in which this process ran, to judge how long peers have been silent.
 */

import type { IClock, MonotonicMs } from './Types.js'

/** The most periods that one tick adds: any longer delay is a pause of this process. */
const MAX_PERIODS_PER_TICK = 1.5

/**
 * A clock that stops while the process is paused.
 *
 * When a process resumes after it was stopped or starved for ten seconds, the system clock says that every peer has been
 * silent for that long, although their messages wait unread in its sockets. It would drop all links at once, and every
 * request through it would fail after each pause. Here a tick adds little more than one period, however late it comes,
 * and the sockets are read before the next tick.
 */
export class AwakeClock {
  private _awakeMs = 0
  private _lastTickMs: MonotonicMs

  public constructor (private readonly _clock: IClock, private readonly _periodMs: number) {
    this._lastTickMs = _clock.nowMs()
  }

  public get awakeMs (): number {
    return this._awakeMs
  }

  /** Must be called once per period. */
  public tick (): void {
    const nowMs = this._clock.nowMs()
    this._awakeMs += Math.min(nowMs - this._lastTickMs, this._periodMs * MAX_PERIODS_PER_TICK)
    this._lastTickMs = nowMs
  }
}
