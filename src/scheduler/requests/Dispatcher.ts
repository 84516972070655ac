/**
 * Sends placed requests to their runners and decides how each call ends: with its answer, a retry on another host, or an
 * unknown outcome.
 */

import { RetryBudget } from '../../common/policy/RetryBudget.js'
import { AmbiguousError, FencedError, RefusedError } from '../../common/Errors.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { IFinalAnswer } from '../../common/Types.js'
import type { IFence, IHostRecord, IRunnerResponse, UpstreamError } from '../../runtime/Types.js'
import type { IPendingRequest, IRequestContext } from './Types.js'

const FIRST_SERVER_ERROR_STATUS = 500
/** Refusals by hosts (no slot after a takeover, leaving) after which a request is answered as not run. */
const MAX_REFUSALS = 4
const REFUSED_RETRY_MS = 500

export interface IDispatchEvents {
  /** An attempt has its final answer. */
  readonly onAnswer: (attemptId: string, answer: IFinalAnswer) => void
  /** The request did not run or is idempotent: queue this new item for it. */
  readonly onRequeue: (item: IWorkItem) => void
  /** A slot has become free. */
  readonly onSlotFree: () => void
}

interface IDispatch {
  readonly pending: IPendingRequest
  readonly item: IWorkItem
  readonly hostId: string
  readonly startedAtMs: number
}

export class Dispatcher {
  /** Retry budgets by service, so that a failing service doesn't use up the retries of the others. */
  private readonly _budgets = new Map<string, RetryBudget>()

  public constructor (private readonly _context: IRequestContext, private readonly _events: IDispatchEvents) {}

  /** Sends the request to its runner and handles the result; the promise never rejects. */
  public async dispatch (pending: IPendingRequest, item: IWorkItem, hostId: string): Promise<void> {
    const target = this._context.runners.targetOf(hostId)
    const dispatch: IDispatch = { pending, item, hostId, startedAtMs: this._context.clock.nowMs() }
    if (target === undefined) {
      this._handleNotRun(dispatch)
      return
    }
    const result = await this._sendToRunner(dispatch, target)
    result.match((answer) => this._handleAnswer(dispatch, answer), (error) => this._handleError(dispatch, error))
  }

  private _sendToRunner (
    dispatch: IDispatch, target: { readonly host: IHostRecord, readonly fence: IFence }
  ): ReturnType<typeof this._context.client.run> {
    const { request, deadlineAtMs } = dispatch.pending
    return this._context.client.run(target.host, {
      fence: target.fence,
      service: request.service,
      caller: request.caller,
      requestId: request.requestId,
      attemptId: dispatch.item.id,
      timeoutMs: Math.max(1, deadlineAtMs - dispatch.startedAtMs),
      contentType: request.contentType,
      body: request.body
    })
  }

  private _handleAnswer (dispatch: IDispatch, answer: IRunnerResponse): void {
    const failed = answer.status >= FIRST_SERVER_ERROR_STATUS
    this._context.engine.recordEnd(dispatch.item.id, failed ? 'failed' : 'succeeded', this._serviceMsOf(dispatch))
    if (!failed) this._budgetOf(dispatch.pending.request.service).recordSuccess()
    this._retryOrAnswer(dispatch, this._doneAnswer(dispatch, answer), failed)
    this._events.onSlotFree()
  }

  private _handleError (dispatch: IDispatch, error: UpstreamError): void {
    this._context.log.warn('request.upstreamFailed', {
      requestId: dispatch.pending.request.requestId, attemptId: dispatch.item.id, step: error.step, peer: dispatch.hostId, error: error.name
    })
    if (error instanceof AmbiguousError) this._handleAmbiguous(dispatch)
    else {
      if (error instanceof FencedError) this._context.runners.reportFenced(dispatch.hostId, error.currentEpoch)
      else if (error instanceof RefusedError && error.message.includes('leaving')) this._context.runners.markLeaving(dispatch.hostId)
      this._context.engine.recordEnd(dispatch.item.id, 'refused', 0)
      this._handleNotRun(dispatch)
    }
    this._events.onSlotFree()
  }

  /** Handles a call that may have run: only idempotent requests are retried, and the slot stays taken until the runner reports it free. */
  private _handleAmbiguous (dispatch: IDispatch): void {
    this._context.runners.holdSlot(dispatch.hostId, dispatch.item.id, dispatch.item.id)
    const expired = this._context.clock.nowMs() >= dispatch.pending.deadlineAtMs
    this._retryOrAnswer(dispatch, {
      outcome: 'unknown', reason: expired ? 'upstreamTimeout' : 'upstreamCut', upstream: dispatch.hostId, waitMs: this._waitMsOf(dispatch)
    }, true)
  }

  private _retryOrAnswer (dispatch: IDispatch, answer: IFinalAnswer, failed: boolean): void {
    dispatch.pending.earlierAnswer = answer
    if (failed && this._canRetry(dispatch)) this._requeue(dispatch)
    else this._events.onAnswer(dispatch.pending.request.attemptId, answer)
  }

  /** Handles a call that certainly didn't run: every request, idempotent or not, may go to another host. */
  private _handleNotRun (dispatch: IDispatch): void {
    const refusals = dispatch.item.avoidHostIds?.length ?? 0
    if (refusals < MAX_REFUSALS && this._context.clock.nowMs() < dispatch.pending.deadlineAtMs) this._requeue(dispatch)
    else {
      this._events.onAnswer(dispatch.pending.request.attemptId, {
        outcome: 'notRun', reason: 'upstreamRefused', retryAfterMs: REFUSED_RETRY_MS
      })
    }
  }

  private _canRetry (dispatch: IDispatch): boolean {
    const { request, deadlineAtMs } = dispatch.pending
    if (!request.idempotent || this._context.clock.nowMs() >= deadlineAtMs) return false
    const attempts = (dispatch.item.avoidHostIds?.length ?? 0) + 1
    return this._budgetOf(request.service).trySpend(dispatch.item, attempts).isOk()
  }

  private _budgetOf (service: string): RetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new RetryBudget()
    this._budgets.set(service, budget)
    return budget
  }

  private _requeue (dispatch: IDispatch): void {
    const avoidHostIds = [...(dispatch.item.avoidHostIds ?? []), dispatch.hostId]
    const id = `${dispatch.pending.request.attemptId}/${avoidHostIds.length + 1}`
    this._events.onRequeue({ ...dispatch.item, id, avoidHostIds })
  }

  private _doneAnswer (dispatch: IDispatch, answer: IRunnerResponse): IFinalAnswer {
    return {
      outcome: 'done',
      status: answer.status,
      contentType: answer.contentType,
      body: answer.body,
      upstream: dispatch.hostId,
      waitMs: this._waitMsOf(dispatch),
      serviceMs: this._serviceMsOf(dispatch)
    }
  }

  private _waitMsOf (dispatch: IDispatch): number {
    return dispatch.startedAtMs - dispatch.pending.arrivedAtMs
  }

  private _serviceMsOf (dispatch: IDispatch): number {
    return this._context.clock.nowMs() - dispatch.startedAtMs
  }
}
