/**
 * The present owner of each id shard, by the highest epoch heard of.
 *
 * What goes wrong without it: the owner of a job is paused, another process takes the job over and starts its tasks
 * anew, and the first one wakes up and places them too; one would see a task on two hosts. Each command of an owner
 * bears its epoch, and a scheduler refuses one that is older than it has heard of. The new owner makes itself heard by
 * all schedulers before it places anything again, and from then on gets all news: told to the old owner, the end of a
 * task would be lost, and its job would never end.
 */

import type { IShardView } from './Types.js'

interface IHeard {
  readonly epoch: number
  readonly owner: string
}

const NOBODY: IHeard = { epoch: 0, owner: '' }

export class OwnerEpochs {
  private readonly _heard = new Map<string, IHeard>()

  public constructor (private readonly _shards: IShardView) {}

  /** Takes in the epoch of an owner's command; false when a newer one is known. */
  public accept (idShard: string, epoch: number, owner: string): boolean {
    if (epoch < this._present(idShard).epoch) return false
    this._heard.set(idShard, { epoch, owner })
    return true
  }

  /** The process that is to hear of the tasks of the id shard's jobs. */
  public ownerOf (idShard: string): string | undefined {
    const { owner } = this._present(idShard)
    return owner === '' ? undefined : owner
  }

  private _present (idShard: string): IHeard {
    let present = this._heard.get(idShard) ?? NOBODY
    for (const { processId, shards } of this._shards.summaries()) {
      const told = shards.find((shard) => shard.shardId === idShard)
      if (told !== undefined && told.epoch > present.epoch) present = { epoch: told.epoch, owner: processId }
    }
    return present
  }
}
