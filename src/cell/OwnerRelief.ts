/**
 * Hands the cell over to a fitter process while this one still serves it: if its machine lacks what an owner needs, or if it is overloaded.
 *
 * The owner goes on until the other process has written the ownership record, so an attempt that fails at any stage changes nothing: the
 * write expects the revision of this ownership, and the hosts refuse the orders of the previous owner as after any other takeover. The object
 * lives as long as the process, because its overload counts for some time after an ownership has ended.
 */

import { EffectiveFitness } from '../common/cell/EffectiveFitness.js'
import { ReliefDecision } from '../common/cell/ReliefDecision.js'
import { DisposableStore } from '../common/Emitter.js'
import { collectReliefOffers, requestTakeover } from './Handover.js'

import type { IReliefInputs } from '../common/cell/ReliefDecision.js'
import type { ISuccessorOffer } from '../common/cell/Successor.js'
import type { Counters } from '../common/observability/Counters.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { IReliefCandidate } from './Handover.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

/** How often the owner checks whether it needs relief, in ms: as often as its overload is measured. */
const CHECK_INTERVAL_MS = 250
/** Wait for offers, in ms: a peer tries the store for 400 ms, and on the link of an owner that needs relief, calls queue for as long as that. */
const OFFER_WAIT = { timeoutMs: 1500, moreMs: 300 }
/** An ownership that begins within this time after a request for relief was obtained by relief, in ms: longer than any takeover. */
const REQUEST_VALID_MS = 3000

export interface IOwnerReliefContext {
  readonly hub: IPeerHub
  readonly ownership: Pick<Ownership, 'record' | 'isOwner' | 'isConfirmed' | 'onOwned' | 'onLost' | 'resign'>
  readonly counters: Counters
  readonly clock: IClock & ITimers
  readonly log: ILogger
  /** The fitness of this machine. */
  machineFitness (): number
  /** Whether this process, as the owner, is the bottleneck at the moment. */
  isOverloaded (): boolean
  /** The highest fitness that a peer has reported to this owner; 0 if none has. */
  peerFitness (): number
  isStopping (): boolean
}

export class OwnerRelief implements IReliefCandidate, IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _fitness: EffectiveFitness
  private _timer: IDisposable | undefined
  private _decision = new ReliefDecision()
  private _ownedAtMs: MonotonicMs = -Infinity
  private _requestedAtMs: MonotonicMs = -Infinity
  private _isByRelief = false
  private _isAsking = false
  /** Whether another process has been asked to take the cell over, and hasn't replied yet. */
  private _isHandingOver = false

  public constructor (private readonly _context: IOwnerReliefContext) {
    this._fitness = new EffectiveFitness(() => _context.machineFitness())
    this._disposables.add(_context.ownership.onOwned(() => { this._start() }))
    this._disposables.add(_context.ownership.onLost(() => {
      this._stop()
      if (!this._isHandingOver) this._fitness.recordLoss(_context.clock.nowMs())
    }))
  }

  public dispose (): void {
    this._disposables.dispose()
    this._stop()
  }

  public get effectiveFitness (): number {
    return this._fitness.value(this._context.clock.nowMs())
  }

  public get offeredFitness (): number | undefined {
    return this._fitness.offered(this._context.clock.nowMs())
  }

  public recordRequest (): void {
    this._requestedAtMs = this._context.clock.nowMs()
  }

  private _start (): void {
    this._stop()
    const { clock } = this._context
    this._ownedAtMs = clock.nowMs()
    this._isByRelief = this._ownedAtMs - this._requestedAtMs < REQUEST_VALID_MS
    this._decision = new ReliefDecision()
    this._timer = clock.every(CHECK_INTERVAL_MS, () => { this._check() })
  }

  private _stop (): void {
    this._timer?.dispose()
    this._timer = undefined
    this._fitness.update(this._context.clock.nowMs(), false)
  }

  private _check (): void {
    const { ownership: { record }, clock, log } = this._context
    const nowMs = clock.nowMs()
    this._fitness.update(nowMs, this._context.isOverloaded())
    if (record === undefined || this._isAsking || !this._decision.shouldAsk(nowMs, this._inputs(), this._context.peerFitness())) return
    this._isAsking = true
    this._seekRelief(record)
      .catch((error: unknown) => { log.error('owner.reliefFailed', { reason: String(error) }) })
      .finally(() => { this._isAsking = false })
  }

  private async _seekRelief (record: IOwnerRecord): Promise<void> {
    const { hub, clock, log, counters } = this._context
    const decision = this._decision
    const askedAtMs = clock.nowMs()
    const isAcceptable = (offer: ISuccessorOffer): boolean => decision.choose(clock.nowMs(), this._inputs(), [offer]) !== undefined
    const onFailure = (error: unknown): void => { log.error('owner.reliefFailed', { reason: String(error) }) }
    const offers = await collectReliefOffers(hub, record, OFFER_WAIT, isAcceptable, clock, onFailure)
    const inputs = this._inputs()
    const successor = this._owns(record) ? decision.choose(clock.nowMs(), inputs, offers) : undefined
    this._isHandingOver = successor !== undefined
    const isTaken = successor !== undefined && await requestTakeover(hub.link(successor.processId), record, true)
    const outcome = successor === undefined ? 'noPeer' : isTaken ? 'taken' : 'refused'
    counters.add('reliefs', outcome)
    const willing = offers.filter((offer) => offer.isWilling).length
    const peer = { successor: successor?.processId, successorFitness: successor?.fitness }
    const durationMs = Math.round(clock.nowMs() - askedAtMs)
    log.info('owner.relief', { ...inputs, offers: offers.length, willing, ...peer, outcome, durationMs, revision: record.revision })
    if (!isTaken) decision.recordFailure(clock.nowMs())
    else if (this._owns(record)) this._context.ownership.resign('a fitter process has taken the cell over')
    this._isHandingOver = false
  }

  /** Whether this process still has the ownership of this record. */
  private _owns ({ revision }: IOwnerRecord): boolean {
    const { ownership } = this._context
    return ownership.isOwner && ownership.record?.revision === revision
  }

  private _inputs (): IReliefInputs {
    const { clock, ownership } = this._context
    const nowMs = clock.nowMs()
    return {
      machineFitness: this._fitness.machine,
      effectiveFitness: this._fitness.value(nowMs),
      isOverloaded: this._fitness.isOverloaded(nowMs),
      ownedMs: Math.round(nowMs - this._ownedAtMs),
      isByRelief: this._isByRelief,
      isConfirmed: ownership.isConfirmed,
      isStopping: this._context.isStopping()
    }
  }
}
