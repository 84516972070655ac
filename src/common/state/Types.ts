/**
 * Types of the state that outlives a process: shards with their owners, and the log of an id shard, which holds claims of
 * non-idempotent requests and accepted jobs. The classes that use them do no I/O: they return the writes to be done and are told
 * the outcomes.
 */

import type { IJobSpec, JobState } from '../protocol/Types.js'
import type { EpochMs } from '../Types.js'

export type ShardKind = 'runners' | 'workers' | 'ids'

/** A shard that needs an owner. */
export interface IShardSpec {
  readonly shardId: string
  readonly kind: ShardKind
  /** The region of its hosts; absent for `ids` shards, which any region may own. */
  readonly region?: string
}

/** The store's record of a shard, at `shards/<shardId>`. No lease is attached to it, so that it is never deleted and the epoch never decreases. */
export interface IShardRecord {
  readonly shardId: string
  readonly kind: ShardKind
  /** The `processId` of the owner; empty if the shard was released. */
  readonly owner: string
  /** The incarnation of the owner: a restarted process counts as another owner. */
  readonly ownerIncarnation: number
  /** Increased by every change of owner. */
  readonly epoch: number
  /** Unique for each write, so that a writer recognises its own write after its answer was lost. */
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
 * The head of an id shard's log, at `slices/<shardId>/head`. Each commit is a compare-and-swap of the head, so a new owner that
 * has raised the epoch in it fences a paused old owner.
 */
export interface ISliceHead {
  readonly epoch: number
  readonly owner: string
  readonly nonce: string
  /**
   * The names of the sealed segments of the log, oldest first, stored at `slices/<shardId>/segments/<name>`. A name contains the
   * epoch of its writer, so that a paused old owner can't overwrite a newer owner's segment. A stored segment that isn't listed
   * is garbage.
   */
  readonly segments: readonly string[]
  readonly entries: readonly SliceEntry[]
}

/** The stored value of a sealed segment. */
export interface ISliceSegment {
  readonly entries: readonly SliceEntry[]
}

/** A compare-and-swap to be done in the store. */
export interface IStoreWrite {
  readonly key: string
  readonly expectedModRevision: number
  /** Absent to delete the key. */
  readonly value: string | undefined
}

/**
 * The outcome of a write. `ok`: written; `conflict`: the key has another revision; `nothing`: certainly without effect;
 * `ambiguous`: sent, but not answered.
 */
export type WriteOutcome = 'ok' | 'conflict' | 'nothing' | 'ambiguous'

/** A state chart without nesting, in xstate's format: `on` maps an event to its target state. */
export interface IFlatChart {
  readonly id: string
  readonly initial: string
  readonly states: Readonly<Record<string, IFlatChartState>>
}

export interface IFlatChartState {
  readonly type?: 'final'
  readonly on?: Readonly<Record<string, string>>
}
