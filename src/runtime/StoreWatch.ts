/**
 * One watch on the key-value service: a loop of long polls that goes on from the last revision seen, starts over from
 * a whole range when the store has forgotten what lies between, and backs off while the store can't be reached.
 */

import type { ResultAsync } from 'neverthrow'
import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { IStoreChange, IStoreRange, IStoreWatchListener, StoreError } from './Types.js'

export interface IWatchPoll {
  readonly changes: readonly IStoreChange[]
  readonly revision: number
}

/** What the watch asks of the client that owns it. */
export interface IWatchSource {
  /** Gives `undefined` when the store can't replay from `afterRevision`. */
  poll (prefix: string, afterRevision: number, signal: AbortSignal): ResultAsync<IWatchPoll | undefined, StoreError>
  range (prefix: string): ResultAsync<IStoreRange, StoreError>
}

const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 3000
const RETRY_GROWTH = 2

export class StoreWatch implements IDisposable {
  private _retryMs = FIRST_RETRY_MS
  private _abort = new AbortController()
  private _retry: IDisposable | undefined
  private _disposed = false

  public constructor (
    private readonly _source: IWatchSource,
    private readonly _timers: ITimers,
    private readonly _random: IRandom,
    private readonly _prefix: string,
    private _afterRevision: number,
    public readonly listener: IStoreWatchListener
  ) {}

  public start (): void {
    this._poll()
  }

  /**
   * Polls anew at once.
   *
   * A poll that was waiting while the store hung may never be answered, although the store is well again: one would
   * see this process keep an old configuration for as long as the poll may wait.
   */
  public restart (): void {
    this._retry?.dispose()
    this._abort.abort()
    this._retryMs = FIRST_RETRY_MS
    this._poll()
  }

  public dispose (): void {
    this._disposed = true
    this._retry?.dispose()
    this._abort.abort()
  }

  private _poll (): void {
    if (this._disposed) return
    const abort = new AbortController()
    this._abort = abort
    const ifCurrent = (step: () => void): void => { if (!this._disposed && this._abort === abort) step() }
    this._source.poll(this._prefix, this._afterRevision, abort.signal).match(
      (polled) => { ifCurrent(() => { this._take(polled) }) },
      () => { ifCurrent(() => { this._retryLater() }) })
      .catch((error: unknown) => { queueMicrotask(() => { throw error }) })
  }

  private _take (polled: IWatchPoll | undefined): void {
    // A revision below ours means that the store has lost its past and counts anew: nothing it replays can be trusted.
    if (polled === undefined || polled.revision < this._afterRevision) {
      this._reset()
      return
    }
    this._retryMs = FIRST_RETRY_MS
    this._afterRevision = polled.revision
    if (polled.changes.length > 0) this.listener.onChanges(polled.changes)
    this._poll()
  }

  private _reset (): void {
    const abort = this._abort
    this._source.range(this._prefix).match(
      (range) => {
        if (this._disposed || this._abort !== abort) return
        this._afterRevision = range.revision
        this.listener.onReset(range)
        this._poll()
      },
      () => { if (!this._disposed && this._abort === abort) this._retryLater() })
      .catch((error: unknown) => { queueMicrotask(() => { throw error }) })
  }

  /** Waits longer after each failure, at random, so that the watches of a fleet don't come back to the store together. */
  private _retryLater (): void {
    const delayMs = this._retryMs * (0.5 + this._random.next())
    this._retryMs = Math.min(this._retryMs * RETRY_GROWTH, MAX_RETRY_MS)
    this._retry = this._timers.after(delayMs, () => { this._poll() })
  }
}
