/**
 * Sends the tasks of jobs to schedulers, and stops them there. What a scheduler answers, or that it doesn't, goes back
 * into the job.
 */

import { AmbiguousError } from '../../common/Errors.js'
import { GroupReserver } from './GroupReserver.js'

import type { IPlaceReply, IPlaceTask, ITaskPlace } from '../../common/protocol/Types.js'
import type { PeerError } from '../../peer/Types.js'
import type { JobRun } from './JobRun.js'
import type { SchedulerChoice } from './SchedulerChoice.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobOwnerContext } from './Types.js'

const CALL_TIMEOUT_MS = 2000
const REFUSED_RETRY_MS = 500
const NOBODY_RETRY_MS = 500
/** A task that has been queued this long may move to a scheduler with room. */
const SHIFT_AFTER_MS = 2000
/** Tasks of one job that move at one time: the summaries that speak for a move are a second old. */
const MAX_SHIFTS = 16

export class TaskSender {
  private readonly _reserver: GroupReserver

  public constructor (private readonly _context: IJobOwnerContext, private readonly _choice: SchedulerChoice) {
    this._reserver = new GroupReserver(_context)
  }

  /** Places what is ready; `onChange` is called when an answer has changed something. */
  public send (run: JobRun, onChange: () => void): void {
    const nowMs = this._context.clock.nowMs()
    const ready = run.ready(nowMs)
    if (ready.length === 0) return
    if (run.isAllAtOnce) this._sendGroup(run, ready, onChange)
    else for (const task of ready) this._sendOne(run, task, onChange)
  }

  /** Stops what is to be stopped, at the scheduler that has it. */
  public stop (run: JobRun): void {
    for (const task of run.toStop(this._context.clock.nowMs())) {
      if (task.scheduler === undefined || task.isMissing) continue
      this._stopAt(run, task, task.scheduler)
    }
  }

  /** An attempt that none of our jobs has; an earlier owner began it, or its job has ended. */
  public stopStray (jobId: string, place: ITaskPlace, at: string): void {
    const { taskId, attempt } = place
    this._context.log.info('job.strayAttempt', { peer: at, step: 'job.stopStray', jobId, taskId, attempt })
    this._context.peers.call(at, 'cancelTask', { jobId, taskId, attempt }, CALL_TIMEOUT_MS)
  }

  /**
   * Moves tasks that wait while another scheduler has room.
   *
   * Made for skewed demand: one scheduler got a burst and its hosts are full, while others have come free since. One
   * would see tasks wait beside idle hosts. A task moves only after it has waited a while, and only to one with room
   * while its own has none, so that tasks don't swing to and fro.
   */
  public shift (run: JobRun): void {
    if (run.isAllAtOnce || run.end !== undefined) return
    const nowMs = this._context.clock.nowMs()
    let shifts = 0
    for (const task of run.tasks) {
      if (shifts >= MAX_SHIFTS) return
      const waits = task.state === 'starting' && nowMs - task.sinceMs >= SHIFT_AFTER_MS
      if (!waits || task.scheduler === undefined || !this._choice.hasRoomElsewhere(task.spec.resources, task.scheduler)) continue
      shifts += 1
      const { jobId } = run.job
      const ask = { jobId, taskId: task.spec.taskId, attempt: task.attempt, onlyIfQueued: true }
      this._context.peers.call(task.scheduler, 'cancelTask', ask, CALL_TIMEOUT_MS)
    }
  }

  private async _sendOne (run: JobRun, task: TaskRun, onChange: () => void): Promise<void> {
    const scheduler = this._choice.forTask(task.spec.resources)
    if (scheduler === undefined) {
      this._postpone([task])
      return
    }
    task.begin(scheduler, this._context.clock.nowMs())
    const { attempt } = task
    const reply = await this._context.peers.call(scheduler, 'placeTask', this._toAsk(run, task), CALL_TIMEOUT_MS)
    if (task.attempt !== attempt || task.state !== 'starting') return
    reply.match((placed) => { this._placed(run, [task], placed) }, (error) => { this._unanswered(run, [task], error) })
    if (reply.isErr() || !reply.value.accepted) onChange()
  }

  private async _sendGroup (run: JobRun, tasks: readonly TaskRun[], onChange: () => void): Promise<void> {
    const scheduler = this._choice.forGroup(tasks.map((task) => task.spec.resources))
    if (scheduler === undefined) {
      await this._reserveGroup(run, tasks)
      onChange()
      return
    }
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) task.begin(scheduler, nowMs)
    const attempts = new Map(tasks.map((task) => [task, task.attempt]))
    const ask = { jobId: run.job.jobId, tasks: tasks.map((task) => this._toAsk(run, task)) }
    const reply = await this._context.peers.call(scheduler, 'placeGroup', ask, CALL_TIMEOUT_MS)
    const still = tasks.filter((task) => task.attempt === attempts.get(task) && task.state === 'starting')
    reply.match((placed) => { this._placed(run, still, placed) }, (error) => { this._unanswered(run, still, error) })
    if (reply.isErr() || !reply.value.accepted) onChange()
  }

  private async _reserveGroup (run: JobRun, tasks: readonly TaskRun[]): Promise<void> {
    const schedulers = this._choice.withWorkers()
    if (schedulers.length === 0) {
      this._postpone(tasks)
      return
    }
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) task.begin(undefined, nowMs)
    await this._reserver.place(run, tasks, tasks.map((task) => this._toAsk(run, task)), schedulers)
  }

  private _placed (run: JobRun, tasks: readonly TaskRun[], reply: IPlaceReply): void {
    if (reply.accepted) return
    const nowMs = this._context.clock.nowMs()
    this._context.log.debug('job.placeRefused', { step: 'job.place', jobId: run.job.jobId, reason: reply.reason })
    for (const task of tasks) run.refused(task, nowMs, reply.retryAfterMs ?? REFUSED_RETRY_MS)
  }

  /** Without an answer it may be queued there or run. Only what was never sent is free to go elsewhere. */
  private _unanswered (run: JobRun, tasks: readonly TaskRun[], error: PeerError): void {
    const nowMs = this._context.clock.nowMs()
    for (const task of tasks) {
      if (error instanceof AmbiguousError) run.lost(task, nowMs)
      else run.refused(task, nowMs, REFUSED_RETRY_MS)
    }
  }

  private async _stopAt (run: JobRun, task: TaskRun, scheduler: string): Promise<void> {
    const { attempt } = task
    const ask = { jobId: run.job.jobId, taskId: task.spec.taskId, attempt }
    const reply = await this._context.peers.call(scheduler, 'cancelTask', ask, CALL_TIMEOUT_MS)
    // It isn't there, and we haven't heard its end: find out where it is.
    const isUnknown = reply.isOk() && !reply.value.known
    if (isUnknown && task.attempt === attempt && task.scheduler === scheduler && !task.isFinal) run.lost(task, this._context.clock.nowMs())
  }

  private _postpone (tasks: readonly TaskRun[]): void {
    const notBeforeMs = this._context.clock.nowMs() + NOBODY_RETRY_MS
    for (const task of tasks) task.notBeforeMs = notBeforeMs
  }

  private _toAsk (run: JobRun, task: TaskRun): IPlaceTask {
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
