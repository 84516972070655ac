/**
 * The operator's configuration as this process knows it: the newest version that it has read. An older version never replaces it.
 */

import { Emitter } from '../common/Emitter.js'
import type { ICellConfig, IMetadataItem, IMetadataStore, IQueue, IWorkspace, ReadOutcome } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers } from '../common/Types.js'
import { MalformedRecords } from './MalformedRecords.js'
import type { ICellRecords } from './Types.js'
import { PrefixWatcher } from './PrefixWatcher.js'

/**
 * How long a poll waits in the store, in ms. A silent connection is noticed within this time and a second more, and a change has to be in
 * force within 2.5 s.
 */
const POLL_WAIT_MS = 1200
/** A record of more characters takes so long over a slow link that it is read only if it has changed. */
const LARGE_RECORD_LENGTH = 65_536

export class ConfigFeed implements IDisposable {
  private _config: ICellConfig | undefined
  /** The revision and the length of the record that the store has returned last. This process has that version, or a newer one. */
  private _readRevision = 0
  private _recordLength = 0
  /** Queues by host name, those with the longest path prefix first. */
  private _queuesByHost = new Map<string, readonly IQueue[]>()
  private _queuesByName = new Map<string, IQueue>()
  private _workspacesByDigest = new Map<string, IWorkspace>()
  private _reading: Promise<boolean> | undefined
  private _recordReading: Promise<string | undefined> | undefined
  private readonly _malformed: MalformedRecords
  private readonly _watch: PrefixWatcher
  private readonly _changeEmitter = new Emitter<ICellConfig>()
  public readonly onChange = this._changeEmitter.event

  public constructor (
    private readonly _store: IMetadataStore,
    private readonly _records: ICellRecords,
    clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {
    this._malformed = new MalformedRecords(_log)
    this._watch = new PrefixWatcher(_store, { prefix: _records.operatorPrefix, waitMs: POLL_WAIT_MS }, {
      onAll: (items) => { for (const item of items) this._applyItem(item) },
      onChange: (_key, item) => { if (item !== undefined) this._applyItem(item) }
    }, clock, _log)
  }

  public start (): void {
    this._watch.start()
  }

  public get config (): ICellConfig | undefined {
    return this._config
  }

  public get version (): number {
    return this._config?.version ?? -1
  }

  /** Time since the store last confirmed that there is no newer version, in ms. */
  public get ageMs (): number {
    return this._watch.ageMs
  }

  /** Whether this process has every version except very new ones. Only then is a queue that it doesn't find certain not to exist. */
  public get isCurrent (): boolean {
    return this._watch.isCurrent
  }

  /** Returns the queue of a request: the one of its host name with the longest prefix of its path. */
  public findQueue (hostName: string, path: string): IQueue | undefined {
    return this._queuesByHost.get(hostName)?.find((queue) => path.startsWith(queue.pathPrefix))
  }

  public queue (name: string): IQueue | undefined {
    return this._queuesByName.get(name)
  }

  /** Returns the workspace that has the key with this digest. */
  public workspaceOf (keyDigest: string): IWorkspace | undefined {
    return this._workspacesByDigest.get(keyDigest)
  }

  /** Reads the configuration again if this process has an older version than the given one. Resolves to whether it has that version afterwards. */
  public async catchUp (version: number): Promise<boolean> {
    if (this.version < version) await this.refresh()
    return this.version >= version
  }

  /** Reads the configuration again; calls at the same time share one read. Resolves to whether the store has answered. */
  public async refresh (): Promise<boolean> {
    this._reading ??= this._read().finally(() => { this._reading = undefined })
    return await this._reading
  }

  /**
   * The stored configuration, for a process that can't read it itself; undefined if it is not newer than the given version. Calls at the same
   * time share one read.
   */
  public async readRecordAfter (version: number): Promise<string | undefined> {
    if (this.version <= version) return undefined
    this._recordReading ??= this._readRecord().finally(() => { this._recordReading = undefined })
    return await this._recordReading
  }

  /** Applies a configuration that a peer has read from the store. */
  public applyRecord (record: string, peer: string): void {
    this._apply(record, { peer })
  }

  public dispose (): void {
    this._watch.dispose()
  }

  private _applyItem (item: IMetadataItem): void {
    if (item.key !== this._records.configKey) return
    this._readRevision = item.revision
    this._recordLength = item.value.length
    this._apply(item.value, { revision: item.revision })
  }

  private async _read (): Promise<boolean> {
    const read = await this._readItem()
    if (read.kind === 'failed') this._log.warn('config.notRead', { version: this.version, reason: read.reason })
    else if (read.value !== undefined) this._applyItem(read.value)
    return read.kind === 'read'
  }

  /** Reads the stored item; undefined if there is none, or none newer than the known one. */
  private async _readItem (): Promise<ReadOutcome<IMetadataItem | undefined>> {
    const { configKey } = this._records
    if (this._recordLength <= LARGE_RECORD_LENGTH) return await this._store.get(configKey)
    const read = await this._store.getIfChanged(configKey, this._readRevision)
    if (read.kind === 'failed') return read
    return { kind: 'read', value: read.value.isChanged ? read.value.item : undefined }
  }

  private async _readRecord (): Promise<string | undefined> {
    const read = await this._store.get(this._records.configKey)
    return read.kind === 'read' ? read.value?.value : undefined
  }

  /** @param source where the record comes from, for the log */
  private _apply (record: string, source: Readonly<Record<string, string | number>>): void {
    const decoded = this._records.decodeConfig(record)
    const isNews = this._malformed.record(this._records.configKey, decoded.isOk() ? decoded.value.malformed : [decoded.error])
    if (decoded.isErr()) {
      if (isNews) this._log.error('config.unreadable', source)
      return
    }
    const config = decoded.value
    if (config.version <= this.version) return
    this._config = config
    this._queuesByHost = indexQueues(config)
    this._queuesByName = new Map(config.queues.map((queue) => [queue.name, queue]))
    this._workspacesByDigest = new Map(config.workspaces.flatMap((workspace) => workspace.keyDigests.map((digest) => [digest, workspace])))
    const { version, queues, workspaces, malformed } = config
    this._log.info('config.applied', { version, ...source, queues: queues.length, workspaces: workspaces.length })
    if (malformed.length > 0) this._log.warn('config.malformedEntries', { version, entries: malformed.length })
    this._changeEmitter.fire(config)
  }
}

function indexQueues (config: ICellConfig): Map<string, readonly IQueue[]> {
  const byHost = new Map<string, IQueue[]>()
  for (const queue of config.queues) {
    const queues = byHost.get(queue.hostName)
    if (queues === undefined) byHost.set(queue.hostName, [queue])
    else queues.push(queue)
  }
  for (const queues of byHost.values()) queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return byHost
}
