/**
 * Records the capacity promised to refused work at its retry time, so that it is not promised again.
 */

import type { MonotonicMs } from '../Types.js'

/** The most promises stored; a refusal beyond them gives a retry time but no promise, so memory stays below 20 MB. */
const MAX_PROMISES = 50_000

/** A promise expires when the work is this late: its caller has given up or gone elsewhere. */
const EXPIRES_AFTER_MS = 2_000

interface IPromise {
  readonly key: string
  readonly caller: string
  readonly costMs: number
  readonly dueAtMs: MonotonicMs
  readonly expiresAtMs: MonotonicMs
}

export class RetryPromises {
  public costMs = 0
  private readonly _promises = new Map<string, IPromise>()
  private readonly _costByCaller = new Map<string, number>()

  public costOf (caller: string): number {
    return this._costByCaller.get(caller) ?? 0
  }

  public get size (): number {
    return this._promises.size
  }

  public add (key: string, caller: string, costMs: number, dueAtMs: MonotonicMs): void {
    this.redeem(key, dueAtMs)
    if (this._promises.size >= MAX_PROMISES) return
    this._promises.set(key, { key, caller, costMs, dueAtMs, expiresAtMs: dueAtMs + EXPIRES_AFTER_MS })
    this._addCost(caller, costMs)
  }

  /** Redeems and removes a promise; false when there is none, it isn't due or it has expired. */
  public redeem (key: string, nowMs: MonotonicMs): boolean {
    const promise = this._promises.get(key)
    if (promise === undefined) return false
    this._remove(promise)
    return nowMs >= promise.dueAtMs && nowMs < promise.expiresAtMs
  }

  /** Removes expired promises. Checks a few at a time, in order of creation, which is nearly the order of expiry. */
  public removeExpired (nowMs: MonotonicMs): void {
    let checked = 0
    for (const promise of this._promises.values()) {
      if (checked >= 8) return
      checked += 1
      if (promise.expiresAtMs <= nowMs) this._remove(promise)
    }
  }

  private _remove (promise: IPromise): void {
    this._promises.delete(promise.key)
    this._addCost(promise.caller, -promise.costMs)
  }

  private _addCost (caller: string, costMs: number): void {
    this.costMs = this._promises.size === 0 ? 0 : this.costMs + costMs
    const left = this.costOf(caller) + costMs
    if (left > 1e-9) this._costByCaller.set(caller, left)
    else this._costByCaller.delete(caller)
  }
}
