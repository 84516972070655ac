/**
 * Writes the record of a shard and retries until it is known whether the write took effect.
 */

import { shardKey } from '../../common/state/ShardOwnership.js'
import { performWrite } from './StoreOutcome.js'

import type { IRecordWrite, OwnershipChange, ShardOwnership } from '../../common/state/ShardOwnership.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreRecord } from '../../runtime/Types.js'

export interface IRecordWriteListener {
  onChange (change: OwnershipChange | undefined): void
  /** A record has been read and must be passed to the ownership. */
  onRead (record: IStoreRecord): void
}

export class ShardRecordWriter implements IDisposable {
  private _isDisposed = false

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _retryMs: number
  ) {}

  /** Performs a write. If its answer is lost, reads the record back and repeats the same write if necessary. */
  public async write (ownership: ShardOwnership, write: IRecordWrite, listener: IRecordWriteListener): Promise<void> {
    while (!this._isDisposed) {
      const result = await performWrite(this._store, write)
      listener.onChange(ownership.reportWrite(write, result.outcome, result.modRevision))
      if (ownership.state !== 'confirming' && ownership.state !== 'releasing') return
      await this._readBack(ownership, write.record.shardId, listener)
      if (ownership.pendingWrite !== write) return
      await this._waitForRetry()
    }
  }

  public dispose (): void {
    this._isDisposed = true
  }

  private async _readBack (ownership: ShardOwnership, shardId: string, listener: IRecordWriteListener): Promise<void> {
    while (!this._isDisposed) {
      const read = await this._store.get(shardKey(shardId))
      if (read.isErr()) {
        await this._waitForRetry()
        continue
      }
      if (read.value === undefined) listener.onChange(ownership.observe(undefined, 0))
      else listener.onRead(read.value)
      return
    }
  }

  private async _waitForRetry (): Promise<void> {
    await new Promise<void>((resolve) => { this._timers.after(this._retryMs, resolve) })
  }
}
