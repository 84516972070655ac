/**
 * Sends one placed request to its runner and decides what its end means: an answer, another host, or unknown.
 */

import { RetryBudget } from '../../common/policy/RetryBudget.js'
import { AmbiguousError, FencedError, RefusedError } from '../../common/Errors.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { IFinalAnswer } from '../../common/Types.js'
import type { IFence, IHostRecord, IRunnerAnswer, UpstreamError } from '../../runtime/Types.js'
import type { IPendingRequest, IRequestContext } from './Types.js'

const FIRST_SERVER_ERROR_STATUS = 500
/** Refusals by hosts (no slot after a takeover, leaving) that one request goes through before it is given back. */
const MAX_REFUSALS = 4
const REFUSED_RETRY_MS = 500

export interface IDispatchEvents {
  /** The final answer of an attempt. */
  readonly onAnswer: (attemptId: string, answer: IFinalAnswer) => void
  /** It did not run, or is idempotent: queue this item anew. */
  readonly onRequeue: (item: IWorkItem) => void
  /** A place came free. */
  readonly onPlaceFree: () => void
}

interface IDispatch {
  readonly pending: IPendingRequest
  readonly item: IWorkItem
  readonly hostId: string
  readonly startedAtMs: number
}

export class Dispatcher {
  /** By service, so that one that fails doesn't use up the retries of the others. */
  private readonly _budgets = new Map<string, RetryBudget>()

  public constructor (private readonly _context: IRequestContext, private readonly _events: IDispatchEvents) {}

  /** Never rejects. */
  public async dispatch (pending: IPendingRequest, item: IWorkItem, hostId: string): Promise<void> {
    const target = this._context.runners.target(hostId)
    const dispatch: IDispatch = { pending, item, hostId, startedAtMs: this._context.clock.nowMs() }
    if (target === undefined) {
      this._notRun(dispatch)
      return
    }
    const result = await this._run(dispatch, target)
    result.match((answer) => this._answered(dispatch, answer), (error) => this._failed(dispatch, error))
  }

  private _run (dispatch: IDispatch, target: { readonly host: IHostRecord, readonly fence: IFence }): ReturnType<typeof this._context.client.run> {
    const { ask, deadlineAtMs } = dispatch.pending
    return this._context.client.run(target.host, {
      fence: target.fence,
      service: ask.service,
      caller: ask.caller,
      requestId: ask.requestId,
      attemptId: dispatch.item.id,
      timeoutMs: Math.max(1, deadlineAtMs - dispatch.startedAtMs),
      contentType: ask.contentType,
      body: ask.body
    })
  }

  private _answered (dispatch: IDispatch, answer: IRunnerAnswer): void {
    const failed = answer.status >= FIRST_SERVER_ERROR_STATUS
    this._context.engine.finished(dispatch.item.id, failed ? 'failed' : 'succeeded', this._serviceMs(dispatch))
    if (!failed) this._budget(dispatch.pending.ask.service).noteSuccess()
    this._retryOrAnswer(dispatch, this._done(dispatch, answer), failed)
    this._events.onPlaceFree()
  }

  private _failed (dispatch: IDispatch, error: UpstreamError): void {
    this._context.log.warn('request.upstreamFailed', {
      requestId: dispatch.pending.ask.requestId, attemptId: dispatch.item.id, step: error.step, peer: dispatch.hostId, error: error.name
    })
    if (error instanceof AmbiguousError) this._ambiguous(dispatch)
    else {
      if (error instanceof FencedError) this._context.runners.noteFenced(dispatch.hostId, error.currentEpoch)
      else if (error instanceof RefusedError && error.message.includes('leaving')) this._context.runners.noteLeaving(dispatch.hostId)
      this._context.engine.finished(dispatch.item.id, 'refused', 0)
      this._notRun(dispatch)
    }
    this._events.onPlaceFree()
  }

  /** It may have run. Only idempotent work is sent again; the slot stays counted until the runner says it is free. */
  private _ambiguous (dispatch: IDispatch): void {
    this._context.runners.settleLater(dispatch.hostId, dispatch.item.id, dispatch.item.id)
    const expired = this._context.clock.nowMs() >= dispatch.pending.deadlineAtMs
    this._retryOrAnswer(dispatch, {
      outcome: 'unknown', reason: expired ? 'upstreamTimeout' : 'upstreamCut', upstream: dispatch.hostId, waitMs: this._waitMs(dispatch)
    }, true)
  }

  private _retryOrAnswer (dispatch: IDispatch, answer: IFinalAnswer, failed: boolean): void {
    dispatch.pending.earlierAnswer = answer
    if (failed && this._mayRetry(dispatch)) this._requeue(dispatch)
    else this._events.onAnswer(dispatch.pending.ask.attemptId, answer)
  }

  /** Provably not run: any request may go to another host. */
  private _notRun (dispatch: IDispatch): void {
    const refusals = dispatch.item.avoidHostIds?.length ?? 0
    if (refusals < MAX_REFUSALS && this._context.clock.nowMs() < dispatch.pending.deadlineAtMs) this._requeue(dispatch)
    else {
      this._events.onAnswer(dispatch.pending.ask.attemptId, {
        outcome: 'notRun', reason: 'upstreamRefused', retryAfterMs: REFUSED_RETRY_MS
      })
    }
  }

  private _mayRetry (dispatch: IDispatch): boolean {
    const { ask, deadlineAtMs } = dispatch.pending
    if (!ask.idempotent || this._context.clock.nowMs() >= deadlineAtMs) return false
    const attempts = (dispatch.item.avoidHostIds?.length ?? 0) + 1
    return this._budget(ask.service).tryTake(dispatch.item, attempts).isOk()
  }

  private _budget (service: string): RetryBudget {
    const known = this._budgets.get(service)
    if (known !== undefined) return known
    const budget = new RetryBudget()
    this._budgets.set(service, budget)
    return budget
  }

  private _requeue (dispatch: IDispatch): void {
    const avoidHostIds = [...(dispatch.item.avoidHostIds ?? []), dispatch.hostId]
    const id = `${dispatch.pending.ask.attemptId}/${avoidHostIds.length + 1}`
    this._events.onRequeue({ ...dispatch.item, id, avoidHostIds })
  }

  private _done (dispatch: IDispatch, answer: IRunnerAnswer): IFinalAnswer {
    return {
      outcome: 'done',
      status: answer.status,
      contentType: answer.contentType,
      body: answer.body,
      upstream: dispatch.hostId,
      waitMs: this._waitMs(dispatch),
      serviceMs: this._serviceMs(dispatch)
    }
  }

  private _waitMs (dispatch: IDispatch): number {
    return dispatch.startedAtMs - dispatch.pending.arrivedAtMs
  }

  private _serviceMs (dispatch: IDispatch): number {
    return this._context.clock.nowMs() - dispatch.startedAtMs
  }
}
