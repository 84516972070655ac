/**
 * Whether work may wait here: by the wait to expect against its deadline, from the drain rate that was measured.
 */

import { DrainRate } from './DrainRate.js'
import { ReturnBook } from './ReturnBook.js'

import type { IClock, IRandom, MonotonicMs, OutcomeReason } from '../Types.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { AdmitDecision, IWorkItem } from './Types.js'

/** The most items waiting in one engine, for memory: about 500 bytes each. */
const MAX_QUEUED = 200_000

/** While the wait is below this share of what the deadline allows, newcomers are taken in whatever was promised to others. */
const UNPROMISED_SHARE = 0.3

/** Newcomers beyond that are taken in as long as the wait with all promises stays below this share. */
const NEWCOMER_SHARE = 0.7

/** Those who come back find room as long as the wait stays below this share: the rest covers an error in the rate. */
const RETURNER_SHARE = 0.9

/** Times to come back: not so soon that refusing costs more than running, not so late that callers forget. */
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 600_000

/** When nothing is known about when it will be better. */
const UNKNOWN_RETRY_AFTER_MS = 1_000

/** Times to come back are spread by up to this share, so that the refused don't come back together. */
const RETRY_SPREAD = 0.3

/** A drain rate below this is taken as this, so that a stalled profile gives a long wait and no division by zero. */
const LEAST_DRAIN_PER_MS = 1e-6

export interface IAdmissionRequest {
  readonly item: IWorkItem
  readonly queue: ProfileQueue
  readonly costMs: number
  /** How long it may wait and still end in time, in milliseconds. */
  readonly slackMs: number
  readonly totalQueued: number
  /** The share of the capacity that the profile could have now, for the time before its rate is measured. */
  readonly priorRate: number
}

interface IProfileState {
  readonly rate: DrainRate
  readonly promised: ReturnBook
}

export class Admission {
  private readonly _states = new Map<string, IProfileState>()

  public constructor (private readonly _clock: IClock, private readonly _random: IRandom) {}

  /**
   * Takes the work in or refuses it at once.
   *
   * Made for demand at twice the capacity and more. Taking everything in makes each wait longer than its deadline: one
   * sees hosts busy with work whose callers have left, and no answer in time. Refusing by the expected wait keeps what is
   * taken in within its deadline. What is refused gets a time by which the backlog, with all earlier promises, will have
   * drained, and the room then is kept for it: without that, newcomers take it and the same caller is refused again and
   * again. A caller's own backlog counts rather than that of a caller who floods the profile.
   */
  public decide (request: IAdmissionRequest): AdmitDecision {
    const nowMs = this._clock.nowMs()
    const state = this._state(request.queue.profile.name)
    state.promised.expire(nowMs)
    const isReturner = state.promised.take(promiseKey(request.item), nowMs)
    if (request.totalQueued >= MAX_QUEUED) return this.refuse('overloaded', 'the queue is full')
    const perMs = Math.max(state.rate.perMs(request.priorRate, nowMs), LEAST_DRAIN_PER_MS)
    const waitMs = this._waitMs(request, perMs, undefined)
    if (isReturner && waitMs <= RETURNER_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    if (waitMs <= UNPROMISED_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    const promisedWaitMs = this._waitMs(request, perMs, state.promised)
    if (promisedWaitMs <= NEWCOMER_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    return this._refuseLate(request, state, promisedWaitMs, nowMs)
  }

  public refuse (reason: OutcomeReason, detail: string): AdmitDecision {
    return { admitted: false, reason, detail, retryAfterMs: this.spread(UNKNOWN_RETRY_AFTER_MS) }
  }

  /** The wait that the profile's last item would have now. */
  public expectedWaitMs (queue: ProfileQueue, priorRate: number): number {
    if (queue.queuedCount === 0) return 0
    const perMs = this._state(queue.profile.name).rate.perMs(priorRate, this._clock.nowMs())
    return queue.queuedCostMs / Math.max(perMs, LEAST_DRAIN_PER_MS)
  }

  public noteQueued (queue: ProfileQueue): void {
    if (queue.queuedCount === 1) this._state(queue.profile.name).rate.startBacklog(this._clock.nowMs())
  }

  public noteStarted (queue: ProfileQueue, costMs: number): void {
    const { rate } = this._state(queue.profile.name)
    rate.noteStarted(costMs, this._clock.nowMs())
    if (queue.queuedCount === 0) rate.endBacklog()
  }

  public spread (delayMs: number): number {
    const bounded = Math.min(Math.max(delayMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Math.ceil(bounded * (1 + RETRY_SPREAD * this._random.next()))
  }

  private _refuseLate (request: IAdmissionRequest, state: IProfileState, waitMs: number, nowMs: MonotonicMs): AdmitDecision {
    const { item, costMs, slackMs } = request
    const retryAfterMs = this.spread(waitMs - UNPROMISED_SHARE * Math.max(slackMs, 0))
    state.promised.add(promiseKey(item), item.caller, costMs, nowMs + retryAfterMs)
    const detail = `expected wait ${Math.round(waitMs)} ms, ${Math.max(0, Math.round(slackMs))} ms allowed`
    return { admitted: false, reason: 'overloaded', detail, retryAfterMs }
  }

  /** The lesser of the whole queue's wait and the caller's own, were the profile shared evenly among its callers. */
  private _waitMs (request: IAdmissionRequest, perMs: number, promised: ReturnBook | undefined): number {
    const { queue, item, costMs } = request
    const share = queue.caller(item.caller)
    const allMs = queue.queuedCostMs + (promised?.costMs ?? 0)
    const ownMs = costMs + (share?.queuedCostMs ?? 0) + (promised?.costOf(item.caller) ?? 0)
    const callers = queue.activeCallers + (share === undefined || share.queuedCount === 0 ? 1 : 0)
    return Math.min(allMs, ownMs * callers) / perMs
  }

  private _state (profile: string): IProfileState {
    const known = this._states.get(profile)
    if (known !== undefined) return known
    const state: IProfileState = { rate: new DrainRate(), promised: new ReturnBook() }
    this._states.set(profile, state)
    return state
  }
}

/** Attempts of one request share its id up to the number sign, so that a promise holds for the next attempt too. */
function promiseKey (item: IWorkItem): string {
  const end = item.id.indexOf('#')
  return end < 0 ? item.id : item.id.slice(0, end)
}
