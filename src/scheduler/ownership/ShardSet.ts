/**
 * The shards that this process knows of, each with its ownership, kept up to date from the store's records.
 */

import { ok } from 'neverthrow'
import { DisposableStore, Emitter } from '../../common/Emitter.js'
import { decodeShardRecord } from '../../common/state/SliceCodec.js'

import type { Result } from 'neverthrow'
import type { InvalidInputError } from '../../common/Errors.js'
import type { OwnershipChange, ShardOwnership } from '../../common/state/ShardOwnership.js'
import type { IShardRecord, IShardSpec } from '../../common/state/Types.js'
import type { IDisposable } from '../../common/Types.js'
import type { IStoreRecord } from '../../runtime/Types.js'

export const SHARD_PREFIX = 'shards/'

export interface IKnownShard {
  readonly spec: IShardSpec
  readonly ownership: ShardOwnership
  /** A planned release is under way. */
  releasing: boolean
  /**
   * Its record can't be read. It is left alone until an operator has mended it: a takeover would start from epoch 1
   * again, and hosts would take the commands of an owner long gone.
   */
  damaged: boolean
}

export interface IShardChange {
  readonly shard: IKnownShard
  readonly change: OwnershipChange
}

interface ISeenRecord {
  readonly record: IShardRecord | undefined
  readonly modRevision: number
}

export class ShardSet implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _onChange = this._disposables.add(new Emitter<IShardChange>())
  public readonly onChange = this._onChange.event
  private readonly _onDamaged = this._disposables.add(new Emitter<InvalidInputError>())
  public readonly onDamaged = this._onDamaged.event
  private readonly _shards = new Map<string, IKnownShard>()
  /** Records of shards that nobody has told us of yet. */
  private readonly _records = new Map<string, ISeenRecord>()
  private readonly _damaged = new Set<string>()

  public constructor (private readonly _newOwnership: (spec: IShardSpec) => ShardOwnership) {}

  /** Adds a shard if it isn't known. */
  public add (spec: IShardSpec): void {
    if (this._shards.has(spec.shardId)) return
    const damaged = this._damaged.has(spec.shardId)
    const shard = { spec, ownership: this._newOwnership(spec), releasing: false, damaged }
    this._shards.set(spec.shardId, shard)
    const seen = this._records.get(spec.shardId)
    if (seen !== undefined) this.apply(shard, shard.ownership.observe(seen.record, seen.modRevision))
  }

  public get (shardId: string): IKnownShard | undefined {
    return this._shards.get(shardId)
  }

  public all (): readonly IKnownShard[] {
    return [...this._shards.values()]
  }

  public held (): readonly IKnownShard[] {
    return this.all().filter(({ ownership }) => ownership.held)
  }

  /** Takes in a record as the store gave it. */
  public see (read: IStoreRecord, deleted: boolean): void {
    const shardId = read.key.slice(SHARD_PREFIX.length)
    const decoded: Result<IShardRecord | undefined, InvalidInputError> = deleted ? ok(undefined) : decodeShardRecord(read.key, read.value)
    this._setDamaged(shardId, decoded.isErr() ? decoded.error : undefined)
    if (decoded.isErr()) return
    const shard = this._shards.get(shardId)
    if (shard === undefined) this._records.set(shardId, { record: decoded.value, modRevision: read.modRevision })
    else this.apply(shard, shard.ownership.observe(decoded.value, read.modRevision))
  }

  /** Passes on what a step of a shard's ownership has brought about. */
  public apply (shard: IKnownShard, change: OwnershipChange | undefined): void {
    if (change !== undefined) this._onChange.fire({ shard, change })
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  private _setDamaged (shardId: string, error: InvalidInputError | undefined): void {
    const shard = this._shards.get(shardId)
    if (shard !== undefined) shard.damaged = error !== undefined
    if (error === undefined) this._damaged.delete(shardId)
    else this._damaged.add(shardId)
    if (error !== undefined) this._onDamaged.fire(error)
  }
}
