/**
 * Finds out what became of tasks whose scheduler or host is out of touch, by asking every scheduler.
 *
 * What can go wrong: a scheduler dies or a shard changes hands while a task runs, and its owner doesn't know whether it
 * still does. Started anew at once, it might be on two hosts; never started anew, its job would never end. A task counts
 * as absent only when for every shard of workers its owner has said that each host there has told it what it runs, or is
 * gone, and nobody knows the task. Each of those owners has by then raised the epoch at its hosts and has heard ours, so
 * no command of an earlier owner, of a host or of the job, can start it any more. The price: while some host can be
 * neither reached nor is known to be gone, tasks that nobody knows of wait.
 */

import { shardOfHost } from '../hosts/Types.js'

import type { ITasksOfReply } from '../../common/protocol/Types.js'
import type { IHostRecord } from '../../platform/Types.js'
import type { JobRun } from './JobRun.js'
import type { TaskRun } from './TaskRun.js'
import type { IJobPeers, IShardView } from './Types.js'

export interface ILocatorContext {
  readonly peers: IJobPeers
  readonly shards: IShardView
  readonly hosts: () => readonly IHostRecord[]
}

export interface IMissingTask {
  readonly run: JobRun
  readonly task: TaskRun
  readonly attempt: number
}

export interface ILocateResult {
  /** Everybody who owns workers has told all that runs there. */
  readonly isComplete: boolean
  /** Those of the missing that run nowhere for certain. */
  readonly absent: readonly IMissingTask[]
}

const ASK_TIMEOUT_MS = 2000

export class TaskLocator {
  public constructor (private readonly _context: ILocatorContext) {}

  /** One round of asking; tells each reply to `onReply`. */
  public async locate (
    idShard: string,
    ownerEpoch: number,
    missing: readonly IMissingTask[],
    onReply: (from: string, reply: ITasksOfReply) => void
  ): Promise<ILocateResult> {
    const settled = new Set<string>()
    await Promise.all(this._schedulers().map(async (processId) => {
      const reply = await this._context.peers.call(processId, 'tasksOf', { idShard, ownerEpoch }, ASK_TIMEOUT_MS)
      if (reply.isErr()) return
      for (const shardId of reply.value.settledShards) settled.add(shardId)
      onReply(processId, reply.value)
    }))
    if (!this._isComplete(settled)) return { isComplete: false, absent: [] }
    return { isComplete: true, absent: missing.filter(({ task, attempt }) => task.isMissing && task.attempt === attempt) }
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
