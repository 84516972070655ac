/**
 * Calls to the operator listener of a process.
 */

import { err, ok } from 'neverthrow'
import { CommandError } from './CommandError.js'
import { EXIT } from './ExitCodes.js'
import { callHttp } from './HttpCall.js'
import { OperatorRefusal } from './OperatorRefusal.js'

import type { Result } from 'neverthrow'
import type { ExitCode } from './ExitCodes.js'
import type { IHttpAnswer, IHttpCall } from './HttpCall.js'
import type { IRefusal } from './OperatorRefusal.js'
import type { ICommandContext } from './Types.js'

const TIMEOUT_MS = 15_000

const EXIT_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  400: EXIT.usage,
  401: EXIT.unauthorized,
  404: EXIT.notFound,
  409: EXIT.conflict,
  413: EXIT.usage,
  428: EXIT.usage,
  503: EXIT.refused,
  504: EXIT.unknown
}

export interface IOperatorCall {
  readonly method: IHttpCall['method']
  readonly path: string
  readonly ifMatch?: number
  readonly body?: unknown
}

export class OperatorClient {
  public constructor (private readonly _context: ICommandContext, private readonly _baseUrl = _context.operatorUrl) {}

  /** The same client for another process. */
  public at (baseUrl: string): OperatorClient {
    return new OperatorClient(this._context, baseUrl)
  }

  public async get<T> (path: string): Promise<Result<T, CommandError>> {
    return await this.call<T>({ method: 'GET', path })
  }

  public async call<T> ({ method, path, ifMatch, body }: IOperatorCall): Promise<Result<T, CommandError>> {
    const url = this._baseUrl.replace(/\/$/, '') + path
    const answer = await callHttp({
      method,
      url,
      headers: this._headers(ifMatch, body),
      timeoutMs: TIMEOUT_MS,
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    return answer.andThen(each => readAnswer<T>(url, each))
  }

  private _headers (ifMatch: number | undefined, body: unknown): Record<string, string> {
    return {
      authorization: `Bearer ${this._context.token}`,
      'x-jackdawreel-operator': this._context.operator,
      ...(ifMatch === undefined ? {} : { 'if-match': `"${ifMatch}"` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' })
    }
  }
}

function readAnswer<T> (url: string, answer: IHttpAnswer): Result<T, CommandError> {
  const json = parseJson(answer.body)
  if (json === undefined) return err(new CommandError('operator.call', url, EXIT.internal, `${url} is no operator listener of jackdawreel; check the address`))
  if (answer.status < 300) return ok(json as T)
  return err(new OperatorRefusal(url, EXIT_BY_STATUS[answer.status] ?? EXIT.internal, json as IRefusal))
}

function parseJson (body: Uint8Array): unknown {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'))
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}
