/**
 * Applies a host's report of its runs and ends to the jobs. A run counts as gone only when that is certain: its end is listed, two lists
 * that would have to show it don't, the host has left, or every lease of the run has ended.
 */

import type { ILogger } from '../observability/Types.js'
import type { EpochMs, IClock, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import { applyEnd, storeCheckpoint } from './EndRules.js'
import type { HostSpeeds } from './HostSpeeds.js'
import { ABSENCE_CONFIRM_MS, confirmableAtMs } from './HostState.js'
import type { HostState } from './HostState.js'
import type { Job, Task } from './Job.js'
import { mayOrderAgain } from './OpenStarts.js'
import { runLogFields } from './RunController.js'
import type { RunController } from './RunController.js'
import type { RunTimes } from './RunTimes.js'
import type { IEndRow, IHoldAnswer, IRunRef, StopOutcome } from './Types.js'

export interface IHoldAnswerEffects {
  save (job: Job): Promise<void>
  count (name: string, kind: string): void
  /** Returns the task of a run; undefined if its job is not known. */
  findTask (ref: IRunRef): Task | undefined
  /** Stops a run that this owner doesn't know. */
  stopUnknown (host: HostState, ref: IRunRef): Promise<StopOutcome>
}

export class HoldAnswerHandler {
  public constructor (
    private readonly _runs: RunController,
    private readonly _speeds: HostSpeeds,
    private readonly _times: RunTimes,
    private readonly _effects: IHoldAnswerEffects,
    private readonly _clock: IClock,
    private readonly _log: ILogger
  ) {}

  /** @param sentAtMs when the list was requested: it shows every run that was known to exist by then */
  public applyAnswer (host: HostState, answer: IHoldAnswer, sentAtMs: MonotonicMs): void {
    const nowMs = this._clock.nowMs()
    if (answer.unreadableRows > 0) this._log.error('host.rowsUnreadable', { host: host.hostId, rows: answer.unreadableRows })
    if (answer.bornMs !== host.bornMs) this._recordRestart(host, answer.bornMs, nowMs)
    else if (!host.isFenced && host.isUnderFence(sentAtMs)) this._confirmFence(host, answer.clockMs)
    host.updateClock(answer.clockMs, sentAtMs, nowMs)
    host.recordList(sentAtMs)
    const changed = new Set<Job>()
    const listed = this._applyRunning(host, answer, nowMs)
    this._applyEnds(host, answer, changed, nowMs)
    // Until the host answers under the fence of its present incarnation, a run that the list lacks may still start there.
    if (host.isFenced && !answer.moreEnds) this._dropAbsent(host, answer, listed, sentAtMs, changed)
    this._speeds.update(host, nowMs)
    this._storeEnds(host, changed)
  }

  private _recordRestart (host: HostState, bornMs: EpochMs, nowMs: MonotonicMs): void {
    const earlierBornMs = host.bornMs
    host.resetAfterRestart(bornMs, nowMs)
    this._log.warn('host.reborn', { host: host.hostId, runs: host.attempts.size, bornMs, earlierBornMs, fence: host.fence })
  }

  private _confirmFence (host: HostState, clockMs: number): void {
    host.confirmFence(clockMs)
    this._log.debug('host.fenced', { host: host.hostId, runs: host.attempts.size, bornMs: host.bornMs, fence: host.fence })
  }

  /**
   * Gives up the runs of a host that has left, or has been silent for longer than the leases that its known incarnation may have granted; a run
   * whose order another incarnation may have carried out, once no incarnation can hold a lease. The jobs are stored without these runs: the next
   * owner knows nothing of the host, and would wait until its leases have ended.
   */
  public loseLapsedRuns (host: HostState): void {
    const reason = host.hasLeft ? 'the host has left' : 'all leases of the silent host have ended'
    const nowMs = this._clock.nowMs()
    const lost = [...host.attempts].filter((attempt) => attempt.wasOrdered && host.hasLapsedFor(attempt, nowMs))
    for (const attempt of lost) this._loseRun(attempt, reason)
    for (const job of new Set(lost.map(({ task }) => task.step.job))) {
      this._effects.save(job).catch((error: unknown) => { this._log.error('run.recordFailed', { requestId: job.spec.jobId, reason: String(error) }) })
    }
  }

  private _applyRunning (host: HostState, answer: IHoldAnswer, nowMs: MonotonicMs): ReadonlySet<Attempt> {
    const listed = new Set<Attempt>()
    const hadUnknownRuns = host.hasUnknownRuns
    host.hasUnknownRuns = false
    for (const row of answer.running) {
      const attempt = findAttempt(host, row.ref)
      if (attempt === undefined) {
        host.hasUnknownRuns = true
        this._stopUnknown(host, row.ref)
        continue
      }
      listed.add(attempt)
      attempt.recordListed(host.bornMs)
      attempt.transition('LISTED')
      attempt.updatePercent(row.percent, nowMs)
      if (row.checkpoint !== '') {
        if (row.checkpoint !== attempt.task.checkpoint) attempt.checkpointAtMs = nowMs
        storeCheckpoint(attempt.task, row.checkpoint)
      }
      this._runs.markRunning(attempt, nowMs)
      if (attempt.phase === 'stopping') this._runs.stop(attempt)
    }
    // An unknown run uses room that the owner takes for free until its end is listed, which may be some time after it is missing here.
    if (hadUnknownRuns && !host.hasUnknownRuns) host.recordRefusal(nowMs + ABSENCE_CONFIRM_MS)
    return listed
  }

  private _applyEnds (host: HostState, answer: IHoldAnswer, changed: Set<Job>, nowMs: MonotonicMs): void {
    for (const row of [...answer.ended].sort((a, b) => a.sequence - b.sequence)) {
      if (row.sequence <= host.appliedSequence) continue
      this._checkSequence(host, row)
      host.appliedSequence = row.sequence
      host.isSequenceKnown = true
      const attempt = findAttempt(host, row.ref)
      if (attempt === undefined) this._applyLateEnd(host, row, changed, nowMs)
      else this._applyEnd(host, attempt, row, changed, nowMs)
    }
  }

  /** Logs if the host has forgotten ends that this owner never saw. The ends before the first that it sees were acknowledged by earlier owners. */
  private _checkSequence (host: HostState, { sequence }: IEndRow): void {
    const { appliedSequence } = host
    if (!host.isSequenceKnown || sequence === appliedSequence + 1) return
    this._log.error('host.endsMissed', { host: host.hostId, bornMs: host.bornMs, appliedSequence, sequence })
  }

  /**
   * Applies the end of a run that this owner doesn't hold: it gave the run up, or an earlier owner has stored the end and not acknowledged it.
   * If the task is done after all, it must not start again. A failure counts only if the owner gave the run up, or it could count twice.
   */
  private _applyLateEnd (host: HostState, row: IEndRow, changed: Set<Job>, nowMs: MonotonicMs): void {
    const { ref, end, sequence } = row
    const task = this._effects.findTask(ref)
    const isNews = task !== undefined && !task.isDone && !task.step.job.isFinished && !task.step.spec.longRunning
    this._effects.count('late_ends', isNews ? end : 'known')
    const { jobId, step, index, run } = ref
    const state = { isNews, lastRun: task?.lastRun, phase: task?.attempt?.phase, runsOn: task?.attempt?.host.hostId }
    this._log[isNews ? 'warn' : 'info']('run.lateEnd', { requestId: jobId, task: `${step}.${index}`, run, host: host.hostId, end, sequence, ...state })
    if (!isNews || !(end === 'done' || (end === 'failed' && task.lostRuns.has(run)))) return
    task.lostRuns.delete(run)
    applyEnd(task, run, end, row.checkpoint, host.hostId, nowMs)
    changed.add(task.step.job)
    this._stopNeedlessRuns(task)
  }

  /** Stops the runs that are no longer needed after a late end. */
  private _stopNeedlessRuns (task: Task): void {
    const { step } = task
    if (step.job.isFinished) this._runs.stopAll(step.job)
    if (step.spec.gang && step.isDone) this._runs.stopStep(step)
    else if (task.isDone && task.attempt !== undefined) this._runs.stop(task.attempt)
  }

  private _applyEnd (host: HostState, attempt: Attempt, row: IEndRow, changed: Set<Job>, nowMs: MonotonicMs): void {
    const { task } = attempt
    const { job } = task.step
    if (!attempt.transition('ENDED')) return
    attempt.recordArrival()
    const { stopReason, startedAtMs } = attempt
    const { cpuMillicores } = task.step.spec
    this._log.info('run.ended', { ...runLogFields(attempt), end: row.end, stopReason, ranMs: Math.round(nowMs - startedAtMs), cpuMillicores })
    this._effects.count('ends', row.end)
    applyEnd(task, row.ref.run, row.end, row.checkpoint, host.hostId, nowMs)
    // A later incarnation of the host would carry out another order of the run beside the next run of the task.
    if (attempt.isOrderOpen(nowMs)) task.notBeforeMs = Math.max(task.notBeforeMs, attempt.orderOpenUntilMs)
    if (row.end === 'done') {
      if (host.breaker.recordSuccess(attempt)) this._log.info('host.resumed', { ...runLogFields(attempt), reason: 'trialDone' })
      this._times.recordDone(attempt, nowMs)
      this._speeds.recordDone(attempt, nowMs)
    }
    if (row.end === 'failed' && host.breaker.recordFailure(job.spec.jobId, attempt, nowMs)) {
      this._log.warn('host.paused', { ...runLogFields(attempt), reason: 'failures', pauseMs: host.breaker.pauseMs })
    }
    this._runs.release(attempt)
    changed.add(job)
    if (job.isFinished) this._runs.stopAll(job)
    else if (task.step.spec.gang && row.end !== 'done') this._runs.stopStep(task.step)
  }

  /**
   * Gives up runs that are missing from the list, if they were known to run, or their stop was confirmed, before the list was requested, and
   * an earlier list lacked them, too. A run whose start order may still be carried out is ordered again, or is waited for if it may not be.
   */
  private _dropAbsent (
    host: HostState, answer: IHoldAnswer, listed: ReadonlySet<Attempt>, sentAtMs: MonotonicMs, changed: Set<Job>
  ): void {
    const nowMs = this._clock.nowMs()
    for (const attempt of [...host.attempts]) {
      const isOpen = attempt.isOrderOpen(nowMs) && !attempt.task.step.job.isFinished
      const mustWait = isOpen && !mayOrderAgain(attempt, nowMs)
      if (listed.has(attempt) || mustWait || !this._isAbsent(attempt, answer, sentAtMs, isOpen)) {
        attempt.missingSinceMs = Infinity
        continue
      }
      if (attempt.missingSinceMs === Infinity) this._markMissing(attempt)
      // An order of this owner that had no answer is sent again without delay: the host starts the run only once.
      const isConfirmed = (isOpen && attempt.phase === 'unsure') || sentAtMs >= confirmableAtMs(attempt)
      if (!isConfirmed) continue
      if (isOpen) {
        this._runs.orderAgain(attempt)
        continue
      }
      changed.add(attempt.task.step.job)
      this._loseRun(attempt, 'not listed')
    }
  }

  private _markMissing (attempt: Attempt): void {
    attempt.missingSinceMs = this._clock.nowMs()
    this._log.info('run.missing', { ...runLogFields(attempt), phase: attempt.phase })
  }

  private _isAbsent (attempt: Attempt, answer: IHoldAnswer, sentAtMs: MonotonicMs, isOrderOpen: boolean): boolean {
    const { host, phase, fence } = attempt
    // The host refuses orders with a lower fence once it has the one that was sent with the request for this list.
    if (phase !== 'preparing' && fence < host.fence && host.isUnderFence(sentAtMs)) return true
    switch (phase) {
      case 'unsure': return answer.clockMs > attempt.deadlineMs || (isOrderOpen && attempt.startedAtMs < sentAtMs)
      case 'running': return attempt.reportedAtMs < sentAtMs
      case 'stopping': return attempt.stopConfirmedAtMs < sentAtMs || answer.clockMs > attempt.deadlineMs
      default: return false
    }
  }

  private _loseRun (attempt: Attempt, reason: string): void {
    const { phase } = attempt
    if (!attempt.transition('LOST') && !attempt.transition('NOT_RUN')) return
    this._effects.count('ends', 'lost')
    attempt.task.lostRuns.add(attempt.run)
    this._log.warn('run.lost', { ...runLogFields(attempt), reason, phase, ...attempt.host.logFields(this._clock.nowMs()) })
    this._runs.release(attempt)
    const { step } = attempt.task
    if (step.spec.gang && !step.isDone) this._runs.stopStep(step)
  }

  /** Stores the effect of the applied ends. The host may forget ends only after that, since the next owner could learn of them nowhere else. */
  private _storeEnds (host: HostState, changed: ReadonlySet<Job>): void {
    const { appliedSequence, bornMs } = host
    const saved = Promise.all([...changed].map(async (job) => { await this._effects.save(job) }))
    // Strictly in order: an end may be forgotten only when all earlier ones are stored, too.
    host.endsStored = host.endsStored.then(async () => { await saved }).then(() => {
      if (host.bornMs === bornMs) host.storedSequence = Math.max(host.storedSequence, appliedSequence)
    }, (error: unknown) => { this._log.error('host.storeEndsFailed', { host: host.hostId, reason: String(error) }) })
  }

  private _stopUnknown (host: HostState, ref: IRunRef): void {
    this._log.warn('run.unknown', { requestId: ref.jobId, task: `${ref.step}.${ref.index}`, run: ref.run, host: host.hostId })
    this._effects.stopUnknown(host, ref)
      .catch((error: unknown) => { this._log.error('run.stopFailed', { requestId: ref.jobId, reason: String(error) }) })
  }
}

function findAttempt (host: HostState, ref: IRunRef): Attempt | undefined {
  for (const attempt of host.attempts) {
    const { task, run } = attempt
    if (run === ref.run && task.index === ref.index && task.step.number === ref.step && task.step.job.spec.jobId === ref.jobId) return attempt
  }
  return undefined
}
