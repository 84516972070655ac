/**
 * The hosts and shards of a scheduler, as its components see them.
 */

import type { Event } from '../../common/Emitter.js'
import type { IHostRecord } from '../../runtime/Types.js'

/** The newest host list; keeps the last one while the platform doesn't answer. */
export interface IHostDirectory {
  readonly hosts: readonly IHostRecord[]
  /** Fires when the list has changed. */
  readonly onChange: Event<readonly IHostRecord[]>
}

/** A shard that this process owns. */
export interface IOwnedShard {
  readonly shardId: string
  readonly epoch: number
}

/** Reports which shards this process gains and loses. */
export interface IShardEvents {
  readonly onAcquired: Event<IOwnedShard>
  readonly onLost: Event<IOwnedShard>
  /** A host refused this process's epoch: another process has taken the shard over. */
  reportFenced (shardId: string, currentEpoch: number): void
  /** Whether the store, read now, shows this process as owner under this epoch; false also if the store doesn't answer. */
  confirm (shardId: string, epoch: number): Promise<boolean>
}

/** The shard of a host: all hosts of one kind in one rack. */
export function shardOfHost (host: IHostRecord): string {
  return `${host.kind}s/${host.rack}`
}
