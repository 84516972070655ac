/**
 * Reads from the store under which epoch a shard stands, to be sure that nobody has taken it over.
 *
 * A lost failure domain makes many hosts of one shard silent at once. Their sessions share a read, because the store
 * counts each.
 */

import { decodeShardRecord } from '../../common/state/SliceCodec.js'
import { shardKey } from '../../common/state/ShardOwnership.js'

import type { IClock } from '../../common/Types.js'
import type { IKeyValueStore } from '../../platform/Types.js'
import type { IShardEpochs, IShardReading } from './Types.js'

export class ShardEpochReader implements IShardEpochs {
  private readonly _underWay = new Map<string, Promise<IShardReading | undefined>>()

  public constructor (private readonly _store: Pick<IKeyValueStore, 'get'>, private readonly _clock: IClock) {}

  public read (shardId: string): Promise<IShardReading | undefined> {
    const underWay = this._underWay.get(shardId)
    if (underWay !== undefined) return underWay
    const reading = this._read(shardId).finally(() => { this._underWay.delete(shardId) })
    this._underWay.set(shardId, reading)
    return reading
  }

  private async _read (shardId: string): Promise<IShardReading | undefined> {
    const sentAtMs = this._clock.nowMs()
    const key = shardKey(shardId)
    const found = await this._store.get(key)
    if (found.isErr() || found.value === undefined) return undefined
    return decodeShardRecord(key, found.value.value).map(({ epoch }) => ({ epoch, sentAtMs })).unwrapOr(undefined)
  }
}
