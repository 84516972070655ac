/**
 * Keeps this process registered as a member: its entry at `members/<processId>` is attached to a store lease, and while
 * the entry exists, no other process takes over its shards.
 *
 * If the process is paused or the store is unavailable for longer than the lease, the entry disappears and other members may
 * take its shards; the next keepalive is then refused. The process registers again, and `ShardOwner` reads which shards
 * it still owns. Shards that were taken meanwhile are fenced by their new epoch.
 */

import { Emitter } from '../../common/Emitter.js'
import { RefusedError } from '../../common/Errors.js'

import type { IMember } from '../../common/protocol/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore } from '../../runtime/Types.js'

/** What a member publishes about itself; other processes determine its state. */
export interface IMemberEntry extends Omit<IMember, 'state'> {
  /** Set before a planned stop: the member keeps its shards until it has released them, and is assigned no new ones. */
  readonly draining: boolean
}

export interface IMemberRegistrationOptions {
  /** Time after which a process that doesn't renew its lease counts as gone, in milliseconds. */
  readonly leaseTtlMs: number
  /** Time between two renewals, in milliseconds; a third of the lease time leaves room for two more tries. */
  readonly keepAliveMs: number
  /** Time between two tries to register, in milliseconds. */
  readonly retryMs: number
}

export const DEFAULT_MEMBER_REGISTRATION_OPTIONS: IMemberRegistrationOptions = {
  leaseTtlMs: 3_000,
  keepAliveMs: 1_000,
  retryMs: 500
}

export const MEMBER_PREFIX = 'members/'

export class MemberRegistration implements IDisposable {
  private readonly _onRegistered = new Emitter<void>()
  public readonly onRegistered = this._onRegistered.event
  private readonly _onLapsed = new Emitter<void>()
  /** The lease has lapsed: other processes may take over the shards. This process registers again. */
  public readonly onLapsed = this._onLapsed.event
  private readonly _onSuperseded = new Emitter<number>()
  /** A later incarnation of this process id has registered, and this process should stop. The event carries that incarnation. */
  public readonly onSuperseded = this._onSuperseded.event

  private _leaseId: string | undefined
  private _isRegistered = false
  private _isStopped = false
  private _timer: IDisposable | undefined

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private _entry: IMemberEntry,
    private readonly _options: IMemberRegistrationOptions
  ) {}

  public get registered (): boolean {
    return this._isRegistered
  }

  public get entry (): IMemberEntry {
    return this._entry
  }

  /** Registers the process and renews the lease until `stop` or `dispose`. */
  public start (): void {
    this._schedule(0)
  }

  /** Marks this process as draining, so that it is assigned no new shards. */
  public async setDraining (): Promise<void> {
    this._entry = { ...this._entry, draining: true }
    if (this._leaseId !== undefined) await this._writeEntry(this._leaseId)
  }

  /** Removes the entry immediately, so that successors needn't wait for the lease. Call it after the shards are released. */
  public async stop (): Promise<void> {
    this._stopRenewing()
    if (this._leaseId !== undefined) await this._store.revokeLease(this._leaseId)
    this._isRegistered = false
  }

  public dispose (): void {
    this._stopRenewing()
    this._onRegistered.dispose()
    this._onLapsed.dispose()
    this._onSuperseded.dispose()
  }

  private _stopRenewing (): void {
    this._isStopped = true
    this._timer?.dispose()
  }

  private _schedule (delayMs: number): void {
    if (this._isStopped) return
    this._timer?.dispose()
    this._timer = this._timers.after(delayMs, () => {
      if (this._isRegistered) this._keepAlive()
      else this._register()
    })
  }

  private async _register (): Promise<void> {
    const leaseId = this._leaseId ?? await this._grantLease()
    const isRegistered = leaseId !== undefined && await this._writeEntry(leaseId)
    if (this._isStopped) return
    if (isRegistered) {
      this._isRegistered = true
      this._onRegistered.fire()
    } else {
      // A lease without an entry is replaced by a new one: it may have lapsed while the entry couldn't be written.
      this._leaseId = undefined
    }
    this._schedule(isRegistered ? this._options.keepAliveMs : this._options.retryMs)
  }

  private async _grantLease (): Promise<string | undefined> {
    const granted = await this._store.grantLease(this._options.leaseTtlMs)
    this._leaseId = granted.unwrapOr(undefined)
    return this._leaseId
  }

  /** Writes the entry and replaces that of an earlier incarnation; reads it back if the write fails or its answer is lost. */
  private async _writeEntry (leaseId: string): Promise<boolean> {
    const key = MEMBER_PREFIX + this._entry.processId
    const value = JSON.stringify(this._entry)
    const found = await this._store.get(key)
    if (found.isErr() || this._isSuperseded(found.value?.value)) return false
    const written = await this._store.compareAndSwap(key, found.value?.modRevision ?? 0, value, leaseId)
    if (written.isOk()) return true
    const readBack = await this._store.get(key)
    return readBack.isOk() && readBack.value?.value === value
  }

  private _isSuperseded (value: string | undefined): boolean {
    const other = value === undefined ? undefined : parseMemberEntry(value)
    if (other === undefined || other.incarnation <= this._entry.incarnation) return false
    this._stopRenewing()
    this._onSuperseded.fire(other.incarnation)
    return true
  }

  private async _keepAlive (): Promise<void> {
    const renewed = await this._store.keepAlive(this._leaseId ?? '')
    if (this._isStopped) return
    if (renewed.isOk() || !(renewed.error instanceof RefusedError)) {
      this._schedule(this._options.keepAliveMs)
      return
    }
    this._leaseId = undefined
    this._isRegistered = false
    this._onLapsed.fire()
    this._schedule(0)
  }
}

/** Parses a member's entry; undefined if it is damaged, so that one bad entry doesn't hide the others. */
export function parseMemberEntry (value: string): IMemberEntry | undefined {
  try {
    const entry = JSON.parse(value) as IMemberEntry | null
    const valid = typeof entry?.processId === 'string' && typeof entry.incarnation === 'number' && typeof entry.region === 'string'
    return valid ? entry : undefined
  } catch {
    return undefined
  }
}
