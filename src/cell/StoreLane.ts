/**
 * A lane writes some of the owner's records in batches: several records in one transaction, and one transaction after the other.
 *
 * Each transaction expects the ownership record at this owner's revision, and the lane's own record at the revision of the previous
 * transaction. So a write whose answer was lost can be sent again: either the first or the second attempt takes effect, never both, and
 * never after the next owner has taken over. Without the lane's record, a lost write that is carried out seconds later would overwrite
 * newer progress with older.
 */

import { BatchCommit } from './BatchCommit.js'
import { OWNER_KEY } from './Keys.js'

import type { IMetadataStore, ITransaction } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, ITimers, MonotonicMs } from '../common/Types.js'
import type { BatchOutcome, IBatchEffects, RefusalCause } from './BatchCommit.js'
import type { StoreLatency } from './StoreLatency.js'

/** One record to write. Its value is read when the transaction is created, so that the newest state is stored. */
export interface ILaneWrite {
  readonly key: string
  /** Undefined if the key is to be removed. */
  value (): string | undefined
  /** A key to remove in the same transaction; called right after `value`. */
  alsoRemoves? (): string | undefined
  onStored (): void
  /** Present if the write may be refused; any other write is repeated until ownership ends. */
  readonly refusal?: IRefusal
}

export interface IRefusal {
  /** The write is certainly not stored and never will be. */
  onRefused (reason: string, cause: RefusalCause): void
  /** Ownership has ended, and this process does not know whether the write is stored. */
  onUnknown (reason: string): void
}

export interface ILaneOptions {
  readonly laneKey: string
  readonly laneRevision: number
  readonly ownerRevision: number
  /** Distinguishes this owner's lane records from those of all other owners. */
  readonly writerId: string
}

/** A transaction can have 32 entries. They include two expectations, the lane's record, and a key that the last write removes as well. */
const MAX_WRITES = 28
/** Well below the store's limit for a request, in characters. */
const MAX_BATCH_CHARS = 400_000
/**
 * Delay in which further writes are collected into one transaction, in ms. Each transaction has a cost. A job waits for this delay about
 * four times, which is little compared with the half second of the most urgent objective.
 */
const MIN_BATCH_DELAY_MS = 12
/**
 * With a slow store the delay is longer, a share of the store's latency, so that the lanes send one after the other and one of them always
 * sends soon.
 */
const BATCH_DELAY_SHARE = 1 / 12
/** Upper bound of the delay, in ms: after an outage the last latency says little about the next one. */
const MAX_BATCH_DELAY_MS = 40
/** Writes that the store refused are sent again after this time, in ms. */
const RETRY_DELAY_MS = 60
/** A write that may be refused is repeated for this long, in ms: a store that is over its rate limit for a moment is no reason to refuse callers. */
const REFUSE_AFTER_MS = 300
/**
 * Duration of a store outage after which new jobs are refused at once, in ms. A store that becomes slow costs one slow answer, of up to 450
 * ms. If that were considered an outage, gateways would challenge a working owner.
 */
const OUTAGE_MS = 900
const OWNERSHIP_LOST_REASON = 'no longer the owner'

interface ISentBatch {
  readonly atMs: MonotonicMs
  readonly writes: readonly ILaneWrite[]
  readonly commit: BatchCommit
}

export class StoreLane {
  private readonly _queue = new Map<string, ILaneWrite[]>()
  private _laneRevision: number
  private _sequence = 0
  private _sentBatch: ISentBatch | undefined
  private _isScheduled = false
  private _isDisposed = false
  private _failingSinceMs: number | undefined

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _options: ILaneOptions,
    private readonly _latency: StoreLatency,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger,
    private readonly _onOwnershipLost: (reason: string) => void
  ) {
    this._laneRevision = _options.laneRevision
  }

  /** How long no transaction has been answered, in ms; 0 while the store answers. */
  public get failingForMs (): number {
    return this._failingSinceMs === undefined ? 0 : this._clock.nowMs() - this._failingSinceMs
  }

  /** Whether the store is considered unavailable. */
  public get isStoreUnavailable (): boolean {
    return this.failingForMs > OUTAGE_MS
  }

  /**
   * To be called when the store has answered this process. A lane without a transaction in flight can't detect by itself that the store is
   * back, and the owner would refuse all jobs for ever. A lane that waits for an answer sends its transaction again at once, because its
   * next attempt may be far off and callers are refused until then.
   */
  public onStoreAnswered (): void {
    if (this._sentBatch === undefined) this._failingSinceMs = undefined
    else if (this._failingSinceMs !== undefined) this._sentBatch.commit.retryNow()
  }

  /** When the transaction in flight was sent; undefined if there is none, in which case a new write is sent soon. */
  public get sentAtMs (): MonotonicMs | undefined {
    return this._sentBatch?.atMs
  }

  public get queuedCount (): number {
    return this._queue.size
  }

  /** Adds a write. Several writes of one key are combined, and only the last value is stored. */
  public write (write: ILaneWrite): void {
    if (this._isDisposed) return write.refusal?.onRefused(OWNERSHIP_LOST_REASON, 'ownershipLost')
    const sameKey = this._queue.get(write.key)
    if (sameKey === undefined) this._queue.set(write.key, [write])
    else sameKey.push(write)
    this._schedule(this._batchDelayMs)
  }

  /** Ends the lane because ownership has ended. Writes that were never sent are certainly not stored. */
  public dispose (): void {
    if (this._isDisposed) return
    this._isDisposed = true
    const queued = [...this._queue.values()].flat()
    this._queue.clear()
    for (const { refusal } of queued) refusal?.onRefused(OWNERSHIP_LOST_REASON, 'ownershipLost')
    this._sentBatch?.commit.abandon()
  }

  private get _batchDelayMs (): number {
    return Math.min(MAX_BATCH_DELAY_MS, Math.max(MIN_BATCH_DELAY_MS, this._latency.usualMs * BATCH_DELAY_SHARE))
  }

  private _schedule (delayMs: number): void {
    if (this._isScheduled || this._isDisposed) return
    this._isScheduled = true
    this._clock.after(delayMs, () => {
      this._isScheduled = false
      if (this._sentBatch === undefined) this._sendNext()
    })
  }

  private _sendNext (): void {
    if (this._queue.size === 0 || this._isDisposed) return
    const { laneKey, ownerRevision, writerId } = this._options
    this._sequence += 1
    const laneValue = `${writerId}:${this._sequence}`
    const { writes, transaction } = this._createBatch(laneValue)
    const batch = { transaction, laneKey, laneValue, laneRevision: this._laneRevision, ownerRevision }
    const commit = new BatchCommit(this._store, batch, this._latency, this._createEffects(writes), this._clock, this._log)
    this._sentBatch = { atMs: this._clock.nowMs(), writes, commit }
    commit.start()
  }

  private _createBatch (laneValue: string): { readonly writes: readonly ILaneWrite[], readonly transaction: ITransaction } {
    const { laneKey, ownerRevision } = this._options
    const puts = [{ key: laneKey, value: laneValue }]
    const removes: string[] = []
    const taken: ILaneWrite[] = []
    let chars = 0
    for (const [key, writes] of this._queue) {
      if (puts.length + removes.length > MAX_WRITES || chars > MAX_BATCH_CHARS) break
      this._queue.delete(key)
      taken.push(...writes)
      const last = writes.at(-1)
      const value = last?.value()
      const alsoRemoved = last?.alsoRemoves?.()
      if (value === undefined) removes.push(key)
      else puts.push({ key, value })
      if (alsoRemoved !== undefined) removes.push(alsoRemoved)
      chars += value?.length ?? 0
    }
    const expect = [{ key: OWNER_KEY, revision: ownerRevision }, { key: laneKey, revision: this._laneRevision }]
    return { writes: taken, transaction: { expect, puts, removes } }
  }

  private _createEffects (writes: readonly ILaneWrite[]): IBatchEffects {
    return {
      reportFailing: (forMs) => { this._markFailing(forMs) },
      shouldGiveUp: () => this.failingForMs > REFUSE_AFTER_MS && writes.some(({ refusal }) => refusal !== undefined),
      settle: (outcome) => { this._onOutcome(writes, outcome) },
      onOwnershipLost: (reason) => {
        if (this._isDisposed) return
        this.dispose()
        this._onOwnershipLost(reason)
      }
    }
  }

  private _onOutcome (writes: readonly ILaneWrite[], outcome: BatchOutcome): void {
    this._sentBatch = undefined
    if (outcome.kind === 'stored') return this._onStored(writes, outcome.revision)
    for (const write of writes) {
      if (outcome.kind === 'unknown') write.refusal?.onUnknown(outcome.reason)
      else if (write.refusal !== undefined) write.refusal.onRefused(outcome.reason, outcome.cause)
      else if (!this._isDisposed) this._requeue(write)
    }
    this._schedule(RETRY_DELAY_MS)
  }

  /** Puts the write before newer writes of its key, so that the newest value is stored. */
  private _requeue (write: ILaneWrite): void {
    const sameKey = this._queue.get(write.key)
    if (sameKey === undefined) this._queue.set(write.key, [write])
    else sameKey.unshift(write)
  }

  private _onStored (writes: readonly ILaneWrite[], revision: number): void {
    this._laneRevision = revision
    this._failingSinceMs = undefined
    for (const write of writes) {
      // An owner that was replaced reports to its callers what is stored, and does nothing else.
      if (!this._isDisposed || write.refusal !== undefined) write.onStored()
    }
    // Writes that have been collected meanwhile are sent at once if they fill a transaction.
    if (this._queue.size >= MAX_WRITES) this._sendNext()
    else if (this._queue.size > 0) this._schedule(this._batchDelayMs)
  }

  private _markFailing (forMs: number): void {
    if (this._failingSinceMs !== undefined || this._isDisposed) return
    const sinceMs = this._clock.nowMs() - forMs
    this._failingSinceMs = sinceMs
    this._clock.after(Math.max(0, OUTAGE_MS - forMs), () => { if (this._failingSinceMs === sinceMs) this._refuseQueued() })
  }

  /**
   * Refuses the queued writes that may be refused, instead of keeping them behind a transaction in doubt: they are certainly not stored,
   * and their callers can retry while they have time. Otherwise callers would wait their full 3 s for a store that is silent.
   */
  private _refuseQueued (): void {
    for (const [key, writes] of this._queue) {
      if (writes.some(({ refusal }) => refusal === undefined)) continue
      this._queue.delete(key)
      for (const { refusal } of writes) refusal?.onRefused('the store is away', 'storeAway')
    }
  }
}
