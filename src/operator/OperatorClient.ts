/**
 * Calls the operator listener of a process.
 */

import { err, ok } from 'neverthrow'
import { CommandError } from './CommandError.js'
import { EXIT } from './ExitCodes.js'
import { callHttp } from './HttpCall.js'
import { OperatorRefusal } from './OperatorRefusal.js'

import type { Result } from 'neverthrow'
import type { ExitCode } from './ExitCodes.js'
import type { IHttpResponse, IHttpCall } from './HttpCall.js'
import type { IRefusalBody } from './OperatorRefusal.js'
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

  /** Returns a client with the same credentials for another process. */
  public forProcess (baseUrl: string): OperatorClient {
    return new OperatorClient(this._context, baseUrl)
  }

  public async get<T> (path: string): Promise<Result<T, CommandError>> {
    return await this.call<T>({ method: 'GET', path })
  }

  public async call<T> ({ method, path, ifMatch, body }: IOperatorCall): Promise<Result<T, CommandError>> {
    const url = this._baseUrl.replace(/\/$/, '') + path
    const response = await callHttp({
      method,
      url,
      headers: this._createHeaders(ifMatch, body),
      timeoutMs: TIMEOUT_MS,
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
    return response.andThen(each => parseResponse<T>(url, each))
  }

  private _createHeaders (ifMatch: number | undefined, body: unknown): Record<string, string> {
    return {
      authorization: `Bearer ${this._context.token}`,
      'x-jackdawreel-operator': this._context.operator,
      ...(ifMatch === undefined ? {} : { 'if-match': `"${ifMatch}"` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' })
    }
  }
}

function parseResponse<T> (url: string, response: IHttpResponse): Result<T, CommandError> {
  const json = parseJson(response.body)
  if (json === undefined) return err(new CommandError('operator.call', url, EXIT.internal, `${url} is not the operator listener of a jackdawreel process; check the address`))
  if (response.status < 300) return ok(json as T)
  return err(new OperatorRefusal(url, EXIT_BY_STATUS[response.status] ?? EXIT.internal, json as IRefusalBody))
}

function parseJson (body: Uint8Array): unknown {
  try {
    const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'))
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}
