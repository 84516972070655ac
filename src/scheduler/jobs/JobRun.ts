/**
 * One accepted job and its tasks: what each piece of news means for it, and what is to be done next. Free of I/O.
 *
 * A task that failed is tried again up to the retries of its profile, each time on another host; one that was stopped,
 * preempted or lost with its host is tried again without counting. The tasks of a long-running service are started
 * anew whenever they end. When a task of an all-at-once job ends without success, the others are stopped and all
 * unfinished ones start anew together.
 */

import { firstAttempt } from './TaskIds.js'
import { TaskRun } from './TaskRun.js'

import type { IJobSpec, IJobStatus, ITaskPlace, JobState } from '../../common/protocol/Types.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { IRandom, MonotonicMs } from '../../common/Types.js'

export interface IJobRules {
  readonly allAtOnce: boolean
  readonly maxRetries: number
}

export interface IJobRunContext {
  readonly taskChart: ChartTable
  readonly random: IRandom
  /** Looked up anew each time: operators may change the profile while the job runs. */
  readonly rules: () => IJobRules
}

/** A stop whose effect isn't told is asked for again. */
const STOP_AGAIN_MS = 1000

export class JobRun {
  private readonly _tasks = new Map<string, TaskRun>()
  private _isCancelled = false
  private _hasFailed = false
  /** Set once its end is in the store. */
  public storedEnd: JobState | undefined
  public isStoringEnd = false

  public constructor (public readonly job: IJobSpec, public readonly epoch: number, private readonly _context: IJobRunContext) {
    for (const spec of job.tasks) this._tasks.set(spec.taskId, new TaskRun(spec, _context.taskChart, firstAttempt(epoch)))
  }

  public get tasks (): Iterable<TaskRun> {
    return this._tasks.values()
  }

  public get isOver (): boolean {
    return [...this._tasks.values()].every((task) => task.isFinal)
  }

  public get isAllAtOnce (): boolean {
    return this._context.rules().allAtOnce && this._tasks.size > 1
  }

  /** How it ended or is going to end; nothing while that is open. */
  public get end (): JobState | undefined {
    if (this._isCancelled) return 'cancelled'
    if (this._hasFailed) return 'failed'
    return this.isOver ? 'succeeded' : undefined
  }

  public task (taskId: string): TaskRun | undefined {
    return this._tasks.get(taskId)
  }

  /** An earlier owner may have started any of its tasks. */
  public markRecovered (nowMs: MonotonicMs): void {
    for (const task of this._tasks.values()) task.markRecovered(nowMs)
  }

  /** The tasks to place now: each by itself, or of an all-at-once job all that are unfinished, once all are free. */
  public ready (nowMs: MonotonicMs): readonly TaskRun[] {
    if (this.end !== undefined) return []
    const unfinished = [...this._tasks.values()].filter((task) => !task.isFinal)
    const ready = unfinished.filter((task) => task.state === 'queued' && task.notBeforeMs <= nowMs)
    return this.isAllAtOnce && ready.length < unfinished.length ? [] : ready
  }

  /** The tasks whose attempts are to be stopped now; each is given again until its end is told. */
  public toStop (nowMs: MonotonicMs): readonly TaskRun[] {
    const due = [...this._tasks.values()].filter((task) => task.isStopWanted && nowMs - task.stopAskedAtMs >= STOP_AGAIN_MS)
    for (const task of due) task.stopAskedAtMs = nowMs
    return due
  }

  /** The scheduler that was asked won't have it: try again after a pause. */
  public refused (task: TaskRun, nowMs: MonotonicMs, retryAfterMs: number): void {
    task.step('HOST_REFUSED', nowMs)
    task.pause(nowMs, 0, this._context.random)
    task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + retryAfterMs * (0.5 + 0.5 * this._context.random.next()))
  }

  /** The scheduler may have it or not, or may have it no longer. */
  public lost (task: TaskRun, nowMs: MonotonicMs): void {
    task.lose(nowMs)
  }

  /** The link to a scheduler is gone, so news of its tasks may be missed. */
  public schedulerLost (processId: string, nowMs: MonotonicMs): void {
    for (const task of this._tasks.values()) {
      if (task.scheduler === processId) this.lost(task, nowMs)
    }
  }

  /** All schedulers have been asked, and none has it: it runs nowhere. */
  public absent (task: TaskRun, nowMs: MonotonicMs): void {
    this._endedWithoutResult(task, nowMs)
  }

  /** News of a task; false when it is of an attempt that is none of ours, and is to be stopped. */
  public update (place: ITaskPlace, from: string, nowMs: MonotonicMs): boolean {
    const task = this._tasks.get(place.taskId)
    if (task === undefined) return false
    const isLive = place.state === 'running' || place.state === 'queued'
    if (task.attempt === 0 && task.isMissing) this._takeRecovered(task, place)
    if (place.attempt !== task.attempt || task.isFinal) return !isLive
    this._take(task, place, from, nowMs)
    return true
  }

  public cancel (nowMs: MonotonicMs): void {
    this._isCancelled = true
    this._stopAll(nowMs)
  }

  public status (): IJobStatus {
    const { jobId, service, caller } = this.job
    const tasks = [...this._tasks.values()]
    const state = this.end ?? (tasks.some((task) => task.state === 'running') ? 'running' : 'accepted')
    return { jobId, service, caller, state, tasks: tasks.map((task) => task.toPlace()) }
  }

  /**
   * Of a task that an earlier owner started, a live attempt or a success is taken over. That an attempt failed or was
   * stopped says nothing, since a later one may run elsewhere.
   */
  private _takeRecovered (task: TaskRun, place: ITaskPlace): void {
    if (place.state === 'running' || place.state === 'queued' || place.state === 'succeeded') task.adopt(place.attempt)
  }

  private _take (task: TaskRun, place: ITaskPlace, from: string, nowMs: MonotonicMs): void {
    switch (place.state) {
      case 'queued': this._found(task, from); break
      case 'running': this._runs(task, place, from, nowMs); break
      case 'unsure': if (task.scheduler === from) this.lost(task, nowMs); break
      case 'succeeded': this._succeeded(task, nowMs); break
      case 'failed': this._failed(task, place, nowMs); break
      default: this._endedWithoutResult(task, nowMs)
    }
  }

  private _found (task: TaskRun, from: string): void {
    task.scheduler = from
    task.isMissing = false
  }

  private _runs (task: TaskRun, place: ITaskPlace, from: string, nowMs: MonotonicMs): void {
    task.step('HOST_RUNS', nowMs)
    task.isMissing = false
    task.scheduler = from
    task.hostId = place.hostId
    task.shardId = place.shardId
  }

  private _succeeded (task: TaskRun, nowMs: MonotonicMs): void {
    if (this.job.longRunning) {
      this._endedWithoutResult(task, nowMs)
      return
    }
    this._ensureRan(task, nowMs)
    task.step('SUCCEEDED', nowMs)
  }

  private _failed (task: TaskRun, place: ITaskPlace, nowMs: MonotonicMs): void {
    task.failures += 1
    task.avoid(place.hostId)
    const isExhausted = !this.job.longRunning && task.failures > this._context.rules().maxRetries
    if (!isExhausted || task.state === 'stopping') {
      this._endedWithoutResult(task, nowMs)
      return
    }
    this._ensureRan(task, nowMs)
    task.step('FAILED', nowMs)
    this._hasFailed = true
    this._stopAll(nowMs)
  }

  /** The news that it ran may have been overtaken by the news of its end. */
  private _ensureRan (task: TaskRun, nowMs: MonotonicMs): void {
    if (task.state === 'starting') task.step('HOST_RUNS', nowMs)
  }

  private _endedWithoutResult (task: TaskRun, nowMs: MonotonicMs): void {
    const ranMs = task.state === 'running' ? nowMs - task.sinceMs : 0
    task.step('HOST_ENDED', nowMs)
    if (task.isFinal) return
    task.pause(nowMs, ranMs, this._context.random)
    if (this.isAllAtOnce) this._regroup(task)
  }

  private _regroup (ended: TaskRun): void {
    for (const task of this._tasks.values()) {
      if (task !== ended && !task.isFinal && task.state !== 'queued') task.isStopWanted = true
    }
  }

  private _stopAll (nowMs: MonotonicMs): void {
    for (const task of this._tasks.values()) {
      if (task.isFinal) continue
      task.step('CANCEL', nowMs)
      if (!task.isFinal) task.isStopWanted = true
    }
  }
}
