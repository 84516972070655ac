/**
 * One HTTP call of the command line, with its failures told as command errors.
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

export interface IHttpAnswer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Uint8Array
}

/** Errors that say that no connection came about, so nothing was sent. */
const NOT_CONNECTED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT'])

/** Never rejects. */
export async function callHttp (call: IHttpCall): Promise<Result<IHttpAnswer, CommandError>> {
  const { method, url, headers, body, timeoutMs } = call
  try {
    const signal = AbortSignal.timeout(timeoutMs)
    const answer = await request(url, { method, headers, signal, ...(body === undefined ? {} : { body }) })
    return ok({ status: answer.statusCode, headers: answer.headers, body: new Uint8Array(await answer.body.arrayBuffer()) })
  } catch (error) {
    return err(failureOf(call, error))
  }
}

function failureOf ({ method, url }: IHttpCall, error: unknown): CommandError {
  const { code = '', message = '' } = error as { readonly code?: string, readonly message?: string }
  if (code === 'ERR_INVALID_URL' || code === 'UND_ERR_INVALID_ARG') return new CommandError('http', url, EXIT.usage, `${url} is not a URL such as http://10.0.0.7:7100`)
  const isUnsent = NOT_CONNECTED_CODES.has(code)
  if (isUnsent) return new CommandError('http', url, EXIT.unreachable, `${url} can't be reached (${code}); check the address and that the process runs`)
  if (method === 'GET') return new CommandError('http', url, EXIT.unreachable, `${url} gave no whole answer (${message}); try again`)
  return new CommandError('http', url, EXIT.unknown, `${url} gave no whole answer (${message}); look whether the change took effect before trying again`)
}
