/**
 * The highest epoch heard of for each id shard.
 *
 * What goes wrong without it: the owner of a job is paused, another process takes the job over and starts its tasks
 * anew, and the first one wakes up and places them too; one would see a task on two hosts. Each command of an owner
 * bears its epoch, and a scheduler refuses one that is older than it has heard of. The new owner makes itself heard by
 * all schedulers before it places anything again.
 */

import type { IShardView } from './Types.js'

export class OwnerEpochs {
  private readonly _heard = new Map<string, number>()

  public constructor (private readonly _shards: IShardView) {}

  /** Takes in the epoch of a command; false when a newer one is known. */
  public accept (idShard: string, epoch: number): boolean {
    if (epoch < this._current(idShard)) return false
    this._heard.set(idShard, epoch)
    return true
  }

  private _current (idShard: string): number {
    let current = this._heard.get(idShard) ?? 0
    for (const { shards } of this._shards.summaries()) {
      const told = shards.find((shard) => shard.shardId === idShard)
      if (told !== undefined) current = Math.max(current, told.epoch)
    }
    return current
  }
}
