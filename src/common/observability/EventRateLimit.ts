/**
 * Limits the log lines of each event. When thousands of requests fail the same way in one second, a process without a limit
 * would spend its time on writing the same line, and the first line, which shows the cause, would scroll out of reach.
 * Suppressed lines are counted, and the next line of that event reports their number.
 */

import type { IClock, MonotonicMs } from '../Types.js'

const WINDOW_MS = 1000

interface IEventWindow {
  startedAtMs: MonotonicMs
  lines: number
  suppressed: number
}

export interface IRateDecision {
  readonly allowed: boolean
  /** Lines of this event that were suppressed since the last one that was written. */
  readonly suppressed: number
}

export class EventRateLimit {
  private readonly _windows = new Map<string, IEventWindow>()

  public constructor (private readonly _clock: IClock, private readonly _maxLinesPerSecond: number) {}

  /** Decides whether one more line of this event is written. Event names are constants of the code, so the map is bounded. */
  public admit (event: string): IRateDecision {
    const window = this._windowOf(event)
    if (window.lines >= this._maxLinesPerSecond) {
      window.suppressed += 1
      return { allowed: false, suppressed: 0 }
    }
    window.lines += 1
    const suppressed = window.suppressed
    window.suppressed = 0
    return { allowed: true, suppressed }
  }

  private _windowOf (event: string): IEventWindow {
    const nowMs = this._clock.nowMs()
    const known = this._windows.get(event)
    if (known !== undefined && nowMs - known.startedAtMs < WINDOW_MS) return known
    const window = { startedAtMs: nowMs, lines: 0, suppressed: known?.suppressed ?? 0 }
    this._windows.set(event, window)
    return window
  }
}
