/**
 * Types that the parts of a gateway share.
 */

import type { IdHasher, AttemptIds } from '../common/requests/AttemptIds.js'
import type { IConfigReplica, IProfile } from '../common/config/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ISchedulerRouter } from '../common/routing/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { IClock, IFinalAnswer, IRandom, ITimers } from '../common/Types.js'

/** The dependencies for forwarding requests and jobs. */
export interface IForwarderContext {
  readonly hub: IPeerHub
  readonly router: ISchedulerRouter
  readonly config: IConfigReplica
  readonly attemptIds: AttemptIds
  readonly hasher: IdHasher
  readonly clock: IClock
  readonly timers: ITimers
  readonly random: IRandom
  readonly log: ILogger
}

/** A request whose service and profile are known. */
export interface IRoutedRequest {
  readonly service: string
  readonly caller: string
  readonly requestId: string
  readonly idempotent: boolean
  readonly contentType: string
  readonly body: Uint8Array
  readonly profile: IProfile
  readonly profileRevision: number
  /** When the request arrived, by the gateway's monotonic clock. */
  readonly arrivedAtMs: number
  /** By the gateway's monotonic clock. */
  readonly deadlineAtMs: number
}

/** Counts the outcomes of requests for operators. */
export interface IOutcomeSink {
  recordOutcome (service: string, caller: string, answer: IFinalAnswer, late: boolean): void
}
