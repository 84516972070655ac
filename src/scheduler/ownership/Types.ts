/**
 * What owning shards needs and tells.
 */

import type { ShardKind } from '../../common/state/Types.js'

export interface IShardOwnerOptions {
  /** Between looks at what could be taken, in milliseconds; changes that the watch brings are looked at when they come. */
  readonly evaluateMs: number
  /**
   * After an outage, how long others get to register again before their shards are taken, in milliseconds. Their
   * leases may all have lapsed while the store was down, and everyone taking from everyone would empty every queue.
   */
  readonly graceAfterOutageMs: number
  /** How long the members must have been the same before surplus shards are handed over, in milliseconds. */
  readonly rebalanceAfterMs: number
  /** Takeovers that one process has under way at once: a lost failure domain must not cost a burst of writes. */
  readonly maxTakesUnderWay: number
}

export const DEFAULT_SHARD_OWNER_OPTIONS: IShardOwnerOptions = {
  evaluateMs: 500,
  graceAfterOutageMs: 3_000,
  rebalanceAfterMs: 5_000,
  maxTakesUnderWay: 4
}

export interface IShardAcquired {
  readonly shardId: string
  readonly kind: ShardKind
  readonly epoch: number
}

export interface IShardLost {
  readonly shardId: string
  readonly kind: ShardKind
  /** The epoch that we held. */
  readonly epoch: number
  /** `released`: by ourselves, in good order. `taken`: another owner is on record or has fenced us. */
  readonly reason: 'released' | 'taken'
}

/** What the owner of the shards' contents does before a planned release. */
export interface IShardUser {
  /** Stops taking new work for the shard and hands over what waits; the record is released when it resolves. */
  beforeRelease (shardId: string, epoch: number): Promise<void>
}
