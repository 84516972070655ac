/**
 * Places tasks on this scheduler's workers on behalf of the owners of their jobs: queues them in the decision engine,
 * cancels them, and lists the tasks that it holds.
 */

import { JobFence } from '../../common/state/JobFence.js'
import { HeldTasks, placeOf } from './HeldTasks.js'
import { OwnerEpochs } from './OwnerEpochs.js'
import { Reservations } from './Reservations.js'
import { hostTaskId, itemIdOf } from './TaskIds.js'
import { TaskRunner } from './TaskRunner.js'
import { toWorkItem } from './WorkItems.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { ICancelTaskRequest, IPlaceGroupRequest, IPlaceReply, IPlaceTaskRequest, ITasksOfRequest, ITasksOfReply } from '../../common/protocol/Types.js'
import type { AttemptDecision } from '../../common/state/JobFence.js'
import type { IDisposable } from '../../common/Types.js'
import type { IHeldTask } from './HeldTasks.js'
import type { ITaskServiceContext } from './Types.js'

const REFUSED_RETRY_MS = 1000
const DRAINING_RETRY_MS = 200

export class TaskService implements IDisposable {
  public readonly fence = new JobFence()
  public readonly held = new HeldTasks(this.fence)
  public readonly epochs: OwnerEpochs
  /** Receives the events of the worker pool. */
  public readonly runner: TaskRunner
  public readonly reservations: Reservations
  private _isDraining = false

  public constructor (private readonly _context: ITaskServiceContext) {
    this.epochs = new OwnerEpochs(_context.shards, this.fence)
    this.runner = new TaskRunner(_context, this.held, this.epochs)
    this.reservations = new Reservations(_context, this)
  }

  public dispose (): void {
    this.runner.dispose()
    this.reservations.dispose()
  }

  /** Queues one task or refuses it with a reason. A repeated call for the same attempt gets the same answer. */
  public place (request: IPlaceTaskRequest): IPlaceReply {
    const known = this.answerIfKnown(request)
    if (known !== undefined) return known
    const item = this.toItem(request)
    if (item === undefined) return unknownServiceReply()
    const decision = this._context.engine.admit(item)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    this.holdTask(request, item)
    this.runner.carryOutDecisions()
    return { accepted: true }
  }

  /** Queues tasks that start together or not at all. */
  public placeGroup (request: IPlaceGroupRequest): IPlaceReply {
    const known = request.tasks.map((task) => this.answerIfKnown(task))
    if (known.length > 0 && known.every((reply) => reply?.accepted === true)) return { accepted: true }
    const refused = known.find((reply) => reply !== undefined)
    if (refused !== undefined) return refused.accepted ? { accepted: false, reason: 'duplicate' } : refused
    const items = request.tasks.map((task) => this.toItem(task))
    const found = items.filter((item) => item !== undefined)
    if (found.length < items.length) return unknownServiceReply()
    const decision = this._context.engine.admitGroup(groupIdOf(request), found)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    request.tasks.forEach((task, index) => { this.holdTask(task, found[index] as IWorkItem) })
    this.runner.carryOutDecisions()
    return { accepted: true }
  }

  /** Takes a task out of the queue or stops it; its end is reported once it is certain. */
  public cancel (request: ICancelTaskRequest): { readonly known: boolean } {
    const task = this.held.findByTask(request.jobId, request.taskId)
    if (task === undefined || (request.attempt !== undefined && request.attempt !== task.attempt)) return { known: false }
    if (task.phase === 'queued') this._cancelQueued(task)
    else if (request.onlyIfQueued !== true) this.runner.stopTask(task)
    return { known: true }
  }

  /** The tasks of an id shard's jobs that this scheduler holds or has recently held. */
  public tasksOf (request: ITasksOfRequest): ITasksOfReply {
    if (!this.epochs.accept(request.idShard, request.ownerEpoch, request.jobOwner)) return { settledShards: [], tasks: [] }
    const isOfIdShard = ({ jobId }: { readonly jobId: string }): boolean => this._context.idShardOf(jobId) === request.idShard
    const live = [...this.held.values()].filter(isOfIdShard).map((task) => ({ jobId: task.jobId, place: placeOf(task) }))
    const ended = this.held.endedTasks(request.endedOf).filter(isOfIdShard)
    return { settledShards: this.runner.settledShards(), tasks: [...ended, ...live] }
  }

  /** Accepts no more tasks and cancels queued ones, for a planned stop; running tasks continue under the next owner. */
  public drain (): void {
    this._isDraining = true
    for (const task of [...this.held.values()]) {
      if (task.phase === 'queued') this._cancelQueued(task)
    }
  }

  /** The item of a task under its service's profile; undefined while this scheduler doesn't know the service. */
  public toItem (request: IPlaceTaskRequest): IWorkItem | undefined {
    return toWorkItem(request, this._context.config, this._context.clock.nowMs())
  }

  public itemIdOf (request: IPlaceTaskRequest): string {
    return itemIdOf({ jobId: request.jobId, taskId: request.task.taskId, attempt: request.attempt })
  }

  public holdTask (request: IPlaceTaskRequest, item: IWorkItem): void {
    const { jobId, attempt, jobOwner: placedBy } = request
    const { taskId } = request.task
    this.held.add({ jobId, taskId, attempt, itemId: item.id, item, placedBy, phase: 'queued', hostId: undefined, shardId: undefined, startedAtMs: 0 })
  }

  /** The answer for an attempt that must not be started, because it is refused, already held or already over; else undefined. */
  public answerIfKnown (request: IPlaceTaskRequest): IPlaceReply | undefined {
    if (this._isDraining) return { accepted: false, reason: 'draining', retryAfterMs: DRAINING_RETRY_MS }
    const decision = this._decideAttempt(request)
    if (decision === 'start') return undefined
    if (decision === 'superseded') return { accepted: false, reason: 'duplicate' }
    if (decision === 'busy') return { accepted: false, reason: 'duplicate', retryAfterMs: REFUSED_RETRY_MS }
    return this._answerRepeat(request, decision)
  }

  private _decideAttempt (request: IPlaceTaskRequest): AttemptDecision {
    const { jobId, attempt, jobOwner: owner } = request
    const idShard = this._context.idShardOf(jobId)
    this.epochs.readSummaries(idShard)
    return this.fence.decide({ idShard, epoch: request.ownerEpoch ?? 0, owner, task: hostTaskId(jobId, request.task.taskId), attempt })
  }

  /** Answers a repeated command, and reports the state of its attempt again, because the sender may have missed it. */
  private _answerRepeat (request: IPlaceTaskRequest, decision: 'known' | 'late'): IPlaceReply {
    const { jobId, attempt } = request
    const { taskId } = request.task
    const ended = this.held.findEnded({ jobId, taskId, attempt })
    if (ended !== undefined) this.runner.reportPlace(jobId, ended.place)
    else if (decision === 'late') return { accepted: false, reason: 'duplicate', retryAfterMs: REFUSED_RETRY_MS }
    // The task's host was given up while the task ran there, and only the survey of all schedulers can find the task.
    else if (this.held.findByTask(jobId, taskId) === undefined) this.runner.reportPlace(jobId, { taskId, attempt, state: 'unsure' })
    return { accepted: true }
  }

  private _cancelQueued (task: IHeldTask): void {
    if (this._context.engine.cancel(task.itemId) === 'running') return
    this.runner.endTask(task, 'stopped')
  }
}

function groupIdOf (request: IPlaceGroupRequest): string {
  return `${request.jobId}#${request.tasks[0]?.attempt ?? 0}`
}

function unknownServiceReply (): IPlaceReply {
  return { accepted: false, reason: 'internal', retryAfterMs: REFUSED_RETRY_MS }
}
