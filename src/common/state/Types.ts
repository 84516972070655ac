/**
 * The state that outlives a process: shards with their owners, and the log of an id shard, which holds claims of
 * non-idempotent requests and accepted jobs. All of it free of I/O: the classes say what to write and hear how it went.
 */

import type { IJobSpec, JobState } from '../protocol/Types.js'
import type { EpochMs } from '../Types.js'

export type ShardKind = 'runners' | 'workers' | 'ids'

/** The store's record of a shard, at `shards/<shardId>`. It is attached to no lease, so that the epoch never goes back. */
export interface IShardRecord {
  readonly shardId: string
  readonly kind: ShardKind
  /** `processId`; empty when released. */
  readonly owner: string
  /** The incarnation that owns it: a restarted process is a different owner. */
  readonly ownerIncarnation: number
  /** Raised by every change of owner. */
  readonly epoch: number
  /** Differs with each write, so that a writer recognises its own after a lost answer. */
  readonly nonce: string
}

/** An entry of an id shard's log. */
export type SliceEntry =
  | { readonly type: 'claim', readonly key: string, readonly attemptId: string, readonly holder: string, readonly at: EpochMs }
  | { readonly type: 'block', readonly key: string, readonly attemptId: string, readonly at: EpochMs }
  | { readonly type: 'release', readonly key: string, readonly attemptId: string, readonly at: EpochMs }
  | { readonly type: 'job', readonly job: IJobSpec, readonly at: EpochMs }
  | { readonly type: 'jobEnd', readonly jobId: string, readonly state: JobState, readonly at: EpochMs }

/**
 * The head of an id shard's log, at `slices/<shardId>/head`. Each commit is a compare-and-swap of the head, so that a
 * new owner who has raised the epoch in it fences a paused old one. A full head is sealed as
 * `slices/<shardId>/segments/<number>` and starts again empty.
 */
export interface ISliceHead {
  readonly epoch: number
  readonly owner: string
  readonly nonce: string
  /** The number that this head gets when it is sealed. */
  readonly segment: number
  readonly entries: readonly SliceEntry[]
}
