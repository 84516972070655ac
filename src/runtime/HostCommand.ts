/**
 * Commands to upstream hosts, in JSON, and how hosts say that a command took no effect.
 */

import { err } from 'neverthrow'

import type { Result, ResultAsync } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type * as z from 'zod'
import { AmbiguousError, FencedError, RefusedError } from '../common/Errors.js'
import { parseAnswer } from './Answers.js'
import { exchange } from './HttpExchange.js'

import type { IHttpResponse, IHttpRequest } from './HttpExchange.js'
import type { UpstreamError } from './Types.js'

export interface IHostCommand {
  readonly step: string
  /** The host's id. */
  readonly peer: string
  readonly path: string
  /** Sent as JSON. */
  readonly ask: object
  readonly timeoutMs: number
}

type Named = Pick<IHttpRequest, 'step' | 'peer'>

const JSON_HEADERS = ['content-type', 'application/json']
const REFUSED_HEADER = 'x-refused'
const EPOCH_HEADER = 'x-current-epoch'
const FENCED = 'fenced'
const FIRST_ERROR_STATUS = 400
const FIRST_SERVER_ERROR_STATUS = 500

/** Sends a command and gives the host's status. */
export function sendCommand<T> (dispatcher: Dispatcher, command: IHostCommand, schema: z.ZodType<T>): ResultAsync<T, UpstreamError> {
  const { step, peer, path, timeoutMs } = command
  const ask: IHttpRequest = { step, peer, method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(command.ask), timeoutMs }
  return exchange(dispatcher, ask).andThen((answer) => takeStatus(ask, answer, schema))
}

/**
 * The refusal that an answer states, or nothing if the command was taken. The header `x-refused` is the host's own
 * word; a status alone is not, because a service may answer 409 or 503 after it has run.
 */
export function statedRefusal (ask: Named, answer: IHttpResponse): RefusedError | FencedError | undefined {
  const refused = answer.headers[REFUSED_HEADER]
  if (refused === undefined) return undefined
  if (refused === FENCED) return new FencedError(ask.step, ask.peer, Number(answer.headers[EPOCH_HEADER]))
  return new RefusedError(ask.step, ask.peer, String(refused))
}

function takeStatus<T> (ask: Named, answer: IHttpResponse, schema: z.ZodType<T>): Result<T, UpstreamError> {
  const refusal = statedRefusal(ask, answer)
  if (refusal !== undefined) return err(refusal)
  const what = `status ${answer.status}`
  if (answer.status >= FIRST_SERVER_ERROR_STATUS) return err(new AmbiguousError(ask.step, ask.peer, what))
  if (answer.status >= FIRST_ERROR_STATUS) return err(new RefusedError(ask.step, ask.peer, what))
  return parseAnswer(schema, answer.body).mapErr((problem) => new AmbiguousError(ask.step, ask.peer, problem))
}
