/**
 * Takes requests from gateways, has the decision engine admit and place them, and answers each exactly once.
 */

import { holderName } from '../../common/requests/ClaimHolder.js'
import { InFlightLimit } from '../../common/requests/InFlightLimit.js'
import { AnswerCache } from './AnswerCache.js'
import { Dispatcher } from './Dispatcher.js'

import type { QueueShifter } from './QueueShifter.js'
import type { EngineDecision, IWorkItem } from '../../common/policy/Types.js'
import type { IClaimRequest, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IProfile } from '../../common/config/Types.js'
import type { IDisposable, IFinalAnswer, OutcomeReason } from '../../common/Types.js'
import type { IArrival, IPendingRequest, IRequestContext } from './Types.js'

const SLOT = { cores: 1, memoryBytes: 0, accelerators: 0 } as const
/** A takeover of an id shard takes a few seconds; a caller who waits less gives up earlier by its deadline. */
const MAX_CLAIM_WAIT_MS = 3000
/** When a peer or this process stops, others have taken over within about a second. */
const DRAINING_RETRY_MS = 200
const UNKNOWN_SERVICE_RETRY_MS = 1000
const OVERLOADED_RETRY_MS = 500

export class RequestService {
  private readonly _pending = new Map<string, IPendingRequest>()
  private readonly _answers: AnswerCache
  private readonly _limit: InFlightLimit
  private readonly _dispatcher: Dispatcher
  private readonly _runnerProfiles = new WeakMap<IProfile, IProfile>()
  private _wake: IDisposable | undefined
  private _draining = false

  public constructor (private readonly _context: IRequestContext) {
    this._limit = new InFlightLimit(_context.bounds)
    this._answers = new AnswerCache(_context.clock, _context.timers)
    this._dispatcher = new Dispatcher(_context, {
      onAnswer: (attemptId, answer) => this._finish(attemptId, answer),
      onRequeue: (item) => this._requeue(item),
      onPlaceFree: () => this.pump()
    })
    _context.runners.onChange(() => this.pump())
  }

  public get inFlight (): number {
    return this._pending.size
  }

  /** The final answer of a request, as soon as it is known. */
  public async submit (ask: ISubmitRequest): Promise<IFinalAnswer> {
    const room = this._limit.take(ask.body.byteLength)
    if (room.isErr()) return this._refused('overloaded', `too many ${room.error} in flight`, OVERLOADED_RETRY_MS)
    try {
      return await this._submit(ask)
    } finally {
      room.value()
    }
  }

  private async _submit (ask: ISubmitRequest): Promise<IFinalAnswer> {
    const refusal = this._refuseEarly(ask)
    if (refusal !== undefined) return refusal
    const service = this._context.config.service(ask.service)
    const found = service === undefined ? undefined : this._context.config.profile(service.profile)
    if (service === undefined || found === undefined) {
      return this._refused('internal', 'this service is not known here yet', UNKNOWN_SERVICE_RETRY_MS)
    }
    const arrivedAtMs = this._context.clock.nowMs()
    const { profile, revision: profileRevision } = found
    const arrival = { ask, profile, profileRevision, team: service.team, arrivedAtMs, deadlineAtMs: arrivedAtMs + ask.remainingMs }
    const answer = ask.idempotent ? await this._queue(arrival) : await this._claimAndQueue(arrival)
    return { ...answer, region: this._context.self.region, profileRevision: answer.profileRevision ?? profileRevision }
  }

  /**
   * Hands queued requests back that would start sooner elsewhere.
   *
   * Made for a scheduler that a burst reached before its summary did: its queue is long while others in the region have
   * free slots, and requests that are queued already would wait there to their end. Each is moved once, and only so many
   * at a time as the policy's picture of the others allows.
   */
  public shift (shifter: QueueShifter): void {
    const load = this._context.engine.load()
    if (load.queued === 0) return
    for (const [attemptId, { ask, item, earlierAnswer }] of [...this._pending]) {
      // Once it may have run, handing it back would end it as unknown.
      if (earlierAnswer !== undefined) continue
      const ownWaitMs = load.expectedWaitMs[item.profile.priorityClass]
      if (!shifter.shouldMove(item, ownWaitMs, ask.hops) || this._context.engine.cancel(item.id) !== 'queued') continue
      this._finish(attemptId, { outcome: 'notRun', reason: 'overloaded', detail: 'another scheduler has room', retryAfterMs: 0 })
    }
  }

  /** The answer of an attempt that this process holds, for a repeat of its id or a gateway that lost its link. */
  public async outcomeOf (attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    return await this._answers.outcomeOf(attemptId, waitMs)
  }

  /** Takes a request out of the queue whose caller has gone; what already runs goes on. */
  public cancel (attemptId: string): boolean {
    const pending = this._pending.get(attemptId)
    if (pending === undefined || this._context.engine.cancel(pending.item.id) !== 'queued') return false
    this._finish(attemptId, { outcome: 'notRun', reason: 'cancelled', retryAfterMs: 0 })
    return true
  }

  /** Refuses new work, hands queued work back as not run (gateways try elsewhere) and waits for what runs. */
  public async drain (): Promise<void> {
    this._draining = true
    for (const [attemptId, pending] of [...this._pending]) {
      if (this._context.engine.cancel(pending.item.id) === 'queued') this._finish(attemptId, this._drainingAnswer('notRun'))
    }
    while (this._pending.size > 0) {
      await new Promise<void>((resolve) => { this._context.timers.after(DRAINING_RETRY_MS / 10, resolve) })
    }
  }

  /** Carries out what the engine decides, until it has nothing more to decide now. */
  public pump (): void {
    for (let decision = this._context.engine.next(); decision !== undefined; decision = this._context.engine.next()) {
      this._carryOut(decision)
    }
    this._scheduleWake()
  }

  private _carryOut (decision: EngineDecision): void {
    if (decision.type === 'place') {
      const attemptId = attemptOf(decision.item.id)
      const pending = this._pending.get(attemptId)
      if (pending === undefined) this._context.engine.finished(decision.item.id, 'stopped', 0)
      else this._dispatcher.dispatch(pending, decision.item, decision.hostId)
    }
    if (decision.type === 'giveUp') {
      this._finish(attemptOf(decision.item.id), {
        outcome: 'notRun', reason: decision.reason, retryAfterMs: decision.retryAfterMs
      })
    }
  }

  private _scheduleWake (): void {
    this._wake?.dispose()
    const delayMs = this._context.engine.nextWakeAtMs() - this._context.clock.nowMs()
    this._wake = Number.isFinite(delayMs) ? this._context.timers.after(Math.max(0, delayMs), () => this.pump()) : undefined
  }

  private _refuseEarly (ask: ISubmitRequest): IFinalAnswer | undefined {
    if (this._draining) return this._drainingAnswer('refused')
    if (ask.remainingMs <= 0) return { outcome: 'notRun', reason: 'deadline', retryAfterMs: 0 }
    return undefined
  }

  /**
   * A non-idempotent request is dispatched only under a claim that is durable in the store. Without it, the same id
   * sent through two gateways, or again after its scheduler died, would run twice: one sees a second broadcast.
   */
  private async _claimAndQueue (arrival: IArrival): Promise<IFinalAnswer> {
    const { ask } = arrival
    this._answers.open(ask.attemptId)
    const claim = this._claimRequest(ask)
    const reply = await this._context.claims.claim(claim, Math.min(ask.remainingMs, MAX_CLAIM_WAIT_MS))
    if (reply.decision === 'duplicate') {
      return this._close(ask, await this._context.claims.outcomeOf(reply.holder, reply.attemptId, ask.remainingMs))
    }
    // It may stand all the same, and would keep every repeat of the id from running.
    if (reply.decision === 'unavailable') this._context.claims.releaseLater(claim)
    if (reply.decision !== 'granted') return this._close(ask, this._claimRefused(reply))
    const answer = await this._queue(arrival)
    if (answer.outcome === 'notRun' || answer.outcome === 'refused') await this._context.claims.release(claim)
    return this._close(ask, answer)
  }

  private _close (ask: ISubmitRequest, answer: IFinalAnswer): IFinalAnswer {
    this._answers.close(ask.attemptId, answer)
    return answer
  }

  private _claimRefused (reply: { readonly decision: string, readonly retryAfterMs?: number }): IFinalAnswer {
    if (reply.decision === 'blocked') return { outcome: 'notRun', reason: 'linkLost', retryAfterMs: DRAINING_RETRY_MS }
    return this._refused('storeUnavailable', 'claims of non-idempotent requests cannot be stored now', reply.retryAfterMs ?? DRAINING_RETRY_MS)
  }

  private _claimRequest (ask: ISubmitRequest): IClaimRequest {
    const claimKey = this._context.hasher.claimKey(ask.caller, ask.requestId)
    const holder = holderName(this._context.self)
    return { idShard: this._context.hasher.idShard(claimKey), claimKey, attemptId: ask.attemptId, holder, ageMs: ask.ageMs }
  }

  private async _queue (arrival: IArrival): Promise<IFinalAnswer> {
    const item = this._toItem(arrival)
    const decision = this._context.engine.admit(item)
    if (!decision.admitted) return this._refused(decision.reason, decision.detail, decision.retryAfterMs)
    return await new Promise<IFinalAnswer>((resolve) => {
      this._pending.set(arrival.ask.attemptId, { ...arrival, item, answer: resolve })
      this.pump()
    })
  }

  private _toItem ({ ask, profile, team, arrivedAtMs, deadlineAtMs }: IArrival): IWorkItem {
    return {
      id: ask.attemptId,
      caller: ask.caller,
      service: ask.service,
      team,
      profile: this._runnerProfile(profile),
      resources: SLOT,
      arrivedAtMs,
      deadlineAtMs,
      idempotent: ask.idempotent
    }
  }

  /** A call to a runner can't be stopped half-way, so it is never preempted, whatever its profile says of tasks. */
  private _runnerProfile (profile: IProfile): IProfile {
    let derived = this._runnerProfiles.get(profile)
    if (derived === undefined) {
      derived = { ...profile, preemptible: false }
      this._runnerProfiles.set(profile, derived)
    }
    return derived
  }

  private _requeue (item: IWorkItem): void {
    const attemptId = attemptOf(item.id)
    const pending = this._pending.get(attemptId)
    if (pending === undefined) return
    pending.item = item
    const decision = this._draining ? undefined : this._context.engine.admit(item)
    if (decision === undefined) this._finish(attemptId, this._drainingAnswer('notRun'))
    else if (!decision.admitted) {
      this._finish(attemptId, { outcome: 'notRun', reason: decision.reason, detail: decision.detail, retryAfterMs: decision.retryAfterMs })
    }
    this.pump()
  }

  private _finish (attemptId: string, answer: IFinalAnswer): void {
    const pending = this._pending.get(attemptId)
    if (pending === undefined) return
    this._pending.delete(attemptId)
    const truthful = answer.outcome === 'notRun' ? pending.earlierAnswer ?? answer : answer
    pending.answer({ ...truthful, profileRevision: pending.profileRevision })
  }

  private _refused (reason: OutcomeReason, detail: string, retryAfterMs: number): IFinalAnswer {
    return { outcome: 'refused', reason, detail, retryAfterMs }
  }

  private _drainingAnswer (outcome: 'refused' | 'notRun'): IFinalAnswer {
    return { outcome, reason: 'draining', detail: 'this scheduler is stopping', retryAfterMs: DRAINING_RETRY_MS }
  }
}

/** Ends the attempt's part of an item id: a dispatch to a further host is `attemptId/2`. */
const DISPATCH_SEPARATOR = '/'

function attemptOf (itemId: string): string {
  const end = itemId.indexOf(DISPATCH_SEPARATOR)
  return end < 0 ? itemId : itemId.slice(0, end)
}
