/**
 * One host as its owner knows it: its free resources, the runs that may exist there, its clock, and the deadline up to which its
 * leases are held.
 */

import type { EpochMs, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import { HostBreaker } from './HostBreaker.js'
import type { HostFence } from './HostFence.js'
import type { Step } from './Job.js'
import { MAX_CALL_DELAY_MS } from './OpenStarts.js'
import { MIN_POLL_WAIT_MS } from './PollWait.js'
import { NO_RESOURCES, addResources, countPlaces, fits, placesIn, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { IHostEntry, IStepSpec } from './Types.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

/** The slowest rate of a host's monotonic clock: operators guarantee that it is at most 2% slow. */
const MIN_CLOCK_RATE = 0.98
/** Added to the time at which leases have ended, in ms: killing a run whose lease has ended takes a moment. */
const LAPSE_MARGIN_MS = 300
/** How long an order may take to arrive, in ms: more than two timeouts of an order. */
export const MAX_TRAVEL_MS = 2500
/** A host that has not answered for this long after the wait of its poll, in ms, gets no new work. */
const CONTACT_FRESH_MS = 1500
/** A host whose first answer takes longer than this, in ms, counts as silent. An owner that takes over needs some time to query all hosts. */
const FIRST_ANSWER_MS = 3000
/** The leases of a host that has not answered for this long after the wait of its poll, in ms, are no longer extended: it needs a round trip. */
const HOLD_CONTACT_MS = 800
/**
 * A run that is missing from a list is gone only if a list that is requested this much later, in ms, lacks it, too. A run leaves the host's
 * list of running ones before its end is listed, and a list that is made in between has neither.
 */
export const ABSENCE_CONFIRM_MS = 500
/**
 * A host that has removed its entry has left once this many consecutive polls had no answer. It may serve on for some time after that, so a
 * missing entry alone doesn't show that its runs have ended.
 */
const DEPARTURE_POLLS = 2

/** What an owner of the cell knows before it meets a host. */
export interface IHostTerms {
  /** The longest lease that a host grants to an owner, in ms. */
  readonly maxHoldMs: number
  /** When all leases of earlier owners have certainly ended. */
  readonly inheritedUntilMs: MonotonicMs
}

export class HostState {
  public readonly attempts = new Set<Attempt>()
  private _used = NO_RESOURCES
  private _longRuns = 0
  private _runsVersion = 0
  /** Whether the store listed it as ready in the last poll. */
  public isListed = true
  /** When a list was received that shows that the host has removed its entry, as it does when it leaves; Infinity if it has not. */
  private _unregisteredAtMs: MonotonicMs = Infinity
  /** Consecutive polls without an answer that were sent after that. */
  private _failedDeparturePolls = 0
  /** When the present fencing token was first used. */
  private _fenceRaisedAtMs: MonotonicMs = -Infinity
  private _isFenced = false
  /** Whether its last list showed a run that the owner doesn't hold. */
  public hasUnknownRuns = false
  /** When an order was answered by another incarnation than the one that the owner knows; -Infinity if none was. */
  private _restartSuspectedAtMs: MonotonicMs = -Infinity
  public bornMs: EpochMs
  /** The sequence of the last end that was applied, and of the last one whose effect is stored. */
  public appliedSequence = 0
  public storedSequence = 0
  /** Whether every end after `appliedSequence` is still to be seen; not so before the first end that a new owner sees. */
  public isSequenceKnown = false
  private _isLastPollAnswered = false
  /** The sequence up to which the host has forgotten its ends. */
  private _acknowledgedSequence = 0
  /** Resolves once the ends that have been applied are stored. */
  public endsStored: Promise<void> = Promise.resolve()
  /** How long the present poll may wait before the host answers, in ms. */
  public pollWaitMs = MIN_POLL_WAIT_MS
  private _clockMs = 0
  private _clockAtMs: MonotonicMs = -Infinity
  /** When the answer with that clock was requested. */
  private _clockRequestedAtMs: MonotonicMs = -Infinity
  private _maxDeadlineMs = -Infinity
  /** When the last order was sent that may extend a lease. */
  private _deadlineSentAtMs: MonotonicMs = -Infinity
  /** Keeps work from it while it fails what it starts. */
  public readonly breaker = new HostBreaker()
  private _pausedUntilMs: MonotonicMs = -Infinity
  private _refusesUntilMs: MonotonicMs = -Infinity
  /** The learned speed of the host in normal times, relative to the estimates: 1 means that runs take as long as estimated. */
  public baseSpeed = 1
  /** The share of its base speed at which it works now. */
  public transientSpeed = 1

  /** @param _seenAtMs when the owner learned of the host */
  public constructor (
    public entry: IHostEntry,
    private readonly _terms: IHostTerms,
    private readonly _fence: HostFence,
    private readonly _workspaces: WorkspaceUsage,
    private readonly _seenAtMs: MonotonicMs = -Infinity
  ) {
    this.bornMs = entry.bornMs
  }

  public get hostId (): string {
    return this.entry.hostId
  }

  /** The speed at which it works now. */
  public get speed (): number {
    return this.baseSpeed * this.transientSpeed
  }

  public get freeCpu (): number {
    return this.entry.cpuMillicores - this._used.cpuMillicores
  }

  public get usedCpu (): number {
    return this._used.cpuMillicores
  }

  public get used (): IResources {
    return this._used
  }

  /** The number of runs that end only when their job is cancelled. */
  public get longRunCount (): number {
    return this._longRuns
  }

  /** Changes whenever a run is added or removed. */
  public get runsVersion (): number {
    return this._runsVersion
  }

  /** How many more tasks of this step fit, with `keepFree` left over. */
  public placesFor (step: IStepSpec, keepFree = NO_RESOURCES): number {
    const { entry, _used: used } = this
    return placesIn(
      entry.cpuMillicores - used.cpuMillicores - keepFree.cpuMillicores,
      entry.memoryMb - used.memoryMb - keepFree.memoryMb,
      entry.accelerators - used.accelerators - keepFree.accelerators,
      step
    )
  }

  /** Whether one more task of this step fits, if nothing has to stay free. */
  public hasRoomFor (step: IStepSpec): boolean {
    const { entry, _used: used } = this
    return fits(entry.cpuMillicores - used.cpuMillicores, step.fills ? 0 : step.cpuMillicores) &&
      fits(entry.memoryMb - used.memoryMb, step.memoryMb) && fits(entry.accelerators - used.accelerators, step.accelerators)
  }

  /** Whether its runs need more than it has: its present incarnation may be smaller than the one for which they were placed. */
  public get isOverCapacity (): boolean {
    const { entry, _used: used } = this
    return used.cpuMillicores > entry.cpuMillicores || used.memoryMb > entry.memoryMb || used.accelerators > entry.accelerators
  }

  /** How many tasks of this step would fit if the host were empty. */
  public capacityFor (step: IStepSpec): number {
    return Math.min(countPlaces(this.entry, step), step.maxPerHost === 0 ? step.count : step.maxPerHost)
  }

  /** Whether a task of this step would fit if the host were empty. */
  public couldHold (step: IStepSpec): boolean {
    const { cpuMillicores, memoryMb, accelerators, labels } = this.entry
    if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel)) return false
    return step.cpuMillicores <= cpuMillicores && step.memoryMb <= memoryMb && step.accelerators <= accelerators
  }

  /** Whether it belongs to the pool of the step and could hold one of its tasks if it were empty. */
  public couldRun ({ spec, job }: Step): boolean {
    return this.entry.service === job.queue.service && this.couldHold(spec)
  }

  public addAttempt (attempt: Attempt): void {
    if (this.attempts.has(attempt)) return
    this.attempts.add(attempt)
    this._addUsage(attempt, 1)
    const { job, spec } = attempt.task.step
    this._workspaces.addRun(job.workspace, spec)
  }

  public removeAttempt (attempt: Attempt): void {
    if (!this.attempts.delete(attempt)) return
    this._addUsage(attempt, -1)
    const { job, spec } = attempt.task.step
    this._workspaces.removeRun(job.workspace, spec)
  }

  public updateClock (clockMs: number, requestedAtMs: MonotonicMs, receivedAtMs: MonotonicMs): void {
    // Answers on different connections can overtake each other: the highest clock is the newest.
    if (clockMs < this._clockMs) return
    this._clockMs = clockMs
    this._clockRequestedAtMs = requestedAtMs
    this._clockAtMs = receivedAtMs
  }

  /** The lowest value that the host's clock can show now. */
  public minClockMs (nowMs: MonotonicMs): number {
    return this._clockMs + Math.max(0, nowMs - this._clockAtMs) * MIN_CLOCK_RATE
  }

  /** The highest value that the host's clock can show now. */
  public maxClockMs (nowMs: MonotonicMs): number {
    return this._clockMs + (nowMs - this._clockRequestedAtMs) / MIN_CLOCK_RATE
  }

  /** A time before which the host's clock can't have shown this value; -Infinity if that is not known. */
  public earliestTimeOf (clockMs: number, nowMs: MonotonicMs): MonotonicMs {
    // A value that the clock can't have reached yet is not of this clock.
    if (!this.hasClock || clockMs > this.maxClockMs(nowMs)) return -Infinity
    return this._clockRequestedAtMs - Math.max(0, this._clockMs - clockMs) / MIN_CLOCK_RATE
  }

  /** When a list can be requested that confirms that a missing run is gone; Infinity if no run is missing. */
  public get absenceConfirmableAtMs (): MonotonicMs {
    return Math.min(...[...this.attempts].map((attempt) => confirmableAtMs(attempt)))
  }

  public get hasClock (): boolean {
    return Number.isFinite(this._clockAtMs)
  }

  /** The fencing token of the orders that are sent now. */
  public get fence (): number {
    return this._fence.token
  }

  /** Whether this owner has no higher token for a further incarnation of the host. */
  public get isFenceExhausted (): boolean {
    return this._fence.isExhausted
  }

  /**
   * Whether its list of runs was read under the fencing token of its present incarnation: nothing that was sent before can start a run any more.
   */
  public get isFenced (): boolean {
    return this._isFenced
  }

  /** From now on, an incarnation of the host that has received an order of this owner refuses those that were sent before. */
  public raiseFence (nowMs: MonotonicMs): void {
    this._fence.raise()
    this._fenceRaisedAtMs = nowMs
  }

  /** Whether a list that was requested then was requested under the present fencing token. */
  public isUnderFence (requestedAtMs: MonotonicMs): boolean {
    return requestedAtMs >= this._fenceRaisedAtMs
  }

  /**
   * Records that the present incarnation has answered under its own fencing token. Orders that were sent before may have extended its leases
   * until now.
   */
  public confirmFence (clockMs: number): void {
    this._isFenced = true
    this._maxDeadlineMs = Math.max(this._maxDeadlineMs, clockMs + this._terms.maxHoldMs)
  }

  /** Records a deadline before it is sent to the host: leases there may last until then. */
  public recordDeadline (deadlineMs: number, nowMs: MonotonicMs): void {
    this._maxDeadlineMs = Math.max(this._maxDeadlineMs, deadlineMs)
    this._deadlineSentAtMs = nowMs
  }

  /**
   * Whether a clock that starts at zero can't show this value yet, if it is that of a later incarnation: such a one began after the last answer
   * was requested.
   */
  public isBeyondLaterClocks (clockMs: number, receivedAtMs: MonotonicMs): boolean {
    return clockMs > (receivedAtMs - this._clockRequestedAtMs) / MIN_CLOCK_RATE
  }

  /** Records that an order was answered by another incarnation than the known one. Until a list that is requested later, the host gets no work. */
  public suspectRestart (nowMs: MonotonicMs): void {
    this._restartSuspectedAtMs = nowMs
  }

  /** Records a list that was requested then. */
  public recordList (requestedAtMs: MonotonicMs): void {
    if (requestedAtMs >= this._restartSuspectedAtMs) this._restartSuspectedAtMs = -Infinity
  }

  public isInContact (nowMs: MonotonicMs): boolean {
    return nowMs - this._clockAtMs <= this.pollWaitMs + HOLD_CONTACT_MS
  }

  /**
   * The next deadline for the host's leases, on its clock; undefined if they must not be extended.
   *
   * The leases of a host that doesn't answer are not extended, it is only polled: each order that it may still carry out would
   * delay the time at which its leases have certainly ended, and the tasks of a dead host would never be started elsewhere.
   *
   * @param untilMs the latest time until which this owner may extend leases, on the monotonic clock
   */
  public nextDeadline (nowMs: MonotonicMs, maxHoldMs: number, untilMs: MonotonicMs): number | undefined {
    const holdForMs = Math.min(maxHoldMs, untilMs - nowMs)
    if (holdForMs <= 0 || !this.isInContact(nowMs)) return undefined
    const deadlineMs = Math.floor(this.minClockMs(nowMs) + holdForMs)
    this.recordDeadline(deadlineMs, nowMs)
    return deadlineMs
  }

  /** Whether it lists ends that are stored and that it has not forgotten. */
  public get hasUnacknowledgedEnds (): boolean {
    return this.storedSequence > this._acknowledgedSequence
  }

  /**
   * The last end that the host may forget; 0 if it may forget none. Each is acknowledged until a poll that does so is answered, and none after a
   * poll without an answer, or while a run was ordered of which it isn't known whether the present incarnation has it.
   *
   * A poll may be carried out late, also by the next incarnation of the host, whose sequence numbers start again. It would forget ends that this
   * owner has never seen, and their tasks would start again.
   */
  public get sequenceToAcknowledge (): number {
    return this._isLastPollAnswered && this.areAllStartsKnown && this.hasUnacknowledgedEnds ? this.storedSequence : 0
  }

  /** Records that this incarnation of the host has answered a poll that acknowledged its ends up to this one. */
  public recordAnsweredPoll (bornMs: EpochMs, acknowledgedSequence: number): void {
    this._isLastPollAnswered = true
    if (bornMs === this.bornMs) this._acknowledgedSequence = Math.max(this._acknowledgedSequence, acknowledgedSequence)
    this.recordPollAnswer()
  }

  /**
   * Records that a poll had no answer. If the host has restarted, its next incarnation would carry out what was sent before: this poll, which
   * acknowledges ends by the numbers of the earlier incarnation, and starts. It refuses them from the first order that it receives under a higher
   * fence.
   */
  public recordUnansweredPoll (nowMs: MonotonicMs): void {
    if (this._isLastPollAnswered) this.raiseFence(nowMs)
    this._isLastPollAnswered = false
  }

  public markUnregistered (nowMs: MonotonicMs): void {
    this._unregisteredAtMs = nowMs
    this._failedDeparturePolls = 0
  }

  public markRegistered (): void {
    this._unregisteredAtMs = Infinity
    this._failedDeparturePolls = 0
  }

  /** Whether it has removed its entry. */
  public get isUnregistered (): boolean {
    return this._unregisteredAtMs < Infinity
  }

  public recordPollAnswer (): void {
    this._failedDeparturePolls = 0
  }

  public recordPollFailure (sentAtMs: MonotonicMs): void {
    if (sentAtMs >= this._unregisteredAtMs) this._failedDeparturePolls += 1
  }

  /** Whether it is certain that the host has left, so that nothing runs there any more. */
  public get hasLeft (): boolean {
    return this._failedDeparturePolls >= DEPARTURE_POLLS
  }

  /**
   * Whether every lease ever granted on the known incarnation of the host has certainly ended, or the host has left, even without an answer from
   * it.
   */
  public hasLapsed (nowMs: MonotonicMs): boolean {
    if (this.hasLeft) return true
    if (nowMs < this._terms.inheritedUntilMs) return false
    if (!this.hasClock) return true
    if (!this._isFenced) return this._hasLapsedInAnyIncarnation(nowMs)
    return this.minClockMs(nowMs) > this._maxDeadlineMs + LAPSE_MARGIN_MS
  }

  /** Whether a run there has certainly ended, or the host has left, even without an answer from it. */
  public hasLapsedFor (attempt: Attempt, nowMs: MonotonicMs): boolean {
    if (this.hasLeft) return true
    if (nowMs < this._terms.inheritedUntilMs || nowMs <= this._lastLeaseEndMs(attempt.orderOpenUntilMs)) return false
    if (attempt.isIncarnationKnown && this._isFenced) return this.hasLapsed(nowMs)
    const hasIncarnationEnded = attempt.isIncarnationKnown && attempt.phase !== 'recovering' && attempt.bornMs !== this.bornMs
    return hasIncarnationEnded || this._hasLapsedInAnyIncarnation(nowMs)
  }

  /**
   * Whether every lease has ended that an incarnation which the owner doesn't know may hold. Such an incarnation takes a deadline that was meant
   * for an earlier one, whose clock was ahead, as the longest possible lease. If the host has restarted, it does so as long as late calls arrive.
   */
  private _hasLapsedInAnyIncarnation (nowMs: MonotonicMs): boolean {
    const hasRestarted = this._restartSuspectedAtMs > -Infinity || (this.hasClock && !this._isFenced)
    return nowMs > this._lastLeaseEndMs(this._deadlineSentAtMs + (hasRestarted ? MAX_CALL_DELAY_MS : MAX_TRAVEL_MS))
  }

  /** When the longest lease has ended that an order grants which arrives at this time or earlier. */
  private _lastLeaseEndMs (arrivedByMs: MonotonicMs): MonotonicMs {
    return arrivedByMs + this._terms.maxHoldMs / MIN_CLOCK_RATE + LAPSE_MARGIN_MS
  }

  /**
   * Resets what is known of a host that has restarted: its clock and its sequence numbers start again. Its earlier runs are gone, but it may
   * have carried out orders that were meant for the earlier incarnation, until it answers under a fencing token of its own.
   */
  public resetAfterRestart (bornMs: EpochMs, nowMs: MonotonicMs): void {
    this.raiseFence(nowMs)
    this._isFenced = false
    this.bornMs = bornMs
    this.appliedSequence = 0
    this.storedSequence = 0
    this.isSequenceKnown = true
    this._acknowledgedSequence = 0
    this._clockMs = 0
    this._clockAtMs = -Infinity
    this._clockRequestedAtMs = -Infinity
    this._maxDeadlineMs = -Infinity
  }

  /** What the host's leases are judged by, for the log: the age of its last answer, and the present and the leased times on its clock. */
  public logFields (nowMs: MonotonicMs): Record<string, number> {
    if (!this.hasClock) return { bornMs: this.bornMs }
    return {
      bornMs: this.bornMs,
      answerAgeMs: Math.round(nowMs - this._clockAtMs),
      hostClockMs: Math.round(this.minClockMs(nowMs)),
      ...(Number.isFinite(this._maxDeadlineMs) ? { hostDeadlineMs: this._maxDeadlineMs } : {})
    }
  }

  public get dumpFields (): Record<string, string | number | boolean> {
    return {
      host: this.hostId,
      freeCpu: this.freeCpu,
      runs: this.attempts.size,
      listed: this.isListed,
      fenced: this.isFenced,
      failing: !this.breaker.isClosed,
      stored: this.storedSequence,
      baseSpeed: this.baseSpeed,
      transientSpeed: this.transientSpeed
    }
  }

  /** When the host last answered. */
  public get contactAtMs (): MonotonicMs {
    return this._clockAtMs
  }

  /** Whether it takes work now; while its breaker is half open, only a trial. */
  public isPlaceable (nowMs: MonotonicMs): boolean {
    return this.isReachable(nowMs) && nowMs >= this._pausedUntilMs && this.breaker.isPauseOver(nowMs)
  }

  /** Whether it would carry out an order, though it may be paused. */
  public isReachable (nowMs: MonotonicMs): boolean {
    const isIncarnationSure = this.isFenced && this._restartSuspectedAtMs === -Infinity && this.bornMs === this.entry.bornMs
    return this.isAccepting && isIncarnationSure && !this.hasUnknownRuns &&
      nowMs >= this._refusesUntilMs && this._isContactFresh(nowMs)
  }

  /** Whether it is in service, though it may be paused or not answer. */
  public get isAccepting (): boolean {
    return this.isListed && !this.entry.draining
  }

  /**
   * Whether each run that was ordered here is known to belong to the present incarnation. Otherwise ends must not be acknowledged: a later
   * incarnation that has carried out the order would forget the end of the run by the numbers of this one.
   */
  public get areAllStartsKnown (): boolean {
    for (const attempt of this.attempts) if (attempt.wasOrdered && !attempt.isIncarnationKnown) return false
    return true
  }

  /** Whether a trial is being made, by which its open breaker decides. */
  public get hasTrial (): boolean {
    for (const attempt of this.attempts) if (this.breaker.isTrial(attempt)) return true
    return false
  }

  /** Whether it doesn't answer. */
  public isSilent (nowMs: MonotonicMs): boolean {
    return this.hasClock ? !this._isContactFresh(nowMs) : nowMs - this._seenAtMs >= FIRST_ANSWER_MS
  }

  /** Keeps the host from work because its runs make no progress. */
  public pausePlacement (untilMs: MonotonicMs): void {
    this._pausedUntilMs = Math.max(this._pausedUntilMs, untilMs)
  }

  /** Keeps the host from all work because it has refused an order. */
  public recordRefusal (untilMs: MonotonicMs): void {
    this._refusesUntilMs = Math.max(this._refusesUntilMs, untilMs)
  }

  private _isContactFresh (nowMs: MonotonicMs): boolean {
    return nowMs - this._clockAtMs < this.pollWaitMs + CONTACT_FRESH_MS
  }

  private _addUsage (attempt: Attempt, sign: 1 | -1): void {
    const { spec } = attempt.task.step
    this._used = addResources(this._used, resourcesOf(spec), sign)
    if (spec.longRunning) this._longRuns += sign
    this._runsVersion += 1
  }
}

/** When a list can be requested that confirms that the run is gone. */
export function confirmableAtMs ({ missingSinceMs }: Attempt): MonotonicMs {
  return missingSinceMs + ABSENCE_CONFIRM_MS
}
