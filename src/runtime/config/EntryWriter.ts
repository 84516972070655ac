/**
 * Replaces one entry in the store and finds out for certain whether that took effect.
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
  /** The pause before the first repetition after a lost answer, in milliseconds; doubles each time. */
  readonly retryPauseMs: number
  readonly maxAttempts: number
}

type Verdict =
  | { readonly type: 'inForce' }
  | { readonly type: 'lost', readonly current: IConfigEntry }
  /** Not seen in the store, but the write may still be on its way. */
  | { readonly type: 'open' }

const OPEN: Verdict = { type: 'open' }
const IN_FORCE: Verdict = { type: 'inForce' }

export class EntryWriter {
  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _records: ConfigRecords,
    private readonly _timers: ITimers,
    private readonly _options: IWriterOptions
  ) {}

  /**
   * Writes `entry` in place of the record with `modRevision`.
   *
   * The store's answer may be lost after the change took effect. Whoever reports a failure then is contradicted by
   * every process a moment later; whoever reports success may be wrong, because the write may not have arrived or
   * may arrive later. So it reads back, looks for its own nonce, and repeats the same compare-and-swap, which takes
   * effect at most once. Only when the store stays out of reach is the answer `AmbiguousError`.
   */
  public async write (entry: IConfigEntry, modRevision: number): Promise<Result<IConfigEntry, StoreError | ConfigConflictError>> {
    const key = configKey(entry.kind, entry.name)
    const text = encodeEntry(entry)
    for (let attempt = 1; ; attempt++) {
      const swap = await this._store.compareAndSwap(key, modRevision, text)
      if (swap.isOk()) return ok(entry)
      const isDefinite = attempt === 1 && !(swap.error instanceof AmbiguousError)
      if (isDefinite && !(swap.error instanceof ConflictError)) return err(swap.error)
      const verdict = await this._verdict(entry)
      if (verdict.type === 'inForce') return ok(entry)
      if (verdict.type === 'lost') return err(conflict(entry, verdict.current))
      if (isDefinite) return err(swap.error)
      if (attempt === this._options.maxAttempts) return err(ambiguous(key, swap.error))
      await this._pause(attempt)
    }
  }

  private async _verdict (entry: IConfigEntry): Promise<Verdict> {
    const stored = await this._records.current(entry.kind, entry.name)
    if (stored.isErr()) return OPEN
    const current = stored.value.entry
    if (current?.nonce === entry.nonce) return IN_FORCE
    if (current === undefined || current.revision < entry.revision) return OPEN
    if (current.revision === entry.revision) return { type: 'lost', current }
    return this._supersededVerdict(entry, current)
  }

  /** A later revision is in force: its author has kept the one before, which is ours or that of another author. */
  private async _supersededVerdict (entry: IConfigEntry, current: IConfigEntry): Promise<Verdict> {
    const kept = await this._records.revision(entry.kind, entry.name, entry.revision)
    const nonce = kept.isOk() ? kept.value?.nonce : undefined
    if (nonce === undefined) return OPEN
    return nonce === entry.nonce ? IN_FORCE : { type: 'lost', current }
  }

  private _pause (attempt: number): Promise<void> {
    const pauseMs = this._options.retryPauseMs * 2 ** (attempt - 1)
    return new Promise(resolve => { this._timers.after(pauseMs, resolve) })
  }
}

function conflict (entry: IConfigEntry, current: IConfigEntry): ConfigConflictError {
  return new ConfigConflictError(entry.kind, entry.name, entry.revision - 1, current)
}

function ambiguous (key: string, cause: unknown): AmbiguousError {
  return new AmbiguousError('config.edit', key, 'the store did not confirm the change; it may be in force or not', { cause })
}
