/**
 * Reads and archives the store's records of configuration items: the current entry of each item, and its earlier revisions.
 */

import { err, ok } from 'neverthrow'
import { AmbiguousError, ConflictError, UnreachableError } from '../../common/Errors.js'
import { configKey, decodeEntry, encodeEntry, historyKey, historyPrefix } from '../../common/config/ConfigCodec.js'

import type { Result } from 'neverthrow'
import type { InvalidInputError } from '../../common/Errors.js'
import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'
import type { IKeyValueStore, IStoreRecord, StoreError } from '../Types.js'

export interface IStoredEntry {
  /** Absent for an item that never existed. */
  readonly entry: IConfigEntry | undefined
  /** The revision that a compare-and-swap must expect; 0 for an item that never existed. */
  readonly modRevision: number
}

export type RecordError = StoreError | InvalidInputError

type RecordResult<T> = Promise<Result<T, RecordError>>

const NEVER_EXISTED: IStoredEntry = { entry: undefined, modRevision: 0 }
const ARCHIVE_ATTEMPTS = 3

export class ConfigRecords {
  public constructor (private readonly _store: IKeyValueStore, private readonly _maxHistory: number) {}

  public async readCurrent (kind: ConfigKind, name: string): RecordResult<IStoredEntry> {
    return this._read(configKey(kind, name))
  }

  /** Reads the kept revisions, including the current one, oldest first. */
  public async readHistory (kind: ConfigKind, name: string): RecordResult<readonly IConfigEntry[]> {
    const earlier = await this._store.range(historyPrefix(kind, name))
    if (earlier.isErr()) return err(earlier.error)
    const current = await this.readCurrent(kind, name)
    if (current.isErr()) return err(current.error)
    const entries = new Map(earlier.value.records.flatMap(decodeIfValid).map(entry => [entry.revision, entry]))
    const { entry } = current.value
    if (entry !== undefined) entries.set(entry.revision, entry)
    return ok([...entries.values()].sort((a, b) => a.revision - b.revision))
  }

  /** Reads one revision, current or earlier; absent if it never existed or is no longer kept. */
  public async readRevision (kind: ConfigKind, name: string, revision: number): RecordResult<IConfigEntry | undefined> {
    const earlier = await this._read(historyKey(kind, name, revision))
    if (earlier.isErr()) return err(earlier.error)
    if (earlier.value.entry !== undefined) return ok(earlier.value.entry)
    const current = await this.readCurrent(kind, name)
    return current.map(({ entry }) => entry?.revision === revision ? entry : undefined)
  }

  /**
   * Writes an entry to the history before it is replaced. This write comes first, because a process that dies between the
   * two writes would otherwise leave a gap in the history. A writer whose response was lost also uses the history to find out
   * whether its revision was in force before that of another author.
   *
   * The write may be repeated: the record is created once, and its content is the same for every writer.
   */
  public async archive (entry: IConfigEntry): RecordResult<void> {
    const key = historyKey(entry.kind, entry.name, entry.revision)
    for (let attempt = 1; ; attempt++) {
      const written = await this._store.compareAndSwap(key, 0, encodeEntry(entry))
      if (written.isOk() || written.error instanceof ConflictError) return ok(undefined)
      if (!(written.error instanceof AmbiguousError)) return err(written.error)
      const kept = await this._read(key)
      if (kept.isOk() && kept.value.entry !== undefined) return ok(undefined)
      if (attempt === ARCHIVE_ATTEMPTS) return err(toUnchangedError(key, written.error))
    }
  }

  /** Deletes the oldest revision beyond the limit of the history. A failure leaves one record too many. */
  public async prune (kind: ConfigKind, name: string, newestRevision: number): Promise<void> {
    const key = historyKey(kind, name, newestRevision - this._maxHistory)
    if (newestRevision <= this._maxHistory) return
    const record = await this._store.get(key)
    const modRevision = record.isOk() ? record.value?.modRevision : undefined
    if (modRevision !== undefined) await this._store.compareAndSwap(key, modRevision, undefined)
  }

  private async _read (key: string): RecordResult<IStoredEntry> {
    const record = await this._store.get(key)
    if (record.isErr()) return err(record.error)
    if (record.value === undefined) return ok(NEVER_EXISTED)
    const { modRevision, value } = record.value
    return decodeEntry(key, value).map(entry => ({ entry, modRevision }))
  }
}

function decodeIfValid (record: IStoreRecord): readonly IConfigEntry[] {
  return decodeEntry(record.key, record.value).match(entry => [entry], () => [])
}

/** The current entry was not written yet, so the edit had no effect, even if the write to the history is ambiguous. */
function toUnchangedError (key: string, cause: AmbiguousError): UnreachableError {
  return new UnreachableError('config.archive', key, 'the store did not confirm the history', { cause })
}
