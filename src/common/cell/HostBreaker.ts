/**
 * The circuit breaker of one host. A host that fails what it starts ends its tasks at once, so it always has the most free resources and
 * would attract all work: jobs would fail for good although nothing is wrong with them.
 *
 * Closed, it admits any work. It opens after failures of different jobs in a row, since a job that can't succeed fails on every host. After
 * a pause it is half open and admits one trial: if the trial succeeds, it closes, if it fails, the next pause is longer. Failures of runs
 * that were started before the pause say nothing new. Work that the other hosts can't run, or have no room for, waits for a shorter pause.
 * Designed for hosts that fail for some seconds, alone or all at once, and for hosts that fail until they are replaced.
 */

import type { MonotonicMs } from '../Types.js'

/** The number of consecutive failures of different jobs after which a host is suspected to fail every task. */
const SUSPECT_FAILURES = 3
/** How long a suspected host gets no work before it is tried, in ms, and how many times as long with each failed trial after such a pause. */
const FIRST_PAUSE_MS = 2000
const PAUSE_FACTOR = 4
const MAX_PAUSE_MS = 32_000
/** The longest pause for a task that no other host has room for, in ms. */
const MAX_NO_ROOM_PAUSE_MS = 8000
/** The longest pause for a task that no other host can run, in ms. */
const MAX_ONLY_CHOICE_PAUSE_MS = 1000
/** A task whose job would fail for good with its next failure starts on a host only this long after a failure there, in ms. */
const LAST_ATTEMPT_PAUSE_MS = 5000
/** A trial that has run for this long without failing has succeeded, in ms: other work can't wait for the end of a long one. */
const MAX_TRIAL_MS = 4000
/** The same for a task that lasts, in ms: it has no end to wait for, and must not be down for long. */
const MAX_LASTING_TRIAL_MS = 2000

const MAX_TRIAL_PAUSES_MS = { room: MAX_PAUSE_MS, noRoom: MAX_NO_ROOM_PAUSE_MS, none: MAX_ONLY_CHOICE_PAUSE_MS } as const

/** A run, as far as the breaker judges by it. */
export interface ITrialRun {
  readonly preparedAtMs: MonotonicMs
}

/** Which task could be tried. */
export interface ITrialTask {
  /** Whether other hosts can run it: they have room for it now, will have, or can't. */
  readonly others: 'room' | 'noRoom' | 'none'
  /** Its job fails for good if the trial fails. */
  readonly isLastAttempt: boolean
}

export class HostBreaker {
  private _failures = 0
  private _lastFailedJob = ''
  private _pauseMs = FIRST_PAUSE_MS
  /** When it opened; Infinity if it is closed. */
  private _openedAtMs: MonotonicMs = Infinity
  /** When the last failure was seen that counts. */
  private _failedAtMs: MonotonicMs = -Infinity
  /** Whether it was closed by a trial that had not ended, and no run has succeeded since. */
  private _isOnProbation = false

  public get isClosed (): boolean {
    return this._openedAtMs === Infinity
  }

  /** The length of the present pause or of the next one, in ms. */
  public get pauseMs (): number {
    return this._pauseMs
  }

  /** Whether it is closed or half open. */
  public isPauseOver (nowMs: MonotonicMs): boolean {
    return this.isClosed || nowMs >= this._failedAtMs + this._pauseMs
  }

  /** Whether the open breaker admits a trial with such a task, if none runs. */
  public admitsTrial ({ others, isLastAttempt }: ITrialTask, nowMs: MonotonicMs): boolean {
    const pauseMs = Math.min(this._pauseMs, MAX_TRIAL_PAUSES_MS[others])
    return nowMs >= this._failedAtMs + (isLastAttempt ? Math.max(pauseMs, LAST_ATTEMPT_PAUSE_MS) : pauseMs)
  }

  /** Whether the last attempt of a task has to go elsewhere or to wait: the host has failed a run lately and none has succeeded since. */
  public hasFailedLately (nowMs: MonotonicMs): boolean {
    return this._failures > 0 && nowMs < this._failedAtMs + LAST_ATTEMPT_PAUSE_MS
  }

  /** Whether the run was started as a trial: while the breaker was open. */
  public isTrial ({ preparedAtMs }: ITrialRun): boolean {
    return preparedAtMs > this._openedAtMs
  }

  /** Records that a run has ended successfully. Returns whether that has closed the breaker. */
  public recordSuccess (run: ITrialRun): boolean {
    if (!this.isClosed && !this.isTrial(run)) return false
    const wasOpen = !this.isClosed
    this._failures = 0
    this._pauseMs = FIRST_PAUSE_MS
    this._isOnProbation = false
    this._openedAtMs = Infinity
    return wasOpen
  }

  /** Records that a trial runs without having failed for `ranMs`. Returns whether that has closed the breaker. */
  public recordProgress (run: ITrialRun, ranMs: number, isLasting: boolean): boolean {
    if (!this.isTrial(run) || ranMs < (isLasting ? MAX_LASTING_TRIAL_MS : MAX_TRIAL_MS)) return false
    // The next failure opens it again.
    this._failures = SUSPECT_FAILURES - 1
    this._lastFailedJob = ''
    this._isOnProbation = true
    this._openedAtMs = Infinity
    return true
  }

  /** Records a failed run. Returns whether that has opened the breaker, or has begun another pause. */
  public recordFailure (jobId: string, run: ITrialRun, nowMs: MonotonicMs): boolean {
    if (this.isClosed) return this._recordClosedFailure(jobId, nowMs)
    if (!this.isTrial(run)) return false
    // A trial before the end of the pause was made since other hosts couldn't run the task. The host is tried often as long as that holds.
    if (run.preparedAtMs >= this._failedAtMs + this._pauseMs) this._lengthenPause()
    this._open(nowMs)
    return true
  }

  private _recordClosedFailure (jobId: string, nowMs: MonotonicMs): boolean {
    if (jobId === this._lastFailedJob) return false
    this._lastFailedJob = jobId
    this._failedAtMs = nowMs
    this._failures += 1
    if (this._failures < SUSPECT_FAILURES) return false
    if (this._isOnProbation) this._lengthenPause()
    this._open(nowMs)
    return true
  }

  private _open (nowMs: MonotonicMs): void {
    this._failures = 0
    this._lastFailedJob = ''
    this._isOnProbation = false
    this._openedAtMs = nowMs
    this._failedAtMs = nowMs
  }

  private _lengthenPause (): void {
    this._pauseMs = Math.min(MAX_PAUSE_MS, this._pauseMs * PAUSE_FACTOR)
  }
}
