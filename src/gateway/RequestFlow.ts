/**
 * Carries one request from a gateway to a scheduler and comes back with its one final answer.
 */

import { AmbiguousError } from '../common/Errors.js'
import { OutcomeInquiry } from './OutcomeInquiry.js'

import type { IFinalAnswer } from '../common/Types.js'
import type { PeerError } from '../peer/Types.js'
import type { IFlowContext, IRoutedRequest } from './Types.js'

/** The reply of a scheduler may come this much after the deadline that it was given: it answers at the deadline. */
const REPLY_GRACE_MS = 250
const CANCEL_TIMEOUT_MS = 1000
/** Schedulers tried for one request; each further one costs a link's round trip. */
const MAX_SCHEDULERS_TRIED = 3
/** When nobody can serve, routes change within about a second; the refused are spread over two. */
const NO_UPSTREAM_RETRY_MS = 1000

/** The refusals that another scheduler may not share; nothing has run. */
const RETRIABLE_REASONS = new Set(['overloaded', 'noUpstream', 'draining', 'upstreamRefused', 'linkLost'])

export class RequestFlow {
  private readonly _inquiry: OutcomeInquiry

  public constructor (private readonly _context: IFlowContext) {
    this._inquiry = new OutcomeInquiry(_context)
  }

  /** Never rejects; gives the final answer as soon as it is known. `gone` fires when its caller has hung up. */
  public async run (request: IRoutedRequest, gone?: AbortSignal): Promise<IFinalAnswer> {
    const excluded = new Set<string>()
    let answer = this._noUpstream(request)
    while (excluded.size < MAX_SCHEDULERS_TRIED) {
      const schedulerId = this._context.router.choose({ profile: request.profile, excluded })
      if (schedulerId === undefined) break
      excluded.add(schedulerId)
      answer = notUnsaid(answer, await this._attempt(request, schedulerId, excluded.size - 1, gone))
      if (gone?.aborted === true) break
      if (!this._mayTryAnother(request, answer)) break
    }
    return answer
  }

  private async _attempt (request: IRoutedRequest, schedulerId: string, hops: number, gone?: AbortSignal): Promise<IFinalAnswer> {
    const link = this._context.hub.link(schedulerId)
    const remainingMs = request.deadlineAtMs - this._context.clock.nowMs()
    if (link === undefined) return this._notRun(request, 'linkLost')
    if (remainingMs <= 0) return this._notRun(request, 'deadline')
    const attemptId = this._context.attemptIds.next()
    this._context.router.noteSent(schedulerId)
    // Queued work of a caller who has gone would keep others waiting; what already runs goes on.
    const cancel = (): void => { link.call('cancel', { attemptId }, CANCEL_TIMEOUT_MS) }
    gone?.addEventListener('abort', cancel, { once: true })
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
    gone?.removeEventListener('abort', cancel)
    return reply.match(async (answer) => answer, async (error) => await this._failed(request, schedulerId, attemptId, error))
  }

  /**
   * The link failed or the scheduler fell silent. What was never sent did not run. What was sent may run: an
   * idempotent request may go out again, any other only after an inquiry has settled what became of it.
   */
  private async _failed (request: IRoutedRequest, schedulerId: string, attemptId: string, error: PeerError): Promise<IFinalAnswer> {
    this._context.log.warn('request.linkFailed', { requestId: request.requestId, step: error.step, peer: schedulerId, attemptId })
    if (!(error instanceof AmbiguousError)) return this._notRun(request, 'linkLost')
    if (!request.idempotent) return await this._inquiry.settle(request, attemptId, schedulerId)
    return { ...this._notRun(request, 'linkLost'), outcome: 'unknown' }
  }

  private _mayTryAnother (request: IRoutedRequest, answer: IFinalAnswer): boolean {
    if (answer.outcome === 'done' || answer.reason === undefined) return false
    if (answer.outcome === 'unknown' && !request.idempotent) return false
    if (request.deadlineAtMs <= this._context.clock.nowMs()) return false
    return RETRIABLE_REASONS.has(answer.reason)
  }

  private _noUpstream (request: IRoutedRequest): IFinalAnswer {
    return { ...this._notRun(request, 'noUpstream'), outcome: 'refused', detail: 'no scheduler with upstreams can be reached' }
  }

  private _notRun (request: IRoutedRequest, reason: 'linkLost' | 'deadline' | 'noUpstream'): IFinalAnswer {
    return {
      outcome: 'notRun',
      reason,
      retryAfterMs: Math.round(NO_UPSTREAM_RETRY_MS * (1 + this._context.random.next())),
      profileRevision: request.profileRevision
    }
  }
}

/** After an attempt that may have run, a later one that did not run leaves the outcome unknown. */
function notUnsaid (earlier: IFinalAnswer, answer: IFinalAnswer): IFinalAnswer {
  return earlier.outcome === 'unknown' && answer.outcome !== 'done' ? earlier : answer
}
