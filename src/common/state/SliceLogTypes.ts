/**
 * Options, start state and results of an id shard's log.
 */

import type { EpochMs } from '../Types.js'
import type { ISliceHead, SliceEntry } from './Types.js'

export interface ISliceLogOptions {
  readonly shardId: string
  readonly owner: string
  readonly epoch: number
  /** The size above which a head is sealed, in bytes of JSON: each commit writes the whole head again. */
  readonly sealBytes: number
  /** The maximum size that one commit adds, in bytes of JSON: keeps a value below the store's limit of one megabyte. */
  readonly maxCommitBytes: number
  /** How long claims and ended jobs are kept, in milliseconds. */
  readonly retentionMs: number
}

export const DEFAULT_SLICE_LOG_OPTIONS = {
  sealBytes: 16_384,
  maxCommitBytes: 262_144,
  retentionMs: 600_000
} as const

/** Added to the retention, since a new owner's wall clock may differ from that of the owner that stamped the entries. */
export const WALL_CLOCK_MARGIN_MS = 60_000

/** A sealed segment that the log still needs. */
export interface ISealedSegment {
  readonly name: string
  readonly modRevision: number
  readonly newestAt: EpochMs
  /** The ids of the jobs whose entries it contains. */
  readonly jobIds: readonly string[]
}

/** The result of a reported outcome. */
export type SliceProgress =
  /** These entries are durable now. */
  | { readonly type: 'committed', readonly entries: readonly SliceEntry[] }
  /** The write had no effect. These entries, which include all that were queued behind it, are discarded; undo them in reverse order. */
  | { readonly type: 'dropped', readonly entries: readonly SliceEntry[] }
  /** Read the head at `key` and report it, then ask for the next write. */
  | { readonly type: 'readBack', readonly key: string }
  /** Another owner has raised the epoch: stop writing. */
  | { readonly type: 'lost' }
  /** Nothing to report; ask for the next write. */
  | { readonly type: 'continue' }

export interface ISliceStart {
  /** The head that the takeover wrote, and the revision of that write. */
  readonly head: ISliceHead
  readonly modRevision: number
  /** The segments that the head lists, oldest first. */
  readonly segments: readonly ISealedSegment[]
  /** Segments that the head doesn't list, left behind by an interrupted seal or compaction. */
  readonly garbage: readonly { readonly key: string, readonly modRevision: number }[]
}
