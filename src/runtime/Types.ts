/**
 * The narrow interfaces to everything outside the system. docs/PLATFORM.md says what is assumed of each; the
 * classes beside this file speak the protocols.
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

/** The platform's key-value service. Every call counts against its rate, a waiting watch as one. */
export interface IKeyValueStore {
  /** One read. Absent keys give `undefined`. */
  get (key: string): ResultAsync<IStoreRecord | undefined, StoreError>
  /** All records whose key starts with `prefix`, and the revision at which that was true. */
  range (prefix: string): ResultAsync<IStoreRange, StoreError>
  /**
   * Writes `value` if the key's revision still is `expectedModRevision` (0: absent); `undefined` deletes.
   * With `leaseId` the key goes when that lease lapses. Gives the new revision.
   *
   * `AmbiguousError` means that it may have taken effect: read back before deciding.
   */
  compareAndSwap (key: string, expectedModRevision: number, value: string | undefined, leaseId?: string):
  ResultAsync<number, StoreError | ConflictError>
  /** A lease of `ttlMs`, which lapses unless kept alive. */
  grantLease (ttlMs: number): ResultAsync<string, StoreError>
  /** Renews; `RefusedError` means that it has lapsed. */
  keepAlive (leaseId: string): ResultAsync<void, StoreError>
  revokeLease (leaseId: string): ResultAsync<void, StoreError>
  /**
   * Follows a prefix from `afterRevision`. Calls back with changed records in order (deleted ones have
   * `modRevision` of the deletion and `deleted: true`). After an outage it resumes, and after a gap that the store
   * can't replay it calls `onReset` with a whole range.
   */
  watch (prefix: string, afterRevision: number, listener: IStoreWatchListener): IDisposable
  /** Calls made so far, for the control cost. */
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
  /** The store can't be reached (false) or can again (true). */
  onReachable (reachable: boolean): void
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
  /** Runners: requests it runs at once. */
  readonly slots: number
  /** Runners: connections it takes at once. */
  readonly maxConnections: number
  /** Workers: its capacity. */
  readonly capacity: IResources
}

/** The platform's host list, which lags behind. */
export interface IHostList {
  list (): ResultAsync<readonly IHostRecord[], StoreError>
}

/** Says on whose behalf an upstream is commanded: it refuses an epoch older than the highest it has seen for the shard. */
export interface IFence {
  readonly shardId: string
  readonly epoch: number
}

export interface IRunnerCall {
  readonly fence: IFence
  readonly service: string
  readonly caller: string
  readonly requestId: string
  /** Unique for each dispatch, so that answers and records can be told apart. */
  readonly attemptId: string
  readonly timeoutMs: number
  readonly contentType: string
  readonly body: Uint8Array
  readonly signal?: AbortSignal
}

export interface IRunnerAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/**
 * `RefusedError` (no slot, leaving, fenced) and `UnreachableError` (never sent) mean that it did not run;
 * `AmbiguousError` (sent, then cut or timed out) that it may have.
 */
export type UpstreamError = RefusedError | FencedError | UnreachableError | AmbiguousError

export interface IRunnerStatus {
  readonly slots: number
  readonly slotsInUse: number
  readonly leaving: boolean
  /** Attempts that run now, whoever sent them. */
  readonly attemptIds: readonly string[]
}

/** A runner: takes calls on its slots. */
export interface IRunnerClient {
  run (host: IHostRecord, call: IRunnerCall): ResultAsync<IRunnerAnswer, UpstreamError>
  /** Raises the runner's epoch for the shard and gives what runs there. */
  fence (host: IHostRecord, fence: IFence): ResultAsync<IRunnerStatus, UpstreamError>
  /** Drops connections to hosts that are no longer in use. */
  forget (hostId: string): void
}

export interface ITaskStart {
  readonly taskId: string
  /** Counts the attempts of this task; a higher one never starts while a lower one may live. */
  readonly attempt: number
  readonly jobId: string
  readonly service: string
  readonly resources: IResources
  /** Expected run time for the stand-in, in milliseconds; absent for a long-running service. */
  readonly runMs?: number
  /** When the task's lease ends on the host's own clock, in milliseconds of that clock. */
  readonly leaseExpiresHostMs: number
}

export type TaskEnd = 'succeeded' | 'failed' | 'stopped' | 'leaseLapsed'

export interface ITaskStatus {
  readonly taskId: string
  readonly attempt: number
  readonly jobId: string
  readonly state: 'running' | TaskEnd
  /** Declared at the start. */
  readonly resources: IResources
  /** Reported use, which lags. */
  readonly usage: IResources
}

export interface IWorkerSync {
  readonly fence: IFence
  /** Renews the leases of all tasks on the host up to this time of the host's clock. */
  readonly leaseExpiresHostMs: number
  /** Answers at once when something ended after this sequence number, else after `waitMs`. */
  readonly afterSequence: number
  readonly waitMs: number
}

export interface IWorkerStatus {
  /** The host's clock when it answered, in milliseconds: leases are counted on it. */
  readonly hostMs: number
  readonly leaving: boolean
  readonly sequence: number
  readonly capacity: IResources
  /** All running tasks, and those that ended after `afterSequence`. */
  readonly tasks: readonly ITaskStatus[]
}

/** A worker: runs tasks under leases. */
export interface IWorkerClient {
  fence (host: IHostRecord, fence: IFence): ResultAsync<IWorkerStatus, UpstreamError>
  start (host: IHostRecord, fence: IFence, tasks: readonly ITaskStart[]): ResultAsync<IWorkerStatus, UpstreamError>
  stop (host: IHostRecord, fence: IFence, taskId: string, attempt: number): ResultAsync<IWorkerStatus, UpstreamError>
  /** Renewal, news and usage in one long poll, so that the cost is per host and not per task. */
  sync (host: IHostRecord, sync: IWorkerSync): ResultAsync<IWorkerStatus, UpstreamError>
  /** Drops connections to hosts that are no longer in use. */
  forget (hostId: string): void
}
