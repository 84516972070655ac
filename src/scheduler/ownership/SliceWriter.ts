/**
 * Performs the writes of a `SliceLog` and reports the outcome to the callers that wait for their entries.
 *
 * During a store outage, claims keep arriving. A claim that waited for a store timeout would answer its caller seconds
 * late, and the queue of waiting callers would grow. So callers wait `commitTimeoutMs` at most, and while the store is
 * known not to answer (`available` is false), nothing is queued.
 */

import { Emitter } from '../../common/Emitter.js'
import { decodeHead } from '../../common/state/SliceCodec.js'
import { headKey } from '../../common/state/SliceKeys.js'
import { performWrite } from './StoreOutcome.js'

import type { SliceLog } from '../../common/state/SliceLog.js'
import type { SliceProgress } from '../../common/state/SliceLogTypes.js'
import type { IStoreWrite, SliceEntry } from '../../common/state/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../../common/Types.js'
import type { IKeyValueStore } from '../../runtime/Types.js'

export interface ISliceWriterOptions {
  /** The shortest time between two commits, in milliseconds; called before each commit, because it depends on the fleet's size. */
  readonly commitIntervalMs: () => number
  /** Longest time that an answer to a caller waits for one commit, in milliseconds. */
  readonly commitTimeoutMs: number
  /** Time between two tries while the store doesn't answer, in milliseconds. */
  readonly retryMs: number
}

/** `dropped`: the entry has no effect. `inDoubt`: it may still become durable. `lost`: another process owns the shard. */
export type AppendOutcome = 'durable' | 'dropped' | 'inDoubt' | 'lost'

interface IWaiter {
  /** The number of appended entries that must have an outcome. */
  readonly throughCount: number
  readonly settle: (outcome: AppendOutcome) => void
}

export interface ISliceCommit {
  readonly entries: readonly SliceEntry[]
  /** The callers that waited for these entries were answered `inDoubt` before the commit succeeded. */
  readonly wasInDoubt: boolean
}

export class SliceWriter implements IDisposable {
  private readonly _onCommitted = new Emitter<ISliceCommit>()
  public readonly onCommitted = this._onCommitted.event
  private readonly _onDropped = new Emitter<readonly SliceEntry[]>()
  public readonly onDropped = this._onDropped.event
  private readonly _onLost = new Emitter<void>()
  public readonly onLost = this._onLost.event

  private _waiters: IWaiter[] = []
  private _appendedCount = 0
  private _settledCount = 0
  private _inDoubtCount = 0
  private _isAvailable = true
  private _isWriting = false
  private _isClosed = false
  private _lastWriteAtMs: MonotonicMs = -Infinity
  private _timer: IDisposable | undefined
  private _commitTimeout: IDisposable | undefined

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _clock: IClock & ITimers,
    private readonly _log: SliceLog,
    private readonly _shardId: string,
    private readonly _options: ISliceWriterOptions
  ) {}

  /** False while the store doesn't answer or a commit is in doubt: refuse new entries immediately instead of queueing them. */
  public get available (): boolean {
    return this._isAvailable && !this._isClosed
  }

  public get log (): SliceLog {
    return this._log
  }

  /** Queues an entry; await `durable` for its outcome. False: the entry is larger than a commit may be. */
  public append (entry: SliceEntry): boolean {
    if (!this._log.append(entry)) return false
    this._appendedCount += 1
    this._schedule()
    return true
  }

  /** Starts the compaction of a segment whose live jobs have been appended again. */
  public compact (segment: Parameters<SliceLog['compact']>[0]): void {
    this._log.compact(segment)
    this._schedule()
  }

  /** Resolves when everything appended so far has an outcome. */
  public async durable (): Promise<AppendOutcome> {
    if (this._isClosed) return 'lost'
    if (this._appendedCount === this._settledCount) return 'durable'
    return await new Promise((resolve) => {
      this._waiters.push({ throughCount: this._appendedCount, settle: resolve })
    })
  }

  public dispose (): void {
    this._close()
    this._onCommitted.dispose()
    this._onDropped.dispose()
    this._onLost.dispose()
  }

  private _schedule (): void {
    if (this._isWriting || this._isClosed || this._timer !== undefined) return
    const dueMs = this._lastWriteAtMs + this._options.commitIntervalMs()
    this._setTimer(Math.max(0, dueMs - this._clock.nowMs()), () => { this._startWrite() })
  }

  private _setTimer (delayMs: number, run: () => void): void {
    this._timer?.dispose()
    this._timer = this._clock.after(delayMs, () => {
      this._timer = undefined
      run()
    })
  }

  private _startWrite (): void {
    const write = this._log.nextWrite()
    if (write === undefined || this._isClosed) return
    this._isWriting = true
    this._lastWriteAtMs = this._clock.nowMs()
    this._commitTimeout ??= this._clock.after(this._options.commitTimeoutMs, () => { this._releaseWaiters() })
    this._performWrite(write)
  }

  private async _performWrite (write: IStoreWrite): Promise<void> {
    const result = await performWrite(this._store, write)
    if (this._isClosed) return
    this._isWriting = false
    const hasAnswered = result.outcome === 'ok' || result.outcome === 'conflict'
    this._handleProgress(this._log.reportWrite(result.outcome, result.modRevision), hasAnswered)
  }

  private _handleProgress (progress: SliceProgress, answered: boolean): void {
    if (progress.type === 'committed') this._handleCommitted(progress.entries)
    if (progress.type === 'dropped') this._handleDropped(progress.entries)
    if (progress.type === 'lost') {
      this._close()
      this._onLost.fire()
      return
    }
    if (progress.type === 'readBack') {
      this._readBack()
      return
    }
    if (answered) this._continueWriting()
    else this._retryLater()
  }

  /** Continues with the next write, now that the store answers. */
  private _continueWriting (): void {
    if (!this._log.isInDoubt) {
      this._isAvailable = true
      this._commitTimeout?.dispose()
      this._commitTimeout = undefined
    }
    this._schedule()
  }

  private _retryLater (): void {
    this._releaseWaiters()
    this._setTimer(this._options.retryMs, () => { this._readBack() })
  }

  /** Reads the head to find out whether the store answers again, whether a write in doubt took effect, and whether another owner has written. */
  private async _readBack (): Promise<void> {
    this._isWriting = true
    const read = await this._store.get(headKey(this._shardId))
    if (this._isClosed) return
    this._isWriting = false
    if (read.isErr()) {
      this._retryLater()
      return
    }
    const record = read.value
    const head = record === undefined ? undefined : decodeHead(record.key, record.value).unwrapOr(undefined)
    this._handleProgress(this._log.reportHead(head, record?.modRevision ?? 0), true)
  }

  private _handleCommitted (entries: readonly SliceEntry[]): void {
    this._settledCount += entries.length
    const wasInDoubt = this._settledCount <= this._inDoubtCount
    this._settleWaiters((waiter) => waiter.throughCount <= this._settledCount, 'durable')
    this._onCommitted.fire({ entries, wasInDoubt })
  }

  private _handleDropped (entries: readonly SliceEntry[]): void {
    this._appendedCount -= entries.length
    this._settleWaiters((waiter) => waiter.throughCount > this._appendedCount, 'dropped')
    this._onDropped.fire(entries)
  }

  /** Gives all waiters an outcome: entries in the current write are in doubt, entries queued behind it are dropped. */
  private _releaseWaiters (): void {
    this._commitTimeout?.dispose()
    this._commitTimeout = undefined
    this._isAvailable = false
    const queued = this._log.dropQueued()
    if (queued.length > 0) this._handleDropped(queued)
    this._inDoubtCount = this._appendedCount
    this._settleWaiters(() => true, 'inDoubt')
  }

  private _settleWaiters (isSettled: (waiter: IWaiter) => boolean, outcome: AppendOutcome): void {
    const settled = this._waiters.filter(isSettled)
    this._waiters = this._waiters.filter((waiter) => !isSettled(waiter))
    for (const waiter of settled) waiter.settle(outcome)
  }

  private _close (): void {
    this._isClosed = true
    this._timer?.dispose()
    this._commitTimeout?.dispose()
    this._settleWaiters(() => true, 'lost')
  }
}
