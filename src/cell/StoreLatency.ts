/**
 * Moving average of the store's latency, and the time after which an answer is probably lost.
 */

const LATENCY_WEIGHT = 0.2
/**
 * An answer that takes longer than the usual latency by this factor is probably lost. The factor is high enough that a store in another
 * region, which takes 45 ms and occasionally 120, is rarely asked twice.
 */
const OVERDUE_FACTOR = 4
/**
 * No answer is overdue before this time, in ms. A store in the same region answers after 5 ms, and this process can pause for 50 ms on a
 * machine with a third of a core.
 */
const MIN_OVERDUE_MS = 100
/** The interval doubles with each attempt, but grows no longer than this, in ms, so that a store that was silent is found again within that time. */
const MAX_OVERDUE_MS = 400

export class StoreLatency {
  /** @param _usualMs the initial estimate of the latency, in ms */
  public constructor (private _usualMs: number) {}

  /** The average latency, in ms. */
  public get usualMs (): number {
    return this._usualMs
  }

  public recordAnswer (durationMs: number): void {
    this._usualMs += (durationMs - this._usualMs) * LATENCY_WEIGHT
  }

  /** Delay between an attempt and the next attempt of the same transaction, in ms. */
  public overdueMs (attempts: number): number {
    const firstMs = Math.max(MIN_OVERDUE_MS, this._usualMs * OVERDUE_FACTOR)
    return Math.min(firstMs * 2 ** (attempts - 1), Math.max(firstMs, MAX_OVERDUE_MS))
  }
}
