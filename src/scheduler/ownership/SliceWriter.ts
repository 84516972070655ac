/**
 * Carries out what a `SliceLog` wants written, and tells those who wait how it went.
 *
 * Made for an outage of the store under a steady flow of claims: a claim that waited for a store timeout would
 * answer its caller seconds late, and the queue of waiters would grow. So waiters are let go after `patienceMs`,
 * and while the store is known not to answer (`available` is false) nothing is queued at all.
 */

import { Emitter } from '../../common/Emitter.js'
import { decodeHead } from '../../common/state/SliceCodec.js'
import { headKey } from '../../common/state/SliceKeys.js'
import { doWrite } from './StoreOutcome.js'

import type { SliceLog } from '../../common/state/SliceLog.js'
import type { SliceProgress } from '../../common/state/SliceLogTypes.js'
import type { IStoreWrite, SliceEntry } from '../../common/state/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../../common/Types.js'
import type { IKeyValueStore } from '../../runtime/Types.js'

export interface ISliceWriterOptions {
  /** The least time between two commits, in milliseconds; asked before each, since it follows the fleet's size. */
  readonly commitIntervalMs: () => number
  /** How long an answer to a caller waits for one commit, in milliseconds. */
  readonly patienceMs: number
  /** Between tries while the store doesn't answer, in milliseconds. */
  readonly retryMs: number
}

/** `dropped`: without effect. `inDoubt`: it may still become durable. `lost`: another process owns the shard. */
export type AppendOutcome = 'durable' | 'dropped' | 'inDoubt' | 'lost'

interface IWaiter {
  readonly through: number
  readonly settle: (outcome: AppendOutcome) => void
}

export interface ISliceCommit {
  readonly entries: readonly SliceEntry[]
  /** Those who waited for them were told that they were in doubt. */
  readonly late: boolean
}

export class SliceWriter implements IDisposable {
  private readonly _onCommitted = new Emitter<ISliceCommit>()
  public readonly onCommitted = this._onCommitted.event
  private readonly _onDropped = new Emitter<readonly SliceEntry[]>()
  public readonly onDropped = this._onDropped.event
  private readonly _onLost = new Emitter<void>()
  public readonly onLost = this._onLost.event

  private _waiters: IWaiter[] = []
  private _appended = 0
  private _settledThrough = 0
  private _doubtThrough = 0
  private _available = true
  private _busy = false
  private _closed = false
  private _lastWriteAtMs: MonotonicMs = -Infinity
  private _timer: IDisposable | undefined
  private _patience: IDisposable | undefined

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _clock: IClock & ITimers,
    private readonly _log: SliceLog,
    private readonly _shardId: string,
    private readonly _options: ISliceWriterOptions
  ) {}

  /** False while the store doesn't answer or a commit is in doubt: refuse at once instead of queueing. */
  public get available (): boolean {
    return this._available && !this._closed
  }

  public get log (): SliceLog {
    return this._log
  }

  /** Queues an entry. False: it is larger than a commit may be. Wait for it with `durable`. */
  public append (entry: SliceEntry): boolean {
    if (!this._log.append(entry)) return false
    this._appended += 1
    this._schedule()
    return true
  }

  /** Starts compaction of a segment whose live jobs have been appended. */
  public compact (segment: Parameters<SliceLog['compact']>[0]): void {
    this._log.compact(segment)
    this._schedule()
  }

  /** Resolves when everything appended so far has an outcome. */
  public async durable (): Promise<AppendOutcome> {
    if (this._closed) return 'lost'
    if (this._appended === this._settledThrough) return 'durable'
    return await new Promise((resolve) => {
      this._waiters.push({ through: this._appended, settle: resolve })
    })
  }

  public dispose (): void {
    this._close()
    this._onCommitted.dispose()
    this._onDropped.dispose()
    this._onLost.dispose()
  }

  private _schedule (): void {
    if (this._busy || this._closed || this._timer !== undefined) return
    const dueMs = this._lastWriteAtMs + this._options.commitIntervalMs()
    this._after(Math.max(0, dueMs - this._clock.nowMs()), () => { this._start() })
  }

  private _after (delayMs: number, run: () => void): void {
    this._timer?.dispose()
    this._timer = this._clock.after(delayMs, () => {
      this._timer = undefined
      run()
    })
  }

  private _start (): void {
    const write = this._log.nextWrite()
    if (write === undefined || this._closed) return
    this._busy = true
    this._lastWriteAtMs = this._clock.nowMs()
    this._patience ??= this._clock.after(this._options.patienceMs, () => { this._giveUpWaiting() })
    this._do(write)
  }

  private async _do (write: IStoreWrite): Promise<void> {
    const result = await doWrite(this._store, write)
    if (this._closed) return
    this._busy = false
    const wasOk = result.outcome === 'ok' || result.outcome === 'conflict'
    this._handle(this._log.report(result.outcome, result.modRevision), wasOk)
  }

  private _handle (progress: SliceProgress, answered: boolean): void {
    if (progress.type === 'committed') this._committed(progress.entries)
    if (progress.type === 'dropped') this._dropped(progress.entries)
    if (progress.type === 'lost') {
      this._close()
      this._onLost.fire()
      return
    }
    if (progress.type === 'readBack') {
      this._readBack()
      return
    }
    if (answered) this._resume()
    else this._waitForStore()
  }

  /** The store answers: carry on with the next write. */
  private _resume (): void {
    if (!this._log.inDoubt) {
      this._available = true
      this._patience?.dispose()
      this._patience = undefined
    }
    this._schedule()
  }

  private _waitForStore (): void {
    this._giveUpWaiting()
    this._after(this._options.retryMs, () => { this._readBack() })
  }

  /** Reads the head: settles a doubt, shows whether the store answers again, and whether another owner has been there. */
  private async _readBack (): Promise<void> {
    this._busy = true
    const read = await this._store.get(headKey(this._shardId))
    if (this._closed) return
    this._busy = false
    if (read.isErr()) {
      this._waitForStore()
      return
    }
    const record = read.value
    const head = record === undefined ? undefined : decodeHead(record.key, record.value).unwrapOr(undefined)
    this._handle(this._log.readBack(head, record?.modRevision ?? 0), true)
  }

  private _committed (entries: readonly SliceEntry[]): void {
    this._settledThrough += entries.length
    const late = this._settledThrough <= this._doubtThrough
    this._settle((waiter) => waiter.through <= this._settledThrough, 'durable')
    this._onCommitted.fire({ entries, late })
  }

  private _dropped (entries: readonly SliceEntry[]): void {
    this._appended -= entries.length
    this._settle((waiter) => waiter.through > this._appended, 'dropped')
    this._onDropped.fire(entries)
  }

  /** Lets those who wait go: what is in the write under way is in doubt, what is queued behind it goes for certain. */
  private _giveUpWaiting (): void {
    this._patience?.dispose()
    this._patience = undefined
    this._available = false
    const queued = this._log.dropQueued()
    if (queued.length > 0) this._dropped(queued)
    this._doubtThrough = this._appended
    this._settle(() => true, 'inDoubt')
  }

  private _settle (which: (waiter: IWaiter) => boolean, outcome: AppendOutcome): void {
    const settled = this._waiters.filter(which)
    this._waiters = this._waiters.filter((waiter) => !which(waiter))
    for (const waiter of settled) waiter.settle(outcome)
  }

  private _close (): void {
    this._closed = true
    this._timer?.dispose()
    this._patience?.dispose()
    this._settle(() => true, 'lost')
  }
}
