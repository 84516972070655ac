/**
 * Updates the configuration replica of a process from a watch on the store, and from peers while the store is unreachable
 * at the start of the process.
 */

import { Emitter } from '../../common/Emitter.js'
import { CONFIG_PREFIX, checkEntry, decodeEntry } from '../../common/config/ConfigCodec.js'
import { errorFields } from '../../common/observability/ErrorFields.js'

import type { IConfigEntry, IConfigReplica } from '../../common/config/Types.js'
import type { ILogger } from '../../common/observability/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRange, IStoreRecord } from '../Types.js'

export interface IConfigWatcherOptions {
  /** The pause between two attempts to read the store at the start, in milliseconds. */
  readonly retryMs: number
  /** Fetches the entries of any peer; empty without a peer. Must not reject. */
  readonly fetchPeerEntries: () => Promise<readonly IConfigEntry[]>
}

export class ConfigWatcher implements IDisposable {
  private readonly _onApplied = new Emitter<readonly IConfigEntry[]>()
  private readonly _onReachabilityChange = new Emitter<boolean>()
  private _retryOrWatch: IDisposable | undefined
  private _isDisposed = false

  /** Fires with the entries that changed the replica of this process. */
  public readonly onApplied = this._onApplied.event
  /** Fires when the store becomes unreachable (false) or reachable again (true). */
  public readonly onReachabilityChange = this._onReachabilityChange.event

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _replica: IConfigReplica,
    private readonly _timers: ITimers,
    private readonly _logger: ILogger,
    private readonly _options: IConfigWatcherOptions
  ) {}

  /**
   * Reads all entries and watches them. Resolves after the first attempt, with the entries of the store or, while it is
   * unreachable, with those of the peers. The read of the store is then retried until it succeeds.
   */
  public async start (): Promise<void> {
    const range = await this._store.range(CONFIG_PREFIX)
    if (this._isDisposed) return
    if (range.isOk()) return this._watchStore(range.value)
    this._logger.warn('config.storeUnreachable', errorFields(range.error))
    this._retryOrWatch = this._timers.after(this._options.retryMs, () => this.start())
    this.applyFromPeer(await this._options.fetchPeerEntries())
  }

  /** Applies the entries of a peer. Invalid entries are logged and skipped. */
  public applyFromPeer (entries: readonly IConfigEntry[]): void {
    this._applyEntries(entries.flatMap(entry => this._skipInvalid(checkEntry('peer', entry))))
  }

  public dispose (): void {
    this._isDisposed = true
    this._retryOrWatch?.dispose()
    this._onApplied.dispose()
    this._onReachabilityChange.dispose()
  }

  private _watchStore (range: IStoreRange): void {
    this._applyRecords(range.records)
    this._retryOrWatch = this._store.watch(CONFIG_PREFIX, range.revision, {
      onChanges: changes => this._applyChanges(changes),
      onReset: whole => this._applyRecords(whole.records),
      onReachabilityChange: reachable => this._onReachabilityChange.fire(reachable)
    })
  }

  /**
   * Applies changed records. An operator's deletion is stored as an entry. A removed key was not removed through the operator
   * interface: its last revision stays in force in the running processes, but a process that restarts later can't distinguish
   * the item from one that never existed. Therefore the removal is logged as an error.
   */
  private _applyChanges (changes: readonly IStoreChange[]): void {
    for (const removed of changes.filter(change => change.deleted)) this._logger.error('config.keyRemoved', { key: removed.key })
    this._applyRecords(changes.filter(change => !change.deleted))
  }

  private _applyRecords (records: readonly IStoreRecord[]): void {
    this._applyEntries(records.flatMap(record => this._skipInvalid(decodeEntry(record.key, record.value))))
  }

  private _skipInvalid (checked: ReturnType<typeof decodeEntry>): readonly IConfigEntry[] {
    if (checked.isOk()) return [checked.value]
    this._logger.error('config.invalidEntry', errorFields(checked.error))
    return []
  }

  private _applyEntries (entries: readonly IConfigEntry[]): void {
    const applied = this._replica.apply(entries)
    if (applied.length === 0) return
    for (const { kind, name, revision, deleted } of applied) this._logger.info('config.applied', { kind, name, revision, deleted })
    this._onApplied.fire(applied)
  }
}
