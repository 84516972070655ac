/**
 * Turns a validated request head into a routed request: looks up the service and its profile, and fills in the defaults of
 * the profile.
 */

import { err, ok } from 'neverthrow'
import { MAX_ATTEMPT_AGE_MS } from '../common/state/ClaimTable.js'

import type { Result } from 'neverthrow'
import type { IBadInput } from '../common/requests/Types.js'
import type { IRequestHead } from '../common/requests/RequestParser.js'
import type { IConfigReplica } from '../common/config/Types.js'
import type { IRoutedRequest } from './Types.js'

/**
 * The deadline of a non-idempotent request is at most the age at which it may still claim its id. If it waited longer, the
 * first claim of the id could have expired, and the work would run twice.
 */
export function routeRequest (head: IRequestHead, body: Uint8Array, config: IConfigReplica, nowMs: number): Result<IRoutedRequest, IBadInput> {
  const service = config.service(head.service)
  if (service === undefined) return err({ status: 404, field: 'service', message: `${head.service} does not exist` })
  const found = config.profile(service.profile)
  if (found === undefined) {
    return err({ status: 404, field: 'profile', message: `service ${service.name} names the profile ${service.profile}, which does not exist` })
  }
  const idempotent = head.idempotent ?? found.profile.idempotentDefault
  const deadlineMs = head.deadlineMs ?? found.profile.deadlineMs
  return ok({
    service: head.service,
    caller: head.caller,
    requestId: head.requestId,
    idempotent,
    contentType: head.contentType,
    body,
    profile: found.profile,
    profileRevision: found.revision,
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + (idempotent ? deadlineMs : Math.min(deadlineMs, MAX_ATTEMPT_AGE_MS))
  })
}
