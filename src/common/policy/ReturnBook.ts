/**
 * Records the capacity promised to refused work at its retry time, so that it is not promised again.
 */

import type { MonotonicMs } from '../Types.js'

/** The most promises stored; a refusal beyond them gives a retry time but no promise, so memory stays below 20 MB. */
const MAX_PROMISES = 50_000

/** A promise expires when the work is this late: its caller has given up or gone elsewhere. */
const HELD_FOR_MS = 2_000

interface IPromise {
  readonly key: string
  readonly caller: string
  readonly costMs: number
  readonly dueAtMs: MonotonicMs
  readonly lapsesAtMs: MonotonicMs
}

export class ReturnBook {
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
    this.take(key, dueAtMs)
    if (this._promises.size >= MAX_PROMISES) return
    this._promises.set(key, { key, caller, costMs, dueAtMs, lapsesAtMs: dueAtMs + HELD_FOR_MS })
    this._count(caller, costMs)
  }

  /** Redeems and removes a promise; false when there is none, it isn't due or it has expired. */
  public take (key: string, nowMs: MonotonicMs): boolean {
    const promise = this._promises.get(key)
    if (promise === undefined) return false
    this._drop(promise)
    return nowMs >= promise.dueAtMs && nowMs < promise.lapsesAtMs
  }

  /** Removes expired promises. Checks a few at a time, in order of creation, which is nearly the order of expiry. */
  public expire (nowMs: MonotonicMs): void {
    let looks = 0
    for (const promise of this._promises.values()) {
      if (looks >= 8) return
      looks += 1
      if (promise.lapsesAtMs <= nowMs) this._drop(promise)
    }
  }

  private _drop (promise: IPromise): void {
    this._promises.delete(promise.key)
    this._count(promise.caller, -promise.costMs)
  }

  private _count (caller: string, costMs: number): void {
    this.costMs = this._promises.size === 0 ? 0 : this.costMs + costMs
    const left = this.costOf(caller) + costMs
    if (left > 1e-9) this._costByCaller.set(caller, left)
    else this._costByCaller.delete(caller)
  }
}
