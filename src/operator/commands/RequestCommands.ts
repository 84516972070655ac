/**
 * The commands that act as a caller of a gateway: send a request, submit a job, show its state, cancel it.
 */

import { randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { CommandError } from '../CommandError.js'
import { EXIT } from '../ExitCodes.js'
import { callHttp } from '../HttpCall.js'
import { tableLines } from '../Table.js'

import type { ExitCode } from '../ExitCodes.js'
import type { IHttpResponse, IHttpCall } from '../HttpCall.js'
import type { Row } from '../Table.js'
import type { CommandResult, ICommandContext } from '../Types.js'

export interface IRequestOptions {
  readonly caller: string
  readonly requestId?: string | undefined
  readonly idempotent?: boolean | undefined
  readonly deadlineMs?: number | undefined
  readonly file?: string | undefined
  readonly contentType: string
}

/** How long the command waits beyond the deadline, in ms: the gateway's response to a missed deadline says more than a timeout here. */
const TIMEOUT_MARGIN_MS = 5000
const DEFAULT_DEADLINE_MS = 60_000
const EMPTY_BODY = new Uint8Array(0)

const EXIT_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
  done: EXIT.done, refused: EXIT.refused, notRun: EXIT.refused, unknown: EXIT.unknown
}

export class RequestCommands {
  public constructor (private readonly _context: ICommandContext) {}

  /** Prints the response body unchanged and the outcome on standard error; with `--json`, prints the outcome and the body as JSON. */
  public async submit (service: string, options: IRequestOptions): CommandResult {
    const requestId = options.requestId ?? randomUUID()
    const body = options.file === undefined ? EMPTY_BODY : await this._context.console.readInput(options.file)
    const response = await this._call('POST', `/v1/requests/${encodeURIComponent(service)}`, {
      'x-jackdawreel-caller': options.caller,
      'x-jackdawreel-request-id': requestId,
      'content-type': options.contentType,
      ...(options.idempotent === undefined ? {} : { 'x-jackdawreel-idempotent': String(options.idempotent) }),
      ...(options.deadlineMs === undefined ? {} : { 'x-jackdawreel-deadline-ms': String(options.deadlineMs) })
    }, body, (options.deadlineMs ?? DEFAULT_DEADLINE_MS) + TIMEOUT_MARGIN_MS)
    if (response.isErr()) return err(response.error)
    return this._reportOutcome(requestId, response.value)
  }

  public async submitJob (file: string): CommandResult {
    const body = await this._context.console.readInput(file)
    return await this._callJobs('POST', '/v1/jobs', body)
  }

  public async status (jobId: string): CommandResult {
    return await this._callJobs('GET', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  public async cancel (jobId: string): CommandResult {
    return await this._callJobs('DELETE', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  private _reportOutcome (requestId: string, response: IHttpResponse): Awaited<CommandResult> {
    const outcome = String(response.headers['x-jackdawreel-outcome'] ?? 'unknown')
    const outcomeHeaders = Object.fromEntries(Object.entries(response.headers).filter(([name]) => name.startsWith('x-jackdawreel-')))
    const { console, json } = this._context
    if (json) console.print(JSON.stringify({ requestId, status: response.status, ...outcomeHeaders, body: bodyTextOf(response) }))
    else if (outcome === 'done') console.printBytes(response.body)
    if (outcome === 'done') {
      console.warn(`done by ${String(response.headers['x-jackdawreel-upstream'] ?? '?')} with status ${response.status}, request id ${requestId}`)
      return ok(undefined)
    }
    return err(this._createError(outcome, response))
  }

  private async _callJobs (method: IHttpCall['method'], path: string, body?: Uint8Array): CommandResult {
    const headers: Record<string, string> = body === undefined ? {} : { 'content-type': 'application/json' }
    const response = await this._call(method, path, headers, body, DEFAULT_DEADLINE_MS)
    if (response.isErr()) return err(response.error)
    if (response.value.status >= 300) return err(this._createError(String(response.value.headers['x-jackdawreel-outcome'] ?? 'unknown'), response.value))
    const state = JSON.parse(bodyTextOf(response.value)) as Row & { readonly tasks?: readonly Row[] }
    this._showJob(state)
    return ok(undefined)
  }

  private _showJob (state: Row & { readonly tasks?: readonly Row[] }): void {
    const { tasks, ...job } = state
    const lines = this._context.json ? [JSON.stringify(state)] : [...tableLines([job]), ...(tasks === undefined ? [] : ['', ...tableLines(tasks)])]
    for (const line of lines) this._context.console.print(line)
  }

  private _createError (outcome: string, response: IHttpResponse): CommandError {
    const retryAfterMs = response.headers['x-jackdawreel-retry-after-ms']
    const advice = retryAfterMs === undefined ? '' : `; retry after ${String(retryAfterMs)} ms`
    const code = response.status === 404 ? EXIT.notFound : response.status === 400 ? EXIT.usage : EXIT_BY_OUTCOME[outcome] ?? EXIT.internal
    return new CommandError('request', this._context.gatewayUrl, code, `${outcome}: ${failureDetailOf(response)}${advice}`)
  }

  private async _call (method: IHttpCall['method'], path: string, headers: Record<string, string>, body: Uint8Array | undefined, timeoutMs: number) {
    const url = this._context.gatewayUrl.replace(/\/$/, '') + path
    return await callHttp({ method, url, headers, timeoutMs, ...(body === undefined ? {} : { body }) })
  }
}

function bodyTextOf (response: IHttpResponse): string {
  return Buffer.from(response.body).toString('utf8')
}

/** The fields of a response body whose outcome is not `done`; each may be missing. */
interface IFailureBody {
  readonly detail?: string
  readonly reason?: string
  readonly upstream?: string
}

function failureDetailOf (response: IHttpResponse): string {
  try {
    const { detail, reason, upstream } = JSON.parse(bodyTextOf(response)) as IFailureBody
    const cause = detail ?? reason ?? `status ${response.status}`
    return upstream === undefined ? cause : `${cause} at ${upstream}`
  } catch {
    return `status ${response.status}`
  }
}
