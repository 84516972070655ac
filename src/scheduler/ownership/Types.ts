/**
 * Options, events and callbacks of the ownership of shards.
 */

import type { ShardKind } from '../../common/state/Types.js'

export interface IShardOwnerOptions {
  /** Time between two regular checks for shards to take over, in milliseconds; changes from the watch are checked when they arrive. */
  readonly evaluationIntervalMs: number
  /**
   * Time after a store outage in which other members can register again before their shards are taken over, in
   * milliseconds. All leases may have lapsed during the outage; takeovers of every shard would then empty every queue.
   */
  readonly graceAfterOutageMs: number
  /** Time that the set of members must stay unchanged before surplus shards are handed over, in milliseconds. */
  readonly rebalanceAfterMs: number
  /** Most takeovers that one process runs at the same time: the loss of a failure domain must not cause a burst of writes. */
  readonly maxConcurrentTakeovers: number
}

export const DEFAULT_SHARD_OWNER_OPTIONS: IShardOwnerOptions = {
  evaluationIntervalMs: 500,
  graceAfterOutageMs: 3_000,
  rebalanceAfterMs: 5_000,
  maxConcurrentTakeovers: 4
}

export interface IShardAcquired {
  readonly shardId: string
  readonly kind: ShardKind
  readonly epoch: number
}

export interface IShardLost {
  readonly shardId: string
  readonly kind: ShardKind
  /** The epoch that this process held. */
  readonly epoch: number
  /** `released`: by this process, as planned. `taken`: another owner is on record or has fenced this process. */
  readonly reason: 'released' | 'taken'
}

/** Prepares a shard for its planned release; implemented by the component that holds the shard's work. */
export interface IShardReleaseHandler {
  /** Stops new work for the shard and hands its queue over. The record is released once the promise resolves. */
  beforeRelease (shardId: string, epoch: number): Promise<void>
}
