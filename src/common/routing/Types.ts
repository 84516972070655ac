/**
 * How a gateway chooses the scheduler for a request. Does no I/O.
 */

import type { IProfile } from '../config/Types.js'
import type { ILoadSummary } from '../protocol/Types.js'

export interface IRouteRequest {
  readonly profile: IProfile
  /** Schedulers already tried for this request. */
  readonly excluded: ReadonlySet<string>
}

export interface ISchedulerRouter {
  /** Stores the newest load summary of a scheduler. */
  updateSummary (summary: ILoadSummary): void
  /** Removes a scheduler whose link was lost, until its next summary. */
  removeScheduler (processId: string): void
  /** Records that a request was sent, so that the next choices count it before the next summary arrives. */
  recordSent (processId: string): void
  /** Chooses the scheduler for a request; undefined if none can serve it. */
  choose (request: IRouteRequest): string | undefined
  /** The process that owns a shard: the one that reported the highest epoch. */
  ownerOf (shardId: string): string | undefined
  summaries (): readonly ILoadSummary[]
}
