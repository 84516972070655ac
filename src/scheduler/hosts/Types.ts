/**
 * The hosts of a scheduler's shards, as the parts of the scheduler see them.
 */

import type { Event } from '../../common/Emitter.js'
import type { IHostRecord } from '../../runtime/Types.js'

/** The newest host list; keeps the last one while the platform does not answer. */
export interface IHostDirectory {
  readonly hosts: readonly IHostRecord[]
  /** A new list came, different from the last. */
  readonly onChange: Event<readonly IHostRecord[]>
}

/** A shard that this process owns. */
export interface IOwnedShard {
  readonly shardId: string
  readonly epoch: number
}

/** Tells which shards this process owns. */
export interface IShardEvents {
  readonly onAcquired: Event<IOwnedShard>
  readonly onLost: Event<IOwnedShard>
  /** A host refused our epoch: somebody else has taken the shard over. */
  noteFenced (shardId: string, currentEpoch: number): void
  /** Whether the store, asked now, shows the shard under this epoch; false also when it can't be asked. */
  confirm (shardId: string, epoch: number): Promise<boolean>
}

/** The shard of a host: all hosts of one kind in one rack. */
export function shardOfHost (host: IHostRecord): string {
  return `${host.kind}s/${host.rack}`
}
