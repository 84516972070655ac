/**
 * Limits the retries of one service's work: each success earns a fraction of a retry, each retry spends one.
 */

import { err, ok } from 'neverthrow'

import { RefusedError } from '../Errors.js'

import type { Result } from 'neverthrow'
import type { IWorkItem } from './Types.js'

export interface IRetryBudgetOptions {
  /** What one success earns, in retries. */
  readonly earnedPerSuccess: number
  /** The most that can be saved, in retries. */
  readonly maxSaved: number
}

/** One retry per ten successes adds at most a tenth to the load; ten saved retries cover a short fault at low load. */
export const DEFAULT_RETRY_BUDGET: IRetryBudgetOptions = { earnedPerSuccess: 0.1, maxSaved: 10 }

export class RetryBudget {
  private _saved: number

  public constructor (private readonly _options: IRetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this._saved = _options.maxSaved
  }

  public recordSuccess (): void {
    this._saved = Math.min(this._saved + this._options.earnedPerSuccess, this._options.maxSaved)
  }

  /**
   * Grants a retry for work that has made `attempts` attempts already.
   *
   * When an upstream fails most of what it gets, a fixed number of retries per item would multiply the load at the
   * worst time. Since successes pay for retries, retries cease when successes do. Work that is not idempotent gets no
   * retry, because it is unknown whether the failed attempt took effect.
   */
  public trySpend (item: IWorkItem, attempts: number): Result<void, RefusedError> {
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
