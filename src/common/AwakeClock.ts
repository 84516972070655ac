/**
 * Time during which this process was itself awake, for deciding about the silence of others.
 */

import type { IClock, MonotonicMs } from './Types.js'

/** A tick that comes later than this many periods counts as this many: the rest was our own pause. */
const MAX_PERIODS_PER_TICK = 1.5

/**
 * A clock that stands still while the process is paused.
 *
 * A process that was stopped or starved for ten seconds wakes up, and by the wall every peer has been silent for as
 * long, although what they sent waits unread in its sockets. It would drop all links at once, and one would see
 * every request through it fail after each pause. Here a tick adds little more than its period, however late it
 * comes, and the sockets are read before the next one.
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

  /** To be called every period. */
  public tick (): void {
    const nowMs = this._clock.nowMs()
    this._awakeMs += Math.min(nowMs - this._lastTickMs, this._periodMs * MAX_PERIODS_PER_TICK)
    this._lastTickMs = nowMs
  }
}
