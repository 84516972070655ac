/**
 * Writes the owner's records, several in one transaction, one transaction after the other.
 *
 * Each transaction expects the ownership record at this owner's revision, and the lane's own record at the revision of
 * the transaction before. So a write whose answer was lost can simply be sent again: either the first or the second one
 * takes effect, never both, and never after the next owner has taken over. Without the lane's record, a lost write that
 * is carried out seconds later would put old progress over newer.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { CommitOutcome, IMetadataItem, IMetadataStore, ITransaction } from '../common/cell/Types.js'
import type { IClock, ITimers } from '../common/Types.js'
import { OWNER_KEY } from './Keys.js'

/** One record to write: its value is taken when the transaction is made, so that the newest state goes out. */
export interface ILaneWrite {
  readonly key: string
  /** Absent: the key is removed. */
  value (): string | undefined
  onStored (): void
  /** It is certain that it was not stored and never will be. Without it, the write is tried until ownership ends. */
  readonly onRefused?: (reason: string) => void
}

export interface ILaneOptions {
  readonly laneKey: string
  readonly laneRevision: number
  readonly ownerRevision: number
  /** Distinguishes this owner's lane records from those of all others. */
  readonly writerId: string
}

/** A transaction takes 32 entries; two expectations and the lane's record are among them. */
const MAX_WRITES = 28
/** Kept well below the store's bound of a request, in characters. */
const MAX_CHARS = 400_000
/**
 * The time in which further writes gather into one transaction, in ms. Each transaction is paid for; a job makes about four
 * of them wait, which is little beside the half second of the most urgent objective.
 */
const GATHER_MS = 12
/** The bounds of the time after which an answer counts as lost, in ms. */
const MIN_TIMEOUT_MS = 250
const MAX_TIMEOUT_MS = 1500
/** That time as a multiple of a usual answer: high enough that slow answers are rarely asked for twice. */
const TIMEOUT_FACTOR = 5
const LATENCY_WEIGHT = 0.2
const FIRST_LATENCY_MS = 40
/** After an answer that didn't come the next one is waited for two and a half times as long: the store may just be slow. */
const LATE_WEIGHT = 0.5
const RETRY_MS = 60
/** What may be refused is tried for this long, in ms: a store over its rate for a moment is no reason to send callers away. */
const REFUSE_AFTER_MS = 300

/**
 * The store's outage after which new jobs are refused without waiting, in ms. A store that becomes slow costs one answer that is
 * given up and a slow one, 650 ms together: taken for an outage, gateways would challenge an owner that is well.
 */
const OUTAGE_MS = 900

interface ISentBatch {
  readonly writes: readonly ILaneWrite[]
  readonly transaction: ITransaction
  readonly laneValue: string
  /** A try of it had no answer: it may have been carried out. */
  isInDoubt: boolean
}

export class StoreLane {
  private readonly _queue = new Map<string, ILaneWrite[]>()
  private _laneRevision: number
  private _sequence = 0
  private _sent: ISentBatch | undefined
  private _isScheduled = false
  private _isDisposed = false
  private _latencyMs = FIRST_LATENCY_MS
  private _failingSinceMs: number | undefined

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _options: ILaneOptions,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger,
    private readonly _onOwnershipLost: (reason: string) => void
  ) {
    this._laneRevision = _options.laneRevision
  }

  /** For how long no transaction has been answered, in ms; 0 while the store answers. */
  public get failingForMs (): number {
    return this._failingSinceMs === undefined ? 0 : this._clock.nowMs() - this._failingSinceMs
  }

  /** Whether the store counts as away. */
  public get isOut (): boolean {
    return this.failingForMs > OUTAGE_MS
  }

  /** How long an answer takes, usually. */
  public get latencyMs (): number {
    return this._latencyMs
  }

  public get queuedCount (): number {
    return this._queue.size
  }

  /** Several writes of one key become one: the value is taken last. */
  public write (write: ILaneWrite): void {
    if (this._isDisposed) return
    const same = this._queue.get(write.key)
    if (same === undefined) this._queue.set(write.key, [write])
    else same.push(write)
    this._schedule(GATHER_MS)
  }

  public dispose (): void {
    this._isDisposed = true
    this._queue.clear()
  }

  private _schedule (delayMs: number): void {
    if (this._isScheduled || this._isDisposed) return
    this._isScheduled = true
    this._clock.after(delayMs, () => {
      this._isScheduled = false
      if (this._sent === undefined) this._sendNext()
    })
  }

  private _sendNext (): void {
    if (this._queue.size === 0 || this._isDisposed) return
    this._sent = this._makeBatch()
    this._send(this._sent)
  }

  private _makeBatch (): ISentBatch {
    const { laneKey, ownerRevision, writerId } = this._options
    this._sequence += 1
    const laneValue = `${writerId}:${this._sequence}`
    const puts = [{ key: laneKey, value: laneValue }]
    const removes: string[] = []
    const taken: ILaneWrite[] = []
    let chars = 0
    for (const [key, writes] of this._queue) {
      if (puts.length + removes.length > MAX_WRITES || chars > MAX_CHARS) break
      this._queue.delete(key)
      taken.push(...writes)
      const value = writes.at(-1)?.value()
      if (value === undefined) removes.push(key)
      else puts.push({ key, value })
      chars += value?.length ?? 0
    }
    const expect = [{ key: OWNER_KEY, revision: ownerRevision }, { key: laneKey, revision: this._laneRevision }]
    return { writes: taken, transaction: { expect, puts, removes }, laneValue, isInDoubt: false }
  }

  private _send (batch: ISentBatch): void {
    const sentAtMs = this._clock.nowMs()
    const timeoutMs = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, this._latencyMs * TIMEOUT_FACTOR))
    this._store.commit(batch.transaction, timeoutMs).then((outcome) => {
      if (!this._isDisposed) this._onOutcome(batch, outcome, this._clock.nowMs() - sentAtMs)
    }, (error: unknown) => { this._log.error('store.commitFailed', { reason: String(error) }) })
  }

  private _onOutcome (batch: ISentBatch, outcome: CommitOutcome, tookMs: number): void {
    switch (outcome.kind) {
      case 'committed':
        this._noteLatency(tookMs)
        return this._onStored(batch, outcome.revision)
      case 'conflict':
        return this._onConflict(batch, outcome.items)
      case 'leaseGone':
        return this._onOwnershipLost('the store knows no such lease')
      case 'unanswered':
        batch.isInDoubt = true
        this._latencyMs = Math.min(MAX_TIMEOUT_MS, Math.max(this._latencyMs, tookMs * LATE_WEIGHT))
        break
      case 'refused':
    }
    this._noteFailing(tookMs)
    this._log.warn('store.notCommitted', { outcome: outcome.kind, reason: outcome.reason, durationMs: Math.round(tookMs), writes: batch.writes.length })
    this._retry(batch, outcome)
  }

  private _retry (batch: ISentBatch, outcome: CommitOutcome): void {
    // Certain that nothing of it was done: what may be refused is, rather than kept waiting for the store.
    const isCertain = outcome.kind === 'refused' && !batch.isInDoubt
    if (isCertain && this.failingForMs > REFUSE_AFTER_MS && batch.writes.some((write) => write.onRefused !== undefined)) {
      this._sent = undefined
      this._requeue(batch.writes, outcome.reason)
      this._schedule(RETRY_MS)
      return
    }
    this._clock.after(outcome.kind === 'unanswered' ? 0 : RETRY_MS, () => { if (!this._isDisposed) this._send(batch) })
  }

  private _noteFailing (tookMs: number): void {
    if (this._failingSinceMs !== undefined) return
    const sinceMs = this._clock.nowMs() - tookMs
    this._failingSinceMs = sinceMs
    this._clock.after(Math.max(0, OUTAGE_MS - tookMs), () => { if (this._failingSinceMs === sinceMs) this._refuseQueued() })
  }

  /**
   * What may be refused and never went out is, rather than kept behind a transaction in doubt: that it isn't stored is certain, and
   * its caller can come back while it still has time. One would see callers wait out their 3 s for a store that is silent.
   */
  private _refuseQueued (): void {
    for (const [key, writes] of this._queue) {
      if (writes.some((write) => write.onRefused === undefined)) continue
      this._queue.delete(key)
      for (const write of writes) write.onRefused?.('the store is away')
    }
  }

  private _requeue (writes: readonly ILaneWrite[], reason: string): void {
    for (const write of writes) {
      if (write.onRefused !== undefined) write.onRefused(reason)
      else this.write(write)
    }
  }

  /** Another writer has the ownership record, or our own earlier try of the same transaction has been carried out. */
  private _onConflict (batch: ISentBatch, items: readonly IMetadataItem[]): void {
    const { laneKey, ownerRevision } = this._options
    const lane = items.find((item) => item.key === laneKey)
    if (lane?.value === batch.laneValue) return this._onStored(batch, lane.revision)
    const owner = items.find((item) => item.key === OWNER_KEY)
    this._onOwnershipLost(owner?.revision === ownerRevision ? 'the lane has another writer' : 'the ownership record has changed')
  }

  private _onStored (batch: ISentBatch, revision: number): void {
    this._laneRevision = revision
    this._failingSinceMs = undefined
    this._sent = undefined
    for (const write of batch.writes) write.onStored()
    // What has gathered meanwhile goes at once if it fills a transaction.
    if (this._queue.size >= MAX_WRITES) this._sendNext()
    else if (this._queue.size > 0) this._schedule(GATHER_MS)
  }

  private _noteLatency (tookMs: number): void {
    this._latencyMs += (tookMs - this._latencyMs) * LATENCY_WEIGHT
  }
}
