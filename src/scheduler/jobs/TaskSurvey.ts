/**
 * Asks every scheduler for the tasks of one id shard's jobs, to find those whose scheduler or host is out of touch.
 *
 * What can go wrong: a scheduler dies or a shard changes hands while a task runs, and its owner doesn't know whether it
 * still does. Started anew at once, it might be on two hosts; never started anew, its job would never end. A task counts
 * as absent only when for every shard of workers its owner has said that each host there has told it what it runs, or is
 * gone, and nobody knows the task. Each of those owners has by then raised the epoch at its hosts and has heard ours, so
 * no command of an earlier owner, of a host or of the job, can start it any more. The price: while some host can be
 * neither reached nor is known to be gone, tasks that nobody knows of wait.
 */

import { shardOfHost } from '../hosts/Types.js'
import { itemIdOf } from './TaskIds.js'

import type { ITasksOfAsk, ITasksOfReply, ITaskUpdate } from '../../common/protocol/Types.js'
import type { IClock, MonotonicMs } from '../../common/Types.js'
import type { IHostRecord } from '../../runtime/Types.js'
import type { JobRun } from './JobRun.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobPeers, IShardView } from './Types.js'

export interface ISurveyContext {
  readonly peers: IJobPeers
  readonly shards: IShardView
  readonly hosts: () => readonly IHostRecord[]
  readonly clock: IClock
  /** The jobs of the id shard. */
  readonly runs: () => readonly JobRun[]
  readonly onTaskUpdate: (update: ITaskUpdate, from: string) => void
}

interface ITaskOfRun {
  readonly run: JobRun
  readonly task: TaskRun
  readonly attempt: number
}

const ASK_TIMEOUT_MS = 2000
/** Doubles while some host can't tell what it runs: until it can, asking again costs messages and tells nothing new. */
const FIRST_PAUSE_MS = 500
const MAX_PAUSE_MS = 4000
/** News of tasks is dropped on links that are overfull. What was missed is noticed after this time at the latest. */
const ROUTINE_MS = 60_000
/** With more jobs than this, their names would cost more than the ended tasks of all others. */
const MAX_JOBS_NAMED = 200

export class TaskSurvey {
  private _isAsking = false
  /**
   * When everybody is asked although nothing is missing; at once after a takeover. Tasks of jobs that ended or were
   * cancelled just before may run on, long-running ones for ever, and only their hosts and schedulers know of them.
   */
  private _routineAtMs: MonotonicMs = -Infinity
  private _nextAtMs: MonotonicMs = -Infinity
  private _pauseMs = FIRST_PAUSE_MS

  public constructor (
    private readonly _idShard: string,
    public readonly epoch: number,
    private readonly _context: ISurveyContext
  ) {}

  /** Something has changed, so that asking again may tell more. */
  public hasten (): void {
    this._pauseMs = FIRST_PAUSE_MS
  }

  /** Asks, if it is time to. */
  public async tick (): Promise<void> {
    const nowMs = this._context.clock.nowMs()
    if (this._isAsking || nowMs < this._nextAtMs) return
    const missing = this._tasks().filter(({ task }) => task.isMissing)
    if (missing.length === 0 && nowMs < this._routineAtMs) return
    this._isAsking = true
    const isComplete = await this._ask(missing)
    this._isAsking = false
    this._nextAtMs = this._context.clock.nowMs() + this._pauseMs
    this._pauseMs = isComplete ? FIRST_PAUSE_MS : Math.min(2 * this._pauseMs, MAX_PAUSE_MS)
    if (!isComplete) return
    this._routineAtMs = this._context.clock.nowMs() + ROUTINE_MS
    for (const { run, task, attempt } of missing) {
      if (task.isMissing && task.attempt === attempt) run.absent(task, this._context.clock.nowMs())
    }
  }

  /** One round; true if everybody who owns workers has told all that runs there. */
  private async _ask (missing: readonly ITaskOfRun[]): Promise<boolean> {
    const settled = new Set<string>()
    const ask = this._toAsk(missing)
    const begun = this._tasks()
    await Promise.all(this._schedulers().map(async (processId) => {
      const reply = await this._context.peers.call(processId, 'tasksOf', ask, ASK_TIMEOUT_MS)
      if (reply.isErr()) return
      for (const shardId of reply.value.settledShards) this._noteSettled(settled, shardId, processId)
      for (const update of reply.value.tasks) this._context.onTaskUpdate(update, processId)
      this._loseUnlisted(processId, reply.value, begun)
    }))
    return this._isComplete(settled)
  }

  /**
   * Counts a shard only by the word of its newest owner. One that slept through the takeover of its workers may wake
   * and tell before its hosts have refused it; by its word alone, a task that the new owner has started and can't tell
   * of would count as absent, and one would see it on two hosts.
   */
  private _noteSettled (settled: Set<string>, shardId: string, processId: string): void {
    if (this._context.shards.ownerOf(shardId) === processId) settled.add(shardId)
  }

  /** Tasks that were at a scheduler before it was asked, and that it doesn't list: the news of their end was missed. */
  private _loseUnlisted (from: string, reply: ITasksOfReply, begun: readonly ITaskOfRun[]): void {
    const listed = new Set(reply.tasks.map(({ jobId, place }) => itemIdOf({ jobId, taskId: place.taskId, attempt: place.attempt })))
    for (const { run, task, attempt } of begun) {
      const isThere = task.scheduler === from && task.attempt === attempt && !task.isMissing
      const isListed = listed.has(itemIdOf({ jobId: run.job.jobId, taskId: task.spec.taskId, attempt }))
      if (isThere && !isListed) run.lost(task, this._context.clock.nowMs())
    }
  }

  private _toAsk (missing: readonly ITaskOfRun[]): ITasksOfAsk {
    const jobIds = [...new Set(missing.map(({ run }) => run.job.jobId))]
    const ask = { idShard: this._idShard, ownerEpoch: this.epoch, jobOwner: this._context.peers.self.processId }
    return jobIds.length > MAX_JOBS_NAMED ? ask : { ...ask, endedOf: jobIds }
  }

  private _tasks (): readonly ITaskOfRun[] {
    return this._context.runs().flatMap((run) => [...run.tasks].map((task) => ({ run, task, attempt: task.attempt })))
  }

  private _schedulers (): readonly string[] {
    const told = this._context.shards.summaries().map((summary) => summary.processId)
    const linked = new Set(this._context.peers.processIds())
    return [...new Set([this._context.peers.self.processId, ...told])].filter((processId) => linked.has(processId))
  }

  /** An empty host list means that it hasn't been read yet. */
  private _isComplete (settled: ReadonlySet<string>): boolean {
    const hosts = this._context.hosts()
    return hosts.length > 0 && hosts.every((host) => host.kind !== 'worker' || settled.has(shardOfHost(host)))
  }
}
