/**
 * A watch on the key-value service: a loop of long polls that continues from the last revision seen. The watch reads the whole
 * range again if the store can't replay the changes in between, and backs off while the store is unreachable.
 */

import type { ResultAsync } from 'neverthrow'
import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { IStoreChange, IStoreRange, IStoreWatchListener, StoreError } from './Types.js'

export interface IWatchPoll {
  readonly changes: readonly IStoreChange[]
  readonly revision: number
}

/** The calls of the store client that a watch uses. */
export interface IWatchSource {
  /** Returns `undefined` if the store can't replay the changes after `afterRevision`. */
  poll (prefix: string, afterRevision: number, signal: AbortSignal): ResultAsync<IWatchPoll | undefined, StoreError>
  range (prefix: string): ResultAsync<IStoreRange, StoreError>
}

const FIRST_RETRY_MS = 100
const MAX_RETRY_MS = 3000
const RETRY_GROWTH = 2

export class StoreWatch implements IDisposable {
  private _retryMs = FIRST_RETRY_MS
  private _abortController = new AbortController()
  private _retryTimer: IDisposable | undefined
  private _isDisposed = false

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
   * Aborts the waiting poll and polls again at once.
   *
   * A poll that was waiting while the store hung may never get a response, although the store works again. This process
   * would keep an old configuration until the poll times out.
   */
  public restart (): void {
    this._retryTimer?.dispose()
    this._abortController.abort()
    this._retryMs = FIRST_RETRY_MS
    this._poll()
  }

  public dispose (): void {
    this._isDisposed = true
    this._retryTimer?.dispose()
    this._abortController.abort()
  }

  private _poll (): void {
    if (this._isDisposed) return
    const controller = new AbortController()
    this._abortController = controller
    const ifCurrent = (step: () => void): void => { if (!this._isDisposed && this._abortController === controller) step() }
    this._source.poll(this._prefix, this._afterRevision, controller.signal).match(
      (polled) => { ifCurrent(() => { this._handlePoll(polled) }) },
      () => { ifCurrent(() => { this._retryLater() }) })
      .catch((error: unknown) => { queueMicrotask(() => { throw error }) })
  }

  private _handlePoll (polled: IWatchPoll | undefined): void {
    // A revision below the last one means that the store was restored from an older copy: its changes can't be trusted.
    if (polled === undefined || polled.revision < this._afterRevision) {
      this._readRange()
      return
    }
    this._retryMs = FIRST_RETRY_MS
    this._afterRevision = polled.revision
    if (polled.changes.length > 0) this.listener.onChanges(polled.changes)
    this._poll()
  }

  private _readRange (): void {
    const controller = this._abortController
    this._source.range(this._prefix).match(
      (range) => {
        if (this._isDisposed || this._abortController !== controller) return
        this._afterRevision = range.revision
        this.listener.onReset(range)
        this._poll()
      },
      () => { if (!this._isDisposed && this._abortController === controller) this._retryLater() })
      .catch((error: unknown) => { queueMicrotask(() => { throw error }) })
  }

  /** Backs off exponentially with jitter, so that the watches of a fleet don't reconnect to the store at the same time. */
  private _retryLater (): void {
    const delayMs = this._retryMs * (0.5 + this._random.next())
    this._retryMs = Math.min(this._retryMs * RETRY_GROWTH, MAX_RETRY_MS)
    this._retryTimer = this._timers.after(delayMs, () => { this._poll() })
  }
}
