/**
 * Carries out what the decision engine decides about tasks, and tells each job's present owner what becomes of them.
 */

import { adoptedItem } from '../requests/AdoptedItem.js'
import { placeOf } from './HeldTasks.js'
import { itemIdOf } from './TaskIds.js'

import type { AttemptEnd, EngineDecision, IWorkItem } from '../../common/policy/Types.js'
import type { ITaskPlace } from '../../common/protocol/Types.js'
import type { IDisposable, IResources } from '../../common/Types.js'
import type { HeldTasks, IHeldTask } from './HeldTasks.js'
import type { OwnerEpochs } from './OwnerEpochs.js'
import type { AttemptOutcome, IAttempt, IAttemptStart, ITaskServiceContext } from './Types.js'
import type { IWorkerPoolEvents, WorkerPool } from './WorkerPool.js'

const ENGINE_END: Readonly<Record<AttemptOutcome, AttemptEnd>> = {
  succeeded: 'succeeded', failed: 'failed', stopped: 'stopped', leaseLapsed: 'stopped', lost: 'stopped'
}

export class TaskRunner implements IWorkerPoolEvents, IDisposable {
  private _pool: WorkerPool | undefined
  private _wake: IDisposable | undefined

  public constructor (
    private readonly _context: ITaskServiceContext,
    private readonly _held: HeldTasks,
    private readonly _epochs: OwnerEpochs
  ) {}

  /** The pool tells the runner of attempts, and the runner has it start and stop them. */
  public setPool (pool: WorkerPool): void {
    this._pool = pool
  }

  public dispose (): void {
    this._wake?.dispose()
  }

  /** Owned shards of whose hosts each has told what it runs, or is gone. */
  public settledShards (): readonly string[] {
    return this._pool?.settledShards() ?? []
  }

  /** Carries out what the engine decides, until it has nothing more to decide now. */
  public pump (): void {
    for (let decision = this._context.engine.next(); decision !== undefined; decision = this._context.engine.next()) {
      this._carryOut(decision)
    }
    this._scheduleWake()
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
    const task = this._held.byItem(item.id)
    const session = this._pool?.session(hostId)
    const isWanted = task !== undefined && this._context.peers.heardLately(this._ownerOf(task))
    if (task === undefined || session === undefined || !isWanted) {
      this._context.engine.finished(item.id, session === undefined ? 'refused' : 'stopped', 0)
      if (task !== undefined) this.end(task, 'stopped')
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
    this._held.add(task)
    this.tell(jobId, placeOf(task))
  }

  public onRunning (_hostId: string, attempt: IAttempt): void {
    const task = this._held.byItem(itemIdOf(attempt))
    if (task === undefined) return
    task.phase = 'running'
    this.tell(task.jobId, placeOf(task))
  }

  public onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void {
    const task = this._held.byItem(itemIdOf(attempt))
    const state = outcome === 'succeeded' || outcome === 'failed' ? outcome : 'stopped'
    if (task === undefined) {
      this._held.noteEnded(attempt.jobId, { taskId: attempt.taskId, attempt: attempt.attempt, state, hostId })
      return
    }
    this._context.engine.finished(task.itemId, ENGINE_END[outcome], this._context.clock.nowMs() - task.startedAtMs)
    this.end(task, state)
    this.pump()
  }

  public onNotStarted (_hostId: string, attempt: IAttempt): void {
    const task = this._held.byItem(itemIdOf(attempt))
    if (task === undefined) return
    this._context.engine.finished(task.itemId, 'refused', 0)
    this.end(task, 'stopped')
    this.pump()
  }

  public onUsage (attempt: IAttempt, usage: IResources): void {
    this._context.engine.reportUsage(itemIdOf(attempt), usage)
  }

  public onHostLost (hostId: string): void {
    for (const task of [...this._held.values()]) {
      if (task.hostId !== hostId) continue
      this._held.remove(task)
      this.tell(task.jobId, { ...placeOf(task), state: 'unsure' })
    }
  }

  public onCapacity (): void {
    this.pump()
  }

  private _carryOut (decision: EngineDecision): void {
    if (decision.type === 'place') this.startPlaced(decision.item, decision.hostId)
    if (decision.type === 'preempt') {
      const task = this._held.byItem(decision.itemId)
      if (task !== undefined) this.stop(task)
    }
    if (decision.type === 'giveUp') {
      const task = this._held.byItem(decision.item.id)
      if (task !== undefined) this.end(task, 'stopped')
    }
  }

  /** Stops an attempt that has been sent to its host. */
  public stop (task: IHeldTask): void {
    if (task.hostId !== undefined) this._pool?.session(task.hostId)?.stop(task)
  }

  /** An attempt is over here: its owner is told, now and when it asks. */
  public end (task: IHeldTask, state: ITaskPlace['state']): void {
    this._held.remove(task)
    const place = { ...placeOf(task), state }
    this._held.noteEnded(task.jobId, place)
    this.tell(task.jobId, place)
  }

  /** Tells the present owner of a job about one of its tasks. */
  public tell (jobId: string, place: ITaskPlace): void {
    const owner = this._epochs.ownerOf(this._context.idShardOf(jobId))
    if (owner !== undefined) this._context.peers.cast(owner, 'taskUpdate', { jobId, place })
  }

  private _ownerOf (task: IHeldTask): string {
    return this._epochs.ownerOf(this._context.idShardOf(task.jobId)) ?? task.placedBy
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
