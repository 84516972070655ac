/**
 * Decides whether work may be queued, by comparing its expected wait at the measured drain rate with its deadline.
 */

import { DrainRate } from './DrainRate.js'
import { RetryPromises } from './RetryPromises.js'

import type { IClock, IRandom, MonotonicMs, OutcomeReason } from '../Types.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { AdmitDecision, IWorkItem } from './Types.js'

/** The most items queued in one engine; limits memory, at about 500 bytes an item. */
const MAX_QUEUED = 200_000

/** Below this share of the allowed wait, first-time work is admitted whatever was promised to refused work. */
const ALWAYS_ADMITTED_SHARE = 0.3

/** Above that, first-time work is admitted while the wait including all promises stays below this share. */
const FIRST_TIME_SHARE = 0.7

/** Returning work is admitted while the wait stays below this share; the rest covers an error in the rate. */
const RETURNING_SHARE = 0.9

/** Bounds of the retry delay: below the minimum, refusing costs more than running; above the maximum, callers forget to return. */
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 600_000

/** The retry delay when nothing is known about when capacity will be available. */
const UNKNOWN_RETRY_AFTER_MS = 1_000

/** Retry delays get random jitter of up to this share, so that refused callers don't return at the same moment. */
const RETRY_JITTER_SHARE = 0.3

/** The lower limit of the drain rate, so that a stalled profile gives a long wait and no division by zero. */
const MIN_DRAIN_PER_MS = 1e-6

export interface IAdmissionRequest {
  readonly item: IWorkItem
  readonly queue: ProfileQueue
  readonly costMs: number
  /** How long the item may wait and still end in time, in milliseconds. */
  readonly slackMs: number
  readonly totalQueued: number
  /** The share of the capacity that the profile could use now; serves as its drain rate until the rate is measured. */
  readonly priorRate: number
}

interface IProfileState {
  readonly rate: DrainRate
  readonly promises: RetryPromises
}

export class Admission {
  private readonly _states = new Map<string, IProfileState>()

  public constructor (private readonly _clock: IClock, private readonly _random: IRandom) {}

  /**
   * Admits the work or refuses it at once.
   *
   * Under demand of twice the capacity and more, admitting everything would make each wait longer than its deadline:
   * hosts would work for callers that have left, and no answer would arrive in time. Refusing by the expected wait
   * keeps the admitted work within its deadline.
   *
   * Refused work gets a retry time by which the backlog, including all earlier promises, will have drained, and the
   * capacity at that time is promised to it. Without a promise, first-time work would use that capacity and the same
   * caller would be refused again and again. A caller's wait is computed from its own backlog, so that one caller that
   * floods the profile doesn't delay the others.
   */
  public decide (request: IAdmissionRequest): AdmitDecision {
    const nowMs = this._clock.nowMs()
    const state = this._stateOf(request.queue.profile.name)
    state.promises.removeExpired(nowMs)
    const isReturning = state.promises.redeem(promiseKey(request.item), nowMs)
    if (request.totalQueued >= MAX_QUEUED) return this.refuse('overloaded', 'the queue is full')
    const perMs = Math.max(state.rate.perMs(request.priorRate, nowMs), MIN_DRAIN_PER_MS)
    const waitMs = this._waitMs(request, perMs, undefined)
    if (isReturning && waitMs <= RETURNING_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    if (waitMs <= ALWAYS_ADMITTED_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    const promisedWaitMs = this._waitMs(request, perMs, state.promises)
    if (promisedWaitMs <= FIRST_TIME_SHARE * request.slackMs) return { admitted: true, expectedWaitMs: waitMs }
    return this._refuseWithPromise(request, state, promisedWaitMs, nowMs)
  }

  public refuse (reason: OutcomeReason, detail: string): AdmitDecision {
    return { admitted: false, reason, detail, retryAfterMs: this.withJitter(UNKNOWN_RETRY_AFTER_MS) }
  }

  /** The wait that the last queued item of the profile would have now. */
  public expectedWaitMs (queue: ProfileQueue, priorRate: number): number {
    if (queue.queuedCount === 0) return 0
    const perMs = this._stateOf(queue.profile.name).rate.perMs(priorRate, this._clock.nowMs())
    return queue.queuedCostMs / Math.max(perMs, MIN_DRAIN_PER_MS)
  }

  public recordQueued (queue: ProfileQueue): void {
    if (queue.queuedCount === 1) this._stateOf(queue.profile.name).rate.startBacklog(this._clock.nowMs())
  }

  public recordDequeued (queue: ProfileQueue, costMs: number): void {
    const { rate } = this._stateOf(queue.profile.name)
    rate.recordDrained(costMs, this._clock.nowMs())
    if (queue.queuedCount === 0) rate.endBacklog()
  }

  public withJitter (delayMs: number): number {
    const bounded = Math.min(Math.max(delayMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)
    return Math.ceil(bounded * (1 + RETRY_JITTER_SHARE * this._random.next()))
  }

  private _refuseWithPromise (request: IAdmissionRequest, state: IProfileState, waitMs: number, nowMs: MonotonicMs): AdmitDecision {
    const { item, costMs, slackMs } = request
    const retryAfterMs = this.withJitter(waitMs - ALWAYS_ADMITTED_SHARE * Math.max(slackMs, 0))
    state.promises.add(promiseKey(item), item.caller, costMs, nowMs + retryAfterMs)
    const detail = `expected wait ${Math.round(waitMs)} ms, ${Math.max(0, Math.round(slackMs))} ms allowed`
    return { admitted: false, reason: 'overloaded', detail, retryAfterMs }
  }

  /** The smaller of the whole queue's wait and the caller's own wait if the profile were shared evenly among its callers. */
  private _waitMs (request: IAdmissionRequest, perMs: number, promised: RetryPromises | undefined): number {
    const { queue, item, costMs } = request
    const callerState = queue.caller(item.caller)
    const totalCostMs = queue.queuedCostMs + (promised?.costMs ?? 0)
    const callerCostMs = costMs + (callerState?.queuedCostMs ?? 0) + (promised?.costOf(item.caller) ?? 0)
    const activeCallers = queue.activeCallers + (callerState === undefined || callerState.queuedCount === 0 ? 1 : 0)
    return Math.min(totalCostMs, callerCostMs * activeCallers) / perMs
  }

  private _stateOf (profile: string): IProfileState {
    const known = this._states.get(profile)
    if (known !== undefined) return known
    const state: IProfileState = { rate: new DrainRate(), promises: new RetryPromises() }
    this._states.set(profile, state)
    return state
  }
}

/** Attempts of one request share the part of the id before the number sign, so that a promise also holds for the next attempt. */
function promiseKey (item: IWorkItem): string {
  const end = item.id.indexOf('#')
  return end < 0 ? item.id : item.id.slice(0, end)
}
