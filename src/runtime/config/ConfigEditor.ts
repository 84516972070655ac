/**
 * Edits the configuration for operators. A change is accepted only when it is in the store for certain. Each change names the
 * revision that its author saw: of two concurrent edits one is accepted, and the other one fails with the accepted entry.
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
 * `AmbiguousError`: the entry couldn't be read back, so the change may be in force or not. All other errors: nothing was changed.
 */
export type EditError = RecordError | ConfigConflictError

export interface IEditorOptions extends IWriterOptions {
  /** Returns a unique string, by which an author recognizes its own change. */
  readonly newNonce: () => string
  /** The number of earlier revisions kept of each item. */
  readonly maxHistory: number
}

export const EDITOR_DEFAULTS: Omit<IEditorOptions, 'newNonce'> = { retryPauseMs: 100, maxAttempts: 5, maxHistory: 50 }

/** The item to edit, the revision that the edit is based on, and the author. */
export interface IEditTarget {
  readonly kind: ConfigKind
  readonly name: string
  /** The revision that the operator saw; 0 for an item that never existed. */
  readonly seenRevision: number
  readonly writer: string
}

type EditResult<T> = Promise<Result<T, EditError>>

export class ConfigEditor {
  private readonly _configRecords: ConfigRecords
  private readonly _entryWriter: EntryWriter

  public constructor (
    store: IKeyValueStore,
    private readonly _replica: IConfigReplica,
    private readonly _clock: IClock & ITimers,
    private readonly _options: IEditorOptions
  ) {
    this._configRecords = new ConfigRecords(store, _options.maxHistory)
    this._entryWriter = new EntryWriter(store, this._configRecords, _clock, _options)
  }

  /** Writes a new revision and returns the accepted entry. */
  public put (target: IEditTarget, value: unknown): ResultAsync<IConfigEntry, EditError> {
    const checked = checkConfigValue(target.kind, target.name, value)
    return new ResultAsync(checked.isErr() ? Promise.resolve(err(checked.error)) : this._edit(target, checked.value))
  }

  /** Writes a new revision that marks the item as deleted. */
  public delete (target: IEditTarget): ResultAsync<IConfigEntry, EditError> {
    return new ResultAsync(this._edit(target, undefined))
  }

  /** Writes a new revision with the value of an earlier one. */
  public rollback (target: IEditTarget, toRevision: number): ResultAsync<IConfigEntry, EditError> {
    return new ResultAsync(this._rollback(target, toRevision))
  }

  /** Reads the current entry from the store; absent for an item that never existed. */
  public readCurrent (kind: ConfigKind, name: string): ResultAsync<IConfigEntry | undefined, EditError> {
    return new ResultAsync<{ readonly entry: IConfigEntry | undefined }, EditError>(this._configRecords.readCurrent(kind, name))
      .map(stored => stored.entry)
  }

  /** Reads the kept revisions, including the current one, oldest first. */
  public readHistory (kind: ConfigKind, name: string): ResultAsync<readonly IConfigEntry[], EditError> {
    return new ResultAsync<readonly IConfigEntry[], EditError>(this._configRecords.readHistory(kind, name))
  }

  private async _rollback (target: IEditTarget, toRevision: number): EditResult<IConfigEntry> {
    const { kind, name } = target
    const earlier = await this._configRecords.readRevision(kind, name, toRevision)
    if (earlier.isErr()) return err(earlier.error)
    if (earlier.value === undefined) {
      return err(new InvalidInputError('config.rollback', `${kind} ${name}`, 'revision', `${toRevision} is not in the history`))
    }
    return this._edit(target, earlier.value.value)
  }

  private async _edit (target: IEditTarget, value: ConfigValue | undefined): EditResult<IConfigEntry> {
    const { kind, name, seenRevision } = target
    if (!isConfigName(name)) return err(new InvalidInputError('config.edit', kind, 'name', `${JSON.stringify(name)} is malformed`))
    const stored = await this._configRecords.readCurrent(kind, name)
    if (stored.isErr()) return err(stored.error)
    const { entry, modRevision } = stored.value
    if ((entry?.revision ?? 0) !== seenRevision) return err(new ConfigConflictError(kind, name, seenRevision, entry))
    if (value === undefined && (entry === undefined || entry.deleted)) {
      return err(new InvalidInputError('config.edit', kind, 'name', `there is no ${kind} ${name} to delete`))
    }
    const references = checkReferences(this._replica, kind, name, value)
    if (references.isErr()) return err(references.error)
    return this._replace(entry, modRevision, this._createEntry(target, value))
  }

  private async _replace (old: IConfigEntry | undefined, modRevision: number, entry: IConfigEntry): EditResult<IConfigEntry> {
    if (old !== undefined) {
      const archived = await this._configRecords.archive(old)
      if (archived.isErr()) return err(archived.error)
    }
    const written = await this._entryWriter.write(entry, modRevision)
    if (written.isErr()) return err(written.error)
    this._configRecords.prune(entry.kind, entry.name, entry.revision)
    return ok(entry)
  }

  private _createEntry (target: IEditTarget, value: ConfigValue | undefined): IConfigEntry {
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
