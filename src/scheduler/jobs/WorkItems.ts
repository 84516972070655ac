/**
 * Tasks as items of the decision engine.
 */

import { itemIdOf } from './TaskIds.js'

import type { IConfigReplica } from '../../common/config/Types.js'
import type { IWorkItem } from '../../common/policy/Types.js'
import type { IPlaceTask } from '../../common/protocol/Types.js'
import type { MonotonicMs } from '../../common/Types.js'

/** The item of a task under its service's profile; nothing while the service is not known here. */
export function toWorkItem (ask: IPlaceTask, config: IConfigReplica, nowMs: MonotonicMs): IWorkItem | undefined {
  const service = config.service(ask.service)
  const found = service === undefined ? undefined : config.profile(service.profile)
  if (service === undefined || found === undefined) return undefined
  const { taskId, resources, runMs } = ask.task
  return {
    id: itemIdOf({ jobId: ask.jobId, taskId, attempt: ask.attempt }),
    caller: ask.caller,
    service: ask.service,
    team: service.team,
    profile: found.profile,
    resources,
    arrivedAtMs: nowMs,
    deadlineAtMs: Infinity,
    // The owner of the job counts the attempts and decides about each.
    idempotent: false,
    ...(runMs === undefined ? {} : { declaredRunMs: runMs }),
    ...(ask.avoidHostIds === undefined ? {} : { avoidHostIds: ask.avoidHostIds })
  }
}
