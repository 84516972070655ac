/**
 * Forwards a request from a gateway to schedulers until it has its one final answer.
 */

import { AmbiguousError } from '../common/Errors.js'
import { OutcomeResolver } from './OutcomeResolver.js'

import type { IFinalAnswer } from '../common/Types.js'
import type { PeerError } from '../peer/Types.js'
import type { IForwarderContext, IRoutedRequest } from './Types.js'

/** How long after the deadline a reply is awaited: a scheduler may answer as late as the deadline itself. */
const REPLY_GRACE_MS = 250
const CANCEL_TIMEOUT_MS = 1000
/** How many schedulers are tried for one request; each further one costs a round trip. */
const MAX_SCHEDULERS_TRIED = 3
/**
 * The shortest retry delay when no scheduler can serve the request: routes change within about a second. Jitter raises it
 * to at most two seconds, so that refused callers do not all come back at once.
 */
const NO_UPSTREAM_RETRY_MS = 1000

/** Reasons that may not apply to another scheduler; nothing has run unless the outcome is `unknown`. */
const RETRIABLE_REASONS = new Set(['overloaded', 'noUpstream', 'draining', 'upstreamRefused', 'linkLost'])

export class RequestForwarder {
  private readonly _outcomeResolver: OutcomeResolver

  public constructor (private readonly _context: IForwarderContext) {
    this._outcomeResolver = new OutcomeResolver(_context)
  }

  /** Returns the final answer as soon as it is known; never rejects. `disconnected` aborts when the caller disconnects. */
  public async run (request: IRoutedRequest, disconnected?: AbortSignal): Promise<IFinalAnswer> {
    const excluded = new Set<string>()
    let answer = this._noUpstreamAnswer(request)
    while (excluded.size < MAX_SCHEDULERS_TRIED) {
      const schedulerId = this._context.router.choose({ profile: request.profile, excluded })
      if (schedulerId === undefined) break
      excluded.add(schedulerId)
      answer = keepUnknown(answer, await this._attempt(request, schedulerId, excluded.size - 1, disconnected))
      if (disconnected?.aborted === true) break
      if (!this._mayTryAnother(request, answer)) break
    }
    return answer
  }

  private async _attempt (request: IRoutedRequest, schedulerId: string, hops: number, disconnected?: AbortSignal): Promise<IFinalAnswer> {
    const link = this._context.hub.link(schedulerId)
    const remainingMs = request.deadlineAtMs - this._context.clock.nowMs()
    if (link === undefined) return this._notRunAnswer(request, 'linkLost')
    if (remainingMs <= 0) return this._notRunAnswer(request, 'deadline')
    const attemptId = this._context.attemptIds.next()
    this._context.router.recordSent(schedulerId)
    // A queued request whose caller has disconnected would delay other callers; one that already runs continues.
    const cancel = (): void => { link.call('cancel', { attemptId }, CANCEL_TIMEOUT_MS) }
    disconnected?.addEventListener('abort', cancel, { once: true })
    const reply = await link.call('submit', {
      attemptId,
      service: request.service,
      caller: request.caller,
      requestId: request.requestId,
      idempotent: request.idempotent,
      remainingMs,
      contentType: request.contentType,
      body: request.body,
      ageMs: this._context.clock.nowMs() - request.arrivedAtMs,
      hops
    }, remainingMs + REPLY_GRACE_MS)
    disconnected?.removeEventListener('abort', cancel)
    return reply.match(async (answer) => answer, async (error) => await this._handleFailure(request, schedulerId, attemptId, error))
  }

  /**
   * Handles a failed link or a scheduler that stopped answering. A request that was never sent did not run. A request
   * that was sent may run: if it is idempotent, it may be sent again at once, otherwise only after its outcome has been determined.
   */
  private async _handleFailure (request: IRoutedRequest, schedulerId: string, attemptId: string, error: PeerError): Promise<IFinalAnswer> {
    this._context.log.warn('request.linkFailed', { requestId: request.requestId, step: error.step, peer: schedulerId, attemptId })
    if (!(error instanceof AmbiguousError)) return this._notRunAnswer(request, 'linkLost')
    if (!request.idempotent) return await this._outcomeResolver.resolve(request, attemptId, schedulerId)
    return { ...this._notRunAnswer(request, 'linkLost'), outcome: 'unknown' }
  }

  private _mayTryAnother (request: IRoutedRequest, answer: IFinalAnswer): boolean {
    if (answer.outcome === 'done' || answer.reason === undefined) return false
    if (answer.outcome === 'unknown' && !request.idempotent) return false
    if (request.deadlineAtMs <= this._context.clock.nowMs()) return false
    return RETRIABLE_REASONS.has(answer.reason)
  }

  private _noUpstreamAnswer (request: IRoutedRequest): IFinalAnswer {
    return { ...this._notRunAnswer(request, 'noUpstream'), outcome: 'refused', detail: 'no scheduler with upstreams can be reached' }
  }

  private _notRunAnswer (request: IRoutedRequest, reason: 'linkLost' | 'deadline' | 'noUpstream'): IFinalAnswer {
    return {
      outcome: 'notRun',
      reason,
      retryAfterMs: Math.round(NO_UPSTREAM_RETRY_MS * (1 + this._context.random.next())),
      profileRevision: request.profileRevision
    }
  }
}

/** Keeps the outcome unknown when an earlier attempt may have run and a later one was not done. */
function keepUnknown (earlier: IFinalAnswer, answer: IFinalAnswer): IFinalAnswer {
  return earlier.outcome === 'unknown' && answer.outcome !== 'done' ? earlier : answer
}
