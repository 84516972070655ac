/**
 * Changes of the configuration by operators. A change is accepted only when the store holds it for certain, and it
 * names the revision that its author saw, so that of two racing edits one wins and the other one is shown the winner.
 */

import { ResultAsync, err, ok } from 'neverthrow'
import { InvalidInputError } from '../../common/Errors.js'
import { checkConfigValue, isConfigName } from '../../common/config/ProfileSchema.js'
import { checkReferences } from '../../common/config/References.js'
import { ConfigConflictError } from './ConfigConflictError.js'
import { ConfigRecords } from './ConfigRecords.js'
import { EntryWriter } from './EntryWriter.js'

import type { Result } from 'neverthrow'
import type { ConfigValue } from '../../common/config/ProfileSchema.js'
import type { ConfigKind, IConfigEntry, IConfigReplica } from '../../common/config/Types.js'
import type { IClock, ITimers } from '../../common/Types.js'
import type { IKeyValueStore } from '../Types.js'
import type { RecordError } from './ConfigRecords.js'
import type { IWriterOptions } from './EntryWriter.js'

/**
 * `AmbiguousError`: the store couldn't be read back, so the change may be in force or not. All others: not changed.
 */
export type EditError = RecordError | ConfigConflictError

export interface IEditorOptions extends IWriterOptions {
  /** A string that never repeats; marks each change as its author's own. */
  readonly newNonce: () => string
  /** Earlier revisions kept of each thing. */
  readonly maxHistory: number
}

export const EDITOR_DEFAULTS: Omit<IEditorOptions, 'newNonce'> = { retryPauseMs: 100, maxAttempts: 5, maxHistory: 50 }

/** What is edited, by whom, on top of what. */
export interface IEditTarget {
  readonly kind: ConfigKind
  readonly name: string
  /** The revision that the operator saw; 0 for a thing that never existed. */
  readonly seenRevision: number
  readonly writer: string
}

type Outcome<T> = Promise<Result<T, EditError>>

export class ConfigEditor {
  private readonly _records: ConfigRecords
  private readonly _writer: EntryWriter

  public constructor (
    store: IKeyValueStore,
    private readonly _replica: IConfigReplica,
    private readonly _clock: IClock & ITimers,
    private readonly _options: IEditorOptions
  ) {
    this._records = new ConfigRecords(store, _options.maxHistory)
    this._writer = new EntryWriter(store, this._records, _clock, _options)
  }

  /** Puts a new revision and gives the accepted entry. */
  public put (target: IEditTarget, value: unknown): ResultAsync<IConfigEntry, EditError> {
    const checked = checkConfigValue(target.kind, target.name, value)
    return new ResultAsync(checked.isErr() ? Promise.resolve(err(checked.error)) : this._edit(target, checked.value))
  }

  /** Puts a revision that says that the thing is gone. */
  public delete (target: IEditTarget): ResultAsync<IConfigEntry, EditError> {
    return new ResultAsync(this._edit(target, undefined))
  }

  /** Puts a new revision with the value of an earlier one. */
  public rollback (target: IEditTarget, toRevision: number): ResultAsync<IConfigEntry, EditError> {
    return new ResultAsync(this._rollback(target, toRevision))
  }

  /** What the store holds now; absent for a thing that never existed. */
  public current (kind: ConfigKind, name: string): ResultAsync<IConfigEntry | undefined, EditError> {
    return new ResultAsync<{ readonly entry: IConfigEntry | undefined }, EditError>(this._records.current(kind, name))
      .map(stored => stored.entry)
  }

  /** The kept revisions, the current one included, oldest first. */
  public history (kind: ConfigKind, name: string): ResultAsync<readonly IConfigEntry[], EditError> {
    return new ResultAsync<readonly IConfigEntry[], EditError>(this._records.history(kind, name))
  }

  private async _rollback (target: IEditTarget, toRevision: number): Outcome<IConfigEntry> {
    const { kind, name } = target
    const earlier = await this._records.revision(kind, name, toRevision)
    if (earlier.isErr()) return err(earlier.error)
    if (earlier.value === undefined) {
      return err(new InvalidInputError('config.rollback', `${kind} ${name}`, 'revision', `${toRevision} is not in the history`))
    }
    return this._edit(target, earlier.value.value)
  }

  private async _edit (target: IEditTarget, value: ConfigValue | undefined): Outcome<IConfigEntry> {
    const { kind, name, seenRevision } = target
    if (!isConfigName(name)) return err(new InvalidInputError('config.edit', kind, 'name', `${JSON.stringify(name)} is malformed`))
    const stored = await this._records.current(kind, name)
    if (stored.isErr()) return err(stored.error)
    const { entry, modRevision } = stored.value
    if ((entry?.revision ?? 0) !== seenRevision) return err(new ConfigConflictError(kind, name, seenRevision, entry))
    if (value === undefined && (entry === undefined || entry.deleted)) {
      return err(new InvalidInputError('config.edit', kind, 'name', `there is no ${kind} ${name} to delete`))
    }
    const referred = checkReferences(this._replica, kind, name, value)
    if (referred.isErr()) return err(referred.error)
    return this._replace(entry, modRevision, this._newEntry(target, value))
  }

  private async _replace (old: IConfigEntry | undefined, modRevision: number, entry: IConfigEntry): Outcome<IConfigEntry> {
    if (old !== undefined) {
      const archived = await this._records.archive(old)
      if (archived.isErr()) return err(archived.error)
    }
    const written = await this._writer.write(entry, modRevision)
    if (written.isErr()) return err(written.error)
    this._records.prune(entry.kind, entry.name, entry.revision)
    return ok(entry)
  }

  private _newEntry (target: IEditTarget, value: ConfigValue | undefined): IConfigEntry {
    return {
      kind: target.kind,
      name: target.name,
      revision: target.seenRevision + 1,
      deleted: value === undefined,
      ...(value === undefined ? {} : { value }),
      writer: target.writer,
      nonce: this._options.newNonce(),
      changedAt: this._clock.wallMs()
    }
  }
}
