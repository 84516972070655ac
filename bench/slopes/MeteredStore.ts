/**
 * An in-memory store that counts calls and written bytes and can delay its answers by the latency of the platform's store.
 */

import { ResultAsync } from 'neverthrow'

import { MemoryStore } from '../../test/support/MemoryStore.js'

import type { ConflictError } from '../../src/common/Errors.js'
import type { IStoreRange, IStoreRecord, StoreError } from '../../src/runtime/Types.js'
import type { ITimers } from '../../src/common/Types.js'

export class MeteredStore extends MemoryStore {
  public reads = 0
  public writes = 0
  public writtenBytes = 0

  public constructor (private readonly _latencyTimers: ITimers, private readonly _latencyMs = 0) {
    super(_latencyTimers)
  }

  public reset (): void {
    this.reads = 0
    this.writes = 0
    this.writtenBytes = 0
  }

  public override get (key: string): ResultAsync<IStoreRecord | undefined, StoreError> {
    this.reads += 1
    return this._delay(() => super.get(key))
  }

  public override range (prefix: string): ResultAsync<IStoreRange, StoreError> {
    this.reads += 1
    return this._delay(() => super.range(prefix))
  }

  public override compareAndSwap (key: string, expectedModRevision: number, value: string | undefined, leaseId?: string):
  ResultAsync<number, StoreError | ConflictError> {
    this.writes += 1
    this.writtenBytes += key.length + (value?.length ?? 0)
    return this._delay(() => super.compareAndSwap(key, expectedModRevision, value, leaseId))
  }

  private _delay<T, E> (call: () => ResultAsync<T, E>): ResultAsync<T, E> {
    if (this._latencyMs === 0) return call()
    const latency = new Promise<void>((resolve) => { this._latencyTimers.after(this._latencyMs, resolve) })
    return ResultAsync.fromSafePromise<void, E>(latency).andThen(call)
  }
}
