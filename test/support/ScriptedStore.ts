/**
 * A small in-memory key-value store for the tests of the configuration. It answers at once, and a test sets how the next calls
 * fail.
 */

import { errAsync, okAsync } from 'neverthrow'
import { AmbiguousError, ConflictError, UnreachableError } from '../../src/common/Errors.js'

import type { ResultAsync } from 'neverthrow'
import type { IDisposable } from '../../src/common/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRange, IStoreRecord, IStoreWatchListener, StoreError } from '../../src/runtime/Types.js'

export type StoreFault =
  /** The store can't be reached. */
  | 'unreachable'
  /** The change takes effect, but its answer is lost. */
  | 'answerLost'
  /** The request is lost before the change takes effect. */
  | 'requestLost'
  /** The answer is lost, and the change takes effect only when `deliverLate` is called. */
  | 'late'

export class ScriptedStore implements IKeyValueStore {
  public readonly records = new Map<string, IStoreRecord>()
  /** The faults of the next writes, in order; `undefined` lets a write succeed. */
  public writeFaults: Array<StoreFault | undefined> = []
  public isDown = false
  public callCount = 0
  /** Runs before each write takes effect, so that a test can bring about a race. */
  public beforeWrite: ((key: string) => void) | undefined
  private _revision = 0
  private readonly _lateWrites: Array<() => void> = []
  private readonly _watches = new Set<{ readonly prefix: string, readonly listener: IStoreWatchListener }>()

  public get (key: string): ResultAsync<IStoreRecord | undefined, StoreError> {
    return this._read('store.get', () => this.records.get(key))
  }

  public range (prefix: string): ResultAsync<IStoreRange, StoreError> {
    return this._read('store.range', () => {
      const records = [...this.records.values()].filter(record => record.key.startsWith(prefix))
      return { records, revision: this._revision }
    })
  }

  public compareAndSwap (key: string, expected: number, value: string | undefined): ResultAsync<number, StoreError | ConflictError> {
    this.callCount++
    this.beforeWrite?.(key)
    const fault = this.isDown ? 'unreachable' : this.writeFaults.shift()
    if (fault === 'unreachable') return errAsync(new UnreachableError('store.write', key, 'down'))
    if (fault === 'late') this._lateWrites.push(() => { this._swap(key, expected, value) })
    const swapped = fault === 'late' || fault === 'requestLost' ? false : this._swap(key, expected, value)
    if (fault !== undefined) return errAsync(new AmbiguousError('store.write', key, 'no answer'))
    return swapped ? okAsync(this._revision) : errAsync(new ConflictError('store.write', key, 'changed'))
  }

  public deliverLate (): void {
    for (const write of this._lateWrites.splice(0)) write()
  }

  public grantLease (): ResultAsync<string, StoreError> {
    return okAsync('lease')
  }

  public keepAlive (): ResultAsync<void, StoreError> {
    return okAsync(undefined)
  }

  public revokeLease (): ResultAsync<void, StoreError> {
    return okAsync(undefined)
  }

  public watch (prefix: string, afterRevision: number, listener: IStoreWatchListener): IDisposable {
    const watch = { prefix, listener }
    this._watches.add(watch)
    return { dispose: () => { this._watches.delete(watch) } }
  }

  private _read<T> (step: string, read: () => T): ResultAsync<T, StoreError> {
    this.callCount++
    return this.isDown ? errAsync(new UnreachableError(step, 'store', 'down')) : okAsync(read())
  }

  private _swap (key: string, expected: number, value: string | undefined): boolean {
    if ((this.records.get(key)?.modRevision ?? 0) !== expected) return false
    const change: IStoreChange = { key, value: value ?? '', modRevision: ++this._revision, deleted: value === undefined }
    if (value === undefined) this.records.delete(key)
    else this.records.set(key, change)
    for (const { prefix, listener } of this._watches) if (key.startsWith(prefix)) listener.onChanges([change])
    return true
  }
}
