/**
 * The callers' side: sending a request or a job to a gateway, asking for a job's state, cancelling it.
 */

import { randomUUID } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { CommandError } from '../CommandError.js'
import { EXIT } from '../ExitCodes.js'
import { callHttp } from '../HttpCall.js'
import { tableLines } from '../Table.js'

import type { ExitCode } from '../ExitCodes.js'
import type { IHttpAnswer, IHttpCall } from '../HttpCall.js'
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

/** Beyond the deadline, because the gateway's own answer says more than a timeout here. */
const GRACE_MS = 5000
const DEFAULT_DEADLINE_MS = 60_000
const EMPTY = new Uint8Array(0)

const EXIT_BY_OUTCOME: Readonly<Record<string, ExitCode>> = {
  done: EXIT.done, refused: EXIT.refused, notRun: EXIT.refused, unknown: EXIT.unknown
}

export class RequestCommands {
  public constructor (private readonly _context: ICommandContext) {}

  /** Prints the answer's body as it is; its outcome goes to standard error, or with `--json` replaces the body. */
  public async submit (service: string, options: IRequestOptions): CommandResult {
    const requestId = options.requestId ?? randomUUID()
    const body = options.file === undefined ? EMPTY : await this._context.console.readInput(options.file)
    const answer = await this._call('POST', `/v1/requests/${encodeURIComponent(service)}`, {
      'x-jackdawreel-caller': options.caller,
      'x-jackdawreel-request-id': requestId,
      'content-type': options.contentType,
      ...(options.idempotent === undefined ? {} : { 'x-jackdawreel-idempotent': String(options.idempotent) }),
      ...(options.deadlineMs === undefined ? {} : { 'x-jackdawreel-deadline-ms': String(options.deadlineMs) })
    }, body, (options.deadlineMs ?? DEFAULT_DEADLINE_MS) + GRACE_MS)
    if (answer.isErr()) return err(answer.error)
    return this._report(requestId, answer.value)
  }

  public async submitJob (file: string): CommandResult {
    const body = await this._context.console.readInput(file)
    return await this._job('POST', '/v1/jobs', body)
  }

  public async status (jobId: string): CommandResult {
    return await this._job('GET', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  public async cancel (jobId: string): CommandResult {
    return await this._job('DELETE', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  private _report (requestId: string, answer: IHttpAnswer): Awaited<CommandResult> {
    const outcome = String(answer.headers['x-jackdawreel-outcome'] ?? 'unknown')
    const facts = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => name.startsWith('x-jackdawreel-')))
    const { console, json } = this._context
    if (json) console.print(JSON.stringify({ requestId, status: answer.status, ...facts, body: textOf(answer) }))
    else if (outcome === 'done') console.printBytes(answer.body)
    if (outcome === 'done') {
      console.warn(`done by ${String(answer.headers['x-jackdawreel-upstream'] ?? '?')} with status ${answer.status}, request id ${requestId}`)
      return ok(undefined)
    }
    return err(this._refusal(outcome, answer))
  }

  private async _job (method: IHttpCall['method'], path: string, body?: Uint8Array): CommandResult {
    const headers: Record<string, string> = body === undefined ? {} : { 'content-type': 'application/json' }
    const answer = await this._call(method, path, headers, body, DEFAULT_DEADLINE_MS)
    if (answer.isErr()) return err(answer.error)
    if (answer.value.status >= 300) return err(this._refusal(String(answer.value.headers['x-jackdawreel-outcome'] ?? 'unknown'), answer.value))
    const state = JSON.parse(textOf(answer.value)) as Row & { readonly tasks?: readonly Row[] }
    this._showJob(state)
    return ok(undefined)
  }

  private _showJob (state: Row & { readonly tasks?: readonly Row[] }): void {
    const { tasks, ...facts } = state
    const lines = this._context.json ? [JSON.stringify(state)] : [...tableLines([facts]), ...(tasks === undefined ? [] : ['', ...tableLines(tasks)])]
    for (const line of lines) this._context.console.print(line)
  }

  private _refusal (outcome: string, answer: IHttpAnswer): CommandError {
    const retryAfterMs = answer.headers['x-jackdawreel-retry-after-ms']
    const advice = retryAfterMs === undefined ? '' : `; come back in ${String(retryAfterMs)} ms`
    const code = answer.status === 404 ? EXIT.notFound : answer.status === 400 ? EXIT.usage : EXIT_BY_OUTCOME[outcome] ?? EXIT.internal
    return new CommandError('request', this._context.gatewayUrl, code, `${outcome}: ${detailOf(answer)}${advice}`)
  }

  private async _call (method: IHttpCall['method'], path: string, headers: Record<string, string>, body: Uint8Array | undefined, timeoutMs: number) {
    const url = this._context.gatewayUrl.replace(/\/$/, '') + path
    return await callHttp({ method, url, headers, timeoutMs, ...(body === undefined ? {} : { body }) })
  }
}

function textOf (answer: IHttpAnswer): string {
  return Buffer.from(answer.body).toString('utf8')
}

/** What the body of an answer other than done may hold. */
interface IRefusedBody {
  readonly detail?: string
  readonly reason?: string
  readonly upstream?: string
}

function detailOf (answer: IHttpAnswer): string {
  try {
    const { detail, reason, upstream } = JSON.parse(textOf(answer)) as IRefusedBody
    const cause = detail ?? reason ?? `status ${answer.status}`
    return upstream === undefined ? cause : `${cause} at ${upstream}`
  } catch {
    return `status ${answer.status}`
  }
}
