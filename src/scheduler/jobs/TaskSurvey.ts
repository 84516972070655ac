/**
 * Asks every scheduler for the tasks of one id shard's jobs, to find tasks whose scheduler or host is out of contact.
 *
 * When a scheduler dies or a shard changes owner while a task runs, the job's owner doesn't know whether the task still
 * runs. If the task were started again immediately, it might run on two hosts; if it were never started again, its job
 * would never end. A task counts as absent only if no scheduler knows it and the owner of every worker shard has reported
 * that each host of the shard has listed its attempts or is gone. By then, each of those owners has raised the epoch at its
 * hosts and knows the epoch of this survey, so no command of an earlier owner of a host or of the job can start the task.
 * The drawback: while some host is unreachable but not known to be gone, tasks that no scheduler knows have to wait.
 */

import { shardOfHost } from '../hosts/Types.js'
import { itemIdOf } from './TaskIds.js'

import type { ITasksOfRequest, ITasksOfReply, ITaskUpdate } from '../../common/protocol/Types.js'
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

const CALL_TIMEOUT_MS = 2000
/** Doubles while some host hasn't listed its attempts: until it has, further surveys cost messages without a new result. */
const FIRST_PAUSE_MS = 500
const MAX_PAUSE_MS = 4000
/** Overloaded links drop updates of tasks. A survey after this time finds lost updates. */
const ROUTINE_INTERVAL_MS = 60_000
/** With more jobs than this, the list of their ids would be larger than the ended tasks of all other jobs. */
const MAX_LISTED_JOB_IDS = 200

export class TaskSurvey {
  private _isRunning = false
  /**
   * Time of the next survey if no task is missing; immediately after a takeover. Tasks of jobs that ended or were cancelled
   * shortly before may still run, long-running ones for ever, and only their hosts and schedulers know them.
   */
  private _routineAtMs: MonotonicMs = -Infinity
  private _notBeforeMs: MonotonicMs = -Infinity
  private _pauseMs = FIRST_PAUSE_MS

  public constructor (
    private readonly _idShard: string,
    public readonly epoch: number,
    private readonly _context: ISurveyContext
  ) {}

  /** Resets the pause between surveys, because after a change the next survey may find more. */
  public resetPause (): void {
    this._pauseMs = FIRST_PAUSE_MS
  }

  /** Runs a survey if one is due. */
  public async runIfDue (): Promise<void> {
    const nowMs = this._context.clock.nowMs()
    if (this._isRunning || nowMs < this._notBeforeMs) return
    const missing = this._allTasks().filter(({ task }) => task.isMissing)
    if (missing.length === 0 && nowMs < this._routineAtMs) return
    this._isRunning = true
    const isComplete = await this._askSchedulers(missing)
    this._isRunning = false
    this._notBeforeMs = this._context.clock.nowMs() + this._pauseMs
    this._pauseMs = isComplete ? FIRST_PAUSE_MS : Math.min(2 * this._pauseMs, MAX_PAUSE_MS)
    if (!isComplete) return
    this._routineAtMs = this._context.clock.nowMs() + ROUTINE_INTERVAL_MS
    for (const { run, task, attempt } of missing) {
      if (task.isMissing && task.attempt === attempt) run.markAbsent(task, this._context.clock.nowMs())
    }
  }

  /** Asks all schedulers once; true if all worker shards have been reported as settled by their owners. */
  private async _askSchedulers (missing: readonly ITaskOfRun[]): Promise<boolean> {
    const settled = new Set<string>()
    const request = this._toRequest(missing)
    const tasksBefore = this._allTasks()
    await Promise.all(this._reachableSchedulers().map(async (processId) => {
      const reply = await this._context.peers.call(processId, 'tasksOf', request, CALL_TIMEOUT_MS)
      if (reply.isErr()) return
      for (const shardId of reply.value.settledShards) this._addSettled(settled, shardId, processId)
      for (const update of reply.value.tasks) this._context.onTaskUpdate(update, processId)
      this._markUnlistedLost(processId, reply.value, tasksBefore)
    }))
    return this._isComplete(settled)
  }

  /**
   * Counts a shard as settled only if its newest owner reports it. An earlier owner that was paused during the takeover of
   * its workers may resume and answer before its hosts have refused it. If its report counted, a task that the new owner has
   * started but can't report would count as absent and would run on two hosts.
   */
  private _addSettled (settled: Set<string>, shardId: string, processId: string): void {
    if (this._context.shards.ownerOf(shardId) === processId) settled.add(shardId)
  }

  /** Marks tasks as lost that a scheduler held before it was asked and doesn't list: the update of their end was lost. */
  private _markUnlistedLost (from: string, reply: ITasksOfReply, tasksBefore: readonly ITaskOfRun[]): void {
    const listed = new Set(reply.tasks.map(({ jobId, place }) => itemIdOf({ jobId, taskId: place.taskId, attempt: place.attempt })))
    for (const { run, task, attempt } of tasksBefore) {
      const isHeldThere = task.scheduler === from && task.attempt === attempt && !task.isMissing
      const isListed = listed.has(itemIdOf({ jobId: run.job.jobId, taskId: task.spec.taskId, attempt }))
      if (isHeldThere && !isListed) run.markLost(task, this._context.clock.nowMs())
    }
  }

  private _toRequest (missing: readonly ITaskOfRun[]): ITasksOfRequest {
    const jobIds = [...new Set(missing.map(({ run }) => run.job.jobId))]
    const request = { idShard: this._idShard, ownerEpoch: this.epoch, jobOwner: this._context.peers.self.processId }
    return jobIds.length > MAX_LISTED_JOB_IDS ? request : { ...request, endedOf: jobIds }
  }

  private _allTasks (): readonly ITaskOfRun[] {
    return this._context.runs().flatMap((run) => [...run.tasks].map((task) => ({ run, task, attempt: task.attempt })))
  }

  private _reachableSchedulers (): readonly string[] {
    const summarized = this._context.shards.summaries().map((summary) => summary.processId)
    const linked = new Set(this._context.peers.processIds())
    return [...new Set([this._context.peers.self.processId, ...summarized])].filter((processId) => linked.has(processId))
  }

  /** Whether all worker shards are settled; false while the host list is empty, because it hasn't been read yet. */
  private _isComplete (settled: ReadonlySet<string>): boolean {
    const hosts = this._context.hosts()
    return hosts.length > 0 && hosts.every((host) => host.kind !== 'worker' || settled.has(shardOfHost(host)))
  }
}
