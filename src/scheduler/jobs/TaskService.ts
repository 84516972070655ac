/**
 * Places tasks on this scheduler's workers on behalf of the owners of their jobs: queues them in the decision engine,
 * carries out what it decides, and tells each job's present owner what becomes of its tasks.
 */

import { adoptedItem } from '../requests/AdoptedItem.js'
import { HeldTasks, placeOf } from './HeldTasks.js'
import { OwnerEpochs } from './OwnerEpochs.js'
import { itemIdOf } from './TaskIds.js'
import { toWorkItem } from './WorkItems.js'

import type { AttemptEnd, EngineDecision, IWorkItem } from '../../common/policy/Types.js'
import type { ICancelTask, IPlaceGroup, IPlaceReply, IPlaceTask, ITaskPlace, ITasksOfAsk, ITasksOfReply } from '../../common/protocol/Types.js'
import type { IDisposable, IResources } from '../../common/Types.js'
import type { IHeldTask } from './HeldTasks.js'
import type { AttemptOutcome, IAttempt, IAttemptStart, ITaskServiceContext } from './Types.js'
import type { IWorkerPoolEvents, WorkerPool } from './WorkerPool.js'

const REFUSED_RETRY_MS = 1000
const DRAINING_RETRY_MS = 200

const ENGINE_END: Readonly<Record<AttemptOutcome, AttemptEnd>> = {
  succeeded: 'succeeded', failed: 'failed', stopped: 'stopped', leaseLapsed: 'stopped', lost: 'stopped'
}

export class TaskService implements IWorkerPoolEvents, IDisposable {
  public readonly held = new HeldTasks()
  public readonly epochs: OwnerEpochs
  private _pool: WorkerPool | undefined
  private _wake: IDisposable | undefined
  private _isDraining = false

  public constructor (private readonly _context: ITaskServiceContext) {
    this.epochs = new OwnerEpochs(_context.shards)
  }

  /** The pool tells this service of attempts, and this service has it start and stop them. */
  public setPool (pool: WorkerPool): void {
    this._pool = pool
  }

  public dispose (): void {
    this._wake?.dispose()
  }

  /** Queues one task, or says why not. A repeat of the same attempt is answered like the first. */
  public place (ask: IPlaceTask): IPlaceReply {
    const known = this._known(ask)
    if (known !== undefined) return known
    const item = this.toItem(ask)
    if (item === undefined) return unknownService()
    const decision = this._context.engine.admit(item)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    this.hold(ask, item)
    this.pump()
    return { accepted: true }
  }

  /** Queues tasks that start together or not at all. */
  public placeGroup (ask: IPlaceGroup): IPlaceReply {
    const known = ask.tasks.map((task) => this._known(task))
    if (known.length > 0 && known.every((reply) => reply?.accepted === true)) return { accepted: true }
    const refused = known.find((reply) => reply !== undefined)
    if (refused !== undefined) return refused.accepted ? { accepted: false, reason: 'duplicate' } : refused
    const items = ask.tasks.map((task) => this.toItem(task))
    const found = items.filter((item) => item !== undefined)
    if (found.length < items.length) return unknownService()
    const decision = this._context.engine.admitGroup(groupIdOf(ask), found)
    if (!decision.admitted) return { accepted: false, reason: decision.reason, retryAfterMs: decision.retryAfterMs }
    ask.tasks.forEach((task, index) => { this.hold(task, found[index] as IWorkItem) })
    this.pump()
    return { accepted: true }
  }

  /** Takes a task out of the queue or stops it; its end is told when it is certain. */
  public cancel (ask: ICancelTask): { readonly known: boolean } {
    const task = this.held.byTask(ask.jobId, ask.taskId)
    if (task === undefined || (ask.attempt !== undefined && ask.attempt !== task.attempt)) return { known: false }
    if (task.phase === 'queued') this._cancelQueued(task)
    else if (ask.onlyIfQueued !== true) this._stop(task)
    return { known: true }
  }

  /** All that this scheduler holds of an id shard's jobs, or has held lately. */
  public tasksOf (ask: ITasksOfAsk): ITasksOfReply {
    if (!this.epochs.accept(ask.idShard, ask.ownerEpoch)) return { settledShards: [], tasks: [] }
    const live = [...this.held.values()].map((task) => ({ jobId: task.jobId, place: placeOf(task) }))
    const tasks = [...this.held.endedValues(), ...live].filter(({ jobId }) => this._context.idShardOf(jobId) === ask.idShard)
    return { settledShards: this._pool?.settledShards() ?? [], tasks }
  }

  /** Planned stop: takes nothing more and gives queued tasks back; what runs goes on under the next owner. */
  public drain (): void {
    this._isDraining = true
    for (const task of [...this.held.values()]) {
      if (task.phase === 'queued') this._cancelQueued(task)
    }
  }

  /** Carries out what the engine decides, until it has nothing more to decide now. */
  public pump (): void {
    for (let decision = this._context.engine.next(); decision !== undefined; decision = this._context.engine.next()) {
      this._carryOut(decision)
    }
    this._scheduleWake()
  }

  /** The item of a task under its service's profile; nothing while the service is not known here. */
  public toItem (ask: IPlaceTask): IWorkItem | undefined {
    return toWorkItem(ask, this._context.config, this._context.clock.nowMs())
  }

  public hold (ask: IPlaceTask, item: IWorkItem): void {
    const { jobId, attempt, jobOwner: placedBy } = ask
    const { taskId } = ask.task
    this.held.add({ jobId, taskId, attempt, itemId: item.id, item, placedBy, phase: 'queued', hostId: undefined, shardId: undefined, startedAtMs: 0 })
  }

  /**
   * Sends a placed task to its host, if the owner of its job is still in touch.
   *
   * What goes wrong otherwise: this process is cut off or paused with the task in its queue, its shards go to others,
   * who tell that they don't have the task, and it is started elsewhere. When this process owns hosts again, it would
   * start its copy too; one would see the task on two hosts. An owner gives a task up only after the leases of the
   * process that had it have lapsed, which takes longer than `heardLately` looks back.
   */
  public startPlaced (item: IWorkItem, hostId: string): void {
    const task = this.held.byItem(item.id)
    const session = this._pool?.session(hostId)
    const isWanted = task !== undefined && this._context.peers.heardLately(this._ownerOf(task))
    if (task === undefined || session === undefined || !isWanted) {
      this._context.engine.finished(item.id, session === undefined ? 'refused' : 'stopped', 0)
      if (task !== undefined) this._end(task, 'stopped')
      return
    }
    Object.assign(task, { phase: 'starting', hostId, shardId: session.fence.shardId, startedAtMs: this._context.clock.nowMs() })
    session.start({ ...toAttempt(task), service: item.service, resources: item.resources, runMs: item.declaredRunMs })
  }

  public onAdopted (hostId: string, start: IAttemptStart): void {
    const itemId = itemIdOf(start)
    const item = { ...adoptedItem(itemId, this._context.clock.nowMs()), resources: start.resources }
    this._context.engine.adopt(item, hostId)
    const { jobId, taskId, attempt } = start
    const task: IHeldTask = {
      jobId, taskId, attempt, itemId, item, placedBy: '', phase: 'running', hostId, shardId: this._pool?.shardOf(hostId), startedAtMs: item.arrivedAtMs
    }
    this.held.add(task)
    this._tell(jobId, placeOf(task))
  }

  public onRunning (_hostId: string, attempt: IAttempt): void {
    const task = this.held.byItem(itemIdOf(attempt))
    if (task === undefined) return
    task.phase = 'running'
    this._tell(task.jobId, placeOf(task))
  }

  public onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void {
    const task = this.held.byItem(itemIdOf(attempt))
    const state = outcome === 'succeeded' || outcome === 'failed' ? outcome : 'stopped'
    if (task === undefined) {
      this.held.noteEnded(attempt.jobId, { taskId: attempt.taskId, attempt: attempt.attempt, state, hostId })
      return
    }
    this._context.engine.finished(task.itemId, ENGINE_END[outcome], this._context.clock.nowMs() - task.startedAtMs)
    this._end(task, state)
    this.pump()
  }

  public onNotStarted (_hostId: string, attempt: IAttempt): void {
    const task = this.held.byItem(itemIdOf(attempt))
    if (task === undefined) return
    this._context.engine.finished(task.itemId, 'refused', 0)
    this._end(task, 'stopped')
    this.pump()
  }

  public onUsage (attempt: IAttempt, usage: IResources): void {
    this._context.engine.reportUsage(itemIdOf(attempt), usage)
  }

  public onHostLost (hostId: string): void {
    for (const task of [...this.held.values()]) {
      if (task.hostId !== hostId) continue
      this.held.remove(task)
      this._tell(task.jobId, { ...placeOf(task), state: 'unsure' })
    }
  }

  public onCapacity (): void {
    this.pump()
  }

  /** An answer for an attempt that needs no decision: refused by epoch, held already, or over already. */
  private _known (ask: IPlaceTask): IPlaceReply | undefined {
    if (this._isDraining) return { accepted: false, reason: 'draining', retryAfterMs: DRAINING_RETRY_MS }
    if (!this.epochs.accept(this._context.idShardOf(ask.jobId), ask.ownerEpoch ?? 0)) return { accepted: false, reason: 'duplicate' }
    const attempt = { jobId: ask.jobId, taskId: ask.task.taskId, attempt: ask.attempt }
    const ended = this.held.ended(attempt)
    if (ended !== undefined) {
      this._tell(ended.jobId, ended.place)
      return { accepted: true }
    }
    const held = this.held.byTask(ask.jobId, ask.task.taskId)
    if (held === undefined) return undefined
    return held.attempt === ask.attempt ? { accepted: true } : { accepted: false, reason: 'duplicate', retryAfterMs: REFUSED_RETRY_MS }
  }

  private _carryOut (decision: EngineDecision): void {
    if (decision.type === 'place') this.startPlaced(decision.item, decision.hostId)
    if (decision.type === 'preempt') {
      const task = this.held.byItem(decision.itemId)
      if (task !== undefined) this._stop(task)
    }
    if (decision.type === 'giveUp') {
      const task = this.held.byItem(decision.item.id)
      if (task !== undefined) this._end(task, 'stopped')
    }
  }

  private _cancelQueued (task: IHeldTask): void {
    if (this._context.engine.cancel(task.itemId) === 'running') return
    this._end(task, 'stopped')
  }

  private _stop (task: IHeldTask): void {
    if (task.hostId !== undefined) this._pool?.session(task.hostId)?.stop(task)
  }

  private _end (task: IHeldTask, state: ITaskPlace['state']): void {
    this.held.remove(task)
    const place = { ...placeOf(task), state }
    this.held.noteEnded(task.jobId, place)
    this._tell(task.jobId, place)
  }

  private _tell (jobId: string, place: ITaskPlace): void {
    const owner = this._context.shards.ownerOf(this._context.idShardOf(jobId))
    if (owner !== undefined) this._context.peers.cast(owner, 'taskUpdate', { jobId, place })
  }

  private _ownerOf (task: IHeldTask): string {
    return this._context.shards.ownerOf(this._context.idShardOf(task.jobId)) ?? task.placedBy
  }

  private _scheduleWake (): void {
    this._wake?.dispose()
    const delayMs = this._context.engine.nextWakeAtMs() - this._context.clock.nowMs()
    this._wake = Number.isFinite(delayMs) ? this._context.timers.after(Math.max(0, delayMs), () => { this.pump() }) : undefined
  }
}

function toAttempt (task: IHeldTask): IAttempt {
  return { jobId: task.jobId, taskId: task.taskId, attempt: task.attempt }
}

function groupIdOf (ask: IPlaceGroup): string {
  return `${ask.jobId}#${ask.tasks[0]?.attempt ?? 0}`
}

function unknownService (): IPlaceReply {
  return { accepted: false, reason: 'internal', retryAfterMs: REFUSED_RETRY_MS }
}
