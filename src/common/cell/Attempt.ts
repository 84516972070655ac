/**
 * One run of one task on one host, from the allocation of its resources until it is certain that it neither runs nor ever will.
 * Its states are those of `charts/attempt.json`:
 *
 * - `preparing`: resources are allocated, but the run is not recorded in the store yet, or its ticket is missing. No order was
 *   sent.
 * - `ordered`: the start order was sent and has no answer yet.
 * - `unsure`: the start order had no answer; the host may carry it out until its deadline on the host's clock, and a later incarnation of the
 *   host even after that, if it has no ticket.
 * - `recovering`: an earlier owner recorded the run; the host hasn't reported yet whether it runs.
 * - `running`: the host has the run.
 * - `stopping`: a stop was requested, and the host has not reported the end of the run yet.
 * - `gone`: it runs nowhere and never will.
 */

import { MAX_CALL_DELAY_MS } from './OpenStarts.js'

import type { ChartTable } from '../state/ChartTable.js'
import type { EpochMs, MonotonicMs } from '../Types.js'
import type { HostState } from './HostState.js'
import type { Task } from './Job.js'
import type { IRecordedRun, IRunRef, JobPhase } from './Types.js'

export type AttemptPhase = 'preparing' | 'ordered' | 'unsure' | 'recovering' | 'running' | 'stopping' | 'gone'
export type AttemptEvent = 'ORDER' | 'DROP' | 'LISTED' | 'NOT_RUN' | 'UNANSWERED' | 'STOP' | 'ENDED' | 'LOST'

/** Why a run is stopped: the phase in which its job ended, its gang can't continue, its task is done by another run, or it has stalled. */
export type StopReason = JobPhase | 'gang' | 'done' | 'stalled'

/** A host that answers is asked for a list after at most this time, in ms: its poll waits for a second. */
const MAX_LIST_GAP_MS = 1500

export class Attempt {
  private _phase: AttemptPhase
  public ticket = ''
  /** Whether the run is recorded in the store. */
  public isRecorded = false
  /** On the host's clock. The host refuses an order that arrives later. */
  public deadlineMs = 0
  /** The least that the host's clock showed when the start was ordered. */
  public minClockMs = 0
  /** The fencing token of its start order; -Infinity if an earlier owner has ordered it. */
  public fence = -Infinity
  /** Until when a later incarnation of the host may carry out a start order, of which nothing but a ticket names the incarnation. */
  public orderOpenUntilMs: MonotonicMs = -Infinity
  /** Whether at most one start order of the run can arrive, so that a list or an end that shows the run proves that none is open any more. */
  public isOnlyOrder = true
  /** Whether an earlier owner may not have sent the start order at all. */
  public mayBeUnsent = false
  /** Whether the run is about to be ordered again, once the store has recorded for how long that order may be carried out. */
  public isAwaitingRecord = false
  /** The time for which the start order may still be carried out, in ms, according to the stored record. */
  public recordedOpenMs = 0
  /**
   * Whether it is known which incarnation of the host has carried out its start order: a list of that incarnation has shown the run, or the
   * answer proves it.
   */
  public isIncarnationKnown: boolean
  /** When the host last reported that it has the run. A list requested after that shows the run or its end. */
  public reportedAtMs: MonotonicMs = Infinity
  /** When a list that should have shown the run or its end first had neither; Infinity if none did. */
  public missingSinceMs: MonotonicMs = Infinity
  private _stopConfirmedAtMs: MonotonicMs = Infinity
  public startedAtMs: MonotonicMs
  /** Whether an earlier owner started it, so that its start time is unknown. */
  public readonly isInherited: boolean
  /** The last progress that the host reported, and when that value was first seen. */
  public percent = 0
  public percentAtMs: MonotonicMs
  /** For how long the host's lists have shown that value. The time in which the host didn't answer doesn't count. */
  public stillMs = 0
  /** When the host first reported the run's last checkpoint. */
  public checkpointAtMs: MonotonicMs = -Infinity
  public stopSentAtMs: MonotonicMs = -Infinity
  /** Why it was stopped; undefined if it wasn't. */
  public stopReason: StopReason | undefined
  public readonly preparedAtMs: MonotonicMs
  private _bornMs: EpochMs

  /** @param recorded the run as an earlier owner recorded it; undefined for a new run */
  public constructor (
    public readonly task: Task,
    public readonly run: number,
    public readonly host: HostState,
    private readonly _chart: ChartTable,
    nowMs: MonotonicMs,
    recorded?: Pick<IRecordedRun, 'bornMs' | 'openMs'>
  ) {
    this.isInherited = recorded !== undefined
    this._phase = this.isInherited ? 'recovering' : 'preparing'
    this.isIncarnationKnown = recorded?.openMs === 0
    this._bornMs = recorded?.bornMs ?? host.bornMs
    if (recorded !== undefined && recorded.openMs > 0) {
      this.orderOpenUntilMs = nowMs + recorded.openMs
      this.recordedOpenMs = recorded.openMs
      this.mayBeUnsent = recorded.openMs > MAX_CALL_DELAY_MS
      this.isOnlyOrder = this.mayBeUnsent
    }
    this.preparedAtMs = nowMs
    this.startedAtMs = nowMs
    this.percentAtMs = nowMs
  }

  public get phase (): AttemptPhase {
    return this._phase
  }

  /** The incarnation of the host for which the run was recorded or ordered last, or which has started it. */
  public get bornMs (): EpochMs {
    return this._bornMs
  }

  public get ref (): IRunRef {
    const { step, index } = this.task
    return { jobId: step.job.spec.jobId, step: step.number, index, run: this.run }
  }

  /** Whether a start order of the run may still be carried out by a later incarnation of the host. */
  public isOrderOpen (nowMs: MonotonicMs): boolean {
    return nowMs < this.orderOpenUntilMs
  }

  /**
   * Records that a start order is being sent. The host refuses it after the deadline, which is on its clock.
   *
   * @param minClockMs the least that the host's clock shows now
   */
  public recordOrder (nowMs: MonotonicMs, minClockMs: number, deadlineMs: number): void {
    const { host } = this
    this.isOnlyOrder = this.phase === 'preparing'
    this.mayBeUnsent = false
    this.isAwaitingRecord = false
    this.isIncarnationKnown = false
    this._bornMs = host.bornMs
    this.startedAtMs = nowMs
    this.percentAtMs = nowMs
    this.minClockMs = minClockMs
    this.deadlineMs = deadlineMs
    this.fence = host.fence
    if (this.ticket === '') this.orderOpenUntilMs = nowMs + MAX_CALL_DELAY_MS
  }

  /** Records that an order of the run has reached the host, which has, or had, the run. */
  public recordArrival (): void {
    if (this.isOnlyOrder) this.orderOpenUntilMs = -Infinity
  }

  /** Whether the host may have received an order for it. */
  public get wasOrdered (): boolean {
    return this._phase !== 'preparing'
  }

  /** Applies an event to the state chart. Returns false and changes nothing if the present phase has no transition for it. */
  public transition (event: AttemptEvent): boolean {
    if (!this._chart.hasTransition(this._phase, event)) return false
    this._phase = this._chart.next(this._phase, event) as AttemptPhase
    return true
  }

  /** When the host had first confirmed the stop. From then on it won't start the run. */
  public get stopConfirmedAtMs (): MonotonicMs {
    return this._stopConfirmedAtMs
  }

  /**
   * Records that the host has confirmed the stop. The first time counts: a stop is repeated more often than a poll is answered, so by the
   * last time no list would ever have been requested late enough to show that the run is gone.
   */
  public confirmStop (nowMs: MonotonicMs): void {
    this._stopConfirmedAtMs = Math.min(this._stopConfirmedAtMs, nowMs)
  }

  /** A list of this incarnation of the host shows the run. It knows nothing of a stop or a deadline that was meant for an earlier one. */
  public recordListed (bornMs: EpochMs): void {
    this.isIncarnationKnown = true
    this.isAwaitingRecord = false
    this.recordArrival()
    if (bornMs === this._bornMs) return
    this._bornMs = bornMs
    this.deadlineMs = Infinity
    this._stopConfirmedAtMs = Infinity
    this.stopSentAtMs = -Infinity
  }

  /** Records the progress in a list of the host, before `reportedAtMs` is updated. A percentage that falls or exceeds 100 says nothing. */
  public updatePercent (percent: number, nowMs: MonotonicMs): void {
    if (percent < this.percent || percent > 100) return
    if (percent === this.percent) {
      this.stillMs += Math.min(MAX_LIST_GAP_MS, Math.max(0, nowMs - this.reportedAtMs))
      return
    }
    this.percent = percent
    this.percentAtMs = nowMs
    this.stillMs = 0
  }
}
