/**
 * Replaces an entry in the store, and finds out whether the write took effect.
 */

import { err, ok } from 'neverthrow'
import { AmbiguousError, ConflictError } from '../../common/Errors.js'
import { configKey, encodeEntry } from '../../common/config/ConfigCodec.js'
import { ConfigConflictError } from './ConfigConflictError.js'

import type { Result } from 'neverthrow'
import type { IConfigEntry } from '../../common/config/Types.js'
import type { ITimers } from '../../common/Types.js'
import type { IKeyValueStore, StoreError } from '../Types.js'
import type { ConfigRecords } from './ConfigRecords.js'

export interface IWriterOptions {
  /** The pause before the first retry after a lost response, in milliseconds; it doubles with each retry. */
  readonly retryPauseMs: number
  readonly maxAttempts: number
}

type WriteOutcome =
  | { readonly type: 'inForce' }
  | { readonly type: 'lost', readonly current: IConfigEntry }
  /** The store doesn't contain the entry, but the write may still arrive. */
  | { readonly type: 'open' }

const OPEN: WriteOutcome = { type: 'open' }
const IN_FORCE: WriteOutcome = { type: 'inForce' }

export class EntryWriter {
  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _records: ConfigRecords,
    private readonly _timers: ITimers,
    private readonly _options: IWriterOptions
  ) {}

  /**
   * Replaces the record with `modRevision` by `entry`.
   *
   * The store's response may be lost after the change took effect. A reported failure would then be wrong, because every
   * process applies the change a moment later. A reported success may be wrong too, because the write may not have arrived,
   * or may arrive later. Therefore this method reads the entry back, looks for its own nonce, and repeats the same
   * compare-and-swap, which takes effect at most once. It returns `AmbiguousError` only if the store stays unreachable.
   */
  public async write (entry: IConfigEntry, modRevision: number): Promise<Result<IConfigEntry, StoreError | ConfigConflictError>> {
    const key = configKey(entry.kind, entry.name)
    const text = encodeEntry(entry)
    for (let attempt = 1; ; attempt++) {
      const written = await this._store.compareAndSwap(key, modRevision, text)
      if (written.isOk()) return ok(entry)
      const isDefinite = attempt === 1 && !(written.error instanceof AmbiguousError)
      if (isDefinite && !(written.error instanceof ConflictError)) return err(written.error)
      const outcome = await this._readOutcome(entry)
      if (outcome.type === 'inForce') return ok(entry)
      if (outcome.type === 'lost') return err(toConflictError(entry, outcome.current))
      if (isDefinite) return err(written.error)
      if (attempt === this._options.maxAttempts) return err(toAmbiguousError(key, written.error))
      await this._pauseBeforeRetry(attempt)
    }
  }

  private async _readOutcome (entry: IConfigEntry): Promise<WriteOutcome> {
    const stored = await this._records.readCurrent(entry.kind, entry.name)
    if (stored.isErr()) return OPEN
    const current = stored.value.entry
    if (current?.nonce === entry.nonce) return IN_FORCE
    if (current === undefined || current.revision < entry.revision) return OPEN
    if (current.revision === entry.revision) return { type: 'lost', current }
    return this._readArchivedOutcome(entry, current)
  }

  /** A later revision is in force. Its author has archived the one before, which is `entry` or the revision of another author. */
  private async _readArchivedOutcome (entry: IConfigEntry, current: IConfigEntry): Promise<WriteOutcome> {
    const kept = await this._records.readRevision(entry.kind, entry.name, entry.revision)
    const nonce = kept.isOk() ? kept.value?.nonce : undefined
    if (nonce === undefined) return OPEN
    return nonce === entry.nonce ? IN_FORCE : { type: 'lost', current }
  }

  private _pauseBeforeRetry (attempt: number): Promise<void> {
    const pauseMs = this._options.retryPauseMs * 2 ** (attempt - 1)
    return new Promise(resolve => { this._timers.after(pauseMs, resolve) })
  }
}

function toConflictError (entry: IConfigEntry, current: IConfigEntry): ConfigConflictError {
  return new ConfigConflictError(entry.kind, entry.name, entry.revision - 1, current)
}

function toAmbiguousError (key: string, cause: unknown): AmbiguousError {
  return new AmbiguousError('config.edit', key, 'the store did not confirm the change; it may be in force or not', { cause })
}
