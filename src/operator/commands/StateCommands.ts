/**
 * The commands that show hosts, jobs, shards, members, outcomes, metrics and state dumps of processes, and the command `drain`.
 */

import { err, ok } from 'neverthrow'
import { OperatorClient } from '../OperatorClient.js'
import { tableLines } from '../Table.js'
import { histogramLines, mergeBuckets, percentileMs } from '../WaitHistogram.js'

import type { Result } from 'neverthrow'
import type { IOutcomeRow } from '../../common/observability/Types.js'
import type { CommandError } from '../CommandError.js'
import type { Row } from '../Table.js'
import type { CommandResult, ICommandContext } from '../Types.js'

/** Names of lists; the route and the field of the response have the same name. */
export type ListName = 'hosts' | 'jobs' | 'shards' | 'members'

interface IMemberRow extends Row {
  readonly processId: string
  readonly operatorUrl: string
}

interface IMetricsReply {
  readonly process: Row
  /** Latency summaries by the kind of latency, then by name. */
  readonly times: Readonly<Record<string, Readonly<Record<string, Row>>>>
}

export interface IOutcomeOptions {
  readonly service?: string | undefined
  readonly caller?: string | undefined
  readonly everywhere: boolean
  readonly histogram: boolean
}

export class StateCommands {
  private readonly _client: OperatorClient

  public constructor (private readonly _context: ICommandContext) {
    this._client = new OperatorClient(_context)
  }

  /** Shows a list of the queried process, or of all processes that have such a list. */
  public async list (name: ListName, everywhere: boolean): CommandResult {
    const replies = await this._fetch<Record<string, readonly Row[]>>(`/v1/${name}`, everywhere)
    const rows = replies.map(all => all.flatMap(reply => reply[name] ?? []))
    return rows.map(all => this._show({ [name]: all }, tableLines(all)))
  }

  public async outcomes ({ service, caller, everywhere, histogram }: IOutcomeOptions): CommandResult {
    const query = service === undefined ? '' : `?service=${encodeURIComponent(service)}`
    const replies = await this._fetch<{ readonly rows: readonly IOutcomeRow[] }>(`/v1/outcomes${query}`, everywhere)
    const rows = replies.map(all => mergeOutcomes(all.flatMap(reply => reply.rows)))
    const chosen = rows.map(all => all.filter(row => caller === undefined || row.caller === caller))
    return chosen.map(all =>
      this._show({ rows: all }, [...tableLines(all.map(outcomeTableRow)), ...(histogram ? all.flatMap(waitHistogramLines) : [])]))
  }

  public async metrics (): CommandResult {
    const reply = await this._client.get<IMetricsReply>('/v1/metrics')
    return reply.map(metrics => this._show(metrics, metricLines(metrics)))
  }

  /** Always prints JSON, because the sections have different structures. */
  public async dump (section: string | undefined): CommandResult {
    const query = section === undefined ? '' : `?section=${encodeURIComponent(section)}`
    const reply = await this._client.get<object>(`/v1/dump${query}`)
    return reply.map(state => this._context.console.print(JSON.stringify(state, undefined, this._context.json ? 0 : 2)))
  }

  /** Drains a host, or the queried process if no host is given. */
  public async drain (hostId: string | undefined): CommandResult {
    const reply = await this._client.call<object>({ method: 'POST', path: '/v1/drain', body: hostId === undefined ? {} : { hostId } })
    const target = hostId === undefined ? this._context.operatorUrl : `host ${hostId}`
    return reply.map(state => this._show(state, [`${target} accepts no new work; running work is finished`]))
  }

  private async _fetch<T> (path: string, everywhere: boolean): Promise<Result<readonly T[], CommandError>> {
    if (!everywhere) return (await this._client.get<T>(path)).map(reply => [reply])
    const members = await this._client.get<{ readonly members: readonly IMemberRow[] }>('/v1/members')
    if (members.isErr()) return err(members.error)
    const replies = await Promise.all(members.value.members.map(async member => await this._fetchFromMember<T>(member, path)))
    return ok(replies.flat())
  }

  /** Returns no reply if the process doesn't have this list or doesn't answer; the latter is reported as a warning. */
  private async _fetchFromMember<T> ({ processId, operatorUrl }: IMemberRow, path: string): Promise<readonly T[]> {
    const reply = await this._client.forProcess(operatorUrl).get<T>(path)
    if (reply.isOk()) return [reply.value]
    if (!reply.error.advice.startsWith('this process has no')) this._context.console.warn(`${processId} is left out: ${reply.error.advice}`)
    return []
  }

  private _show (value: unknown, lines: readonly string[]): void {
    if (this._context.json) this._context.console.print(JSON.stringify(value))
    else for (const line of lines) this._context.console.print(line)
  }
}

/** Adds up the outcomes that several processes counted for the same service and caller. */
export function mergeOutcomes (rows: readonly IOutcomeRow[]): readonly IOutcomeRow[] {
  const merged = new Map<string, IOutcomeRow>()
  for (const row of rows) {
    const key = `${row.service}\n${row.caller}`
    const existing = merged.get(key)
    merged.set(key, existing === undefined ? row : addOutcomes(existing, row))
  }
  return [...merged.values()].sort((a, b) => a.service.localeCompare(b.service) || a.caller.localeCompare(b.caller))
}

function addOutcomes (a: IOutcomeRow, b: IOutcomeRow): IOutcomeRow {
  return {
    service: a.service,
    caller: a.caller,
    completed: a.completed + b.completed,
    late: a.late + b.late,
    refused: a.refused + b.refused,
    notRun: a.notRun + b.notRun,
    unknown: a.unknown + b.unknown,
    waitBuckets: mergeBuckets([a.waitBuckets, b.waitBuckets])
  }
}

function outcomeTableRow ({ waitBuckets, ...counts }: IOutcomeRow): Row {
  return {
    ...counts,
    waitP50Ms: percentileMs(waitBuckets, 0.5),
    waitP99Ms: percentileMs(waitBuckets, 0.99),
    waitMaxMs: waitBuckets.at(-1)?.upToMs
  }
}

function metricLines ({ process, times }: IMetricsReply): readonly string[] {
  const metrics = Object.entries(process).map(([metric, value]) => ({ metric, value }))
  const summaries = Object.entries(times).flatMap(([of, table]) => Object.entries(table).map(([name, summary]) => ({ of, name, ...summary })))
  return [...tableLines(metrics), '', ...tableLines(summaries)]
}

function waitHistogramLines ({ service, caller, waitBuckets }: IOutcomeRow): readonly string[] {
  return ['', `waiting time of ${service} for ${caller}:`, ...histogramLines(waitBuckets)]
}
