/**
 * Keeps a process's copy of the configuration up to date: from the store's watch, and from peers while a starting
 * process can't reach the store.
 */

import { Emitter } from '../../common/Emitter.js'
import { CONFIG_PREFIX, checkEntry, decodeEntry } from '../../common/config/ConfigCodec.js'
import { errorFields } from '../../common/observability/ErrorFields.js'

import type { IConfigEntry, IConfigReplica } from '../../common/config/Types.js'
import type { ILogger } from '../../common/observability/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRange, IStoreRecord } from '../Types.js'

export interface IConfigWatcherOptions {
  /** The pause between two tries to read the store at start, in milliseconds. */
  readonly retryMs: number
  /** Asks any peer for its entries; gives none where there is no peer. Must not reject. */
  readonly entriesOfPeers: () => Promise<readonly IConfigEntry[]>
}

export class ConfigWatcher implements IDisposable {
  private readonly _onApplied = new Emitter<readonly IConfigEntry[]>()
  private readonly _onReachable = new Emitter<boolean>()
  private _running: IDisposable | undefined
  private _isDisposed = false

  /** Fires with the entries that changed this process's copy. */
  public readonly onApplied = this._onApplied.event
  /** Fires when the store goes out of reach (false) or comes back (true). */
  public readonly onReachable = this._onReachable.event

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _replica: IConfigReplica,
    private readonly _timers: ITimers,
    private readonly _logger: ILogger,
    private readonly _options: IConfigWatcherOptions
  ) {}

  /**
   * Reads all entries and follows them. Settles after the first try: with the store's entries, or with those of the
   * peers while the store is out of reach; the store is then tried again until it answers.
   */
  public async start (): Promise<void> {
    const range = await this._store.range(CONFIG_PREFIX)
    if (this._isDisposed) return
    if (range.isOk()) return this._follow(range.value)
    this._logger.warn('config.storeUnreachable', errorFields(range.error))
    this._running = this._timers.after(this._options.retryMs, () => this.start())
    this.applyFromPeer(await this._options.entriesOfPeers())
  }

  /** Takes what a peer says; entries that break a bound are logged and left out. */
  public applyFromPeer (entries: readonly IConfigEntry[]): void {
    this._apply(entries.flatMap(entry => this._keepValid(checkEntry('peer', entry))))
  }

  public dispose (): void {
    this._isDisposed = true
    this._running?.dispose()
    this._onApplied.dispose()
    this._onReachable.dispose()
  }

  private _follow (range: IStoreRange): void {
    this._takeRecords(range.records)
    this._running = this._store.watch(CONFIG_PREFIX, range.revision, {
      onChanges: changes => this._takeChanges(changes),
      onReset: whole => this._takeRecords(whole.records),
      onReachable: reachable => this._onReachable.fire(reachable)
    })
  }

  /**
   * A deletion by an operator is an entry like any other. A key that vanishes from the store was removed past the
   * operator interface; its last revision stays in force, because processes that restart later can't tell it from a
   * thing that never existed, while the others would go on with it.
   */
  private _takeChanges (changes: readonly IStoreChange[]): void {
    for (const gone of changes.filter(change => change.deleted)) this._logger.error('config.keyRemoved', { key: gone.key })
    this._takeRecords(changes.filter(change => !change.deleted))
  }

  private _takeRecords (records: readonly IStoreRecord[]): void {
    this._apply(records.flatMap(record => this._keepValid(decodeEntry(record.key, record.value))))
  }

  private _keepValid (checked: ReturnType<typeof decodeEntry>): readonly IConfigEntry[] {
    if (checked.isOk()) return [checked.value]
    this._logger.error('config.invalidEntry', errorFields(checked.error))
    return []
  }

  private _apply (entries: readonly IConfigEntry[]): void {
    const applied = this._replica.apply(entries)
    if (applied.length === 0) return
    for (const { kind, name, revision, deleted } of applied) this._logger.info('config.applied', { kind, name, revision, deleted })
    this._onApplied.fire(applied)
  }
}
