/**
 * The shards that this process knows, each with its ownership, updated from the records in the store.
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
   * The shard's record can't be decoded. The shard isn't taken over until an operator has repaired the record: a takeover
   * would start from epoch 1 again, and hosts would accept commands of an owner that was replaced long ago.
   */
  damaged: boolean
}

export interface IShardChange {
  readonly shard: IKnownShard
  readonly change: OwnershipChange
}

interface IObservedRecord {
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
  /** Records of shards that have not been added yet. */
  private readonly _pendingRecords = new Map<string, IObservedRecord>()
  private readonly _damagedShardIds = new Set<string>()

  public constructor (private readonly _createOwnership: (spec: IShardSpec) => ShardOwnership) {}

  /** Adds a shard if it isn't known yet. */
  public add (spec: IShardSpec): void {
    if (this._shards.has(spec.shardId)) return
    const damaged = this._damagedShardIds.has(spec.shardId)
    const shard = { spec, ownership: this._createOwnership(spec), releasing: false, damaged }
    this._shards.set(spec.shardId, shard)
    const observed = this._pendingRecords.get(spec.shardId)
    if (observed !== undefined) this.fireChange(shard, shard.ownership.observe(observed.record, observed.modRevision))
  }

  public get (shardId: string): IKnownShard | undefined {
    return this._shards.get(shardId)
  }

  public all (): readonly IKnownShard[] {
    return [...this._shards.values()]
  }

  public held (): readonly IKnownShard[] {
    return this.all().filter(({ ownership }) => ownership.isHeld)
  }

  /** Passes a record from the store to the ownership of its shard. */
  public observeRecord (read: IStoreRecord, deleted: boolean): void {
    const shardId = read.key.slice(SHARD_PREFIX.length)
    const decoded: Result<IShardRecord | undefined, InvalidInputError> = deleted ? ok(undefined) : decodeShardRecord(read.key, read.value)
    this._setDamaged(shardId, decoded.isErr() ? decoded.error : undefined)
    if (decoded.isErr()) return
    const shard = this._shards.get(shardId)
    if (shard === undefined) this._pendingRecords.set(shardId, { record: decoded.value, modRevision: read.modRevision })
    else this.fireChange(shard, shard.ownership.observe(decoded.value, read.modRevision))
  }

  /** Fires `onChange` if a step of a shard's ownership has changed it. */
  public fireChange (shard: IKnownShard, change: OwnershipChange | undefined): void {
    if (change !== undefined) this._onChange.fire({ shard, change })
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  private _setDamaged (shardId: string, error: InvalidInputError | undefined): void {
    const shard = this._shards.get(shardId)
    if (shard !== undefined) shard.damaged = error !== undefined
    if (error === undefined) this._damagedShardIds.delete(shardId)
    else this._damagedShardIds.add(shardId)
    if (error !== undefined) this._onDamaged.fire(error)
  }
}
