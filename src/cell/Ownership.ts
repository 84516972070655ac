/**
 * Ownership of the cell. Any process may own it; the store's ownership record decides. The revision of the transaction that wrote the
 * record is the fencing token for everything that its owner does.
 */

import { Emitter } from '../common/Emitter.js'
import type { IMetadataItem, IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, IProcessIdentity, IRandom, ITimers, MonotonicMs } from '../common/Types.js'
import { CONTROL_PREFIX, OWNER_KEY } from './Keys.js'
import { MalformedRecords } from './MalformedRecords.js'
import type { IOwnerRecord } from './Types.js'
import { PrefixWatcher } from './PrefixWatcher.js'
import { decodeOwner } from './StoredRecords.js'

export interface IOwnershipOptions {
  readonly self: IProcessIdentity
  readonly peerUrl: string
  /** The shortest lease that the store grants, in ms. */
  readonly minLeaseMs: number
  /** How many times as slow this process is as one that is fit to own the cell; at least 1. */
  readonly slowdown: number
  /** How long this process currently waits for other processes to acquire the cell first. */
  yieldMs (): number
}

/**
 * How long the record outlives its owner's last renewal, in ms, if the store allows it. It bounds how long a cell has no owner after its
 * owner vanished. Four renewals fit in, so that one slow answer does no harm.
 */
const LEASE_MS = 1000
/**
 * The longest lease, in ms: of a process on a slow machine, and of the next owner if the record was free this often within this time, in ms.
 * An owner that has just read all jobs, or is starved of processor time, may be too busy to renew a short lease; the next one would read
 * them again, and no job would make progress.
 */
const LONG_LEASE_MS = 4000
const LAPSES_FOR_LONG_LEASE = 2
const LAPSE_MEMORY_MS = 10_000
export const RENEW_INTERVAL_MS = 250
/**
 * A renewal without an answer is repeated after this time, in ms: 20 times a usual answer, twice that of a store in another region. If many
 * answers are lost, a lease with only four renewals would run out every few seconds.
 */
const RENEW_RETRY_MS = 100
/** A free record is acquired after a random part of this, in ms, so that not all processes request it at once. */
const ACQUIRE_JITTER_MS = 120
/**
 * The same for a process that has just started, in ms. If several start together, the store refuses all but one, which costs less than a
 * longer wait.
 */
const START_JITTER_MS = 20
/** Delay between a failed attempt and the next one, in ms. */
const RETRY_DELAY_MS = 250
const POLL_WAIT_MS = 1500
/** How long a process that stepped aside leaves the record to others, in ms: longer than any takeover. */
const STEP_ASIDE_MS = 3000
/** Within this time, in ms, a store that works answers the check whether the owner or the store is cut off. */
const REACH_TIMEOUT_MS = 400
/**
 * Processes near the store acquire the cell first. A store in another region answers after 45 ms, one in the same region after 5 ms, so the
 * near processes have an advantage of 160 ms.
 */
const DISTANCE_YIELD_FACTOR = 4
const MAX_DISTANCE_YIELD_MS = 250
const COMMIT_TIMEOUT_MS = 1200

export class Ownership implements IDisposable {
  private _record: IOwnerRecord | undefined
  /** While the cell has no owner: the revision of the record that can't be read, or 0 if there is none. */
  private _vacantRevision = 0
  private readonly _malformed: MalformedRecords
  private _leaseId: number | undefined
  private _ownedRevision: number | undefined
  private _confirmedAtMs: MonotonicMs = -Infinity
  private _renewal: IDisposable | undefined
  /** When the record was free lately. */
  private _lapsedAtMs: readonly MonotonicMs[] = []
  private _isAcquiring = false
  private _hasSeenOwner = false
  /** The fastest answer of the store so far, in ms: a measure of the distance to the store. */
  private _storeLatencyMs = Infinity
  private _isStopping = false
  private _asideUntilMs: MonotonicMs = -Infinity
  private readonly _watch: PrefixWatcher
  private readonly _recordEmitter = new Emitter<IOwnerRecord | undefined>()
  private readonly _ownedEmitter = new Emitter<number>()
  private readonly _lostEmitter = new Emitter<string>()
  private readonly _confirmedEmitter = new Emitter<MonotonicMs>()
  /** The record has changed; undefined if the cell has no owner. */
  public readonly onRecordChange = this._recordEmitter.event
  /** This process has become the owner; passes its fencing token. */
  public readonly onOwned = this._ownedEmitter.event
  public readonly onLost = this._lostEmitter.event
  /** The store has confirmed that this process owns the cell; passes the time of the request. */
  public readonly onConfirmed = this._confirmedEmitter.event

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _options: IOwnershipOptions,
    private readonly _clock: IClock & ITimers,
    private readonly _random: IRandom,
    private readonly _log: ILogger
  ) {
    this._malformed = new MalformedRecords(_log)
    this._watch = new PrefixWatcher(_store, { prefix: CONTROL_PREFIX, waitMs: POLL_WAIT_MS }, {
      onAll: (items, revision) => {
        if (this._storeLatencyMs === Infinity) this._measureStoreLatency()
        this._storeLatencyMs = Math.min(this._storeLatencyMs, this._watch.readMs)
        this._applyRecord(items.find((item) => item.key === OWNER_KEY), revision)
      },
      onChange: (key, item, revision) => { if (key === OWNER_KEY) this._applyRecord(item, revision) }
    }, _clock, _log)
  }

  public start (): void {
    this._watch.start()
  }

  public get record (): IOwnerRecord | undefined {
    return this._record
  }

  /** Where peers can dial this process. */
  public get peerUrl (): string {
    return this._options.peerUrl
  }

  public get isOwner (): boolean {
    return this._ownedRevision !== undefined
  }

  /** When this process sent the last request by which the store confirmed its ownership. */
  public get confirmedAtMs (): MonotonicMs {
    return this._confirmedAtMs
  }

  /** Whether it is certain that no other process owns the cell. */
  public get isConfirmed (): boolean {
    return this.isOwner && this._clock.nowMs() - this._confirmedAtMs < this._shortestLeaseMs
  }

  /**
   * Takes the cell over from an owner whose process is known to be gone. If that is wrong, no harm is done: the hosts and the store refuse
   * the previous owner from then on.
   */
  public takeOver (from: IOwnerRecord): void {
    if (this._record?.revision === from.revision) this._startAcquire(from.revision)
  }

  /** Whether the store answers this process in time. */
  public async checkStoreReachable (): Promise<boolean> {
    const timeout = new Promise<boolean>((resolve) => { this._clock.after(REACH_TIMEOUT_MS, () => { resolve(false) }) })
    return await Promise.race([this._store.get(OWNER_KEY).then((read) => read.kind === 'read'), timeout])
  }

  /** Ends this process's ownership after evidence that another process owns the cell. */
  public resign (reason: string): void {
    this._endOwnership(reason)
    // The watch reports the new owner. If this process's own lease has run out, the record is free.
    this._readRecord()
  }

  /** Takes the cell over from an owner that asks for it. Resolves to whether this process owns the cell afterwards. */
  public async acceptHandover (owner: IOwnerRecord): Promise<boolean> {
    if (!this.canAcquire) return false
    this.receiveRecord(owner)
    if (this._record?.revision === owner.revision) await this._acquire(owner.revision)
    return this.isOwner
  }

  /** Whether this process would acquire the cell now. */
  public get canAcquire (): boolean {
    return !this._isAcquiring && !this._isStopping && !this.isOwner && this._clock.nowMs() >= this._asideUntilMs
  }

  /** Whether the store has answered this process recently. */
  public get isCurrent (): boolean {
    return this._watch.isCurrent
  }

  /** To be called when this process is about to stop. It no longer acquires the cell, and keeps it if it owns it. */
  public prepareToStop (): void {
    this._isStopping = true
  }

  /** The fastest answer of the store so far, in ms; Infinity before the first one. */
  public get storeLatencyMs (): number {
    return this._storeLatencyMs
  }

  /** Deletes the record, so that another process can acquire the cell at once. */
  public async release (): Promise<void> {
    this.prepareToStop()
    await this._releaseRecord('released')
  }

  /** Deletes the record because other processes can serve the cell better, and doesn't acquire the cell for a while. */
  public async stepAside (reason: string): Promise<void> {
    this._asideUntilMs = this._clock.nowMs() + STEP_ASIDE_MS
    this._clock.after(STEP_ASIDE_MS, () => { if (!this._isStopping) this._readRecord() })
    await this._releaseRecord(reason)
  }

  /**
   * How long this process waits for others to acquire the cell first, in ms. It increases with the distance to the store, since each write
   * of an owner waits for the store.
   */
  public get yieldMs (): number {
    return this._options.yieldMs() + Math.min(MAX_DISTANCE_YIELD_MS, this._storeLatencyMs * DISTANCE_YIELD_FACTOR)
  }

  /**
   * Measures a second read. The first read of a starting process is slow because of the start itself, so that every process would seem far
   * from the store.
   */
  private _measureStoreLatency (): void {
    const sentAtMs = this._clock.nowMs()
    this._store.get(OWNER_KEY).then((read) => {
      if (read.kind === 'read') this._storeLatencyMs = Math.min(this._storeLatencyMs, this._clock.nowMs() - sentAtMs)
    }, (error: unknown) => { this._log.error('owner.lookFailed', { reason: String(error) }) })
  }

  private async _releaseRecord (reason: string): Promise<void> {
    const revision = this._ownedRevision
    if (revision === undefined) return
    this._endOwnership(reason)
    await this._store.commit({ expect: [{ key: OWNER_KEY, revision }], puts: [], removes: [OWNER_KEY] }, COMMIT_TIMEOUT_MS)
  }

  public dispose (): void {
    this._isStopping = true
    this._renewal?.dispose()
    this._watch.dispose()
  }

  private get _shortestLeaseMs (): number {
    return Math.max(LEASE_MS, this._options.minLeaseMs)
  }

  private get _leaseMs (): number {
    const recentLapses = this._lapsedAtMs.filter((atMs) => this._clock.nowMs() - atMs < LAPSE_MEMORY_MS)
    const wantedMs = recentLapses.length >= LAPSES_FOR_LONG_LEASE ? LONG_LEASE_MS : Math.min(LONG_LEASE_MS, LEASE_MS * this._options.slowdown)
    return Math.max(this._shortestLeaseMs, Math.round(wantedMs))
  }

  /** @param revision the revision of the store at which the record was read */
  private _applyRecord (item: IMetadataItem | undefined, revision: number): void {
    // Answers to reads, polls and this process's own writes can overtake each other, so older states are ignored.
    if (this._record !== undefined && revision < this._record.revision) return
    const record = item === undefined ? undefined : this._decode(item)
    this._vacantRevision = record === undefined ? item?.revision ?? 0 : 0
    if (this._record !== undefined && record === undefined) this._recordLapse()
    const isNew = record?.revision !== this._record?.revision
    this._record = record
    this._hasSeenOwner ||= record !== undefined
    if (isNew) {
      this._log.info('owner.seen', { owner: record?.processId, revision: record?.revision })
      this._recordEmitter.fire(record)
    }
    if (this.isOwner && record?.revision !== this._ownedRevision) this._endOwnership('the record has changed')
    if (record === undefined) this._scheduleAcquire()
    else if (this._isOwn(record) && !this.isOwner && !this._isAcquiring) this._adoptRecord(record)
    else if (isNew && this._isOfEarlierIncarnation(record)) this._takeOverFromEarlierIncarnation(record)
  }

  /** A record that can't be read names no owner. It has no lease, so the next owner has to replace it. */
  private _decode (item: IMetadataItem): IOwnerRecord | undefined {
    const decoded = decodeOwner(item)
    this._malformed.record(item.key, decoded.isErr() ? [decoded.error] : [])
    return decoded.unwrapOr(undefined)
  }

  private _recordLapse (): void {
    this._lapsedAtMs = [...this._lapsedAtMs, this._clock.nowMs()].slice(-LAPSES_FOR_LONG_LEASE)
  }

  /** Applies a record that the owner itself has sent, since this process may be cut off from the store. */
  public receiveRecord (record: IOwnerRecord): void {
    if (this._record !== undefined && record.revision <= this._record.revision) return
    this._record = record
    this._log.info('owner.told', { owner: record.processId, revision: record.revision })
    if (this.isOwner) this._endOwnership('another owner has told of its record')
    this._recordEmitter.fire(record)
  }

  private _isOwn (record: IOwnerRecord): boolean {
    const { self } = this._options
    return record.processId === self.processId && record.incarnation === self.incarnation
  }

  private _isOfEarlierIncarnation (record: IOwnerRecord): boolean {
    const { self } = this._options
    return record.processId === self.processId && record.incarnation !== self.incarnation
  }

  /**
   * Takes the cell over if this process owned it before it was killed and restarted. No other process can detect that, since a process
   * listens on the port again, and the lease goes on for up to a second, in which callers would be refused.
   */
  private _takeOverFromEarlierIncarnation (record: IOwnerRecord): void {
    this._log.info('owner.ofEarlierLife', { revision: record.revision, incarnation: record.incarnation })
    this._clock.after(this._options.yieldMs(), () => { this.takeOver(record) })
  }

  /** Adopts an ownership that an earlier attempt acquired, although the answer to that attempt was lost. */
  private _adoptRecord (record: IOwnerRecord): void {
    if (this._leaseId !== undefined && !this._isStopping) this._startOwnership(record.revision, this._clock.nowMs())
  }

  private _scheduleAcquire (): void {
    this._clock.after(this._acquireDelayMs(), () => { if (this._record === undefined) this._startAcquire(this._vacantRevision) })
  }

  /**
   * How long to wait before acquiring a free record, in ms. A process that has just started can't measure its distance to the store, since
   * its first calls are slow because of the start itself. The processes near the store are faster anyway then, and after a restart of all
   * processes, a longer delay would only add to the time in which callers are refused.
   */
  private _acquireDelayMs (): number {
    if (!this._hasSeenOwner) return this._options.yieldMs() + this._random.next() * START_JITTER_MS
    return this.yieldMs + this._random.next() * ACQUIRE_JITTER_MS
  }

  private _startAcquire (expectedRevision: number): void {
    this._acquire(expectedRevision).catch((error: unknown) => { this._log.error('owner.takeFailed', { reason: String(error) }) })
  }

  private async _acquire (expectedRevision: number): Promise<void> {
    if (!this.canAcquire) return
    this._isAcquiring = true
    const isSettled = await this._tryAcquire(expectedRevision).finally(() => { this._isAcquiring = false })
    if (!isSettled) this._clock.after(RETRY_DELAY_MS, () => { this._readRecord() })
  }

  private async _tryAcquire (expectedRevision: number): Promise<boolean> {
    const leaseMs = this._leaseMs
    const granted = await this._store.grantLease(leaseMs)
    if (granted.kind === 'failed') return false
    this._leaseId = granted.value
    const { self, peerUrl } = this._options
    const value = JSON.stringify({ processId: self.processId, incarnation: self.incarnation, peerUrl })
    const sentAtMs = this._clock.nowMs()
    const outcome = await this._store.commit({
      expect: [{ key: OWNER_KEY, revision: expectedRevision }],
      puts: [{ key: OWNER_KEY, value, leaseId: granted.value }],
      removes: []
    }, COMMIT_TIMEOUT_MS)
    this._log.info('owner.take', { outcome: outcome.kind, leaseMs, revision: outcome.kind === 'committed' ? outcome.revision : undefined })
    if (outcome.kind === 'conflict') {
      this._leaseId = undefined
      await this._store.endLease(granted.value)
    }
    if (outcome.kind !== 'committed') return false
    this._record = { processId: self.processId, incarnation: self.incarnation, peerUrl, revision: outcome.revision }
    this._recordEmitter.fire(this._record)
    this._startOwnership(outcome.revision, sentAtMs)
    return true
  }

  private _startOwnership (revision: number, confirmedAtMs: MonotonicMs): void {
    this._ownedRevision = revision
    this._confirmedAtMs = confirmedAtMs
    this._renewal?.dispose()
    this._renewal = this._clock.every(RENEW_INTERVAL_MS, () => { this._renewUntilAnswered(revision) })
    this._log.info('owner.owned', { revision })
    this._ownedEmitter.fire(revision)
  }

  private _renewUntilAnswered (revision: number): void {
    const sinceMs = this._clock.nowMs()
    this._renew(revision)
    this._clock.after(RENEW_RETRY_MS, () => { if (this._confirmedAtMs < sinceMs) this._renew(revision) })
  }

  /** Renews the lease and reads the record: another process may have replaced the record while the lease goes on. */
  private _renew (revision: number): void {
    const leaseId = this._leaseId
    if (leaseId === undefined || this._ownedRevision !== revision) return
    const sentAtMs = this._clock.nowMs()
    Promise.all([this._store.renewLease(leaseId), this._store.get(OWNER_KEY)]).then(([renewed, read]) => {
      if (this._ownedRevision !== revision) return
      if (renewed === 'gone') return this.resign('the lease has ended')
      if (read.kind === 'failed') return
      this._storeLatencyMs = Math.min(this._storeLatencyMs, this._clock.nowMs() - sentAtMs)
      if (read.value?.revision !== revision) return this.resign('the record has changed')
      if (renewed !== 'renewed') return
      this._confirmedAtMs = Math.max(this._confirmedAtMs, sentAtMs)
      this._confirmedEmitter.fire(sentAtMs)
    }, (error: unknown) => { this._log.error('owner.renewFailed', { reason: String(error) }) })
  }

  private _endOwnership (reason: string): void {
    if (!this.isOwner) return
    this._log.warn('owner.lost', { revision: this._ownedRevision, reason })
    this._ownedRevision = undefined
    this._leaseId = undefined
    this._renewal?.dispose()
    this._lostEmitter.fire(reason)
  }

  private _readRecord (): void {
    this._store.get(OWNER_KEY).then((read) => {
      if (read.kind === 'failed') this._clock.after(RETRY_DELAY_MS, () => { if (!this._isStopping) this._readRecord() })
      else if (!this._isStopping && !this._isAcquiring && !this.isOwner) this._applyRecord(read.value, read.value?.revision ?? Infinity)
    }, (error: unknown) => { this._log.error('owner.lookFailed', { reason: String(error) }) })
  }
}
