/**
 * The interfaces to all systems outside the project. docs/PLATFORM.md states the assumptions about each of them; the classes
 * in this folder implement the protocols.
 */

import type { ResultAsync } from 'neverthrow'
import type { IDisposable, ILocation, IResources } from '../common/Types.js'
import type { AmbiguousError, ConflictError, FencedError, RefusedError, UnreachableError } from '../common/Errors.js'

export interface IStoreRecord {
  readonly key: string
  readonly value: string
  /** The store's revision at which this key was last written; 0 means that the key is absent. */
  readonly modRevision: number
}

export type StoreError = UnreachableError | AmbiguousError | RefusedError

/** The platform's key-value service. Every call counts against its rate limit; a waiting watch counts as one call. */
export interface IKeyValueStore {
  /** Reads one key; `undefined` if the key is absent. */
  get (key: string): ResultAsync<IStoreRecord | undefined, StoreError>
  /** Reads all records whose key starts with `prefix`, and the store's revision at that time. */
  range (prefix: string): ResultAsync<IStoreRange, StoreError>
  /**
   * Writes `value` if the key's revision still is `expectedModRevision` (0: absent); `undefined` deletes the key.
   * With `leaseId` the store deletes the key when that lease expires. Returns the new revision.
   *
   * `AmbiguousError` means that the write may have taken effect: read the key back before deciding.
   */
  compareAndSwap (key: string, expectedModRevision: number, value: string | undefined, leaseId?: string):
  ResultAsync<number, StoreError | ConflictError>
  /** Grants a lease, which expires after `ttlMs` without a renewal. Returns its id. */
  grantLease (ttlMs: number): ResultAsync<string, StoreError>
  /** Renews a lease; `RefusedError` means that the lease has expired. */
  keepAlive (leaseId: string): ResultAsync<void, StoreError>
  revokeLease (leaseId: string): ResultAsync<void, StoreError>
  /**
   * Watches a prefix from `afterRevision`, and passes the changed records to the listener in order (deleted ones have the
   * `modRevision` of the deletion and `deleted: true`). The watch resumes after an outage. If the store can't replay the
   * changes in between, the watch calls `onReset` with the whole range.
   */
  watch (prefix: string, afterRevision: number, listener: IStoreWatchListener): IDisposable
  /** The number of calls so far, for the metrics of control traffic. */
  readonly callCount: number
}

export interface IStoreRange {
  readonly records: readonly IStoreRecord[]
  readonly revision: number
}

export interface IStoreChange extends IStoreRecord {
  readonly deleted: boolean
}

export interface IStoreWatchListener {
  onChanges (changes: readonly IStoreChange[]): void
  onReset (range: IStoreRange): void
  /** Called when the store becomes unreachable (false) or reachable again (true). */
  onReachabilityChange (reachable: boolean): void
}

export type HostKind = 'runner' | 'worker'

/** A host of the platform's host list. */
export interface IHostRecord extends ILocation {
  readonly hostId: string
  readonly kind: HostKind
  /** Base URL, by IP number: `http://127.0.0.1:40123`. */
  readonly url: string
  readonly rack: string
  readonly state: 'live' | 'leaving' | 'gone'
  /** Runners: the number of requests that the runner runs concurrently. */
  readonly slots: number
  /** Runners: the number of concurrent connections that the runner accepts. */
  readonly maxConnections: number
  /** Workers: the resources that the worker offers. */
  readonly capacity: IResources
}

/** The platform's host list, which lags behind the actual state of the hosts. */
export interface IHostList {
  list (): ResultAsync<readonly IHostRecord[], StoreError>
}

/** Identifies the owner that sends a command. An upstream refuses an epoch below the highest one that it has seen for the shard. */
export interface IFence {
  readonly shardId: string
  readonly epoch: number
}

export interface IRunnerCall {
  readonly fence: IFence
  readonly service: string
  readonly caller: string
  readonly requestId: string
  /** Unique for each dispatch, so that responses and records can be matched to it. */
  readonly attemptId: string
  readonly timeoutMs: number
  readonly contentType: string
  readonly body: Uint8Array
  readonly signal?: AbortSignal
}

export interface IRunnerResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/**
 * `RefusedError` (no slot, leaving, fenced) and `UnreachableError` (never sent) mean that the call did not run;
 * `AmbiguousError` (sent, then disconnected or timed out) means that it may have run.
 */
export type UpstreamError = RefusedError | FencedError | UnreachableError | AmbiguousError

export interface IRunnerStatus {
  readonly slots: number
  readonly slotsInUse: number
  readonly leaving: boolean
  /** The attempts that are running, of all senders. */
  readonly attemptIds: readonly string[]
}

/** Client of runners, which run calls on their slots. */
export interface IRunnerClient {
  run (host: IHostRecord, call: IRunnerCall): ResultAsync<IRunnerResponse, UpstreamError>
  /** Raises the runner's epoch for the shard, and returns the runner's status. */
  fence (host: IHostRecord, fence: IFence): ResultAsync<IRunnerStatus, UpstreamError>
  /** Drops connections to hosts that are no longer in use. */
  forget (hostId: string): void
}

export interface ITaskStart {
  readonly taskId: string
  /** The number of this attempt of the task; an attempt never starts while an earlier one may still run. */
  readonly attempt: number
  readonly jobId: string
  readonly service: string
  readonly resources: IResources
  /** Expected run time for the stand-in, in milliseconds; absent for a long-running service. */
  readonly runMs?: number
  /** When the task's lease expires, in milliseconds on the host's own clock. */
  readonly leaseExpiresHostMs: number
}

export type TaskEnd = 'succeeded' | 'failed' | 'stopped' | 'leaseLapsed'

export interface ITaskStatus {
  readonly taskId: string
  readonly attempt: number
  readonly jobId: string
  readonly state: 'running' | TaskEnd
  /** The resources that were declared when the task started. */
  readonly resources: IResources
  /** The reported usage, which lags behind the actual usage. */
  readonly usage: IResources
}

export interface IWorkerSync {
  readonly fence: IFence
  /** The new expiry of the leases of all tasks on the host, in milliseconds on the host's clock. */
  readonly leaseExpiresHostMs: number
  /** The worker responds as soon as a task has ended after this sequence number, at the latest after `waitMs`. */
  readonly afterSequence: number
  readonly waitMs: number
}

export interface IWorkerStatus {
  /** The time on the host's clock when it responded, in milliseconds; lease times refer to this clock. */
  readonly hostMs: number
  readonly leaving: boolean
  readonly sequence: number
  readonly capacity: IResources
  /** All running tasks, and those that ended after `afterSequence`. */
  readonly tasks: readonly ITaskStatus[]
}

/** Client of workers, which run tasks under leases. */
export interface IWorkerClient {
  fence (host: IHostRecord, fence: IFence): ResultAsync<IWorkerStatus, UpstreamError>
  start (host: IHostRecord, fence: IFence, tasks: readonly ITaskStart[]): ResultAsync<IWorkerStatus, UpstreamError>
  stop (host: IHostRecord, fence: IFence, taskId: string, attempt: number): ResultAsync<IWorkerStatus, UpstreamError>
  /** Renews the leases and reads task states and usage in one long poll, so that the cost grows with the hosts and not with the tasks. */
  sync (host: IHostRecord, sync: IWorkerSync): ResultAsync<IWorkerStatus, UpstreamError>
  /** Drops connections to hosts that are no longer in use. */
  forget (hostId: string): void
}
