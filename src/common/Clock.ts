/**
 * Clocks with timers: the system clock, and a manual clock for tests.
 */

import type { EpochMs, IClock, IDisposable, ITimers, MonotonicMs } from './Types.js'

/**
 * Calls back once, after `delayMs` and after reading what had arrived on the sockets by then.
 *
 * The event loop runs timers before it reads sockets. When a process was starved or paused for longer than a timeout, it would abort requests
 * whose answers wait unread in its sockets, and send them again: the more it is loaded, the more work it repeats.
 */
export function afterReading (delayMs: number, callback: () => void): IDisposable {
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => { immediate = setImmediate(callback) }, delayMs)
  return {
    dispose: () => {
      clearTimeout(timer)
      clearImmediate(immediate)
    }
  }
}

/** The clock and timers of the system. */
export class SystemClock implements IClock, ITimers {
  public nowMs (): MonotonicMs {
    return performance.now()
  }

  public wallMs (): EpochMs {
    return Date.now()
  }

  public after (delayMs: number, callback: () => void): IDisposable {
    return afterReading(delayMs, callback)
  }

  public every (periodMs: number, callback: () => void): IDisposable {
    const timer = setInterval(callback, periodMs)
    return { dispose: () => clearInterval(timer) }
  }
}

interface IManualTimer {
  atMs: number
  readonly periodMs: number | undefined
  readonly callback: () => void
}

/** A clock for tests. Time passes only when `advance` is called, which fires the timers that are due, in order. */
export class ManualClock implements IClock, ITimers {
  private _nowMs = 0
  private readonly _timers = new Set<IManualTimer>()

  public constructor (private readonly _wallOffsetMs = 1_700_000_000_000) {}

  public nowMs (): MonotonicMs {
    return this._nowMs
  }

  public wallMs (): EpochMs {
    return this._wallOffsetMs + this._nowMs
  }

  public after (delayMs: number, callback: () => void): IDisposable {
    return this._add(delayMs, undefined, callback)
  }

  public every (periodMs: number, callback: () => void): IDisposable {
    return this._add(periodMs, periodMs, callback)
  }

  public advance (byMs: number): void {
    const untilMs = this._nowMs + byMs
    for (let due = this._nextDue(untilMs); due !== undefined; due = this._nextDue(untilMs)) {
      this._fire(due)
    }
    this._nowMs = untilMs
  }

  private _add (delayMs: number, periodMs: number | undefined, callback: () => void): IDisposable {
    const timer: IManualTimer = { atMs: this._nowMs + delayMs, periodMs, callback }
    this._timers.add(timer)
    return { dispose: () => { this._timers.delete(timer) } }
  }

  private _nextDue (untilMs: number): IManualTimer | undefined {
    let next: IManualTimer | undefined
    for (const timer of this._timers) {
      if (timer.atMs <= untilMs && (next === undefined || timer.atMs < next.atMs)) next = timer
    }
    return next
  }

  private _fire (timer: IManualTimer): void {
    this._nowMs = Math.max(this._nowMs, timer.atMs)
    if (timer.periodMs === undefined) this._timers.delete(timer)
    else timer.atMs += timer.periodMs
    timer.callback()
  }
}
