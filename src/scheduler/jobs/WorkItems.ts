/**
 * Converts tasks to items of the decision engine.
 */

import { itemIdOf } from './TaskIds.js'

import type { IConfigReplica } from '../../common/config/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { IPlaceTaskRequest } from '../../common/protocol/Types.js'
import type { MonotonicMs } from '../../common/Types.js'

/** The item of a task under its service's profile; undefined while this scheduler doesn't know the service. */
export function toWorkItem (request: IPlaceTaskRequest, config: IConfigReplica, nowMs: MonotonicMs): IWorkItem | undefined {
  const service = config.service(request.service)
  const found = service === undefined ? undefined : config.profile(service.profile)
  if (service === undefined || found === undefined) return undefined
  const { taskId, resources, runMs } = request.task
  return {
    id: itemIdOf({ jobId: request.jobId, taskId, attempt: request.attempt }),
    caller: request.caller,
    service: request.service,
    team: service.team,
    profile: found.profile,
    resources,
    arrivedAtMs: nowMs,
    deadlineAtMs: Infinity,
    // The owner of the job counts the attempts and decides on each retry.
    idempotent: false,
    ...(runMs === undefined ? {} : { declaredRunMs: runMs }),
    ...(request.avoidHostIds === undefined ? {} : { avoidHostIds: request.avoidHostIds })
  }
}
