/**
 * Listing, reading and editing profiles, services and teams.
 */

import { err, ok } from 'neverthrow'
import { CommandError } from '../CommandError.js'
import { describeChange, differences } from '../Difference.js'
import { EXIT } from '../ExitCodes.js'
import { OperatorClient } from '../OperatorClient.js'
import { OperatorRefusal } from '../OperatorRefusal.js'
import { tableLines } from '../Table.js'
import { editedValue, parseEdit } from './EditInput.js'

import type { Result } from 'neverthrow'
import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'
import type { Row } from '../Table.js'
import type { CommandResult, ICommandContext } from '../Types.js'
import type { IEditInput } from './EditInput.js'

/** What an edit says on the command line. */
export interface IEditOptions {
  readonly file?: string | undefined
  /** Another one of the same kind to start from. */
  readonly like?: string | undefined
  /** `field=value` pairs that change the version that is started from. */
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
    const reply = await this._client.get<IEntryReply>(this._path(name))
    return reply.map(each => this._showEntry(each))
  }

  /** Which process decides by which revision. */
  public async getEverywhere (name: string): CommandResult {
    const reply = await this._client.get<{ readonly places: readonly Row[] }>(`${this._path(name)}/everywhere`)
    return reply.map(({ places }) => this._show({ places }, places))
  }

  public async history (name: string): CommandResult {
    const reply = await this._client.get<IEntriesReply>(`${this._path(name)}/history`)
    return reply.map(({ entries }) => this._show({ entries }, entries.map((entry, index) => ({
      revision: entry.revision,
      changedAt: new Date(entry.changedAt).toISOString(),
      writer: entry.writer,
      change: describeChange(entries[index - 1], entry)
    }))))
  }

  public async diff (name: string, fromRevision: number, toRevision: number | undefined): CommandResult {
    const reply = await this._client.get<IEntriesReply>(`${this._path(name)}/history`)
    if (reply.isErr()) return err(reply.error)
    const { entries } = reply.value
    const from = entries.find(entry => entry.revision === fromRevision)
    const to = toRevision === undefined ? entries.at(-1) : entries.find(entry => entry.revision === toRevision)
    if (from === undefined || to === undefined) {
      const kept = entries.map(entry => entry.revision).join(', ')
      return err(this._error(name, EXIT.notFound, `the history has the revisions ${kept}; name two of these`))
    }
    const changes = differences(from.value, to.value)
    this._show({ from, to, changes }, changes.map(({ field, left, right }) => ({
      field, [`revision ${from.revision}`]: left, [`revision ${to.revision}`]: right
    })))
    return ok(undefined)
  }

  public async put (name: string, options: IEditOptions): CommandResult {
    const input = await this._editInput(name, options)
    if (input.isErr()) return err(input.error)
    const { value, revision } = input.value
    return await this._edit(name, 'PUT', this._path(name), revision, value, value)
  }

  public async delete (name: string, revision: number): CommandResult {
    return await this._edit(name, 'DELETE', this._path(name), revision, undefined, undefined)
  }

  public async rollback (name: string, toRevision: number, revision: number): CommandResult {
    return await this._edit(name, 'POST', `${this._path(name)}/rollback`, revision, { toRevision }, undefined)
  }

  /** A whole value from a file, or the current one or another one with some fields changed. */
  private async _editInput (name: string, { file, like, set = [], revision }: IEditOptions): Promise<Result<IEditInput, CommandError>> {
    const isChange = like !== undefined || set.length > 0
    if (file !== undefined && !isChange) return parseEdit(file, await this._context.console.readInput(file), revision)
    if (file !== undefined || !isChange) {
      return err(this._error(name, EXIT.usage, 'give the new version by --file FILE, or by --set field=value and --like NAME'))
    }
    const reply = await this._client.get<IEntryReply>(this._path(like ?? name))
    if (like === undefined) return reply.andThen(({ entry }) => editedValue(entry, set, revision))
    return reply.andThen(({ entry }) => editedValue(entry, [`name=${name}`, ...set], revision ?? 0))
  }

  private async _edit (
    name: string, method: 'PUT' | 'DELETE' | 'POST', path: string, revision: number, body: unknown, mine: unknown
  ): CommandResult {
    const reply = await this._client.call<IEntryReply>({ method, path, ifMatch: revision, ...(body === undefined ? {} : { body }) })
    if (reply.isErr()) return err(this._explain(name, reply.error, revision, mine))
    const { entry } = reply.value
    if (this._context.json) this._context.console.print(JSON.stringify(entry))
    else this._context.console.print(`accepted: ${this._kind} ${name} is at revision ${entry.revision}`)
    return ok(undefined)
  }

  /** A lost race shows both versions, so that the operator can decide without a further command. */
  private _explain (name: string, error: CommandError, revision: number, mine: unknown): CommandError {
    if (!(error instanceof OperatorRefusal) || error.exitCode !== EXIT.conflict) return error
    const current = error.refusal.current as IConfigEntry | undefined
    const theirs = current?.deleted === true ? '(deleted)' : `revision ${current?.revision ?? 0} by ${current?.writer ?? 'nobody'}`
    const rows = differences(mine as object | undefined, current?.value)
      .map(({ field, left, right }) => ({ field, [`yours, on revision ${revision}`]: left, [theirs]: right }))
    const advice = `${this._kind} ${name} is at ${theirs}, you edited revision ${revision}: nothing was changed; look at both versions and edit again`
    return this._error(name, EXIT.conflict, advice, tableLines(rows))
  }

  private _path (name: string): string {
    return `/v1/config/${this._kind}/${encodeURIComponent(name)}`
  }

  private _showEntry ({ entry, source }: IEntryReply): void {
    if (source === 'replica') this._context.console.warn('the store is out of reach: this is what the asked process decides by')
    this._show(entry, fieldRows(entry))
  }

  private _show (value: unknown, rows: readonly Row[]): void {
    const lines = this._context.json ? [JSON.stringify(value)] : tableLines(rows)
    for (const line of lines) this._context.console.print(line)
  }

  private _error (name: string, code: CommandError['exitCode'], advice: string, details: readonly string[] = []): CommandError {
    return new CommandError('config', `${this._kind} ${name}`, code, advice, details)
  }
}

function fieldRows (entry: IConfigEntry): readonly Row[] {
  const facts = { revision: entry.revision, deleted: entry.deleted, writer: entry.writer, changedAt: new Date(entry.changedAt).toISOString() }
  return Object.entries({ ...entry.value, ...facts }).map(([field, value]) => ({ field, value: String(value) }))
}
