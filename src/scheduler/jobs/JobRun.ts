/**
 * One accepted job and its tasks: applies updates of its tasks and decides which tasks to place or stop next. Does no I/O.
 *
 * A failed task is retried up to the retries of its profile, each time on another host. A task that was stopped,
 * preempted or lost with its host is started again without using up a retry. The tasks of a long-running service are
 * started again whenever they end. When a task of an all-at-once job ends without success, the other tasks are stopped,
 * and all unfinished tasks start again together.
 */

import { firstAttempt } from './TaskIds.js'
import { TaskRun } from './TaskRun.js'

import type { IJobSpec, IJobStatus, ITaskPlacement, JobState } from '../../common/protocol/Types.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { IRandom, MonotonicMs } from '../../common/Types.js'

export interface IJobRules {
  readonly allAtOnce: boolean
  readonly maxRetries: number
}

export interface IJobRunContext {
  readonly taskChart: ChartTable
  readonly random: IRandom
  /** Called each time the rules are needed, because operators may change the profile while the job runs. */
  readonly rules: () => IJobRules
}

/** A stop is requested again after this time if the end of the attempt hasn't been reported. */
const STOP_RETRY_MS = 1000

export class JobRun {
  private readonly _tasks = new Map<string, TaskRun>()
  private _isCancelled = false
  private _hasFailed = false
  /** Set once the job's end is in the store. */
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

  /** How the job ended or is going to end; undefined while that is open. */
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

  /** The tasks to place now. Of an all-at-once job, either all unfinished tasks, once all of them can be placed, or none. */
  public tasksToPlace (nowMs: MonotonicMs): readonly TaskRun[] {
    if (this.end !== undefined) return []
    const unfinished = [...this._tasks.values()].filter((task) => !task.isFinal)
    const ready = unfinished.filter((task) => task.state === 'queued' && task.notBeforeMs <= nowMs)
    return this.isAllAtOnce && ready.length < unfinished.length ? [] : ready
  }

  /** The tasks whose attempts are to be stopped now; each is returned repeatedly until its end is reported. */
  public tasksToStop (nowMs: MonotonicMs): readonly TaskRun[] {
    const due = [...this._tasks.values()].filter((task) => task.isStopWanted && nowMs - task.stopRequestedAtMs >= STOP_RETRY_MS)
    for (const task of due) task.stopRequestedAtMs = nowMs
    return due
  }

  /** The scheduler refused the task: it is placed again after a pause. */
  public markRefused (task: TaskRun, nowMs: MonotonicMs, retryAfterMs: number): void {
    task.applyEvent('HOST_REFUSED', nowMs)
    task.postpone(nowMs, 0, this._context.random)
    task.notBeforeMs = Math.max(task.notBeforeMs, nowMs + retryAfterMs * (0.5 + 0.5 * this._context.random.next()))
  }

  /** It is unknown whether the scheduler holds the task. */
  public markLost (task: TaskRun, nowMs: MonotonicMs): void {
    task.markLost(nowMs)
  }

  /** The link to a scheduler is gone, so updates of its tasks may be lost. */
  public markLostAt (processId: string, nowMs: MonotonicMs): void {
    for (const task of this._tasks.values()) {
      if (task.scheduler === processId) this.markLost(task, nowMs)
    }
  }

  /** No scheduler holds the task, after all have been asked: it runs nowhere. */
  public markAbsent (task: TaskRun, nowMs: MonotonicMs): void {
    this._handleEndWithoutSuccess(task, nowMs)
  }

  /** Applies an update of a task; false if its attempt doesn't belong to the job, and must be stopped if it is live. */
  public applyUpdate (place: ITaskPlacement, from: string, nowMs: MonotonicMs): boolean {
    const task = this._tasks.get(place.taskId)
    if (task === undefined) return false
    const isLive = place.state === 'running' || place.state === 'queued'
    if (task.attempt === 0 && task.isMissing) this._adoptRecovered(task, place)
    if (place.attempt !== task.attempt || task.isFinal) return !isLive
    this._applyPlace(task, place, from, nowMs)
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
   * Adopts an attempt that an earlier owner started if it is live or has succeeded. A failed or stopped attempt is
   * ignored, because a later attempt may run elsewhere.
   */
  private _adoptRecovered (task: TaskRun, place: ITaskPlacement): void {
    if (place.state === 'running' || place.state === 'queued' || place.state === 'succeeded') task.adoptAttempt(place.attempt)
  }

  private _applyPlace (task: TaskRun, place: ITaskPlacement, from: string, nowMs: MonotonicMs): void {
    switch (place.state) {
      case 'queued': this._markQueuedAt(task, from); break
      case 'running': this._markRunning(task, place, from, nowMs); break
      case 'unsure': if (task.scheduler === from) this.markLost(task, nowMs); break
      case 'succeeded': this._handleSuccess(task, nowMs); break
      case 'failed': this._handleFailure(task, place, nowMs); break
      default: this._handleEndWithoutSuccess(task, nowMs)
    }
  }

  private _markQueuedAt (task: TaskRun, from: string): void {
    task.scheduler = from
    task.isMissing = false
  }

  private _markRunning (task: TaskRun, place: ITaskPlacement, from: string, nowMs: MonotonicMs): void {
    task.applyEvent('HOST_RUNS', nowMs)
    task.isMissing = false
    task.scheduler = from
    task.hostId = place.hostId
    task.shardId = place.shardId
  }

  private _handleSuccess (task: TaskRun, nowMs: MonotonicMs): void {
    if (this.job.longRunning) {
      this._handleEndWithoutSuccess(task, nowMs)
      return
    }
    this._ensureRunning(task, nowMs)
    task.applyEvent('SUCCEEDED', nowMs)
  }

  private _handleFailure (task: TaskRun, place: ITaskPlacement, nowMs: MonotonicMs): void {
    task.failures += 1
    task.avoidHost(place.hostId)
    const isExhausted = !this.job.longRunning && task.failures > this._context.rules().maxRetries
    if (!isExhausted || task.state === 'stopping') {
      this._handleEndWithoutSuccess(task, nowMs)
      return
    }
    this._ensureRunning(task, nowMs)
    task.applyEvent('FAILED', nowMs)
    this._hasFailed = true
    this._stopAll(nowMs)
  }

  /** Marks a starting task as running: the update of its end may have overtaken the update that it runs. */
  private _ensureRunning (task: TaskRun, nowMs: MonotonicMs): void {
    if (task.state === 'starting') task.applyEvent('HOST_RUNS', nowMs)
  }

  private _handleEndWithoutSuccess (task: TaskRun, nowMs: MonotonicMs): void {
    const ranMs = task.state === 'running' ? nowMs - task.stateSinceMs : 0
    task.applyEvent('HOST_ENDED', nowMs)
    if (task.isFinal) return
    task.postpone(nowMs, ranMs, this._context.random)
    if (this.isAllAtOnce) this._stopOthers(task)
  }

  private _stopOthers (ended: TaskRun): void {
    for (const task of this._tasks.values()) {
      if (task !== ended && !task.isFinal && task.state !== 'queued') task.isStopWanted = true
    }
  }

  private _stopAll (nowMs: MonotonicMs): void {
    for (const task of this._tasks.values()) {
      if (task.isFinal) continue
      task.applyEvent('CANCEL', nowMs)
      if (!task.isFinal) task.isStopWanted = true
    }
  }
}
