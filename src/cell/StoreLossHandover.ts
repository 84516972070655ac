/**
 * Hands the cell over if the store answers other processes but not the owner.
 *
 * Such an owner still reaches hosts and callers, and its lease goes on for up to a second. Meanwhile jobs can neither be accepted nor
 * reported as completed, and urgent jobs are late. The peers' answers distinguish a store that is unavailable for all, in which case no
 * process could serve the cell better, from one that is unavailable for the owner alone.
 */

import { chooseSuccessor } from '../common/cell/Successor.js'
import { DisposableStore } from '../common/Emitter.js'
import { AnswerTimeout } from './AnswerTimeout.js'
import { collectReliefOffers, requestTakeover } from './Handover.js'
import { RENEW_INTERVAL_MS } from './Ownership.js'

import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

const CHECK_INTERVAL_MS = 50
/** How long a confirmation may take, in ms. One that isn't answered within 100 ms is requested once more. */
const CONFIRMATION_LIMIT = { minMs: 150, initialMs: 150 }
/** Timeout for a peer's offer, in ms: a peer tries the store for 400 ms, the rest is for two round trips between regions. */
const OFFER_TIMEOUT_MS = 500
/** After the first offer of a peer that reaches the store, other peers have this long to answer, in ms, and so has the store to answer the owner. */
const MORE_OFFERS_MS = 100
const OFFER_WAIT = { timeoutMs: OFFER_TIMEOUT_MS, moreMs: MORE_OFFERS_MS }
/** Shortest interval between two requests to the peers, in ms. */
const MIN_ASK_INTERVAL_MS = 1000

export class StoreLossHandover implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _limit = new AnswerTimeout(CONFIRMATION_LIMIT)
  private _askedAtMs: MonotonicMs = -Infinity
  private readonly _ownedAtMs: MonotonicMs

  /** @param _record the ownership to hand over; the object is disposed when that ownership ends */
  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _ownership: Pick<Ownership, 'record' | 'confirmedAtMs' | 'onConfirmed' | 'checkStoreReachable'>,
    private readonly _record: IOwnerRecord,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {
    this._ownedAtMs = _clock.nowMs()
    // A slow store takes as long to confirm the owner as it took to make it the owner.
    this._limit.recordAnswer(this._ownedAtMs - _ownership.confirmedAtMs)
    this._disposables.add(_ownership.onConfirmed((askedAtMs) => { this._limit.recordAnswer(_clock.nowMs() - askedAtMs) }))
    this._disposables.add(_clock.every(CHECK_INTERVAL_MS, () => {
      if (this._isRequestDue) this._findSuccessor().catch((error: unknown) => { this._logFailure(error) })
    }))
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  private get _isRequestDue (): boolean {
    const nowMs = this._clock.nowMs()
    const overdueMs = RENEW_INTERVAL_MS + this._limit.limitMs
    // The first confirmation is requested an interval after this process became the owner.
    const sinceMs = Math.max(this._ownership.confirmedAtMs, this._ownedAtMs)
    return nowMs - sinceMs > overdueMs && nowMs - this._askedAtMs > MIN_ASK_INTERVAL_MS
  }

  private async _findSuccessor (): Promise<void> {
    const { confirmedAtMs } = this._ownership
    this._askedAtMs = this._clock.nowMs()
    let isReached = false
    this._ownership.checkStoreReachable().then((reached) => { isReached = reached }, (error: unknown) => { this._logFailure(error) })
    const onFailure = (error: unknown): void => { this._logFailure(error) }
    const offers = await collectReliefOffers(this._hub, this._record, OFFER_WAIT, ({ isWilling }) => isWilling, this._clock, onFailure)
    const successor = chooseSuccessor(offers)
    const isBack = isReached || this._ownership.confirmedAtMs > confirmedAtMs || this._ownership.record?.revision !== this._record.revision
    const isTaken = successor !== undefined && !isBack && await requestTakeover(this._hub.link(successor.processId), this._record)
    const willing = offers.filter((offer) => offer.isWilling).length
    const ageMs = Math.round(this._askedAtMs - confirmedAtMs)
    this._log.warn('owner.unconfirmed', { ageMs, answered: offers.length, willing, isBack, successor: successor?.processId, isTaken, revision: this._record.revision })
  }

  private _logFailure (error: unknown): void {
    this._log.error('owner.reliefFailed', { reason: String(error) })
  }
}
