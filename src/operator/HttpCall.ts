/**
 * Makes an HTTP call for the command line and turns failures into command errors.
 */

import { err, ok } from 'neverthrow'
import { request } from 'undici'
import { CommandError } from './CommandError.js'
import { EXIT } from './ExitCodes.js'

import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'

export interface IHttpCall {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE'
  readonly url: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: Uint8Array | string
  readonly timeoutMs: number
}

export interface IHttpResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Uint8Array
}

/** Error codes after which no connection existed, so nothing was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Never rejects. */
export async function callHttp (call: IHttpCall): Promise<Result<IHttpResponse, CommandError>> {
  const { method, url, headers, body, timeoutMs } = call
  try {
    const signal = AbortSignal.timeout(timeoutMs)
    const response = await request(url, { method, headers, signal, ...(body === undefined ? {} : { body }) })
    return ok({ status: response.statusCode, headers: response.headers, body: new Uint8Array(await response.body.arrayBuffer()) })
  } catch (error) {
    return err(toCommandError(call, error))
  }
}

function toCommandError ({ method, url }: IHttpCall, error: unknown): CommandError {
  const { code = '', message = '' } = error as { readonly code?: string, readonly message?: string }
  if (code === 'ERR_INVALID_URL' || code === 'UND_ERR_INVALID_ARG') return new CommandError('http', url, EXIT.usage, `${url} is not a URL such as http://10.0.0.7:7100`)
  const isUnsent = NOT_CONNECTED_CODES.has(code)
  if (isUnsent) return new CommandError('http', url, EXIT.unreachable, `${url} can't be reached (${code}); check the address and that the process runs`)
  if (method === 'GET') return new CommandError('http', url, EXIT.unreachable, `${url} sent no complete response (${message}); try again`)
  return new CommandError('http', url, EXIT.unknown, `${url} sent no complete response (${message}); check whether the change took effect before trying again`)
}
