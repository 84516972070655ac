/**
 * Turns a checked head into a routed request: finds the service and its profile and fills in what was left out.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'
import type { IBadInput } from '../common/requests/Types.js'
import type { IRequestHead } from '../common/requests/RequestParser.js'
import type { IConfigReplica } from '../common/config/Types.js'
import type { IRoutedRequest } from './Types.js'

export function route (head: IRequestHead, body: Uint8Array, config: IConfigReplica, nowMs: number): Result<IRoutedRequest, IBadInput> {
  const service = config.service(head.service)
  if (service === undefined) return err({ status: 404, field: 'service', message: `${head.service} does not exist` })
  const found = config.profile(service.profile)
  if (found === undefined) {
    return err({ status: 404, field: 'profile', message: `service ${service.name} names the profile ${service.profile}, which does not exist` })
  }
  return ok({
    service: head.service,
    caller: head.caller,
    requestId: head.requestId,
    idempotent: head.idempotent ?? found.profile.idempotentDefault,
    contentType: head.contentType,
    body,
    profile: found.profile,
    profileRevision: found.revision,
    deadlineAtMs: nowMs + (head.deadlineMs ?? found.profile.deadlineMs)
  })
}
