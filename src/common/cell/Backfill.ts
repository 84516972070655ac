/**
 * Decides for how long other work may use what is reserved for a job (backfilling): work whose runs end before the job is expected to start.
 *
 * Designed for runs of which a few take seven times as long as the others, and as forecast. A job that waits for such a run would keep
 * what it reserves idle for as long as the run lasts; if it always let others go first, it would wait for one of theirs next.
 */

import type { MonotonicMs } from '../Types.js'

/** The job waits for all runs that begin within this time after it has reserved, in ms, even for those that use what it reserves. */
const LENT_FREELY_MS = 20_000
/** Once only later runs keep it from starting, nothing more is lent for this long at first, in ms. */
const FIRST_RETURN_MS = 2000
const RETURN_GROWTH = 3

export class Backfill {
  private _runsBeforeMs: MonotonicMs
  /** Since when the job has waited for later runs alone; undefined if it doesn't. */
  private _returningSinceMs: MonotonicMs | undefined
  /** How long nothing is lent then, in ms. It grows each time, so that the job starts in the end however long the lent runs take. */
  private _returnMs = FIRST_RETURN_MS

  public constructor (public readonly sinceMs: MonotonicMs) {
    this._runsBeforeMs = sinceMs + LENT_FREELY_MS
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
   * @param isReturning whether only later runs keep the job from starting
   */
  public maxRunMs (forecastMs: number, isReturning: boolean, nowMs: MonotonicMs): number {
    if (!isReturning) {
      this._returningSinceMs = undefined
      return forecastMs
    }
    this._returningSinceMs ??= nowMs
    if (nowMs - this._returningSinceMs >= this._returnMs) {
      this._runsBeforeMs = nowMs
      this._returnMs *= RETURN_GROWTH
    }
    return 0
  }
}
