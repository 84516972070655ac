/**
 * How many further attempts the work of one service may make: successes earn them, further attempts spend them.
 */

import { err, ok } from 'neverthrow'

import { RefusedError } from '../Errors.js'

import type { Result } from 'neverthrow'
import type { IWorkItem } from './Types.js'

export interface IRetryBudgetOptions {
  /** What one success earns, in attempts. */
  readonly earnedPerSuccess: number
  /** The most that can be saved, in attempts. */
  readonly maxSaved: number
}

/** One further attempt for ten successes adds at most a tenth to the load; ten saved ones cover a short fault at low load. */
export const DEFAULT_RETRY_BUDGET: IRetryBudgetOptions = { earnedPerSuccess: 0.1, maxSaved: 10 }

export class RetryBudget {
  private _saved: number

  public constructor (private readonly _options: IRetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this._saved = _options.maxSaved
  }

  public noteSuccess (): void {
    this._saved = Math.min(this._saved + this._options.earnedPerSuccess, this._options.maxSaved)
  }

  /**
   * Grants one more attempt for work that has made `attempts` already.
   *
   * Made for an upstream that fails most of what it gets. A fixed number of attempts each would multiply the load just
   * then: attempts rise while answers fall. Paid from successes, further attempts dry up as successes do. Work that
   * must not run twice gets none, because nobody can tell whether the failed attempt took effect.
   */
  public tryTake (item: IWorkItem, attempts: number): Result<void, RefusedError> {
    if (!item.idempotent) return refuse(item, 'not idempotent')
    if (attempts > item.profile.maxRetries) return refuse(item, `${attempts} attempts made`)
    if (this._saved < 1) return refuse(item, 'the budget is used up')
    this._saved -= 1
    return ok(undefined)
  }
}

function refuse (item: IWorkItem, why: string): Result<void, RefusedError> {
  return err(new RefusedError('retry', item.service, why))
}
