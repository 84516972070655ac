/**
 * Explains to operators what a step waits for that has been ready for long.
 */

import type { MonotonicMs } from '../Types.js'
import type { BlockedSteps } from './BlockedSteps.js'
import type { CapacityReservations } from './CapacityReservations.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { LimitReservations } from './LimitReservations.js'
import { canTake, urgentHeadroom } from './Placement.js'
import type { IWaitCause, WaitStage } from './WaitingSteps.js'

export interface IWaitContext {
  readonly hosts: ReadonlyMap<string, HostState>
  readonly nowMs: MonotonicMs
  readonly blocked: BlockedSteps
  readonly limits: LimitReservations
  /** Those of the last pass. */
  readonly reservations: CapacityReservations | undefined
}

/** @param stage where the last pass stopped */
export function explainWait (step: Step, stage: WaitStage, context: IWaitContext): IWaitCause {
  const blocker = context.blocked.findBlocker(step)
  if (blocker !== undefined) return { reason: stage, blocker }
  if (stage === 'limit') {
    const holder = context.limits.findHolder(step)
    return holder === undefined ? { reason: 'limit' } : { reason: 'limitReserved', reservedFor: [holder.job.spec.jobId] }
  }
  return stage === 'room' ? explainNoRoom(step, context) : { reason: stage }
}

function explainNoRoom (step: Step, { hosts, nowMs, reservations }: IWaitContext): IWaitCause {
  const withRoom = [...hosts.values()].filter((host) => host.couldRun(step) && host.placesFor(step.spec, urgentHeadroom(host, step)) > 0)
  const usable = withRoom.filter((host) => canTake(host, step, nowMs) && host.breaker.isClosed)
  if (usable.length === 0 && withRoom.some((host) => host.isReachable(nowMs))) return { reason: 'hostsPaused' }
  const holders = [...reservations?.findHolders(usable) ?? []].filter((holder) => holder !== step)
  return holders.length === 0 ? { reason: 'room' } : { reason: 'roomReserved', reservedFor: holders.map(({ job }) => job.spec.jobId) }
}
