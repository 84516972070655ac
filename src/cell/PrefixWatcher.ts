/**
 * Watches all records under a prefix: one read of everything, then a loop of long polls. Reads everything again if the store has discarded
 * the history in between, and repeats a poll on a new connection if its connection falls silent.
 */

import type { IMetadataItem, IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'

export interface IWatchListener {
  /** All records under the prefix, as of one read. */
  onAll (items: readonly IMetadataItem[], revision: number): void
  /** One record was written, or deleted if `item` is undefined. */
  onChange (key: string, item: IMetadataItem | undefined, revision: number): void
}

export interface IWatchOptions {
  readonly prefix: string
  /** How long a poll waits in the store, in ms; also bounds how long a silent connection goes unnoticed. */
  readonly waitMs: number
}

const RETRY_DELAY_MS = 150
/** Even a slow store answers a poll within this time, in ms. */
const MAX_CURRENT_AGE_MS = 2000
/** How long a poll waits during an outage, in ms: none, so that a store that is back is noticed at once. */
const OUTAGE_POLL_WAIT_MS = 0
/** Number of consecutive failed polls after which everything is read again, because the revision from which the polls continue may be wrong. */
const MAX_POLL_FAILURES = 4

type Step = 'read' | 'poll'

/** An outage of the store: the calls that have failed since its last answer. */
interface IOutage {
  readonly tries: number
  /** The kind of the last failed call, and why it failed. */
  readonly step: Step
  readonly reason: string
}

export class PrefixWatcher implements IDisposable {
  private readonly _abort = new AbortController()
  private _failures = 0
  private _outage: IOutage | undefined
  private _answeredAtMs: MonotonicMs = -Infinity
  private _readMs = 0
  /** The last error that was logged. */
  private _error = ''

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _options: IWatchOptions,
    private readonly _listener: IWatchListener,
    private readonly _timers: IClock & ITimers,
    private readonly _log: ILogger
  ) {}

  /** How long the last read of everything took, in ms: a measure of the distance to the store. */
  public get readMs (): number {
    return this._readMs
  }

  /** Time since the store last answered this watch, in ms: the age of what is known of the prefix. */
  public get ageMs (): number {
    return this._timers.nowMs() - this._answeredAtMs
  }

  /** Whether the store has answered this watch recently. */
  public get isCurrent (): boolean {
    return this.ageMs < MAX_CURRENT_AGE_MS
  }

  public start (): void {
    this._run().catch((error: unknown) => { this._recordError(error) })
  }

  public dispose (): void {
    this._abort.abort()
  }

  private async _run (): Promise<void> {
    while (!this._isDisposed) {
      try {
        const revision = await this._readAll()
        if (revision === undefined) await this._pause()
        else await this._pollChanges(revision)
      } catch (error) {
        this._recordError(error)
        await this._pause()
      }
    }
  }

  /** Guards against a watch that ends for good, and with it all knowledge of later changes: a listener may fail on a record of another program. */
  private _recordError (error: unknown): void {
    const reason = String(error)
    if (reason !== this._error) this._log.error('watch.failed', { prefix: this._options.prefix, reason })
    this._error = reason
  }

  private async _readAll (): Promise<number | undefined> {
    const startedAtMs = this._timers.nowMs()
    const read = await this._store.range(this._options.prefix)
    this._readMs = this._timers.nowMs() - startedAtMs
    if (this._isDisposed) return undefined
    if (read.kind === 'failed') {
      this._recordFailure('read', read.reason)
      return undefined
    }
    this._recordAnswer('read')
    this._listener.onAll(read.value.items, read.value.revision)
    return read.value.revision
  }

  private async _pollChanges (fromRevision: number): Promise<void> {
    let revision = fromRevision
    this._failures = 0
    while (!this._isDisposed && this._failures < MAX_POLL_FAILURES) {
      const waitMs = this._outage === undefined ? this._options.waitMs : OUTAGE_POLL_WAIT_MS
      const outcome = await this._store.watch(this._options.prefix, revision, waitMs, this._abort.signal)
      if (this._isDisposed || outcome.kind === 'historyGone') return
      if (outcome.kind === 'failed') {
        this._failures += 1
        this._recordFailure('poll', outcome.reason)
        await this._pause()
        continue
      }
      this._failures = 0
      this._recordAnswer('poll')
      // A revision lower than the previous one means that the store has lost part of its history, so everything has to be read again.
      if (outcome.revision < revision) return
      revision = outcome.revision
      for (const { key, item, revision: at } of outcome.events) this._listener.onChange(key, item, at)
    }
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._timers.after(RETRY_DELAY_MS, resolve) })
  }

  private _recordFailure (step: Step, reason: string): void {
    if (this._outage === undefined) this._log.warn('watch.lost', { prefix: this._options.prefix, step, reason })
    this._outage = { tries: (this._outage?.tries ?? 0) + 1, step, reason }
  }

  private _recordAnswer (step: Step): void {
    const outage = this._outage
    if (outage !== undefined) {
      const { tries, step: lastStep, reason: lastReason } = outage
      this._log.info('watch.regained', { prefix: this._options.prefix, step, ageMs: this._loggedAgeMs(), tries, lastStep, lastReason })
    }
    this._outage = undefined
    this._answeredAtMs = this._timers.nowMs()
  }

  /** Undefined if the store has never answered. */
  private _loggedAgeMs (): number | undefined {
    return this._answeredAtMs === -Infinity ? undefined : Math.round(this.ageMs)
  }

  private get _isDisposed (): boolean {
    return this._abort.signal.aborted
  }
}
