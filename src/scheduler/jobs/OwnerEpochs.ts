/**
 * Passes the owners of id shards that are known from load summaries to the job fence before it decides.
 *
 * A job's owner may have been replaced by one that hasn't called this scheduler yet. If the fence didn't know the new
 * owner, updates about the end of tasks would be sent to the old owner and lost, and late commands of the old owner would
 * still be accepted.
 */

import type { JobFence } from '../../common/state/JobFence.js'
import type { IShardView } from './Types.js'

export class OwnerEpochs {
  public constructor (private readonly _shards: IShardView, private readonly _fence: JobFence) {}

  /** Passes the epoch of an owner's command to the fence; false if a newer epoch is known. */
  public accept (idShard: string, epoch: number, owner: string): boolean {
    this.readSummaries(idShard)
    return this._fence.accept(idShard, epoch, owner)
  }

  /** The process that gets the updates of the tasks of the id shard's jobs. */
  public ownerOf (idShard: string): string | undefined {
    this.readSummaries(idShard)
    return this._fence.ownerOf(idShard)
  }

  /** Passes the owner of an id shard from the load summaries to the fence. */
  public readSummaries (idShard: string): void {
    for (const { processId, shards } of this._shards.summaries()) {
      const ownedShard = shards.find((shard) => shard.shardId === idShard)
      if (ownedShard !== undefined) this._fence.accept(idShard, ownedShard.epoch, processId)
    }
  }
}
