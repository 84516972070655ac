/**
 * Controls the life cycle of runs: allocating resources, recording, getting tickets, ordering and stopping. A run is ordered only
 * after the store has recorded it, so that the next owner of the cell knows every host on which a task may run.
 */

import type { ILogger } from '../observability/Types.js'
import type { ChartTable } from '../state/ChartTable.js'
import type { EpochMs, IClock, MonotonicMs } from '../Types.js'
import { Attempt } from './Attempt.js'
import type { StopReason } from './Attempt.js'
import { MAX_TRAVEL_MS } from './HostState.js'
import type { HostState } from './HostState.js'
import type { Job, Step, Task } from './Job.js'
import { UNSENT_OPEN_MS, mayOrderAgain } from './OpenStarts.js'
import type { IPlacement } from './Placement.js'
import type { IHostEntry, IRunRef, IStartOrder, StartOutcome, StopOutcome } from './Types.js'

export interface IRunEffects {
  /** Resolves once the present state of the job is stored. Never resolves after ownership is lost. */
  save (job: Job): Promise<void>
  start (host: IHostEntry, order: IStartOrder): Promise<StartOutcome>
  stop (host: IHostEntry, ref: IRunRef, fence: number): Promise<StopOutcome>
  /** Called when a host accepts only orders of a newer owner. */
  onFenced (hostId: string): void
  /** Called when an order was answered by another incarnation of the host than the known one. */
  onRestartSuspected (hostId: string): void
  /** Called when recorded runs of the step have no valid ticket. */
  requestTickets (step: Step): void
  /** Called when a task has started, with the time since the caller first sent its job. */
  onStarted (job: Job, waitedMs: number): void
  /** Called when resources or a task have become free, or a job has made progress. */
  onChange (): void
}

/** A start without an answer is sent again if this time has not passed since, in ms: it has to arrive before its deadline. */
const RESEND_WINDOW_MS = 1500
/** A stop that had no answer is sent again after this time, in ms. */
const STOP_RETRY_MS = 700
/** A host that refuses a start gets no further work for this long, in ms: its next list shows the reason. */
const REFUSAL_PAUSE_MS = 400
/** A task that was not started is placed again after this time, in ms. */
const REPLACE_PAUSE_MS = 100

export class RunController {
  public constructor (
    private readonly _effects: IRunEffects,
    private readonly _chart: ChartTable,
    private readonly _clock: IClock,
    private readonly _log: ILogger
  ) {}

  /** Allocates resources for each placement and records the runs. Runs with a valid ticket are ordered once they are recorded. */
  public prepare (step: Step, plan: readonly IPlacement[]): readonly Attempt[] {
    const nowMs = this._clock.nowMs()
    const run = step.spec.gang ? nextGangRun(step) : 0
    const attempts = plan.map(({ task, host }) => this._prepareRun(task, host, run === 0 ? task.lastRun + 1 : run, nowMs))
    this._effects.save(step.job).then(() => {
      for (const attempt of attempts) attempt.isRecorded = true
      this.orderReady(step)
    }, (error: unknown) => { this._log.error('run.recordFailed', { requestId: step.job.spec.jobId, reason: String(error) }) })
    return attempts
  }

  /** Orders the runs that are recorded and have a valid ticket; of a gang, all members or none. */
  public orderReady (step: Step): void {
    const waiting = step.tasks.flatMap(({ attempt }) => attempt?.phase === 'preparing' ? [attempt] : [])
    if (waiting.length === 0) return
    if (step.job.isFinished) return this.drop(waiting)
    const usable = waiting.filter((attempt) => this._isUsable(attempt))
    // A gang of which one member was dropped can't run, and the others would keep their resources for ever.
    if (step.spec.gang && usable.length < step.tasks.length) return this.drop(waiting)
    this.drop(waiting.filter((attempt) => !usable.includes(attempt)))
    const recorded = usable.filter((attempt) => attempt.isRecorded)
    const ready = recorded.filter((attempt) => this._hasTicket(attempt))
    // Recording may take longer than a ticket is valid.
    if (ready.length < recorded.length) this._effects.requestTickets(step)
    if (step.spec.gang && ready.length < step.tasks.length) return
    for (const attempt of ready) this._sendStart(attempt)
  }

  /** Drops runs that were never ordered. */
  public drop (attempts: readonly Attempt[]): void {
    for (const attempt of attempts) {
      if (attempt.transition('DROP')) this.release(attempt)
    }
  }

  /** Stops a run in any phase. To be called again until the host has reported its end. */
  public stop (attempt: Attempt, reason = reasonToStop(attempt)): void {
    if (attempt.phase === 'preparing') return this.drop([attempt])
    attempt.transition('STOP')
    attempt.stopReason ??= reason
    const nowMs = this._clock.nowMs()
    if (attempt.phase !== 'stopping' || nowMs - attempt.stopSentAtMs < STOP_RETRY_MS) return
    attempt.stopSentAtMs = nowMs
    const { host } = attempt
    const { bornMs, fence } = host
    this._effects.stop(host.entry, attempt.ref, fence).then((outcome) => {
      if (outcome === 'stopped' && host.bornMs === bornMs) attempt.confirmStop(this._clock.nowMs())
      if (outcome === 'fenced' && fence === host.fence) this._effects.onFenced(host.hostId)
      this._log.info('run.stopAnswered', { ...runLogFields(attempt), outcome })
    }, (error: unknown) => { this._log.error('run.stopFailed', { ...runLogFields(attempt), reason: String(error) }) })
  }

  /**
   * Stops all steps of a job except gangs that are done: their members have ended together, and their hosts are about to report
   * it. Stopping each member of a gang of twenty would cost its owner twenty needless orders, in competition with urgent ones.
   */
  public stopAll (job: Job): void {
    for (const step of job.steps) if (!(step.spec.gang && step.isDone)) this.stopStep(step)
  }

  public stopStep (step: Step, reason?: StopReason): void {
    for (const { attempt } of step.tasks) if (attempt !== undefined) this.stop(attempt, reason)
  }

  /** Frees the resources and the task of a run that is certainly gone. */
  public release (attempt: Attempt): void {
    const { task, host } = attempt
    host.removeAttempt(attempt)
    if (task.attempt === attempt) task.attempt = undefined
    this._effects.onChange()
  }

  /**
   * Orders a run again on its host, which doesn't have it, although an earlier order of it may still be carried out. The record has to cover the
   * further order before it is sent, as it had to cover the first one: it says how long the next owner waits.
   */
  public orderAgain (attempt: Attempt): void {
    // While a run is missing, its host is polled without waiting.
    attempt.missingSinceMs = Infinity
    if (attempt.recordedOpenMs >= UNSENT_OPEN_MS) return this._sendAgain(attempt)
    if (attempt.isAwaitingRecord) return
    attempt.isAwaitingRecord = true
    this._record(attempt, () => {
      if (!attempt.isAwaitingRecord) return
      attempt.isAwaitingRecord = false
      if (mayOrderAgain(attempt, this._clock.nowMs())) this._sendAgain(attempt)
    })
  }

  private _record (attempt: Attempt, onStored = (): void => {}): void {
    const { job } = attempt.task.step
    this._effects.save(job).then(onStored, (error: unknown) => {
      this._log.error('run.recordFailed', { requestId: job.spec.jobId, reason: String(error) })
    })
  }

  private _sendAgain (attempt: Attempt): void {
    const { phase, isInherited, host: { bornMs }, orderOpenUntilMs } = attempt
    const openMs = Math.round(orderOpenUntilMs - this._clock.nowMs())
    this._log.info('run.orderedAgain', { ...runLogFields(attempt), phase, isInherited, bornMs, openMs })
    this._sendStart(attempt)
  }

  private _prepareRun (task: Task, host: HostState, run: number, nowMs: number): Attempt {
    const attempt = new Attempt(task, run, host, this._chart, nowMs)
    task.lastRun = run
    task.attempt = attempt
    host.addAttempt(attempt)
    const { advice } = task.step
    attempt.ticket = advice?.findTicket(host.hostId, host.bornMs, nowMs) ?? ''
    return attempt
  }

  private _isUsable (attempt: Attempt): boolean {
    const { host } = attempt
    return host.isListed && !host.entry.draining && host.bornMs === host.entry.bornMs && host.bornMs === attempt.bornMs
  }

  private _hasTicket (attempt: Attempt): boolean {
    const { step } = attempt.task
    if (step.job.queue.advice === undefined) return true
    const ticket = step.advice?.findTicket(attempt.host.hostId, attempt.host.bornMs, this._clock.nowMs())
    attempt.ticket = ticket ?? ''
    return ticket !== undefined
  }

  private _sendStart (attempt: Attempt): void {
    const { host, task, orderOpenUntilMs: earlierOpenUntilMs } = attempt
    const nowMs = this._clock.nowMs()
    const clockMs = host.minClockMs(nowMs)
    attempt.recordOrder(nowMs, Math.floor(clockMs), Math.ceil(clockMs) + MAX_TRAVEL_MS)
    attempt.transition('ORDER')
    const { ref, ticket, deadlineMs, fence } = attempt
    host.recordDeadline(deadlineMs, nowMs)
    const order = { ref, description: task.step.job.spec.description, deadlineMs, checkpoint: task.checkpoint, ticket, fence }
    this._send(attempt, order, earlierOpenUntilMs).catch((error: unknown) => { this._log.error('run.startFailed', { ...runLogFields(attempt), reason: String(error) }) })
  }

  /**
   * Sends a start, and once more if it has no answer: the host starts the run only once, however late the first order is carried out. Otherwise
   * the task would wait until its deadline has passed on the host, and the other members of its gang would wait for it in vain. Only an order
   * with a ticket is sent again at once: without one, a later incarnation could carry out the first order after the run was done (`orderAgain`).
   */
  private async _send (attempt: Attempt, order: IStartOrder, earlierOpenUntilMs: MonotonicMs): Promise<void> {
    const { host, startedAtMs } = attempt
    const { bornMs } = host
    const outcome = await this._effects.start(host.entry, order)
    // Any answer settles this order, but none that was sent before, or meanwhile.
    if (outcome.kind !== 'unanswered' && attempt.startedAtMs === startedAtMs) attempt.orderOpenUntilMs = earlierOpenUntilMs
    if (outcome.kind !== 'unanswered' || !this._mayResend(attempt, bornMs)) return this._onStartAnswered(attempt, outcome, bornMs)
    host.recordDeadline(order.deadlineMs, this._clock.nowMs())
    const second = await this._effects.start(host.entry, order)
    // Any other answer is about the second order alone.
    this._onStartAnswered(attempt, second.kind === 'started' ? second : outcome, bornMs)
  }

  private _mayResend (attempt: Attempt, bornMs: EpochMs): boolean {
    const { host, phase, startedAtMs, fence, ticket } = attempt
    const nowMs = this._clock.nowMs()
    return ticket !== '' && phase === 'ordered' && nowMs - startedAtMs < RESEND_WINDOW_MS && host.fence === fence && host.bornMs === bornMs && host.isReachable(nowMs)
  }

  /** @param bornMs the incarnation of the host to which the order was sent */
  private _onStartAnswered (attempt: Attempt, outcome: StartOutcome, bornMs: EpochMs): void {
    const nowMs = this._clock.nowMs()
    const ageMs = Math.round(nowMs - attempt.task.step.job.receivedAtMs)
    const recordMs = Math.round(attempt.startedAtMs - attempt.preparedAtMs)
    const durationMs = Math.round(nowMs - attempt.startedAtMs)
    const clockMs = 'clockMs' in outcome ? outcome.clockMs : undefined
    this._log.info('run.ordered', { ...runLogFields(attempt), outcome: outcome.kind, ageMs, recordMs, durationMs, bornMs, clockMs })
    switch (outcome.kind) {
      case 'started':
        // The clock of a later incarnation has started again.
        if (attempt.host.bornMs === bornMs) this._recordIncarnation(attempt, outcome.clockMs, nowMs)
        this._effects.onStarted(attempt.task.step.job, ageMs)
        if (attempt.transition('LISTED')) this.markRunning(attempt, nowMs)
        return
      case 'unanswered':
        attempt.transition('UNANSWERED')
        // The next owner has to know that the order was sent and has no answer.
        if (attempt.isOrderOpen(nowMs)) this._record(attempt)
        return
      case 'fenced':
        if (attempt.fence === attempt.host.fence) return this._effects.onFenced(attempt.host.hostId)
        // The order was sent before the host was known to have restarted.
        break
      case 'refused':
        this._handleRefusal(attempt, outcome.reason, nowMs)
        break
      case 'otherIncarnation':
      case 'unsent':
        attempt.host.recordRefusal(nowMs + REFUSAL_PAUSE_MS)
    }
    // The answer is about this order alone, and the host may have carried out an earlier one.
    if (!attempt.isOnlyOrder) attempt.transition('UNANSWERED')
    else if (attempt.transition('NOT_RUN')) this._handleNotStarted(attempt, nowMs)
  }

  /** Records which incarnation of the host has carried out the start order, as far as the clock in its answer tells. */
  private _recordIncarnation (attempt: Attempt, clockMs: number, nowMs: number): void {
    const { host, startedAtMs } = attempt
    // The clock of the known incarnation shows neither less than when the order was sent, nor more than now.
    if (clockMs >= attempt.minClockMs && clockMs <= host.maxClockMs(nowMs)) {
      if (!host.isBeyondLaterClocks(clockMs, nowMs)) return
      attempt.isIncarnationKnown = true
      return host.updateClock(clockMs, startedAtMs, nowMs)
    }
    host.suspectRestart(nowMs)
    this._log.warn('host.restartSuspected', { ...runLogFields(attempt), clockMs, ...host.logFields(nowMs) })
    this._effects.onRestartSuspected(host.hostId)
  }

  /** Records that the host has the run. */
  public markRunning (attempt: Attempt, nowMs: number): void {
    attempt.reportedAtMs = nowMs
    const { step: { job, spec }, isDone } = attempt.task
    job.hasStarted = true
    // The other members of a gang that is done are about to end.
    if (job.isFinished || (isDone && !spec.gang)) this.stop(attempt)
  }

  private _handleRefusal (attempt: Attempt, reason: string, nowMs: number): void {
    const { task, host } = attempt
    this._log.warn('run.refused', { ...runLogFields(attempt), reason })
    if (reason === 'ticket') task.step.advice?.expireTicket(host.hostId)
    else host.recordRefusal(nowMs + REFUSAL_PAUSE_MS)
  }

  /**
   * Frees a run that was not started. If its step is a gang, the other members are stopped: they can't run without it and would
   * wait until they end as `alone`.
   */
  private _handleNotStarted (attempt: Attempt, nowMs: number): void {
    attempt.task.notBeforeMs = nowMs + REPLACE_PAUSE_MS
    this.release(attempt)
    if (attempt.task.step.spec.gang) this.stopStep(attempt.task.step)
  }
}

/** The log fields that identify a run. */
export function runLogFields (attempt: Attempt): Record<string, string | number> {
  const { jobId, step, index, run } = attempt.ref
  return { requestId: jobId, task: `${step}.${index}`, run, host: attempt.host.hostId }
}

function reasonToStop ({ task: { step, isDone } }: Attempt): StopReason {
  if (step.job.isFinished) return step.job.phase
  return isDone && !step.spec.gang ? 'done' : 'gang'
}

/** All members of a gang have the same run number, higher than that of any earlier run of a member. */
function nextGangRun (step: Step): number {
  return Math.max(...step.tasks.map((task) => task.lastRun)) + 1
}
