/**
 * The standby: the process that takes the cell over next if its owner vanishes.
 *
 * When an owner loses power or is cut off, no connection is closed. Its lease goes on for a second, and then no process has a link to the
 * next owner, so that all callers wait for a second and a half. Therefore the owner names a standby. All other processes keep a link to the
 * standby, and the standby pings the owner several times a second. If neither the standby nor the other processes get an answer, the
 * standby takes the cell over. A wrong conclusion breaks nothing, since the store and the hosts refuse the previous owner from then on, but
 * it costs a takeover, so the ping timeout adapts to the owner's recent answers.
 */

import { PeerFitness } from '../common/cell/PeerFitness.js'
import { chooseFitter, chooseSuccessor, MIN_FITNESS_RATIO } from '../common/cell/Successor.js'
import { DisposableStore } from '../common/Emitter.js'

import type { ISuccessorOffer } from '../common/cell/Successor.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ICellStandbyCast } from '../common/protocol/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { IPeerHub, IPeerLink } from '../peer/Types.js'
import { OFFER_TIMEOUT_MS, requestOffer } from './Handover.js'
import type { Ownership } from './Ownership.js'
import { AnswerTimeout } from './AnswerTimeout.js'
import type { IOwnerRecord } from './Types.js'

/** How often an owner checks whether there is a standby or a much fitter one, in ms; first when most processes have found the owner. */
const CHECK_INTERVAL_MS = 1000
/** Shortest interval between a choice and one of a fitter standby, in ms: each change makes all processes dial another one. */
const MIN_CHANGE_INTERVAL_MS = 3000
/** An answer that is too late for the choice still tells the fitness, for this long, in ms: orders may queue on the link of an unfit owner. */
const LATE_OFFER_MS = 2000
/** How often the standby pings the owner, in ms. */
const PING_INTERVAL_MS = 150
/** A busy process may pause for less than `minMs`. An owner that has just taken over reads all jobs, and may take as long as a lease. */
const PING_LIMIT = { minMs: 300, initialMs: 1000 }
/** A ping without an answer is given up after this time, in ms. */
const PING_TIMEOUT_MS = 3000
/** Before a takeover, the other processes ping the owner as well, and wait for this share of the current ping timeout. */
const WITNESS_SHARE = 2 / 3
/** Time for the replies of the other processes in addition to that, in ms: two round trips between regions. */
const WITNESS_SLACK_MS = 100

/** On the owner: names a standby whenever there is none, or when another process is much fitter, and announces it to all peers. */
export class StandbySelector implements IDisposable {
  /** The fitness of the peers, as far as they have reported it. */
  public readonly peerFitness = new PeerFitness()
  private readonly _disposables = new DisposableStore()
  private _standby: ICellStandbyCast | undefined
  private _chosenAtMs: MonotonicMs = -Infinity

  /** @param _ownerFitness the fitness of this process */
  public constructor (
    private readonly _hub: IPeerHub, private readonly _record: IOwnerRecord, private readonly _ownerFitness: number,
    private readonly _clock: IClock & ITimers, private readonly _log: ILogger
  ) {
    this._disposables.add(_clock.every(CHECK_INTERVAL_MS, () => {
      this._ensureStandby().catch((error: unknown) => { _log.error('standby.choiceFailed', { reason: String(error) }) })
    }))
    this._disposables.add(_hub.onLink((link) => { if (this._standby !== undefined) link.cast('cellStandby', this._standby) }))
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  /** The process that is the standby. */
  public get standby (): string | undefined {
    return this._standby?.processId
  }

  private async _ensureStandby (): Promise<void> {
    const { standby } = this
    const isPresent = standby !== undefined && this._hub.link(standby) !== undefined
    const peers = this._hub.links().map(({ peer }) => peer)
    this.peerFitness.retain(peers)
    // In a cell of machines that are all alike, no candidate can be much fitter than the owner and the standby.
    if (isPresent && this.peerFitness.isComplete(peers) && !this.peerFitness.hasMuchFitter(this._ownerFitness, standby)) return
    const offers = await this._requestOffers()
    const chosen = isPresent ? this._chooseFitter(offers) : chooseSuccessor(offers)
    if (chosen === undefined) return
    this._standby = { processId: chosen.processId, peerUrl: chosen.peerUrl, revision: this._record.revision }
    this._chosenAtMs = this._clock.nowMs()
    const { processId: peer, fitness } = chosen
    this._log.info('standby.chosen', { peer, fitness, isFitter: isPresent, offers: offers.length, revision: this._record.revision })
    for (const link of this._hub.links()) link.cast('cellStandby', this._standby)
  }

  private _chooseFitter (offers: readonly ISuccessorOffer[]): ISuccessorOffer | undefined {
    const standbyFitness = offers.find(({ processId }) => processId === this._standby?.processId)?.fitness
    if (standbyFitness === undefined || this._clock.nowMs() - this._chosenAtMs < MIN_CHANGE_INTERVAL_MS) return undefined
    return chooseFitter(offers, standbyFitness * MIN_FITNESS_RATIO)
  }

  /** Returns the offers for a choice; later answers only tell the fitness. */
  private async _requestOffers (): Promise<readonly ISuccessorOffer[]> {
    const offers: ISuccessorOffer[] = []
    const all = Promise.all(this._hub.links().map(async (link) => {
      const offer = await requestOffer(link, this._record, 'cellOffer', LATE_OFFER_MS)
      offers.push(offer)
      this.peerFitness.record(offer)
    }))
    await Promise.race([all, new Promise<void>((resolve) => { this._clock.after(OFFER_TIMEOUT_MS, resolve) })])
    return [...offers]
  }
}

/** On every process: keeps a link to the standby, or watches the owner if this process is the standby. */
export class StandbyWatch implements IDisposable {
  private _dial: IDisposable | undefined
  private _watchedRevision: number | undefined

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _ownership: Pick<Ownership, 'record' | 'takeOver'>,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {
    _hub.listen('cellStandby', (standby) => { this._applyStandby(standby) })
    _hub.handle('cellPing', async () => ({}))
    _hub.handle('cellWitness', async ({ processId, waitMs }) => ({ isReached: await answersPing(_hub.link(processId), waitMs) }))
  }

  public dispose (): void {
    this._watchedRevision = undefined
    this._dial?.dispose()
  }

  private _applyStandby ({ processId, peerUrl, revision }: ICellStandbyCast): void {
    if (revision !== this._ownership.record?.revision) return
    this._dial?.dispose()
    this._dial = undefined
    if (processId !== this._hub.self.processId) {
      this._watchedRevision = undefined
      this._dial = this._hub.dial(peerUrl, processId)
    } else if (this._watchedRevision !== revision) {
      this._watchedRevision = revision
      this._watchOwner(revision).catch((error: unknown) => { this._log.error('standby.watchFailed', { reason: String(error) }) })
    }
  }

  private async _watchOwner (revision: number): Promise<void> {
    this._log.info('standby.began', { revision })
    const limit = new AnswerTimeout(PING_LIMIT)
    for (;;) {
      await new Promise<void>((resolve) => { this._clock.after(PING_INTERVAL_MS, resolve) })
      const { record } = this._ownership
      if (this._watchedRevision !== revision || record?.revision !== revision) return
      const link = this._hub.link(record.processId)
      // Broken links are handled elsewhere; this check is about a link that has fallen silent.
      if (link === undefined) continue
      const { limitMs } = limit
      const answer = this._ping(link, limit)
      if (await this._isAnswered(answer, limitMs) || !await this._isUnreachableForOthers(record, limitMs)) continue
      // A busy owner's answer may have arrived while the other processes were asked.
      if (await this._isAnswered(answer, 0) || this._ownership.record?.revision !== revision) continue
      this._ownership.takeOver(record)
    }
  }

  private async _ping (link: IPeerLink, limit: AnswerTimeout): Promise<boolean> {
    const sentAtMs = this._clock.nowMs()
    const isAnswered = await answersPing(link, PING_TIMEOUT_MS)
    if (isAnswered) limit.recordAnswer(this._clock.nowMs() - sentAtMs)
    return isAnswered
  }

  private async _isAnswered (answer: Promise<boolean>, withinMs: number): Promise<boolean> {
    const timeout = new Promise<boolean>((resolve) => { this._clock.after(withinMs, () => { resolve(false) }) })
    return await Promise.race([answer, timeout])
  }

  /** Whether other processes answered, and most of them don't reach the owner either. Otherwise this process may be the one that is cut off. */
  private async _isUnreachableForOthers ({ processId }: IOwnerRecord, limitMs: number): Promise<boolean> {
    const waitMs = limitMs * WITNESS_SHARE
    const others = this._hub.links().filter(({ peer }) => peer.processId !== processId)
    const replies = await Promise.all(others.map(async (link) => await link.call('cellWitness', { processId, waitMs }, waitMs + WITNESS_SLACK_MS)))
    const answers = replies.flatMap((reply) => reply.isOk() ? [reply.value.isReached] : [])
    const reaching = answers.filter((isReached) => isReached).length
    this._log.warn('standby.ownerSilent', { peer: processId, limitMs: Math.round(limitMs), asked: others.length, answered: answers.length, reaching })
    return answers.length > 0 && reaching * 2 < answers.length
  }
}

async function answersPing (link: IPeerLink | undefined, timeoutMs: number): Promise<boolean> {
  const reply = await link?.call('cellPing', {}, timeoutMs)
  return reply?.isOk() === true
}
