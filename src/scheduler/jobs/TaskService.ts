/**
 * Places tasks on this scheduler's workers on behalf of the owners of their jobs: queues them in the decision engine,
 * cancels them, and tells what it holds.
 */

import { JobFence } from '../../common/state/JobFence.js'
import { HeldTasks, placeOf } from './HeldTasks.js'
import { OwnerEpochs } from './OwnerEpochs.js'
import { Reservations } from './Reservations.js'
import { hostTaskId, itemIdOf } from './TaskIds.js'
import { TaskRunner } from './TaskRunner.js'
import { toWorkItem } from './WorkItems.js'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { ICancelTask, IPlaceGroup, IPlaceReply, IPlaceTask, ITasksOfAsk, ITasksOfReply } from '../../common/protocol/Types.js'
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
  /** What the pool of workers tells its news to. */
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

  /** Queues one task, or says why not. A repeat of the same attempt is answered like the first. */
  public place (ask: IPlaceTask): IPlaceReply {
    const known = this.answerKnown(ask)
    if (known !== undefined) return known
    const item = this.toItem(ask)
    if (item === undefined) return unknownService()
    const decision = this._context.engine.admit(item)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    this.hold(ask, item)
    this.runner.pump()
    return { accepted: true }
  }

  /** Queues tasks that start together or not at all. */
  public placeGroup (ask: IPlaceGroup): IPlaceReply {
    const known = ask.tasks.map((task) => this.answerKnown(task))
    if (known.length > 0 && known.every((reply) => reply?.accepted === true)) return { accepted: true }
    const refused = known.find((reply) => reply !== undefined)
    if (refused !== undefined) return refused.accepted ? { accepted: false, reason: 'duplicate' } : refused
    const items = ask.tasks.map((task) => this.toItem(task))
    const found = items.filter((item) => item !== undefined)
    if (found.length < items.length) return unknownService()
    const decision = this._context.engine.admitGroup(groupIdOf(ask), found)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    ask.tasks.forEach((task, index) => { this.hold(task, found[index] as IWorkItem) })
    this.runner.pump()
    return { accepted: true }
  }

  /** Takes a task out of the queue or stops it; its end is told when it is certain. */
  public cancel (ask: ICancelTask): { readonly known: boolean } {
    const task = this.held.byTask(ask.jobId, ask.taskId)
    if (task === undefined || (ask.attempt !== undefined && ask.attempt !== task.attempt)) return { known: false }
    if (task.phase === 'queued') this._cancelQueued(task)
    else if (ask.onlyIfQueued !== true) this.runner.stop(task)
    return { known: true }
  }

  /** All that this scheduler holds of an id shard's jobs, or has held lately. */
  public tasksOf (ask: ITasksOfAsk): ITasksOfReply {
    if (!this.epochs.accept(ask.idShard, ask.ownerEpoch, ask.jobOwner)) return { settledShards: [], tasks: [] }
    const isAsked = ({ jobId }: { readonly jobId: string }): boolean => this._context.idShardOf(jobId) === ask.idShard
    const live = [...this.held.values()].filter(isAsked).map((task) => ({ jobId: task.jobId, place: placeOf(task) }))
    const ended = this.held.ended(ask.endedOf).filter(isAsked)
    return { settledShards: this.runner.settledShards(), tasks: [...ended, ...live] }
  }

  /** Planned stop: takes nothing more and gives queued tasks back; what runs goes on under the next owner. */
  public drain (): void {
    this._isDraining = true
    for (const task of [...this.held.values()]) {
      if (task.phase === 'queued') this._cancelQueued(task)
    }
  }

  /** The item of a task under its service's profile; nothing while the service is not known here. */
  public toItem (ask: IPlaceTask): IWorkItem | undefined {
    return toWorkItem(ask, this._context.config, this._context.clock.nowMs())
  }

  public itemIdOf (ask: IPlaceTask): string {
    return itemIdOf({ jobId: ask.jobId, taskId: ask.task.taskId, attempt: ask.attempt })
  }

  public hold (ask: IPlaceTask, item: IWorkItem): void {
    const { jobId, attempt, jobOwner: placedBy } = ask
    const { taskId } = ask.task
    this.held.add({ jobId, taskId, attempt, itemId: item.id, item, placedBy, phase: 'queued', hostId: undefined, shardId: undefined, startedAtMs: 0 })
  }

  /** An answer for an attempt that is not to be started: refused, held already, or over already. */
  public answerKnown (ask: IPlaceTask): IPlaceReply | undefined {
    if (this._isDraining) return { accepted: false, reason: 'draining', retryAfterMs: DRAINING_RETRY_MS }
    const decision = this._decide(ask)
    if (decision === 'start') return undefined
    if (decision === 'superseded') return { accepted: false, reason: 'duplicate' }
    if (decision === 'busy') return { accepted: false, reason: 'duplicate', retryAfterMs: REFUSED_RETRY_MS }
    return this._answerRepeat(ask, decision)
  }

  private _decide (ask: IPlaceTask): AttemptDecision {
    const { jobId, attempt, jobOwner: owner } = ask
    const idShard = this._context.idShardOf(jobId)
    this.epochs.learn(idShard)
    return this.fence.decide({ idShard, epoch: ask.ownerEpoch ?? 0, owner, task: hostTaskId(jobId, ask.task.taskId), attempt })
  }

  /** Whoever repeats a command may have missed what became of its attempt. */
  private _answerRepeat (ask: IPlaceTask, decision: 'known' | 'late'): IPlaceReply {
    const { jobId, attempt } = ask
    const { taskId } = ask.task
    const ended = this.held.endOf({ jobId, taskId, attempt })
    if (ended !== undefined) this.runner.tell(jobId, ended.place)
    else if (decision === 'late') return { accepted: false, reason: 'duplicate', retryAfterMs: REFUSED_RETRY_MS }
    // Its host was given up while it ran there, and only the survey of all schedulers can find it.
    else if (this.held.byTask(jobId, taskId) === undefined) this.runner.tell(jobId, { taskId, attempt, state: 'unsure' })
    return { accepted: true }
  }

  private _cancelQueued (task: IHeldTask): void {
    if (this._context.engine.cancel(task.itemId) === 'running') return
    this.runner.end(task, 'stopped')
  }
}

function groupIdOf (ask: IPlaceGroup): string {
  return `${ask.jobId}#${ask.tasks[0]?.attempt ?? 0}`
}

function unknownService (): IPlaceReply {
  return { accepted: false, reason: 'internal', retryAfterMs: REFUSED_RETRY_MS }
}
