/**
 * The state that outlives a process: shards with their owners, and the log of an id shard, which holds claims of
 * non-idempotent requests and accepted jobs. All of it free of I/O: the classes say what to write and hear how it went.
 */

import type { IJobSpec, JobState } from '../protocol/Types.js'
import type { EpochMs } from '../Types.js'

export type ShardKind = 'runners' | 'workers' | 'ids'

/** A shard that is to have an owner. */
export interface IShardSpec {
  readonly shardId: string
  readonly kind: ShardKind
  /** Where its hosts stand; absent for `ids`, which any region may own. */
  readonly region?: string
}

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
 * new owner who has raised the epoch in it fences a paused old one.
 */
export interface ISliceHead {
  readonly epoch: number
  readonly owner: string
  readonly nonce: string
  /**
   * The sealed segments that belong to the log, oldest first, at `slices/<shardId>/segments/<name>`. A name holds
   * the epoch of its writer, so that a paused old owner can't overwrite a newer owner's; one not listed is garbage.
   */
  readonly segments: readonly string[]
  readonly entries: readonly SliceEntry[]
}

/** What a sealed segment holds. */
export interface ISliceSegment {
  readonly entries: readonly SliceEntry[]
}

/** A compare-and-swap that a pure class wants done. */
export interface IStoreWrite {
  readonly key: string
  readonly expectedModRevision: number
  /** Absent: delete. */
  readonly value: string | undefined
}

/**
 * How a write went: `ok`; `conflict`: another revision stands there; `nothing`: for certain without effect;
 * `ambiguous`: sent, no answer.
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
