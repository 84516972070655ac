/**
 * Writes one shard's record and doesn't rest until it is known whether that took effect.
 */

import { shardKey } from '../../common/state/ShardOwnership.js'
import { doWrite } from './StoreOutcome.js'

import type { IRecordWrite, OwnershipChange, ShardOwnership } from '../../common/state/ShardOwnership.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreRecord } from '../../runtime/Types.js'

export interface IRecordWriteListener {
  onChange (change: OwnershipChange | undefined): void
  /** A record has been read: report it to the ownership. */
  onRead (record: IStoreRecord): void
}

export class ShardRecordWriter implements IDisposable {
  private _disposed = false

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private readonly _retryMs: number
  ) {}

  /** Does a write, and settles a lost answer by reading back and repeating the same write. */
  public async write (ownership: ShardOwnership, write: IRecordWrite, listener: IRecordWriteListener): Promise<void> {
    while (!this._disposed) {
      const result = await doWrite(this._store, write)
      listener.onChange(ownership.wrote(write, result.outcome, result.modRevision))
      if (ownership.state !== 'confirming' && ownership.state !== 'releasing') return
      await this._readBack(ownership, write.record.shardId, listener)
      if (ownership.pendingWrite !== write) return
      await this._pause()
    }
  }

  public dispose (): void {
    this._disposed = true
  }

  private async _readBack (ownership: ShardOwnership, shardId: string, listener: IRecordWriteListener): Promise<void> {
    while (!this._disposed) {
      const read = await this._store.get(shardKey(shardId))
      if (read.isErr()) {
        await this._pause()
        continue
      }
      if (read.value === undefined) listener.onChange(ownership.observe(undefined, 0))
      else listener.onRead(read.value)
      return
    }
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._timers.after(this._retryMs, resolve) })
  }
}
