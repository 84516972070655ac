/**
 * An in-memory key-value store for tests, with the faults of the real one: outages, answers that are lost after the change took
 * effect, requests that are lost before it, expired leases, and watches that lag behind.
 */

import { ResultAsync, errAsync, okAsync } from 'neverthrow'
import { AmbiguousError, ConflictError, RefusedError, UnreachableError } from '../../src/common/Errors.js'

import type { IDisposable, ITimers } from '../../src/common/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRange, IStoreRecord, IStoreWatchListener, StoreError } from '../../src/runtime/Types.js'

interface IStored {
  readonly value: string
  readonly modRevision: number
  readonly leaseId: string | undefined
}

interface ILease {
  readonly ttlMs: number
  timer: IDisposable
}

interface IWatch {
  readonly prefix: string
  readonly listener: IStoreWatchListener
}

/** The fault of a compare-and-swap: its answer is lost after the change took effect, or the request is lost before. */
export type WriteFault = 'answerLost' | 'requestLost'

const PEER = 'memory'

export class MemoryStore implements IKeyValueStore {
  public callCount = 0
  private readonly _records = new Map<string, IStored>()
  private readonly _leases = new Map<string, ILease>()
  private readonly _watches = new Set<IWatch>()
  private readonly _faults: { readonly fault: WriteFault, readonly keyPrefix: string }[] = []
  private _revision = 0
  private _leaseCount = 0
  private _isDown = false
  private _heldAnswers: (() => void)[] | undefined

  public constructor (private readonly _timers?: ITimers) {}

  /** Starts or ends an outage. During an outage every call fails, and leases still expire. */
  public setDown (down: boolean): void {
    this._isDown = down
    for (const { prefix, listener } of this._watches) {
      listener.onReachabilityChange(!down)
      if (!down) listener.onReset({ records: this._range(prefix), revision: this._revision })
    }
  }

  /** Makes the next write to a key with this prefix fail; with several calls, as many writes fail. */
  public failNextWrite (fault: WriteFault, keyPrefix = ''): void {
    this._faults.push({ fault, keyPrefix })
  }

  /** Removes the faults that no write has met yet. */
  public clearFaults (): void {
    this._faults.length = 0
  }

  /** Holds back every answer until the answers are released, as a store that hangs does. */
  public holdAnswers (): void {
    this._heldAnswers ??= []
  }

  /** Releases the answers that were held back; later calls are answered at once. */
  public releaseAnswers (): void {
    const held = this._heldAnswers ?? []
    this._heldAnswers = undefined
    for (const release of held) release()
  }

  /** Writes unconditionally, to set up a test or to damage a record. */
  public put (key: string, value: string): void {
    this._write(key, value, undefined)
  }

  public storedValue (key: string): string | undefined {
    return this._records.get(key)?.value
  }

  public keys (): readonly string[] {
    return [...this._records.keys()].sort()
  }

  public get (key: string): ResultAsync<IStoreRecord | undefined, StoreError> {
    return this._answer('store.get', () => okAsync(this._read(key)))
  }

  public range (prefix: string): ResultAsync<IStoreRange, StoreError> {
    return this._answer('store.range', () => okAsync({ records: this._range(prefix), revision: this._revision }))
  }

  public compareAndSwap (
    key: string, expectedModRevision: number, value: string | undefined, leaseId?: string
  ): ResultAsync<number, StoreError | ConflictError> {
    return this._answer<number, StoreError | ConflictError>('store.compareAndSwap', () => {
      const fault = this._nextFault(key)
      if (fault === 'requestLost') return errAsync(new AmbiguousError('store.compareAndSwap', PEER, 'no answer'))
      const current = this._records.get(key)?.modRevision ?? 0
      const answer = current === expectedModRevision ? okAsync(this._write(key, value, leaseId)) : errAsync(this._conflict(key))
      return fault === 'answerLost' ? errAsync(new AmbiguousError('store.compareAndSwap', PEER, 'no answer')) : answer
    })
  }

  public grantLease (ttlMs: number): ResultAsync<string, StoreError> {
    return this._answer('store.grantLease', () => {
      this._leaseCount += 1
      const leaseId = `lease-${this._leaseCount}`
      this._leases.set(leaseId, { ttlMs, timer: this._scheduleExpiry(leaseId, ttlMs) })
      return okAsync(leaseId)
    })
  }

  public keepAlive (leaseId: string): ResultAsync<void, StoreError> {
    return this._answer<void, StoreError>('store.keepAlive', () => {
      const lease = this._leases.get(leaseId)
      if (lease === undefined) return errAsync(new RefusedError('store.keepAlive', PEER, 'lapsed'))
      lease.timer.dispose()
      lease.timer = this._scheduleExpiry(leaseId, lease.ttlMs)
      return okAsync(undefined)
    })
  }

  public revokeLease (leaseId: string): ResultAsync<void, StoreError> {
    return this._answer('store.revokeLease', () => {
      this.expireLease(leaseId)
      return okAsync(undefined)
    })
  }

  /** Expires a lease and deletes its keys. */
  public expireLease (leaseId: string): void {
    this._leases.get(leaseId)?.timer.dispose()
    this._leases.delete(leaseId)
    for (const [key, stored] of [...this._records]) {
      if (stored.leaseId === leaseId) this._write(key, undefined, undefined)
    }
  }

  public watch (prefix: string, _afterRevision: number, listener: IStoreWatchListener): IDisposable {
    const watch = { prefix, listener }
    this._watches.add(watch)
    return { dispose: () => { this._watches.delete(watch) } }
  }

  private _answer<T, E> (step: string, effect: () => ResultAsync<T, E>): ResultAsync<T, E | UnreachableError> {
    this.callCount += 1
    if (this._isDown) return errAsync(new UnreachableError(step, PEER, 'down'))
    const answer = effect()
    const held = this._heldAnswers
    if (held === undefined) return answer
    const released = ResultAsync.fromSafePromise<void>(new Promise<void>((resolve) => { held.push(resolve) }))
    return released.andThen(() => answer)
  }

  private _nextFault (key: string): WriteFault | undefined {
    const index = this._faults.findIndex(({ keyPrefix }) => key.startsWith(keyPrefix))
    return index < 0 ? undefined : this._faults.splice(index, 1)[0]?.fault
  }

  private _scheduleExpiry (leaseId: string, ttlMs: number): IDisposable {
    return this._timers?.after(ttlMs, () => { this.expireLease(leaseId) }) ?? { dispose: () => {} }
  }

  private _read (key: string): IStoreRecord | undefined {
    const stored = this._records.get(key)
    return stored === undefined ? undefined : { key, value: stored.value, modRevision: stored.modRevision }
  }

  private _range (prefix: string): readonly IStoreRecord[] {
    return this.keys().filter((key) => key.startsWith(prefix)).flatMap((key) => this._read(key) ?? [])
  }

  private _conflict (key: string): ConflictError {
    return new ConflictError('store.compareAndSwap', PEER, `${key} has changed`)
  }

  private _write (key: string, value: string | undefined, leaseId: string | undefined): number {
    this._revision += 1
    if (value === undefined) this._records.delete(key)
    else this._records.set(key, { value, modRevision: this._revision, leaseId })
    this._notify({ key, value: value ?? '', modRevision: this._revision, deleted: value === undefined })
    return this._revision
  }

  private _notify (change: IStoreChange): void {
    for (const { prefix, listener } of this._watches) {
      if (change.key.startsWith(prefix)) queueMicrotask(() => { if (!this._isDown) listener.onChanges([change]) })
    }
  }
}
