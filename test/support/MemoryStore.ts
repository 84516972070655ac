/**
 * A key-value store in memory for tests, with the faults of the real one: outages, answers lost after the change
 * took effect, requests lost before it, leases that lapse, watches that lag behind.
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

/** What happens to the next compare-and-swap: its answer is lost after the effect, or the request before it. */
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
  private _down = false
  private _held: (() => void)[] | undefined

  public constructor (private readonly _timers?: ITimers) {}

  /** Starts or ends an outage, during which nothing is reached and leases go on lapsing. */
  public setDown (down: boolean): void {
    this._down = down
    for (const { prefix, listener } of this._watches) {
      listener.onReachabilityChange(!down)
      if (!down) listener.onReset({ records: this._range(prefix), revision: this._revision })
    }
  }

  /** Lets the next write to a key with this prefix go wrong; several calls add up. */
  public failNextWrite (fault: WriteFault, keyPrefix = ''): void {
    this._faults.push({ fault, keyPrefix })
  }

  /** Forgets the faults that have not come about yet. */
  public clearFaults (): void {
    this._faults.length = 0
  }

  /** Keeps back every answer from now on until `letGo`, as a store that hangs does. */
  public hold (): void {
    this._held ??= []
  }

  public letGo (): void {
    const held = this._held ?? []
    this._held = undefined
    for (const go of held) go()
  }

  /** Writes without any condition; for the set-up of a test and for damage. */
  public put (key: string, value: string): void {
    this._write(key, value, undefined)
  }

  public peek (key: string): string | undefined {
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
      const fault = this._takeFault(key)
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
      this._leases.set(leaseId, { ttlMs, timer: this._lapseLater(leaseId, ttlMs) })
      return okAsync(leaseId)
    })
  }

  public keepAlive (leaseId: string): ResultAsync<void, StoreError> {
    return this._answer<void, StoreError>('store.keepAlive', () => {
      const lease = this._leases.get(leaseId)
      if (lease === undefined) return errAsync(new RefusedError('store.keepAlive', PEER, 'lapsed'))
      lease.timer.dispose()
      lease.timer = this._lapseLater(leaseId, lease.ttlMs)
      return okAsync(undefined)
    })
  }

  public revokeLease (leaseId: string): ResultAsync<void, StoreError> {
    return this._answer('store.revokeLease', () => {
      this.lapse(leaseId)
      return okAsync(undefined)
    })
  }

  /** Ends a lease; its keys go. */
  public lapse (leaseId: string): void {
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
    if (this._down) return errAsync(new UnreachableError(step, PEER, 'down'))
    const answer = effect()
    const held = this._held
    if (held === undefined) return answer
    const gate = ResultAsync.fromSafePromise<void>(new Promise<void>((resolve) => { held.push(resolve) }))
    return gate.andThen(() => answer)
  }

  private _takeFault (key: string): WriteFault | undefined {
    const index = this._faults.findIndex(({ keyPrefix }) => key.startsWith(keyPrefix))
    return index < 0 ? undefined : this._faults.splice(index, 1)[0]?.fault
  }

  private _lapseLater (leaseId: string, ttlMs: number): IDisposable {
    return this._timers?.after(ttlMs, () => { this.lapse(leaseId) }) ?? { dispose: () => {} }
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
      if (change.key.startsWith(prefix)) queueMicrotask(() => { if (!this._down) listener.onChanges([change]) })
    }
  }
}
