/**
 * Validates the headers of a caller's request. The error names the first invalid field; the request does not run.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'
import type { IBadInput, ICallerRequest } from './Types.js'

/** Header names, lower case. */
export const HEADER_CALLER = 'x-jackdawreel-caller'
export const HEADER_REQUEST_ID = 'x-jackdawreel-request-id'
export const HEADER_IDEMPOTENT = 'x-jackdawreel-idempotent'
export const HEADER_DEADLINE_MS = 'x-jackdawreel-deadline-ms'

/** Long enough for any UUID or path-like id, short enough to keep a claim small. */
const MAX_NAME_LENGTH = 128
const MIN_DEADLINE_MS = 10
const MAX_DEADLINE_MS = 86_400_000
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
/** Printable ASCII without space, so that a name is safe in a log line, a URL and a claim key. */
const NAME_PATTERN = /^[\x21-\x7e]+$/

/** Headers as Node.js provides them, with lower-case names. */
export type RequestHeaders = Readonly<Record<string, string | readonly string[] | undefined>>

/** A caller's request without its body. */
export type IRequestHead = Omit<ICallerRequest, 'body'>

export function parseRequestHead (service: string, headers: RequestHeaders): Result<IRequestHead, IBadInput> {
  return parseName(service, 'service').andThen((name) =>
    parseName(headers[HEADER_CALLER], HEADER_CALLER).andThen((caller) =>
      parseName(headers[HEADER_REQUEST_ID], HEADER_REQUEST_ID).andThen((requestId) =>
        parseIdempotent(headers[HEADER_IDEMPOTENT]).andThen((idempotent) =>
          parseDeadline(headers[HEADER_DEADLINE_MS]).map((deadlineMs) => ({
            service: name,
            caller,
            requestId,
            contentType: joinValues(headers['content-type']) ?? DEFAULT_CONTENT_TYPE,
            ...(idempotent === undefined ? {} : { idempotent }),
            ...(deadlineMs === undefined ? {} : { deadlineMs })
          }))))))
}

/** Validates a name that a caller chose. */
export function parseName (value: string | readonly string[] | undefined, field: string): Result<string, IBadInput> {
  const text = joinValues(value)
  if (text === undefined || text === '') return invalidField(field, 'is missing')
  if (text.length > MAX_NAME_LENGTH) return invalidField(field, `is longer than ${MAX_NAME_LENGTH} characters`)
  if (!NAME_PATTERN.test(text)) return invalidField(field, 'may only contain printable ASCII characters without spaces')
  return ok(text)
}

function parseIdempotent (value: string | readonly string[] | undefined): Result<boolean | undefined, IBadInput> {
  const text = joinValues(value)
  if (text === undefined) return ok(undefined)
  if (text !== 'true' && text !== 'false') return invalidField(HEADER_IDEMPOTENT, 'must be true or false')
  return ok(text === 'true')
}

function parseDeadline (value: string | readonly string[] | undefined): Result<number | undefined, IBadInput> {
  const text = joinValues(value)
  if (text === undefined) return ok(undefined)
  const deadlineMs = /^\d{1,9}$/.test(text) ? Number(text) : NaN
  if (!(deadlineMs >= MIN_DEADLINE_MS && deadlineMs <= MAX_DEADLINE_MS)) {
    return invalidField(HEADER_DEADLINE_MS, `must be a whole number of milliseconds from ${MIN_DEADLINE_MS} to ${MAX_DEADLINE_MS}`)
  }
  return ok(deadlineMs)
}

function joinValues (value: string | readonly string[] | undefined): string | undefined {
  return typeof value === 'string' || value === undefined ? value : value.join(',')
}

function invalidField (field: string, message: string): Result<never, IBadInput> {
  return err({ status: 400, field, message })
}
