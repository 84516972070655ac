/**
 * Types that the classes for jobs and tasks share, and the dependencies that are passed to them.
 */

import type { ResultAsync } from 'neverthrow'
import type { IDisposable, IProcessIdentity, IResources } from '../../common/Types.js'
import type { IConfigReplica } from '../../common/config/Types.js'
import type { ILogger } from '../../common/observability/Types.js'
import type { IDecisionEngine } from '../../common/policy/Types.js'
import type { IJobSpec, ILoadSummary, IPeerCalls, IPeerCasts, JobState, PeerCallName } from '../../common/protocol/Types.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { IJobRecord } from '../../common/state/JobTable.js'
import type { IClock, IRandom, ITimers } from '../../common/Types.js'
import type { PeerError } from '../../peer/Types.js'
import type { IHostRecord, IWorkerClient, TaskEnd } from '../../runtime/Types.js'
import type { IHostDirectory, IShardEvents } from '../hosts/Types.js'

/** One attempt of one task, as its host knows it. */
export interface IAttempt {
  readonly jobId: string
  /** Unique within the job only. */
  readonly taskId: string
  readonly attempt: number
}

/** An attempt to start on a host. */
export interface IAttemptStart extends IAttempt {
  readonly service: string
  readonly resources: IResources
  readonly runMs?: number | undefined
}

/** How an attempt ended: as its host reported, or `lost` if its lease has lapsed, or its host is gone or no longer knows it. */
export type AttemptOutcome = TaskEnd | 'lost'

/** The events of a worker session about its host. */
export interface IWorkerEvents {
  /** The host accepts this process's epoch and runs these attempts, which an earlier owner started. */
  onAdopted (hostId: string, running: ReadonlyArray<IAttemptStart>): void
  onRunning (hostId: string, attempt: IAttempt): void
  onEnded (hostId: string, attempt: IAttempt, outcome: AttemptOutcome): void
  /** The attempt certainly never ran and never will. */
  onNotStarted (hostId: string, attempt: IAttempt): void
  onUsage (hostId: string, attempt: IAttempt, usage: IResources): void
  /** The host's capacity has changed, or whether it accepts new work. */
  onHostChanged (hostId: string): void
  /** The host has accepted a newer epoch. */
  onFenced (hostId: string, shardId: string, currentEpoch: number): void
}

export interface IWorkerPoolContext {
  readonly client: IWorkerClient
  readonly engine: IDecisionEngine
  readonly directory: IHostDirectory
  readonly shards: IShardEvents
  readonly clock: IClock
  readonly timers: ITimers
  readonly log: ILogger
}

/** The job log of the id shards that this process owns; implemented by `ClaimService`. */
export interface IJobLog {
  owns (idShard: string): boolean
  acceptJob (idShard: string, job: IJobSpec): Promise<'durable' | 'dropped' | 'inDoubt' | 'lost' | 'tooLarge'>
  endJob (idShard: string, jobId: string, state: JobState): Promise<'durable' | 'dropped' | 'inDoubt' | 'lost'>
  job (idShard: string, jobId: string): IJobRecord | undefined
}

/** Calls and casts to schedulers by process id, including this process. */
export interface IJobPeers {
  readonly self: IProcessIdentity
  /** This process and all processes that it has a link to. */
  processIds (): readonly string[]
  /** Whether the last message of the process is so recent that it can't have been replaced; always true for this process. */
  hasRecentContact (processId: string): boolean
  call<N extends PeerCallName> (processId: string, name: N, request: IPeerCalls[N]['request'], timeoutMs: number):
  ResultAsync<IPeerCalls[N]['reply'], PeerError>
  cast (processId: string, name: 'taskUpdate', cast: IPeerCasts['taskUpdate']): void
  onLost (listener: (peer: IProcessIdentity) => void): IDisposable
}

/** The owners of the shards, as far as this process knows; implemented by `SchedulerRouter`. */
export interface IShardView {
  ownerOf (shardId: string): string | undefined
  summaries (): readonly ILoadSummary[]
}

export interface ITaskServiceContext {
  readonly engine: IDecisionEngine
  readonly peers: IJobPeers
  readonly shards: IShardView
  readonly config: IConfigReplica
  readonly idShardOf: (jobId: string) => string
  readonly clock: IClock
  readonly timers: ITimers
  readonly log: ILogger
}

export interface IJobOwnerContext {
  readonly jobLog: IJobLog
  readonly peers: IJobPeers
  readonly shards: IShardView
  readonly config: IConfigReplica
  /** All hosts of the cell; empty until the host list has been read. */
  readonly hosts: () => readonly IHostRecord[]
  readonly idShardOf: (jobId: string) => string
  /** `charts/task.json`. */
  readonly taskChart: ChartTable
  readonly clock: IClock
  readonly timers: ITimers
  readonly random: IRandom
  readonly log: ILogger
}
