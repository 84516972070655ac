/**
 * What an id shard's log is given and what it reports.
 */

import type { EpochMs } from '../Types.js'
import type { ISliceHead, SliceEntry } from './Types.js'

export interface ISliceLogOptions {
  readonly shardId: string
  readonly owner: string
  readonly epoch: number
  /** A head above this size is sealed, in bytes of JSON: each commit writes the whole head again. */
  readonly sealBytes: number
  /** The most that one commit adds, in bytes of JSON; keeps a value below the store's megabyte. */
  readonly maxCommitBytes: number
  /** Claims and ended jobs are kept this long, in milliseconds. */
  readonly retentionMs: number
}

export const DEFAULT_SLICE_LOG_OPTIONS = {
  sealBytes: 16_384,
  maxCommitBytes: 262_144,
  retentionMs: 600_000
} as const

/** Added to the retention because a new owner's wall clock may differ from that of the owner who stamped the entries. */
export const WALL_CLOCK_MARGIN_MS = 60_000

/** A sealed segment that the log still needs. */
export interface ISealedSegment {
  readonly name: string
  readonly modRevision: number
  readonly newestAt: EpochMs
  /** Jobs whose entry stands in it. */
  readonly jobIds: readonly string[]
}

/** What a reported outcome has brought about. */
export type SliceProgress =
  /** These are durable now. */
  | { readonly type: 'committed', readonly entries: readonly SliceEntry[] }
  /** Without effect: these and all that were queued behind them are forgotten; take them back in reverse order. */
  | { readonly type: 'dropped', readonly entries: readonly SliceEntry[] }
  /** Read `key` and report it to `readBack`, then ask for the next write. */
  | { readonly type: 'readBack', readonly key: string }
  /** Another owner has raised the epoch: stop. */
  | { readonly type: 'lost' }
  /** Nothing to report; ask for the next write. */
  | { readonly type: 'continue' }

export interface ISliceStart {
  /** The head as the takeover wrote it, and the revision of that write. */
  readonly head: ISliceHead
  readonly modRevision: number
  /** The segments that the head lists, oldest first. */
  readonly segments: readonly ISealedSegment[]
  /** Segments that the head doesn't list: left behind by an interrupted seal or compaction. */
  readonly garbage: readonly { readonly key: string, readonly modRevision: number }[]
}
