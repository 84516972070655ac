/**
 * The tasks that this scheduler holds: queued, starting or running. Tasks that have ended here are kept for a limited time,
 * so that a job's owner that missed the update can ask for it.
 */

import { LRUCache } from 'lru-cache'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { ITaskPlacement } from '../../common/protocol/Types.js'
import type { JobFence } from '../../common/state/JobFence.js'
import type { MonotonicMs } from '../../common/Types.js'
import { hostTaskId, itemIdOf } from './TaskIds.js'

import type { IAttempt } from './Types.js'

export type HeldPhase = 'queued' | 'starting' | 'running'

export interface IHeldTask extends IAttempt {
  readonly itemId: string
  readonly item: IWorkItem
  /** The process that placed the task; the job's current owner may be another one. */
  readonly placedBy: string
  phase: HeldPhase
  hostId: string | undefined
  shardId: string | undefined
  startedAtMs: MonotonicMs
}

export interface IEndedTask {
  readonly jobId: string
  readonly place: ITaskPlacement
}

/** Longer than a takeover of an id shard, including most store outages. */
const ENDED_RETENTION_MS = 600_000
const MAX_ENDED_TASKS = 10_000
/** Most tasks that are no longer held but known to the fence: enough for longer than a command can be in transit. */
const MAX_GONE_TASKS = 50_000

export class HeldTasks {
  private readonly _byItem = new Map<string, IHeldTask>()
  private readonly _byTask = new Map<string, IHeldTask>()
  private readonly _ended = new LRUCache<string, IEndedTask>({ max: MAX_ENDED_TASKS, ttl: ENDED_RETENTION_MS })
  /** Ids of tasks that are no longer held but still known to the fence. */
  private readonly _gone = new LRUCache<string, true>({
    max: MAX_GONE_TASKS,
    dispose: (_value, task, reason) => {
      if (reason === 'evict') this._fence.forget(task)
    }
  })

  public constructor (private readonly _fence: JobFence) {}

  public get size (): number {
    return this._byItem.size
  }

  public add (task: IHeldTask): void {
    this._byItem.set(task.itemId, task)
    this._byTask.set(hostTaskId(task.jobId, task.taskId), task)
    this._fence.recordHeld(hostTaskId(task.jobId, task.taskId), task.attempt)
  }

  public findByItem (itemId: string): IHeldTask | undefined {
    return this._byItem.get(itemId)
  }

  /** The held attempt of a task, whatever its number. */
  public findByTask (jobId: string, taskId: string): IHeldTask | undefined {
    return this._byTask.get(hostTaskId(jobId, taskId))
  }

  public remove (task: IHeldTask): void {
    this._byItem.delete(task.itemId)
    const key = hostTaskId(task.jobId, task.taskId)
    if (this._byTask.get(key) === task) this._byTask.delete(key)
    this._recordGone(key, task.attempt)
  }

  public values (): Iterable<IHeldTask> {
    return this._byItem.values()
  }

  public recordEnd (jobId: string, place: ITaskPlacement): void {
    this._recordGone(hostTaskId(jobId, place.taskId), place.attempt)
    this._ended.set(itemIdOf({ jobId, taskId: place.taskId, attempt: place.attempt }), { jobId, place })
  }

  public findEnded (attempt: IAttempt): IEndedTask | undefined {
    return this._ended.get(itemIdOf(attempt))
  }

  /** The tasks that have ended recently, of the given jobs or of all jobs. */
  public endedTasks (jobIds: readonly string[] | undefined): readonly IEndedTask[] {
    const ended = [...this._ended.values()]
    if (jobIds === undefined) return ended
    const requestedJobIds = new Set(jobIds)
    return ended.filter(({ jobId }) => requestedJobIds.has(jobId))
  }

  private _recordGone (task: string, attempt: number): void {
    this._fence.recordGone(task, attempt)
    this._gone.set(task, true)
  }
}

/** The place of a task as it is reported to the owner of its job. */
export function placeOf (task: IHeldTask): ITaskPlacement {
  const { taskId, attempt, hostId, shardId } = task
  const state = task.phase === 'running' ? 'running' : 'queued'
  return { taskId, attempt, state, ...(hostId === undefined ? {} : { hostId }), ...(shardId === undefined ? {} : { shardId }) }
}
