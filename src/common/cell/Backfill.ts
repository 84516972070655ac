/**
 * Decides for how long other work may use what is reserved for a job (backfilling): work whose runs end before the job is expected to start.
 *
 * Designed for queues in which a few runs take several times as long as forecast. A job that waits for such a run would keep
 * what it reserves idle for as long as the run lasts; if it always let others go first, it would wait for one of theirs next.
 */

import type { MonotonicMs } from '../Types.js'

/** The job waits for all runs that begin within this time after it has reserved, in ms, even for those that use what it reserves. */
const GRACE_MS = 20_000
/** Once only later runs keep it from starting, nothing is backfilled for this long at first, in ms. */
const FIRST_PAUSE_MS = 2000
const PAUSE_GROWTH = 3

export class Backfill {
  private _runsBeforeMs: MonotonicMs
  /** Since when nothing is backfilled because the job waits for later runs alone; undefined if it doesn't. */
  private _pausedSinceMs: MonotonicMs | undefined
  /** The length of the pause, in ms. It grows each time, so that the job starts in the end however long the backfilled runs take. */
  private _pauseMs = FIRST_PAUSE_MS

  public constructor (public readonly sinceMs: MonotonicMs) {
    this._runsBeforeMs = sinceMs + GRACE_MS
  }

  /** The job waits for the runs that began before this time; those that began later may have used what is reserved. */
  public get runsBeforeMs (): MonotonicMs {
    return this._runsBeforeMs
  }

  /** Whether later runs may keep the job from starting. */
  public hasLaterRuns (nowMs: MonotonicMs): boolean {
    return nowMs > this._runsBeforeMs
  }

  /**
   * How long runs may last that use what is reserved, in ms: until the job is expected to start.
   *
   * @param isHeldByLaterRuns whether only later runs keep the job from starting
   */
  public maxRunMs (forecastMs: number, isHeldByLaterRuns: boolean, nowMs: MonotonicMs): number {
    if (!isHeldByLaterRuns) {
      this._pausedSinceMs = undefined
      return forecastMs
    }
    this._pausedSinceMs ??= nowMs
    if (nowMs - this._pausedSinceMs >= this._pauseMs) {
      this._runsBeforeMs = nowMs
      this._pauseMs *= PAUSE_GROWTH
    }
    return 0
  }
}
