/**
 * Tells the job fence of owners of id shards that are known from load summaries only, before it decides.
 *
 * What goes wrong without it: a job's owner was replaced, and the new one hasn't called this scheduler yet. The news
 * of the end of a task would go to the old owner, where it is lost, and its late commands would still be taken.
 */

import type { JobFence } from '../../common/state/JobFence.js'
import type { IShardView } from './Types.js'

export class OwnerEpochs {
  public constructor (private readonly _shards: IShardView, private readonly _fence: JobFence) {}

  /** Takes in the epoch of an owner's command; false when a newer one is known. */
  public accept (idShard: string, epoch: number, owner: string): boolean {
    this.learn(idShard)
    return this._fence.accept(idShard, epoch, owner)
  }

  /** The process that is to hear of the tasks of the id shard's jobs. */
  public ownerOf (idShard: string): string | undefined {
    this.learn(idShard)
    return this._fence.ownerOf(idShard)
  }

  /** Takes in what the summaries say of an id shard's owner. */
  public learn (idShard: string): void {
    for (const { processId, shards } of this._shards.summaries()) {
      const told = shards.find((shard) => shard.shardId === idShard)
      if (told !== undefined) this._fence.accept(idShard, told.epoch, processId)
    }
  }
}
