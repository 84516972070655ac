/**
 * Sends commands to upstream hosts as JSON, and recognizes the responses by which a host says that a command had no effect.
 */

import { err } from 'neverthrow'

import type { Result, ResultAsync } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type * as z from 'zod'
import { AmbiguousError, FencedError, RefusedError } from '../common/Errors.js'
import { parseResponse } from './ResponseSchemas.js'
import { exchange } from './HttpExchange.js'

import type { IHttpResponse, IHttpRequest } from './HttpExchange.js'
import type { UpstreamError } from './Types.js'

export interface IHostCommand {
  readonly step: string
  /** The host's id. */
  readonly peer: string
  readonly path: string
  /** Sent as JSON. */
  readonly body: object
  readonly timeoutMs: number
}

type CallContext = Pick<IHttpRequest, 'step' | 'peer'>

const JSON_HEADERS = ['content-type', 'application/json']
const REFUSED_HEADER = 'x-refused'
const EPOCH_HEADER = 'x-current-epoch'
const FENCED = 'fenced'
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500

/** Sends a command and returns the status of the host. */
export function sendCommand<T> (dispatcher: Dispatcher, command: IHostCommand, schema: z.ZodType<T>): ResultAsync<T, UpstreamError> {
  const { step, peer, path, timeoutMs } = command
  const request: IHttpRequest = { step, peer, method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(command.body), timeoutMs }
  return exchange(dispatcher, request).andThen((response) => parseStatus(request, response, schema))
}

/**
 * The refusal in a response; `undefined` if the host accepted the command. Only the header `x-refused` proves that the host
 * refused. The HTTP status does not, because a service may respond with 409 or 503 after it has run.
 */
export function parseRefusal (request: CallContext, response: IHttpResponse): RefusedError | FencedError | undefined {
  const refused = response.headers[REFUSED_HEADER]
  if (refused === undefined) return undefined
  if (refused === FENCED) return new FencedError(request.step, request.peer, Number(response.headers[EPOCH_HEADER]))
  return new RefusedError(request.step, request.peer, String(refused))
}

function parseStatus<T> (request: CallContext, response: IHttpResponse, schema: z.ZodType<T>): Result<T, UpstreamError> {
  const refusal = parseRefusal(request, response)
  if (refusal !== undefined) return err(refusal)
  const reason = `status ${response.status}`
  if (response.status >= FIRST_SERVER_ERROR_STATUS) return err(new AmbiguousError(request.step, request.peer, reason))
  if (response.status >= FIRST_ERROR_STATUS) return err(new RefusedError(request.step, request.peer, reason))
  return parseResponse(schema, response.body).mapErr((problem) => new AmbiguousError(request.step, request.peer, problem))
}
