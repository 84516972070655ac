/**
 * Commits one transaction of a lane, and repeats it until its outcome is known.
 *
 * A transaction whose answer is overdue is sent again while the earlier answer is still awaited. At most one of the attempts takes effect,
 * since each expects the lane's record as it was before the transaction. If only one attempt were pending at a time, each lost answer would
 * delay all later writes, and a store that has just become slow would be asked again before it can answer.
 */

import { OWNER_KEY } from './Keys.js'

import type { CommitOutcome, IMetadataItem, IMetadataStore, ITransaction } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, ITimers, MonotonicMs } from '../common/Types.js'
import type { StoreLatency } from './StoreLatency.js'

/** Why a write is certainly not stored. */
export type RefusalCause = 'storeAway' | 'ownershipLost'

export type BatchOutcome =
  | { readonly kind: 'stored', readonly revision: number }
  /** The transaction has not been carried out and never will be. */
  | { readonly kind: 'notStored', readonly reason: string, readonly cause: RefusalCause }
  | { readonly kind: 'unknown', readonly reason: string }

export interface IBatchEffects {
  /** The store has not answered within its usual time, or has refused an attempt. */
  reportFailing (forMs: number): void
  /** Whether to give up the transaction instead of repeating it; asked when each attempt so far was refused. */
  shouldGiveUp (): boolean
  settle (outcome: BatchOutcome): void
  /** Another process owns the cell or writes in this lane; called after `settle`. */
  onOwnershipLost (reason: string): void
}

export interface ILaneBatch {
  readonly transaction: ITransaction
  readonly laneKey: string
  readonly laneValue: string
  readonly laneRevision: number
  readonly ownerRevision: number
}

/**
 * Timeout of one attempt, after which its connection is considered dead, in ms. A store that is 90 times as slow as usual answers within a
 * quarter of it.
 */
const ATTEMPT_TIMEOUT_MS = 1500
/** Limit of attempts that are pending at the same time. Earlier ones are unlikely to be answered. */
const MAX_PENDING_ATTEMPTS = 5
/** Delay of the next attempt after one that failed immediately, in ms. */
const RETRY_DELAY_MS = 60

export class BatchCommit {
  private _attempts = 0
  private _pendingAttempts = 0
  private _lastAttemptAtMs: MonotonicMs = -Infinity
  /** An attempt had no answer: it may have been carried out, or may be carried out later. */
  private _isInDoubt = false
  private _isAbandoned = false
  private _isSettled = false

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _batch: ILaneBatch,
    private readonly _latency: StoreLatency,
    private readonly _effects: IBatchEffects,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {}

  public start (): void {
    this._sendAttempt()
  }

  /** Sends no further attempts, because this process no longer owns the cell. The outcome is that of the pending attempts, or unknown. */
  public abandon (): void {
    this._isAbandoned = true
    if (this._pendingAttempts === 0) this._settleAbandoned()
  }

  /**
   * Sends the transaction again at once; to be called when the store has answered another call. One attempt beyond the limit is allowed: the
   * pending ones may all be on connections that died while the store was silent.
   */
  public retryNow (): void {
    if (this._isSettled || this._isAbandoned || this._pendingAttempts > MAX_PENDING_ATTEMPTS ||
      this._clock.nowMs() - this._lastAttemptAtMs < RETRY_DELAY_MS) return
    this._sendAttempt()
  }

  private _sendAttempt (): void {
    this._attempts += 1
    this._pendingAttempts += 1
    const sentAtMs = this._clock.nowMs()
    this._lastAttemptAtMs = sentAtMs
    this._store.commit(this._batch.transaction, ATTEMPT_TIMEOUT_MS).then((outcome) => {
      this._pendingAttempts -= 1
      if (!this._isSettled) this._onOutcome(outcome, this._clock.nowMs() - sentAtMs)
    }, (error: unknown) => { this._log.error('store.commitFailed', { reason: String(error) }) })
    this._scheduleRetry(this._latency.overdueMs(this._attempts), sentAtMs)
  }

  /** Sends another attempt after the delay, unless one has been sent by then. */
  private _scheduleRetry (delayMs: number, sentAtMs?: number): void {
    const attempts = this._attempts
    this._clock.after(delayMs, () => {
      if (this._isSettled || this._isAbandoned || this._attempts !== attempts) return
      if (sentAtMs !== undefined) this._effects.reportFailing(this._clock.nowMs() - sentAtMs)
      if (this._pendingAttempts < MAX_PENDING_ATTEMPTS) this._sendAttempt()
      else this._scheduleRetry(this._latency.overdueMs(attempts))
    })
  }

  private _onOutcome (outcome: CommitOutcome, durationMs: number): void {
    switch (outcome.kind) {
      case 'committed':
        this._latency.recordAnswer(durationMs)
        return this._settle({ kind: 'stored', revision: outcome.revision })
      case 'conflict':
        return this._onConflict(outcome.items)
      case 'leaseGone':
        // Only a transaction that names a lease gets this outcome, and a lane names none.
        return this._settleAsLost({ kind: 'unknown', reason: 'the lease does not exist' }, 'the lease does not exist in the store')
      case 'unanswered':
        this._isInDoubt = true
        return this._onFailure(outcome.kind, outcome.reason, durationMs)
      case 'refused':
        return this._onFailure(outcome.kind, outcome.reason, durationMs)
    }
  }

  private _onFailure (kind: string, reason: string, durationMs: number): void {
    this._logFailure(kind, reason, durationMs)
    if (this._isAbandoned) {
      if (this._pendingAttempts === 0) this._settleAbandoned()
      return
    }
    this._effects.reportFailing(durationMs)
    if (this._pendingAttempts > 0) return
    if (!this._isInDoubt && this._effects.shouldGiveUp()) this._settle({ kind: 'notStored', reason, cause: 'storeAway' })
    else this._scheduleRetry(Math.max(0, RETRY_DELAY_MS - durationMs))
  }

  /**
   * Logs the first failure, the second, the fourth and so on. Otherwise, a store outage of some seconds would write 16 lines a second for
   * each lane.
   */
  private _logFailure (outcome: string, reason: string, durationMs: number): void {
    if (!Number.isInteger(Math.log2(this._attempts))) return
    this._log.warn('store.notCommitted', {
      outcome, reason, durationMs: Math.round(durationMs), writes: this._batch.transaction.puts.length, tries: this._attempts
    })
  }

  /** Either an earlier attempt has been carried out, or another process has written the ownership record or this lane. */
  private _onConflict (items: readonly IMetadataItem[]): void {
    const { laneKey, laneValue, laneRevision, ownerRevision } = this._batch
    const lane = items.find((item) => item.key === laneKey)
    if (lane?.value === laneValue) return this._settle({ kind: 'stored', revision: lane.revision })
    const owner = items.find((item) => item.key === OWNER_KEY)
    if (owner?.revision === ownerRevision) return this._settleAsLost({ kind: 'unknown', reason: 'another writer' }, 'the lane has another writer')
    // The lane's record is unchanged since before the first attempt, so no attempt has been carried out. The ownership record never returns
    // to the expected revision, so none will be.
    const isLaneUnchanged = (lane?.revision ?? 0) === laneRevision
    const reason = 'the ownership record has changed'
    this._settleAsLost(isLaneUnchanged ? { kind: 'notStored', reason, cause: 'ownershipLost' } : { kind: 'unknown', reason }, reason)
  }

  private _settleAsLost (outcome: BatchOutcome, reason: string): void {
    this._settle(outcome)
    this._effects.onOwnershipLost(reason)
  }

  private _settleAbandoned (): void {
    const reason = 'no longer the owner'
    this._settle(this._isInDoubt ? { kind: 'unknown', reason } : { kind: 'notStored', reason, cause: 'ownershipLost' })
  }

  private _settle (outcome: BatchOutcome): void {
    this._isSettled = true
    this._effects.settle(outcome)
  }
}
