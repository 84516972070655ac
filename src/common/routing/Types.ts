/**
 * Where a gateway sends work: what it knows of each scheduler, and the choice among them. Free of I/O.
 */

import type { IProfile } from '../config/Types.js'
import type { ILoadSummary } from '../protocol/Types.js'

export interface IRouteRequest {
  readonly profile: IProfile
  /** Schedulers already tried for this request. */
  readonly excluded: ReadonlySet<string>
}

export interface ISchedulerRouter {
  /** Takes a scheduler's newest summary. */
  noteSummary (summary: ILoadSummary): void
  /** Forgets a scheduler whose link was lost, until it is heard of again. */
  forget (processId: string): void
  /** Notes that work was sent, so that the next choice counts it before the next summary. */
  noteSent (processId: string): void
  /** The scheduler to send a request to, or nothing when none may have it. */
  choose (request: IRouteRequest): string | undefined
  /** The process that owns a shard, by the highest epoch heard of. */
  ownerOf (shardId: string): string | undefined
  summaries (): readonly ILoadSummary[]
}
