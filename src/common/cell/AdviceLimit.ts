/**
 * Limits how many calls to the advice service occupy an owner at once, by how late it processes their answers.
 *
 * Designed for an owner that has just taken over with hundreds of waiting steps on a small machine. Each call costs the owner processor time
 * for the request, the answer and the decisions that follow. If all steps asked at once, the owner would process the answers after their
 * timeouts and ask again, and would have no time left to renew its lease: the next owner would begin with more waiting steps. An owner with
 * processor time to spare reaches the number of calls that its machines allow after a few answers.
 */

import type { MonotonicMs } from '../Types.js'

/** A call as the limit sees it. */
export interface ILimitedCall {
  readonly sentAtMs: MonotonicMs
  /** How long the service needs for the call, in ms. */
  readonly expectedMs: number
  /** Whether this process noticed in time that the answer was late. Then the machine, the network or the service is the cause. */
  isNoticedInTime: boolean
}

/** A call occupies the owner for this long after it was sent, in ms, and again from the time at which its answer is expected. */
export const SENDING_MS = 50
/** The number of calls that may occupy an owner of which no answer is known. */
const INITIAL_CALLS = 6
/** With fewer calls, an owner beside one silent machine would hardly get any advice. */
const MIN_CALLS = 2
/** An answer is late if it takes this much longer than expected, in ms: more than two round trips between regions and a short call ahead of it. */
export const LATE_MS = 350
/** The limit falls if more than `MAX_LATE_SHARE` of the answers of a round were processed late, and grows if less than `MIN_LATE_SHARE` were. */
const MAX_LATE_SHARE = 0.4
const MIN_LATE_SHARE = 0.25
/** What is left of the limit after a round of late answers. */
const DECREASE = 0.5
/** By how many calls the limit grows in a round once it has been too high. Before that, it doubles. */
const CAREFUL_INCREASE = 2

export class AdviceLimit {
  private _calls = INITIAL_CALLS
  private readonly _inFlight = new Set<ILimitedCall>()
  /** The calls that ended in the present round, which has as many calls as the limit. */
  private _timelyCount = 0
  private _lateCount = 0
  /** Above this limit, answers have been late: it is approached in small steps. */
  private _carefulFrom = Infinity
  /** Answers to calls sent before the last decrease say nothing about the limit since then. */
  private _decreasedAtMs: MonotonicMs = -Infinity
  /** Whether other calls waited for their turn in the present round: only then may the limit be too low. */
  private _hasWaiting = false

  /** The number of calls that may occupy the owner. */
  public get calls (): number {
    return Math.floor(this._calls)
  }

  public get inFlight (): number {
    return this._inFlight.size
  }

  public hasRoom (nowMs: MonotonicMs): boolean {
    if (this._inFlight.size < this.calls) return true
    let occupying = 0
    for (const call of this._inFlight) if (isOccupying(call, nowMs)) occupying += 1
    return occupying < this.calls
  }

  public recordSent (call: ILimitedCall): void {
    this._inFlight.add(call)
  }

  /**
   * @param isAnswered whether the service answered; a call that failed in time says nothing about this process
   * @param hasWaiting whether other calls wait for their turn
   */
  public recordEnd (call: ILimitedCall, nowMs: MonotonicMs, isAnswered: boolean, hasWaiting: boolean): void {
    this._inFlight.delete(call)
    if (call.sentAtMs < this._decreasedAtMs) return
    this._hasWaiting ||= hasWaiting
    if (nowMs - call.sentAtMs - call.expectedMs > LATE_MS) {
      if (call.isNoticedInTime) return
      this._lateCount += 1
    } else if (isAnswered) this._timelyCount += 1
    if (this._timelyCount + this._lateCount >= this.calls) this._endRound(nowMs)
  }

  private _endRound (nowMs: MonotonicMs): void {
    const lateShare = this._lateCount / (this._timelyCount + this._lateCount)
    if (lateShare > MAX_LATE_SHARE) this._decrease(nowMs)
    else if (lateShare < MIN_LATE_SHARE && this._hasWaiting) this._calls += this._calls < this._carefulFrom ? this._timelyCount : CAREFUL_INCREASE
    this._timelyCount = 0
    this._lateCount = 0
    this._hasWaiting = false
  }

  private _decrease (nowMs: MonotonicMs): void {
    this._calls = Math.max(MIN_CALLS, this._calls * DECREASE)
    this._carefulFrom = this._calls
    this._decreasedAtMs = nowMs
  }
}

function isOccupying ({ sentAtMs, expectedMs }: ILimitedCall, nowMs: MonotonicMs): boolean {
  return nowMs < sentAtMs + SENDING_MS || nowMs >= sentAtMs + expectedMs
}
