/**
 * Accepts requests from gateways, has the decision engine admit and place them, and answers each exactly once.
 */

import { formatHolder } from '../../common/requests/ClaimHolder.js'
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
/** A takeover of an id shard takes a few seconds; a request with an earlier deadline stops waiting at its deadline. */
const MAX_CLAIM_WAIT_MS = 3000
/** When a peer or this process stops, other schedulers take over within about a second. */
const DRAINING_RETRY_MS = 200
const UNKNOWN_SERVICE_RETRY_MS = 1000
const OVERLOADED_RETRY_MS = 500

export class RequestService {
  private readonly _pending = new Map<string, IPendingRequest>()
  private readonly _answers: AnswerCache
  private readonly _limit: InFlightLimit
  private readonly _dispatcher: Dispatcher
  private readonly _runnerProfiles = new WeakMap<IProfile, IProfile>()
  private _wakeTimer: IDisposable | undefined
  private _isDraining = false

  public constructor (private readonly _context: IRequestContext) {
    this._limit = new InFlightLimit(_context.bounds)
    this._answers = new AnswerCache(_context.clock, _context.timers)
    this._dispatcher = new Dispatcher(_context, {
      onAnswer: (attemptId, answer) => this._finish(attemptId, answer),
      onRequeue: (item) => this._requeue(item),
      onSlotFree: () => this.carryOutDecisions()
    })
    _context.runners.onChange(() => this.carryOutDecisions())
  }

  public get inFlight (): number {
    return this._pending.size
  }

  /** Processes a request and resolves with its final answer. */
  public async submit (request: ISubmitRequest): Promise<IFinalAnswer> {
    const permit = this._limit.reserve(request.body.byteLength)
    if (permit.isErr()) return this._refusedAnswer('overloaded', `too many ${permit.error} in flight`, OVERLOADED_RETRY_MS)
    try {
      return await this._submit(request)
    } finally {
      permit.value()
    }
  }

  private async _submit (request: ISubmitRequest): Promise<IFinalAnswer> {
    const refusal = this._refuseEarly(request)
    if (refusal !== undefined) return refusal
    const service = this._context.config.service(request.service)
    const found = service === undefined ? undefined : this._context.config.profile(service.profile)
    if (service === undefined || found === undefined) {
      return this._refusedAnswer('internal', 'this scheduler does not know the service yet', UNKNOWN_SERVICE_RETRY_MS)
    }
    const arrivedAtMs = this._context.clock.nowMs()
    const { profile, revision: profileRevision } = found
    const arrival = { request, profile, profileRevision, team: service.team, arrivedAtMs, deadlineAtMs: arrivedAtMs + request.remainingMs }
    const answer = request.idempotent ? await this._queueRequest(arrival) : await this._claimAndQueue(arrival)
    return { ...answer, region: this._context.self.region, profileRevision: answer.profileRevision ?? profileRevision }
  }

  /**
   * Hands back queued requests that would start sooner at another scheduler.
   *
   * If a burst arrives before the gateways have this scheduler's next load summary, its queue grows while other schedulers
   * in the region have free slots, and the queued requests would wait here until they run or expire. Each request is moved
   * at most once, and only as many at a time as the policy allows by the other schedulers' summaries.
   */
  public shiftQueued (shifter: QueueShifter): void {
    const load = this._context.engine.load()
    if (load.queued === 0) return
    for (const [attemptId, { request, item, earlierAnswer }] of [...this._pending]) {
      // A request that may have run would end as unknown if it were handed back.
      if (earlierAnswer !== undefined) continue
      const ownWaitMs = load.expectedWaitMs[item.profile.priorityClass]
      if (!shifter.shouldMove(item, ownWaitMs, request.hops) || this._context.engine.cancel(item.id) !== 'queued') continue
      this._finish(attemptId, { outcome: 'notRun', reason: 'overloaded', detail: 'another scheduler has free slots', retryAfterMs: 0 })
    }
  }

  /** The answer of an attempt that this process holds, for a repeated request or for a gateway whose link was lost. */
  public async outcomeOf (attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    return await this._answers.outcomeOf(attemptId, waitMs)
  }

  /** Removes a request from the queue because its caller has gone; a request that already runs continues. */
  public cancel (attemptId: string): boolean {
    const pending = this._pending.get(attemptId)
    if (pending === undefined || this._context.engine.cancel(pending.item.id) !== 'queued') return false
    this._finish(attemptId, { outcome: 'notRun', reason: 'cancelled', retryAfterMs: 0 })
    return true
  }

  /** Refuses new requests, hands queued ones back as not run (gateways send them elsewhere), and waits for running ones. */
  public async drain (): Promise<void> {
    this._isDraining = true
    for (const [attemptId, pending] of [...this._pending]) {
      if (this._context.engine.cancel(pending.item.id) === 'queued') this._finish(attemptId, this._drainingAnswer('notRun'))
    }
    while (this._pending.size > 0) {
      await new Promise<void>((resolve) => { this._context.timers.after(DRAINING_RETRY_MS / 10, resolve) })
    }
  }

  /** Carries out the engine's decisions until it has none left for now. */
  public carryOutDecisions (): void {
    for (let decision = this._context.engine.next(); decision !== undefined; decision = this._context.engine.next()) {
      this._carryOut(decision)
    }
    this._scheduleWake()
  }

  private _carryOut (decision: EngineDecision): void {
    if (decision.type === 'place') {
      const attemptId = attemptOf(decision.item.id)
      const pending = this._pending.get(attemptId)
      if (pending === undefined) this._context.engine.recordEnd(decision.item.id, 'stopped', 0)
      else this._dispatcher.dispatch(pending, decision.item, decision.hostId)
    }
    if (decision.type === 'giveUp') {
      this._finish(attemptOf(decision.item.id), {
        outcome: 'notRun', reason: decision.reason, retryAfterMs: decision.retryAfterMs
      })
    }
  }

  private _scheduleWake (): void {
    this._wakeTimer?.dispose()
    const delayMs = this._context.engine.nextWakeAtMs() - this._context.clock.nowMs()
    this._wakeTimer = Number.isFinite(delayMs) ? this._context.timers.after(Math.max(0, delayMs), () => this.carryOutDecisions()) : undefined
  }

  private _refuseEarly (request: ISubmitRequest): IFinalAnswer | undefined {
    if (this._isDraining) return this._drainingAnswer('refused')
    if (request.remainingMs <= 0) return { outcome: 'notRun', reason: 'deadline', retryAfterMs: 0 }
    return undefined
  }

  /**
   * Dispatches a non-idempotent request only under a claim that is durable in the store. Without the claim, a request
   * sent through two gateways, or again after its scheduler died, would run twice, for example as a second broadcast.
   */
  private async _claimAndQueue (arrival: IArrival): Promise<IFinalAnswer> {
    const { request } = arrival
    this._answers.open(request.attemptId)
    const claim = this._claimRequest(request)
    const reply = await this._context.claims.claim(claim, Math.min(request.remainingMs, MAX_CLAIM_WAIT_MS))
    if (reply.decision === 'duplicate') {
      return this._closeAttempt(request, await this._context.claims.outcomeOf(reply.holder, reply.attemptId, request.remainingMs))
    }
    // The claim may be durable all the same, and would keep every repeat of the request from running.
    if (reply.decision === 'unavailable') this._context.claims.releaseLater(claim)
    if (reply.decision !== 'granted') return this._closeAttempt(request, this._claimRefusedAnswer(reply))
    const answer = await this._queueRequest(arrival)
    if (answer.outcome === 'notRun' || answer.outcome === 'refused') await this._context.claims.release(claim)
    return this._closeAttempt(request, answer)
  }

  private _closeAttempt (request: ISubmitRequest, answer: IFinalAnswer): IFinalAnswer {
    this._answers.close(request.attemptId, answer)
    return answer
  }

  private _claimRefusedAnswer (reply: { readonly decision: string, readonly retryAfterMs?: number }): IFinalAnswer {
    if (reply.decision === 'blocked') return { outcome: 'notRun', reason: 'linkLost', retryAfterMs: DRAINING_RETRY_MS }
    return this._refusedAnswer('storeUnavailable', 'claims of non-idempotent requests cannot be stored now', reply.retryAfterMs ?? DRAINING_RETRY_MS)
  }

  private _claimRequest (request: ISubmitRequest): IClaimRequest {
    const claimKey = this._context.hasher.claimKey(request.caller, request.requestId)
    const holder = formatHolder(this._context.self)
    return { idShard: this._context.hasher.idShard(claimKey), claimKey, attemptId: request.attemptId, holder, ageMs: request.ageMs }
  }

  private async _queueRequest (arrival: IArrival): Promise<IFinalAnswer> {
    const item = this._toItem(arrival)
    const decision = this._context.engine.admit(item)
    if (!decision.admitted) return this._refusedAnswer(decision.reason, decision.detail, decision.retryAfterMs)
    return await new Promise<IFinalAnswer>((resolve) => {
      this._pending.set(arrival.request.attemptId, { ...arrival, item, resolve })
      this.carryOutDecisions()
    })
  }

  private _toItem ({ request, profile, team, arrivedAtMs, deadlineAtMs }: IArrival): IWorkItem {
    return {
      id: request.attemptId,
      caller: request.caller,
      service: request.service,
      team,
      profile: this._runnerProfile(profile),
      resources: SLOT,
      arrivedAtMs,
      deadlineAtMs,
      idempotent: request.idempotent
    }
  }

  /** A call to a runner can't be stopped halfway, so it is never preempted, even if its profile allows preemption of tasks. */
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
    const decision = this._isDraining ? undefined : this._context.engine.admit(item)
    if (decision === undefined) this._finish(attemptId, this._drainingAnswer('notRun'))
    else if (!decision.admitted) {
      this._finish(attemptId, { outcome: 'notRun', reason: decision.reason, detail: decision.detail, retryAfterMs: decision.retryAfterMs })
    }
    this.carryOutDecisions()
  }

  private _finish (attemptId: string, answer: IFinalAnswer): void {
    const pending = this._pending.get(attemptId)
    if (pending === undefined) return
    this._pending.delete(attemptId)
    const finalAnswer = answer.outcome === 'notRun' ? pending.earlierAnswer ?? answer : answer
    pending.resolve({ ...finalAnswer, profileRevision: pending.profileRevision })
  }

  private _refusedAnswer (reason: OutcomeReason, detail: string, retryAfterMs: number): IFinalAnswer {
    return { outcome: 'refused', reason, detail, retryAfterMs }
  }

  private _drainingAnswer (outcome: 'refused' | 'notRun'): IFinalAnswer {
    return { outcome, reason: 'draining', detail: 'this scheduler is stopping', retryAfterMs: DRAINING_RETRY_MS }
  }
}

/** Separates the attempt id from the number of the dispatch in an item id: the second dispatch is `attemptId/2`. */
const DISPATCH_SEPARATOR = '/'

function attemptOf (itemId: string): string {
  const end = itemId.indexOf(DISPATCH_SEPARATOR)
  return end < 0 ? itemId : itemId.slice(0, end)
}
