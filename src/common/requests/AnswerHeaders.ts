/**
 * Maps a final answer to HTTP: the status, headers and body that docs/API.md documents.
 */

import type { IFinalAnswer, OutcomeReason } from '../Types.js'

export const HEADER_OUTCOME = 'x-jackdawreel-outcome'
export const HEADER_REASON = 'x-jackdawreel-reason'

const MS_PER_SECOND = 1000

const REFUSED_STATUS: Readonly<Partial<Record<OutcomeReason, number>>> = {
  overloaded: 429, quota: 429, infeasible: 422, duplicate: 409
}
const REFUSED_DEFAULT_STATUS = 503
const NOT_RUN_STATUS = 503
const UNKNOWN_STATUS = 502

/** The HTTP status: the upstream's own if the outcome is `done`, otherwise one that tells the caller how to react. */
export function answerStatus (answer: IFinalAnswer): number {
  switch (answer.outcome) {
    case 'done': return answer.status ?? 200
    case 'refused': return (answer.reason && REFUSED_STATUS[answer.reason]) ?? REFUSED_DEFAULT_STATUS
    case 'notRun': return NOT_RUN_STATUS
    case 'unknown': return UNKNOWN_STATUS
  }
}

/** `retry-after` has whole seconds, as HTTP requires; `x-jackdawreel-retry-after-ms` has the exact time. */
export function answerHeaders (answer: IFinalAnswer): Record<string, string> {
  const headers: Record<string, string> = { [HEADER_OUTCOME]: answer.outcome }
  if (answer.reason !== undefined) headers[HEADER_REASON] = answer.reason
  if (answer.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(answer.retryAfterMs / MS_PER_SECOND)))
    headers['x-jackdawreel-retry-after-ms'] = String(Math.round(answer.retryAfterMs))
  }
  setIfDefined(headers, 'x-jackdawreel-upstream', answer.upstream)
  setIfDefined(headers, 'x-jackdawreel-region', answer.region)
  setIfDefined(headers, 'x-jackdawreel-wait-ms', answer.waitMs?.toFixed(1))
  setIfDefined(headers, 'x-jackdawreel-service-ms', answer.serviceMs?.toFixed(1))
  setIfDefined(headers, 'x-jackdawreel-profile-revision', answer.profileRevision)
  headers['content-type'] = answer.outcome === 'done' ? (answer.contentType ?? 'application/octet-stream') : 'application/json'
  return headers
}

/** The body: the upstream's bytes if the outcome is `done`, otherwise a JSON object that repeats facts of the headers. */
export function answerBody (answer: IFinalAnswer): Uint8Array | string {
  if (answer.outcome === 'done') return answer.body ?? new Uint8Array(0)
  const { outcome, reason, detail, retryAfterMs, upstream } = answer
  return JSON.stringify({ outcome, reason, detail, retryAfterMs, upstream })
}

function setIfDefined (headers: Record<string, string>, name: string, value: string | number | undefined): void {
  if (value !== undefined) headers[name] = String(value)
}
