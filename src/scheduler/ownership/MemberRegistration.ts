/**
 * This process's entry among the members, at `members/<processId>`, attached to a store lease: while it stands, no
 * one takes over what the process owns.
 *
 * What can go wrong: the process is paused or the store is down for longer than the lease; the entry goes, and
 * others may take its shards. One would notice the keepalive refused. The process then registers anew and lets
 * `ShardOwner` read which shards are still its own; whatever was taken is fenced by its epoch meanwhile.
 */

import { Emitter } from '../../common/Emitter.js'
import { RefusedError } from '../../common/Errors.js'

import type { IMember } from '../../common/protocol/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore } from '../../runtime/Types.js'

/** What a member says of itself; the state is for others to judge. */
export interface IMemberEntry extends Omit<IMember, 'state'> {
  /** Set before a planned stop: it keeps what it owns until it has released it, and is given nothing new. */
  readonly draining: boolean
}

export interface IMemberRegistrationOptions {
  /** Until a silent process counts as gone, in milliseconds. */
  readonly leaseTtlMs: number
  /** Between renewals, in milliseconds; a third of the lease leaves two more tries. */
  readonly keepAliveMs: number
  /** Between tries to register, in milliseconds. */
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
  /** The lease has gone: others may be taking over. A new registration is under way. */
  public readonly onLapsed = this._onLapsed.event
  private readonly _onSuperseded = new Emitter<number>()
  /** A later incarnation of this process id has registered: this process should stop. Gives that incarnation. */
  public readonly onSuperseded = this._onSuperseded.event

  private _leaseId: string | undefined
  private _registered = false
  private _stopped = false
  private _timer: IDisposable | undefined

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _timers: ITimers,
    private _entry: IMemberEntry,
    private readonly _options: IMemberRegistrationOptions
  ) {}

  public get registered (): boolean {
    return this._registered
  }

  public get entry (): IMemberEntry {
    return this._entry
  }

  /** Registers, and keeps registered until `stop` or `dispose`. */
  public start (): void {
    this._next(0)
  }

  /** Tells the others to give this process nothing new. */
  public async setDraining (): Promise<void> {
    this._entry = { ...this._entry, draining: true }
    if (this._leaseId !== undefined) await this._writeEntry(this._leaseId)
  }

  /** Takes the entry away at once, so that successors need not wait for the lease; call it after the shards are released. */
  public async stop (): Promise<void> {
    this._halt()
    if (this._leaseId !== undefined) await this._store.revokeLease(this._leaseId)
    this._registered = false
  }

  public dispose (): void {
    this._halt()
    this._onRegistered.dispose()
    this._onLapsed.dispose()
    this._onSuperseded.dispose()
  }

  private _halt (): void {
    this._stopped = true
    this._timer?.dispose()
  }

  private _next (delayMs: number): void {
    if (this._stopped) return
    this._timer?.dispose()
    this._timer = this._timers.after(delayMs, () => {
      if (this._registered) this._keepAlive()
      else this._register()
    })
  }

  private async _register (): Promise<void> {
    const leaseId = this._leaseId ?? await this._grant()
    const done = leaseId !== undefined && await this._writeEntry(leaseId)
    if (this._stopped) return
    if (done) {
      this._registered = true
      this._onRegistered.fire()
    } else {
      // A lease without its entry is asked for anew: it may have lapsed while the entry couldn't be written.
      this._leaseId = undefined
    }
    this._next(done ? this._options.keepAliveMs : this._options.retryMs)
  }

  private async _grant (): Promise<string | undefined> {
    const granted = await this._store.grantLease(this._options.leaseTtlMs)
    this._leaseId = granted.unwrapOr(undefined)
    return this._leaseId
  }

  /** Writes the entry over whatever an earlier incarnation left; a lost answer is settled by reading back. */
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
    this._halt()
    this._onSuperseded.fire(other.incarnation)
    return true
  }

  private async _keepAlive (): Promise<void> {
    const kept = await this._store.keepAlive(this._leaseId ?? '')
    if (this._stopped) return
    if (kept.isOk() || !(kept.error instanceof RefusedError)) {
      this._next(this._options.keepAliveMs)
      return
    }
    this._leaseId = undefined
    this._registered = false
    this._onLapsed.fire()
    this._next(0)
  }
}

/** Reads a member's entry; undefined if it is damaged, so that one bad entry doesn't hide the others. */
export function parseMemberEntry (value: string): IMemberEntry | undefined {
  try {
    const entry = JSON.parse(value) as IMemberEntry | null
    const valid = typeof entry?.processId === 'string' && typeof entry.incarnation === 'number' && typeof entry.region === 'string'
    return valid ? entry : undefined
  } catch {
    return undefined
  }
}
