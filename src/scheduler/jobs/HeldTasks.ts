/**
 * The tasks that this scheduler holds, queued, starting or running, and for a while those that have ended here, so
 * that a job's owner who missed the news can ask.
 */

import { LRUCache } from 'lru-cache'

import type { IWorkItem } from '../../common/policy/Types.js'
import type { ITaskPlace } from '../../common/protocol/Types.js'
import type { JobFence } from '../../common/state/JobFence.js'
import type { MonotonicMs } from '../../common/Types.js'
import { hostTaskId, itemIdOf } from './TaskIds.js'

import type { IAttempt } from './Types.js'

export type HeldPhase = 'queued' | 'starting' | 'running'

export interface IHeldTask extends IAttempt {
  readonly itemId: string
  readonly item: IWorkItem
  /** Who placed it; the present owner of the job may be another process. */
  readonly placedBy: string
  phase: HeldPhase
  hostId: string | undefined
  shardId: string | undefined
  startedAtMs: MonotonicMs
}

export interface IEndedTask {
  readonly jobId: string
  readonly place: ITaskPlace
}

/** Longer than a takeover of an id shard lasts, outages of the store included, for most outages. */
const ENDED_KEPT_MS = 600_000
const MAX_ENDED_KEPT = 10_000
/** The attempts known of tasks that are held no longer; longer than a command is on its way. */
const MAX_ATTEMPTS_KEPT = 50_000

export class HeldTasks {
  private readonly _byItem = new Map<string, IHeldTask>()
  private readonly _byTask = new Map<string, IHeldTask>()
  private readonly _ended = new LRUCache<string, IEndedTask>({ max: MAX_ENDED_KEPT, ttl: ENDED_KEPT_MS })
  /** Names of tasks that aren't held any more, of which the fence still knows. */
  private readonly _gone = new LRUCache<string, true>({
    max: MAX_ATTEMPTS_KEPT,
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
    this._fence.noteHeld(hostTaskId(task.jobId, task.taskId), task.attempt)
  }

  public byItem (itemId: string): IHeldTask | undefined {
    return this._byItem.get(itemId)
  }

  /** The attempt of a task that is held here, whichever it is. */
  public byTask (jobId: string, taskId: string): IHeldTask | undefined {
    return this._byTask.get(hostTaskId(jobId, taskId))
  }

  public remove (task: IHeldTask): void {
    this._byItem.delete(task.itemId)
    const key = hostTaskId(task.jobId, task.taskId)
    if (this._byTask.get(key) === task) this._byTask.delete(key)
    this._noteGone(key, task.attempt)
  }

  public values (): Iterable<IHeldTask> {
    return this._byItem.values()
  }

  public noteEnded (jobId: string, place: ITaskPlace): void {
    this._noteGone(hostTaskId(jobId, place.taskId), place.attempt)
    this._ended.set(itemIdOf({ jobId, taskId: place.taskId, attempt: place.attempt }), { jobId, place })
  }

  public endOf (attempt: IAttempt): IEndedTask | undefined {
    return this._ended.get(itemIdOf(attempt))
  }

  /** Those that have ended lately, of these jobs or of all. */
  public ended (jobIds: readonly string[] | undefined): readonly IEndedTask[] {
    const ended = [...this._ended.values()]
    if (jobIds === undefined) return ended
    const asked = new Set(jobIds)
    return ended.filter(({ jobId }) => asked.has(jobId))
  }

  private _noteGone (task: string, attempt: number): void {
    this._fence.noteGone(task, attempt)
    this._gone.set(task, true)
  }
}

/** What the owner of its job is told of it. */
export function placeOf (task: IHeldTask): ITaskPlace {
  const { taskId, attempt, hostId, shardId } = task
  const state = task.phase === 'running' ? 'running' : 'queued'
  return { taskId, attempt, state, ...(hostId === undefined ? {} : { hostId }), ...(shardId === undefined ? {} : { shardId }) }
}
