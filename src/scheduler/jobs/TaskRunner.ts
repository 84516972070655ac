/**
 * Carries out the decision engine's decisions about tasks, and reports changes of the tasks to the current owners of their
 * jobs.
 */

import { createAdoptedItem } from '../requests/AdoptedItem.js'
import { placeOf } from './HeldTasks.js'
import { itemIdOf } from './TaskIds.js'

import type { AttemptEnd, EngineDecision, IWorkItem } from '../../common/policy/Types.js'
import type { ITaskPlacement } from '../../common/protocol/Types.js'
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
  private _wakeTimer: IDisposable | undefined

  public constructor (
    private readonly _context: ITaskServiceContext,
    private readonly _held: HeldTasks,
    private readonly _epochs: OwnerEpochs
  ) {}

  /** Sets the pool that starts and stops attempts; the pool reports the attempts' events to this runner. */
  public setPool (pool: WorkerPool): void {
    this._pool = pool
  }

  public dispose (): void {
    this._wakeTimer?.dispose()
  }

  /** The owned shards whose hosts have all listed their attempts or are gone. */
  public settledShards (): readonly string[] {
    return this._pool?.settledShards() ?? []
  }

  /** Carries out the engine's decisions until it has none left for now. */
  public carryOutDecisions (): void {
    for (let decision = this._context.engine.next(); decision !== undefined; decision = this._context.engine.next()) {
      this._carryOut(decision)
    }
    this._scheduleWake()
  }

  /**
   * Sends a placed task to its host if there was recent contact with the owner of its job.
   *
   * This process may have been cut off or paused with the task in its queue. Its shards then go to other schedulers, which
   * report that they don't hold the task, and the task is started elsewhere. If this process later owned hosts again and
   * started its copy, the task would run on two hosts. A job's owner gives up a task only after the leases of the process
   * that held it have lapsed, which takes longer than the period that `hasRecentContact` checks.
   */
  public startPlaced (item: IWorkItem, hostId: string): void {
    const task = this._held.findByItem(item.id)
    const session = this._pool?.session(hostId)
    const hasOwnerContact = task !== undefined && this._context.peers.hasRecentContact(this._jobOwnerOf(task))
    if (task === undefined || session === undefined || !hasOwnerContact) {
      this._context.engine.recordEnd(item.id, session === undefined ? 'refused' : 'stopped', 0)
      if (task !== undefined) this.endTask(task, 'stopped')
      return
    }
    Object.assign(task, { phase: 'starting', hostId, shardId: session.fence.shardId, startedAtMs: this._context.clock.nowMs() })
    session.start({ ...toAttempt(task), service: item.service, resources: item.resources, runMs: item.declaredRunMs })
  }

  public onAdopted (hostId: string, start: IAttemptStart): void {
    const itemId = itemIdOf(start)
    const item = { ...createAdoptedItem(itemId, this._context.clock.nowMs()), resources: start.resources }
    this._context.engine.adopt(item, hostId)
    const { jobId, taskId, attempt } = start
    const task: IHeldTask = {
      jobId,
      taskId,
      attempt,
      itemId,
      item,
      placedBy: '',
      phase: 'running',
      hostId,
      shardId: this._pool?.shardOf(hostId),
      startedAtMs: item.arrivedAtMs
    }
    this._held.add(task)
    this.reportPlace(jobId, placeOf(task))
  }

  public onRunning (_hostId: string, attempt: IAttempt): void {
    const task = this._held.findByItem(itemIdOf(attempt))
    if (task === undefined) return
    task.phase = 'running'
    this.reportPlace(task.jobId, placeOf(task))
  }

  public onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void {
    const task = this._held.findByItem(itemIdOf(attempt))
    const state = outcome === 'succeeded' || outcome === 'failed' ? outcome : 'stopped'
    if (task === undefined) {
      this._held.recordEnd(attempt.jobId, { taskId: attempt.taskId, attempt: attempt.attempt, state, hostId })
      return
    }
    this._context.engine.recordEnd(task.itemId, ENGINE_END[outcome], this._context.clock.nowMs() - task.startedAtMs)
    this.endTask(task, state)
    this.carryOutDecisions()
  }

  public onNotStarted (_hostId: string, attempt: IAttempt): void {
    const task = this._held.findByItem(itemIdOf(attempt))
    if (task === undefined) return
    this._context.engine.recordEnd(task.itemId, 'refused', 0)
    this.endTask(task, 'stopped')
    this.carryOutDecisions()
  }

  public onUsage (attempt: IAttempt, usage: IResources): void {
    this._context.engine.reportUsage(itemIdOf(attempt), usage)
  }

  public onHostLost (hostId: string): void {
    for (const task of [...this._held.values()]) {
      if (task.hostId !== hostId) continue
      this._held.remove(task)
      this.reportPlace(task.jobId, { ...placeOf(task), state: 'unsure' })
    }
  }

  public onCapacity (): void {
    this.carryOutDecisions()
  }

  private _carryOut (decision: EngineDecision): void {
    if (decision.type === 'place') this.startPlaced(decision.item, decision.hostId)
    if (decision.type === 'preempt') {
      const task = this._held.findByItem(decision.itemId)
      if (task !== undefined) this.stopTask(task)
    }
    if (decision.type === 'giveUp') {
      const task = this._held.findByItem(decision.item.id)
      if (task !== undefined) this.endTask(task, 'stopped')
    }
  }

  /** Stops an attempt that has been sent to a host. */
  public stopTask (task: IHeldTask): void {
    if (task.hostId !== undefined) this._pool?.session(task.hostId)?.stop(task)
  }

  /** Removes an attempt that has ended here, and reports the end to its job's owner now and on later requests. */
  public endTask (task: IHeldTask, state: ITaskPlacement['state']): void {
    this._held.remove(task)
    const place = { ...placeOf(task), state }
    this._held.recordEnd(task.jobId, place)
    this.reportPlace(task.jobId, place)
  }

  /** Reports the place and state of a task to the current owner of its job. */
  public reportPlace (jobId: string, place: ITaskPlacement): void {
    const owner = this._epochs.ownerOf(this._context.idShardOf(jobId))
    if (owner !== undefined) this._context.peers.cast(owner, 'taskUpdate', { jobId, place })
  }

  private _jobOwnerOf (task: IHeldTask): string {
    return this._epochs.ownerOf(this._context.idShardOf(task.jobId)) ?? task.placedBy
  }

  private _scheduleWake (): void {
    this._wakeTimer?.dispose()
    const delayMs = this._context.engine.nextWakeAtMs() - this._context.clock.nowMs()
    this._wakeTimer = Number.isFinite(delayMs) ? this._context.timers.after(Math.max(0, delayMs), () => { this.carryOutDecisions() }) : undefined
  }
}

function toAttempt (task: IHeldTask): IAttempt {
  return { jobId: task.jobId, taskId: task.taskId, attempt: task.attempt }
}
