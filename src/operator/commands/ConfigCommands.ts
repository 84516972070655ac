/**
 * The commands that list, show and edit profiles, services and teams.
 */

import { err, ok } from 'neverthrow'
import { CommandError } from '../CommandError.js'
import { describeChange, compareFields } from '../Difference.js'
import { EXIT } from '../ExitCodes.js'
import { OperatorClient } from '../OperatorClient.js'
import { OperatorRefusal } from '../OperatorRefusal.js'
import { tableLines } from '../Table.js'
import { applyChanges, parseEdit } from './EditInput.js'

import type { Result } from 'neverthrow'
import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'
import type { Row } from '../Table.js'
import type { CommandResult, ICommandContext } from '../Types.js'
import type { IEditInput } from './EditInput.js'

/** The command line options of an edit. */
export interface IEditOptions {
  readonly file?: string | undefined
  /** The name of another entry of the same kind, which is copied. */
  readonly like?: string | undefined
  /** `field=value` pairs that change the current version, or the copy. */
  readonly set?: readonly string[] | undefined
  readonly revision?: number | undefined
}

interface IEntryReply {
  readonly entry: IConfigEntry
  readonly source?: 'store' | 'replica'
}

interface IEntriesReply {
  readonly entries: readonly IConfigEntry[]
}

export class ConfigCommands {
  private readonly _client: OperatorClient

  public constructor (private readonly _context: ICommandContext, private readonly _kind: ConfigKind) {
    this._client = new OperatorClient(_context)
  }

  public async list (): CommandResult {
    const reply = await this._client.get<IEntriesReply>(`/v1/config/${this._kind}`)
    return reply.map(({ entries }) => this._show({ entries }, entries.map(entry => ({ revision: entry.revision, ...entry.value }))))
  }

  public async get (name: string): CommandResult {
    const reply = await this._client.get<IEntryReply>(this._pathOf(name))
    return reply.map(each => this._showEntry(each))
  }

  /** Shows which revision each process uses. */
  public async getEverywhere (name: string): CommandResult {
    const reply = await this._client.get<{ readonly places: readonly Row[] }>(`${this._pathOf(name)}/everywhere`)
    return reply.map(({ places }) => this._show({ places }, places))
  }

  public async history (name: string): CommandResult {
    const reply = await this._client.get<IEntriesReply>(`${this._pathOf(name)}/history`)
    return reply.map(({ entries }) => this._show({ entries }, entries.map((entry, index) => ({
      revision: entry.revision,
      changedAt: new Date(entry.changedAt).toISOString(),
      writer: entry.writer,
      change: describeChange(entries[index - 1], entry)
    }))))
  }

  public async diff (name: string, fromRevision: number, toRevision: number | undefined): CommandResult {
    const reply = await this._client.get<IEntriesReply>(`${this._pathOf(name)}/history`)
    if (reply.isErr()) return err(reply.error)
    const { entries } = reply.value
    const from = entries.find(entry => entry.revision === fromRevision)
    const to = toRevision === undefined ? entries.at(-1) : entries.find(entry => entry.revision === toRevision)
    if (from === undefined || to === undefined) {
      const revisions = entries.map(entry => entry.revision).join(', ')
      return err(this._createError(name, EXIT.notFound, `the history has the revisions ${revisions}; name two of these`))
    }
    const changes = compareFields(from.value, to.value)
    this._show({ from, to, changes }, changes.map(({ field, left, right }) => ({
      field, [`revision ${from.revision}`]: left, [`revision ${to.revision}`]: right
    })))
    return ok(undefined)
  }

  public async put (name: string, options: IEditOptions): CommandResult {
    const input = await this._readEdit(name, options)
    if (input.isErr()) return err(input.error)
    const { value, revision } = input.value
    return await this._sendEdit(name, 'PUT', this._pathOf(name), revision, value, value)
  }

  public async delete (name: string, revision: number): CommandResult {
    return await this._sendEdit(name, 'DELETE', this._pathOf(name), revision, undefined, undefined)
  }

  public async rollback (name: string, toRevision: number, revision: number): CommandResult {
    return await this._sendEdit(name, 'POST', `${this._pathOf(name)}/rollback`, revision, { toRevision }, undefined)
  }

  /** Returns the complete value from a file, or the current version or a copy of another entry with some fields changed. */
  private async _readEdit (name: string, { file, like, set = [], revision }: IEditOptions): Promise<Result<IEditInput, CommandError>> {
    const isChange = like !== undefined || set.length > 0
    if (file !== undefined && !isChange) return parseEdit(file, await this._context.console.readInput(file), revision)
    if (file !== undefined || !isChange) {
      return err(this._createError(name, EXIT.usage, 'give the new version either by --file FILE or by --set field=value and --like NAME'))
    }
    const reply = await this._client.get<IEntryReply>(this._pathOf(like ?? name))
    if (like === undefined) return reply.andThen(({ entry }) => applyChanges(entry, set, revision))
    return reply.andThen(({ entry }) => applyChanges(entry, [`name=${name}`, ...set], revision ?? 0))
  }

  private async _sendEdit (
    name: string, method: 'PUT' | 'DELETE' | 'POST', path: string, revision: number, body: unknown, ownValue: unknown
  ): CommandResult {
    const reply = await this._client.call<IEntryReply>({ method, path, ifMatch: revision, ...(body === undefined ? {} : { body }) })
    if (reply.isErr()) return err(this._describeConflict(name, reply.error, revision, ownValue))
    const { entry } = reply.value
    if (this._context.json) this._context.console.print(JSON.stringify(entry))
    else this._context.console.print(`accepted: ${this._kind} ${name} is at revision ${entry.revision}`)
    return ok(undefined)
  }

  /** Adds both versions to the error of an edit conflict, so that the operator can decide without a further command. */
  private _describeConflict (name: string, error: CommandError, revision: number, ownValue: unknown): CommandError {
    if (!(error instanceof OperatorRefusal) || error.exitCode !== EXIT.conflict) return error
    const current = error.refusal.current as IConfigEntry | undefined
    const currentLabel = current?.deleted === true ? '(deleted)' : `revision ${current?.revision ?? 0} by ${current?.writer ?? 'nobody'}`
    const rows = compareFields(ownValue as object | undefined, current?.value)
      .map(({ field, left, right }) => ({ field, [`yours, on revision ${revision}`]: left, [currentLabel]: right }))
    const advice = `${this._kind} ${name} is at ${currentLabel}, you edited revision ${revision}: nothing was changed; compare both versions and edit again`
    return this._createError(name, EXIT.conflict, advice, tableLines(rows))
  }

  private _pathOf (name: string): string {
    return `/v1/config/${this._kind}/${encodeURIComponent(name)}`
  }

  private _showEntry ({ entry, source }: IEntryReply): void {
    if (source === 'replica') this._context.console.warn('the store is out of reach: this is the version that the queried process uses')
    this._show(entry, fieldRows(entry))
  }

  private _show (value: unknown, rows: readonly Row[]): void {
    const lines = this._context.json ? [JSON.stringify(value)] : tableLines(rows)
    for (const line of lines) this._context.console.print(line)
  }

  private _createError (name: string, code: CommandError['exitCode'], advice: string, details: readonly string[] = []): CommandError {
    return new CommandError('config', `${this._kind} ${name}`, code, advice, details)
  }
}

function fieldRows (entry: IConfigEntry): readonly Row[] {
  const metadata = { revision: entry.revision, deleted: entry.deleted, writer: entry.writer, changedAt: new Date(entry.changedAt).toISOString() }
  return Object.entries({ ...entry.value, ...metadata }).map(([field, value]) => ({ field, value: String(value) }))
}
