/**
 * Types of a scheduler's request path and the components that it uses.
 */

import type { IConfigReplica, IProfile } from '../../common/config/Types.js'
import type { ILogger } from '../../common/observability/Types.js'
import type { IDecisionEngine, IWorkItem } from '../../common/policy/Types.js'
import type { ClaimReply, IClaimRequest, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IdHasher } from '../../common/requests/AttemptIds.js'
import type { IInFlightBounds } from '../../common/requests/InFlightLimit.js'
import type { IClock, IFinalAnswer, IProcessIdentity, IRandom, ITimers, MonotonicMs } from '../../common/Types.js'
import type { IRunnerClient } from '../../runtime/Types.js'
import type { RunnerPool } from '../hosts/RunnerPool.js'

/** Sends calls about claims to the owner of the id shard, whichever process that is. */
export interface IClaimClient {
  /** Requests a claim and retries while the owner changes, up to `timeoutMs`; then answers `unavailable`. */
  claim (request: IClaimRequest, timeoutMs: number): Promise<ClaimReply>
  /** Releases a claim, best effort: if the release fails, the claim remains, and its holder answers repeats correctly. */
  release (request: IClaimRequest): Promise<void>
  /** Releases a claim that may exist in the background, until the owner confirms the release or the tries are used up. */
  releaseLater (request: IClaimRequest): void
  /** The final answer of another attempt of the same request, from the process that holds its claim. */
  outcomeOf (holder: string, attemptId: string, waitMs: number): Promise<IFinalAnswer>
}

export interface IRequestContext {
  readonly self: IProcessIdentity
  readonly engine: IDecisionEngine
  readonly runners: RunnerPool
  readonly client: IRunnerClient
  readonly claims: IClaimClient
  readonly bounds: IInFlightBounds
  readonly config: IConfigReplica
  readonly hasher: IdHasher
  readonly clock: IClock
  readonly timers: ITimers
  readonly random: IRandom
  readonly log: ILogger
}

/** A request with its profile and team. Times are by this process's monotonic clock and count from the request's arrival here. */
export interface IArrival {
  readonly request: ISubmitRequest
  readonly profile: IProfile
  readonly profileRevision: number
  readonly team: string
  readonly arrivedAtMs: MonotonicMs
  readonly deadlineAtMs: MonotonicMs
}

/** A request without a final answer yet. */
export interface IPendingRequest extends IArrival {
  /** The request's item in the engine; each dispatch to a further host is a new item. */
  item: IWorkItem
  /**
   * The answer of an earlier dispatch that ran or may have run. Once it is set, the request must not be answered as "not
   * run", however later dispatches end, because the work may have been done.
   */
  earlierAnswer?: IFinalAnswer
  readonly resolve: (answer: IFinalAnswer) => void
}
