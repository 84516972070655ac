/**
 * Sends the tasks of jobs to schedulers and stops them there. The schedulers' answers, and missing answers, are applied to
 * the job.
 */

import { AmbiguousError } from '../../common/Errors.js'
import { GroupReserver } from './GroupReserver.js'

import type { IPlaceReply, IPlaceTaskRequest, ITaskPlacement } from '../../common/protocol/Types.js'
import type { PeerError } from '../../peer/Types.js'
import type { JobRun } from './JobRun.js'
import type { SchedulerChoice } from './SchedulerChoice.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobOwnerContext } from './Types.js'

const CALL_TIMEOUT_MS = 2000
const REFUSED_RETRY_MS = 500
const NO_SCHEDULER_RETRY_MS = 500
/** A task that has been queued for this time may move to a scheduler with room. */
const MOVE_AFTER_MS = 2000
/** Most tasks of one job that are moved at a time, because the load summaries behind a move may be a second old. */
const MAX_MOVES = 16

export class TaskSender {
  private readonly _reserver: GroupReserver

  public constructor (private readonly _context: IJobOwnerContext, private readonly _choice: SchedulerChoice) {
    this._reserver = new GroupReserver(_context)
  }

  /** Sends the tasks that can be placed now; `onChange` is called after an answer that changed the job. */
  public sendTasks (run: JobRun, onChange: () => void): void {
    const nowMs = this._context.clock.nowMs()
    const ready = run.tasksToPlace(nowMs)
    if (ready.length === 0) return
    if (run.isAllAtOnce) this._sendGroup(run, ready, onChange)
    else for (const task of ready) this._sendTask(run, task, onChange)
  }

  /** Requests the stop of all tasks that are to be stopped, at the schedulers that hold them. */
  public stopTasks (run: JobRun): void {
    for (const task of run.tasksToStop(this._context.clock.nowMs())) {
      if (task.scheduler === undefined || task.isMissing) continue
      this._stopAt(run, task, task.scheduler)
    }
  }

  /** Stops an attempt that belongs to no live job of this process: an earlier owner began it, or its job has ended. */
  public stopStray (jobId: string, place: ITaskPlacement, scheduler: string): void {
    const { taskId, attempt } = place
    this._context.log.info('job.strayAttempt', { peer: scheduler, step: 'job.stopStray', jobId, taskId, attempt })
    this._context.peers.call(scheduler, 'cancelTask', { jobId, taskId, attempt }, CALL_TIMEOUT_MS)
  }

  /**
   * Takes waiting tasks out of the queue of their scheduler while another scheduler has room, so that they are sent again.
   *
   * When one scheduler gets a burst, its hosts are full while hosts of other schedulers may become free, and its tasks would
   * wait although there are idle hosts. A task moves only after it has waited for some time, and only if another scheduler
   * has room and its own has none, so that tasks don't move back and forth.
   */
  public moveWaiting (run: JobRun): void {
    if (run.isAllAtOnce || run.end !== undefined) return
    const nowMs = this._context.clock.nowMs()
    let moves = 0
    for (const task of run.tasks) {
      if (moves >= MAX_MOVES) return
      const isWaiting = task.state === 'starting' && nowMs - task.stateSinceMs >= MOVE_AFTER_MS
      if (!isWaiting || task.scheduler === undefined || !this._choice.hasRoomElsewhere(task.spec.resources, task.scheduler)) continue
      moves += 1
      const { jobId } = run.job
      const request = { jobId, taskId: task.spec.taskId, attempt: task.attempt, onlyIfQueued: true }
      this._context.peers.call(task.scheduler, 'cancelTask', request, CALL_TIMEOUT_MS)
    }
  }

  private async _sendTask (run: JobRun, task: TaskRun, onChange: () => void): Promise<void> {
    const scheduler = this._choice.chooseForTask(task.spec.resources)
    if (scheduler === undefined) {
      this._postpone([task])
      return
    }
    task.beginAttempt(scheduler, this._context.clock.nowMs())
    const { attempt } = task
    const reply = await this._context.peers.call(scheduler, 'placeTask', this._toRequest(run, task), CALL_TIMEOUT_MS)
    if (task.attempt !== attempt || task.state !== 'starting') return
    reply.match((placed) => { this._handleReply(run, [task], placed) }, (error) => { this._handleError(run, [task], error) })
    if (reply.isErr() || !reply.value.accepted) onChange()
  }

  private async _sendGroup (run: JobRun, tasks: readonly TaskRun[], onChange: () => void): Promise<void> {
    const scheduler = this._choice.chooseForGroup(tasks.map((task) => task.spec.resources))
    if (scheduler === undefined) {
      await this._reserveGroup(run, tasks)
      onChange()
      return
    }
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) task.beginAttempt(scheduler, nowMs)
    const attempts = new Map(tasks.map((task) => [task, task.attempt]))
    const request = { jobId: run.job.jobId, tasks: tasks.map((task) => this._toRequest(run, task)) }
    const reply = await this._context.peers.call(scheduler, 'placeGroup', request, CALL_TIMEOUT_MS)
    const unstarted = tasks.filter((task) => task.attempt === attempts.get(task) && task.state === 'starting')
    reply.match((placed) => { this._handleReply(run, unstarted, placed) }, (error) => { this._handleError(run, unstarted, error) })
    if (reply.isErr() || !reply.value.accepted) onChange()
  }

  private async _reserveGroup (run: JobRun, tasks: readonly TaskRun[]): Promise<void> {
    const schedulers = this._choice.schedulersWithWorkers()
    if (schedulers.length === 0) {
      this._postpone(tasks)
      return
    }
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) task.beginAttempt(undefined, nowMs)
    await this._reserver.place(run, tasks, tasks.map((task) => this._toRequest(run, task)), schedulers)
  }

  private _handleReply (run: JobRun, tasks: readonly TaskRun[], reply: IPlaceReply): void {
    if (reply.accepted) return
    const nowMs = this._context.clock.nowMs()
    this._context.log.debug('job.placeRefused', { step: 'job.place', jobId: run.job.jobId, reason: reply.reason })
    for (const task of tasks) run.markRefused(task, nowMs, reply.retryAfterMs ?? REFUSED_RETRY_MS)
  }

  /** Handles a call without an answer: the tasks may be queued or run there. They may go elsewhere only if they were never sent. */
  private _handleError (run: JobRun, tasks: readonly TaskRun[], error: PeerError): void {
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) {
      if (error instanceof AmbiguousError) run.markLost(task, nowMs)
      else run.markRefused(task, nowMs, REFUSED_RETRY_MS)
    }
  }

  private async _stopAt (run: JobRun, task: TaskRun, scheduler: string): Promise<void> {
    const { attempt } = task
    const request = { jobId: run.job.jobId, taskId: task.spec.taskId, attempt }
    const reply = await this._context.peers.call(scheduler, 'cancelTask', request, CALL_TIMEOUT_MS)
    // The scheduler doesn't hold the task, and its end hasn't been reported: the task must be located.
    const isUnknown = reply.isOk() && !reply.value.known
    if (isUnknown && task.attempt === attempt && task.scheduler === scheduler && !task.isFinal) run.markLost(task, this._context.clock.nowMs())
  }

  private _postpone (tasks: readonly TaskRun[]): void {
    const notBeforeMs = this._context.clock.nowMs() + NO_SCHEDULER_RETRY_MS
    for (const task of tasks) task.notBeforeMs = notBeforeMs
  }

  private _toRequest (run: JobRun, task: TaskRun): IPlaceTaskRequest {
    const { jobId, service, caller } = run.job
    return {
      jobId,
      service,
      caller,
      task: task.spec,
      attempt: task.attempt,
      jobOwner: this._context.peers.self.processId,
      ownerEpoch: run.epoch,
      avoidHostIds: task.avoidHostIds
    }
  }
}
