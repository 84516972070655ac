/**
 * What the request path of a scheduler needs.
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

/** Asks the owner of a claim's id shard, wherever it is. */
export interface IClaimClient {
  /** Keeps asking through a change of owner, up to `timeoutMs`; then `unavailable`. */
  claim (ask: IClaimRequest, timeoutMs: number): Promise<ClaimReply>
  /** Best effort: a claim that is not released stays, and its holder answers repeats truthfully. */
  release (ask: IClaimRequest): Promise<void>
  /** Releases in the background what may be claimed, until the owner says that it is or the tries are used up. */
  releaseLater (ask: IClaimRequest): void
  /** The final answer of another attempt of the same id, from the process that holds it. */
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

/** A request with what was found for it. Times are by this process's monotonic clock, from its arrival here. */
export interface IArrival {
  readonly ask: ISubmitRequest
  readonly profile: IProfile
  readonly profileRevision: number
  readonly team: string
  readonly arrivedAtMs: MonotonicMs
  readonly deadlineAtMs: MonotonicMs
}

/** A request that waits for its final answer. */
export interface IPendingRequest extends IArrival {
  /** What stands for it in the engine; a dispatch to a further host is a new item. */
  item: IWorkItem
  /**
   * The answer of an earlier dispatch that ran or may have run. Once there is one, "not run" is no longer true,
   * whatever becomes of later dispatches: a caller who was told so would find that the work had happened.
   */
  earlierAnswer?: IFinalAnswer
  readonly answer: (answer: IFinalAnswer) => void
}
