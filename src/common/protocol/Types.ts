/**
 * The messages between the processes of a cell. Each message is either a call, which has one reply, or a cast, which
 * has none. The links in `src/peer` transport the messages and do not depend on their meaning.
 */

import type {
  AdviceOutcome, CancelOutcome, IAdviceRequest, ICallerAccess, ISubmission, ITicket, JobPhase, OwnerAnswer, StateOutcome, WaitingOutcome
} from '../cell/Types.js'
import type { IConfigEntry } from '../config/Types.js'
import type { IFinalAnswer, ILocation, IProcessIdentity, IResources, OutcomeReason } from '../Types.js'

export interface ISubmitRequest {
  /**
   * Unique for each attempt of a gateway to pass the request on. A claim is held by an attempt. A gateway that has lost
   * the link can have the attempt blocked, so that it can never run.
   */
  readonly attemptId: string
  readonly service: string
  readonly caller: string
  readonly requestId: string
  readonly idempotent: boolean
  /** Time left until the deadline when this message was sent. A duration, as the clocks of two processes may differ. */
  readonly remainingMs: number
  /** Time from the arrival of the request at the gateway until this message was sent. A duration, as the clocks may differ. */
  readonly ageMs: number
  readonly contentType: string
  readonly body: Uint8Array
  /** How often the request has been moved between schedulers. */
  readonly hops: number
}

/** A claim is the right to dispatch a non-idempotent request: at most one attempt of an id ever holds it. */
export interface IClaimRequest {
  readonly idShard: string
  /** Hash of caller and request id. */
  readonly claimKey: string
  readonly attemptId: string
  /** The process that will dispatch the request, and that keeps the answer for repeated requests. */
  readonly holder: string
  /**
   * Age of the attempt in milliseconds, measured by the requesting process. Claims and blocks are kept for a limited
   * time only, so an attempt that is older than `MAX_ATTEMPT_AGE_MS` gets no claim.
   */
  readonly ageMs: number
}

export type ClaimReply =
  | { readonly decision: 'granted' }
  /** Another attempt holds the claim. Its holder knows the outcome. */
  | { readonly decision: 'duplicate', readonly attemptId: string, readonly holder: string }
  /** This attempt was blocked or its claim was released. The request must not be dispatched. */
  | { readonly decision: 'blocked' }
  | { readonly decision: 'notOwner' }
  | { readonly decision: 'unavailable', readonly retryAfterMs: number }

export type BlockReply =
  /** The attempt has not run and never will. */
  | { readonly decision: 'blocked' }
  /** The attempt holds the claim and may have run. */
  | { readonly decision: 'claimed', readonly holder: string }
  | { readonly decision: 'notOwner' }
  | { readonly decision: 'unavailable', readonly retryAfterMs: number }

export interface IShardLoad {
  readonly shardId: string
  readonly kind: 'runners' | 'workers' | 'ids'
  readonly epoch: number
  readonly freeSlots: number
  readonly totalSlots: number
  readonly free: IResources
  /** The largest amount of resources that is free on a single host of the shard. */
  readonly largestFree: IResources
}

/** The load of a scheduler. It is sent to the processes that route to the scheduler, about once a second and after large changes. */
export interface ILoadSummary extends ILocation {
  readonly processId: string
  readonly incarnation: number
  readonly draining: boolean
  readonly storeReachable: boolean
  readonly shards: readonly IShardLoad[]
  /** Expected waiting time of a new request by priority class, in milliseconds. */
  readonly expectedWaitMs: Readonly<Record<'urgent' | 'normal' | 'patient', number>>
  readonly queued: number
}

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead'

export interface IMember extends IProcessIdentity {
  readonly role: 'gateway' | 'scheduler'
  /** Address of the member's peer listener, as `ws://ip:port`. */
  readonly peerUrl: string
  /** Address of the member's operator listener, as `http://ip:port`. */
  readonly operatorUrl: string
  readonly state: MemberState
}

/**
 * A statement about a member's state. Of two statements about a process, the one with the higher incarnation takes
 * precedence, then the one with the higher sequence, then the one whose state has the higher rank (see `Precedence.ts`).
 */
export interface IMemberNews {
  readonly processId: string
  readonly incarnation: number
  /** Raised only by the member itself, to refute a statement of others or to announce that the member is leaving. */
  readonly sequence: number
  readonly state: MemberState
}

/** A member with the sequence of its state. All other fields are constant within an incarnation. */
export interface IMemberRecord extends IMember, IMemberNews {}

/** Membership gossip between peers: state changes, full records on request, and digests to find missed changes. */
export interface IMembersCast {
  readonly news: readonly IMemberNews[]
  /** Full records that the receiver has requested, or the record of the sender. */
  readonly records?: readonly IMemberRecord[]
  /** Processes whose records the sender requests. */
  readonly wanted?: readonly string[]
  /** Hash of the sender's view of all members that are not dead. */
  readonly viewHash?: number
  /** The same hash for each bucket of process ids, sent if the two views differ. */
  readonly bucketHashes?: readonly number[]
  /** Buckets for which `news` contains all members that the sender knows. */
  readonly listedBuckets?: readonly number[]
}

export interface ITaskSpec {
  readonly taskId: string
  readonly resources: IResources
  /** Declared run time in milliseconds; undefined for a long-running service. */
  readonly runMs?: number
}

export type JobState = 'accepted' | 'running' | 'succeeded' | 'failed' | 'cancelled'

export interface IJobSpec {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  /** Whether its tasks are restarted whenever they end or their host is lost, until the job is cancelled. */
  readonly longRunning: boolean
  readonly tasks: readonly ITaskSpec[]
}

export interface ITaskPlacement {
  readonly taskId: string
  readonly attempt: number
  /**
   * `stopped`: the attempt has ended without a result, or will never run. `unsure`: the attempt may still run, as its
   * host has another owner now or does not respond.
   */
  readonly state: 'queued' | 'reserved' | 'running' | 'unsure' | 'succeeded' | 'failed' | 'stopped'
  readonly hostId?: string
  readonly shardId?: string
}

export interface IJobStatus {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  readonly state: JobState
  readonly reason?: string
  readonly tasks: readonly ITaskPlacement[]
}

export interface ITaskUpdate {
  readonly jobId: string
  readonly place: ITaskPlacement
}

/** Requests that a scheduler place one task on any of its workers. */
export interface IPlaceTaskRequest {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  readonly task: ITaskSpec
  readonly attempt: number
  /** The process that receives the updates about the task. */
  readonly jobOwner: string
  /** The epoch of the job owner for the job's id shard. A scheduler refuses an epoch that is older than one it has received. */
  readonly ownerEpoch?: number
  /** Hosts on which an attempt of this task has failed. */
  readonly avoidHostIds?: readonly string[]
}

/** Requests that a scheduler start these tasks together on its workers, if there is room for all of them. */
export interface IPlaceGroupRequest {
  readonly jobId: string
  readonly tasks: readonly IPlaceTaskRequest[]
}

export interface IPlaceReply {
  readonly accepted: boolean
  readonly reason?: OutcomeReason
  readonly retryAfterMs?: number
}

/** Requests all tasks that a scheduler holds of the jobs of one id shard. */
export interface ITasksOfRequest {
  readonly idShard: string
  /** The epoch of the requesting owner. From now on commands with an older epoch are refused. */
  readonly ownerEpoch: number
  /** The requesting process, which from now on receives the updates about these tasks. */
  readonly jobOwner: string
  /** Jobs whose recently ended tasks are included in the reply. If undefined, they are included for all jobs. */
  readonly endedOf?: readonly string[]
}

export interface ITasksOfReply {
  /** Worker shards that the scheduler owns and in which each host has either reported its tasks or is gone. */
  readonly settledShards: readonly string[]
  readonly tasks: readonly ITaskUpdate[]
}

/** Requests that a scheduler reserve resources for tasks of an all-at-once job, without starting the tasks. */
export interface IReserveRequest {
  readonly jobId: string
  readonly tasks: readonly IPlaceTaskRequest[]
  /** Time after which the reservation expires. */
  readonly expiresMs: number
  /** Increases with each try of the job. A scheduler keeps the reservation of one try and ignores commands of earlier tries. */
  readonly tryNumber: number
}

/** Identifies a reservation by its job and try. */
export interface IReservationRef {
  readonly jobId: string
  readonly tryNumber: number
}

export interface IReserveReply {
  /** The tasks for which resources are reserved: all of them, or as many as fit. */
  readonly reservedTaskIds: readonly string[]
}

export interface ICancelTaskRequest {
  readonly jobId: string
  readonly taskId: string
  /** Cancels only this attempt. If undefined, any attempt is cancelled. */
  readonly attempt?: number
  /** Cancels the task only if it has not been sent to a host yet. Used to move queued work. */
  readonly onlyIfQueued?: boolean
}

/** A caller's request about a job. */
export interface ICellJobRequest extends ICallerAccess {
  readonly jobId: string
}

export interface ICellSubmitReply {
  readonly kind: OwnerAnswer['kind']
  readonly reason?: string
  readonly retryAfterMs?: number
  readonly isStoreAway?: boolean
}

export interface ICellStateReply {
  readonly kind: StateOutcome['kind']
  readonly phase?: JobPhase
}

export interface ICellWaitingReply {
  readonly kind: WaitingOutcome['kind']
  readonly count?: number
}

/** Requests that a machine call the advice service, which handles the calls of each machine one after the other. */
export interface ICellAdviceRequest extends IAdviceRequest {
  readonly timeoutMs: number
}

export interface ICellAdviceReply {
  readonly kind: AdviceOutcome['kind']
  readonly allowed?: readonly ITicket[]
}

/** Announces the owner of the cell. A process that can't reach the store would not learn of the owner otherwise. */
export interface ICellOwnerCast {
  readonly processId: string
  readonly incarnation: number
  readonly peerUrl: string
  readonly revision: number
}

/** A request to take the cell over from this owner. */
export interface ICellTakeOverRequest extends ICellOwnerCast {
  /** Whether the owner hands the cell over because the called process is fitter; absent otherwise. */
  readonly isRelief?: boolean
}

/** Whether a process is willing to take the cell over from an owner that is about to stop. */
export interface ICellOfferReply {
  readonly isWilling: boolean
  /** Time for which the process would wait for better candidates. Longer if the store is farther away or the machine is weaker. */
  readonly yieldMs: number
  /** The address at which the process can be dialled. */
  readonly peerUrl: string
  /** The effective fitness of the process, from 0 to 1; absent while it is no candidate for relief, and from earlier versions. */
  readonly fitness?: number
}

/** Announces the process that is the standby of the owner, for the ownership with this revision. */
export interface ICellStandbyCast {
  readonly processId: string
  readonly peerUrl: string
  readonly revision: number
}

/** The calls by name, each with its request and its reply. */
export interface IPeerCalls {
  readonly submit: { readonly request: ISubmitRequest, readonly reply: IFinalAnswer }
  readonly cancel: { readonly request: { readonly attemptId: string }, readonly reply: { readonly cancelled: boolean } }
  readonly claim: { readonly request: IClaimRequest, readonly reply: ClaimReply }
  readonly block: { readonly request: IClaimRequest, readonly reply: BlockReply }
  readonly release: { readonly request: IClaimRequest, readonly reply: { readonly released: boolean } }
  /** Waits for the final answer of an attempt that the called process holds. */
  readonly outcomeOf: { readonly request: { readonly attemptId: string, readonly waitMs: number }, readonly reply: IFinalAnswer }
  readonly submitJob: { readonly request: IJobSpec, readonly reply: IFinalAnswer }
  readonly jobStatus: { readonly request: { readonly jobId: string }, readonly reply: { readonly status?: IJobStatus, readonly owner: boolean } }
  readonly cancelJob: { readonly request: { readonly jobId: string }, readonly reply: { readonly status?: IJobStatus, readonly owner: boolean } }
  readonly placeTask: { readonly request: IPlaceTaskRequest, readonly reply: IPlaceReply }
  readonly placeGroup: { readonly request: IPlaceGroupRequest, readonly reply: IPlaceReply }
  readonly cancelTask: { readonly request: ICancelTaskRequest, readonly reply: { readonly known: boolean } }
  readonly tasksOf: { readonly request: ITasksOfRequest, readonly reply: ITasksOfReply }
  readonly reserve: { readonly request: IReserveRequest, readonly reply: IReserveReply }
  readonly startReserved: { readonly request: IReservationRef, readonly reply: { readonly started: boolean } }
  readonly dropReservation: { readonly request: IReservationRef, readonly reply: { readonly dropped: boolean } }
  readonly configSince: { readonly request: { readonly digest: string }, readonly reply: { readonly entries: readonly IConfigEntry[] } }
  readonly dump: { readonly request: { readonly section?: string }, readonly reply: { readonly json: string } }
  readonly drain: { readonly request: { readonly hostId?: string }, readonly reply: { readonly draining: boolean } }
  readonly cellSubmit: { readonly request: ISubmission, readonly reply: ICellSubmitReply }
  readonly cellState: { readonly request: ICellJobRequest, readonly reply: ICellStateReply }
  readonly cellCancel: { readonly request: ICellJobRequest, readonly reply: { readonly result: CancelOutcome } }
  readonly cellWaiting: { readonly request: ICallerAccess, readonly reply: ICellWaitingReply }
  /** Asks the owner for the operator's configuration, if the owner has a newer version than the given one. */
  readonly cellConfig: { readonly request: { readonly version: number }, readonly reply: { readonly record?: string } }
  readonly cellAdvise: { readonly request: ICellAdviceRequest, readonly reply: ICellAdviceReply }
  readonly cellOffer: { readonly request: ICellOwnerCast, readonly reply: ICellOfferReply }
  /** Like `cellOffer`, but the called process tries to reach the store first and is willing only if the store answers. */
  readonly cellRelief: { readonly request: ICellOwnerCast, readonly reply: ICellOfferReply }
  /** The owner tries to reach the store and replies whether it succeeded. */
  readonly cellReach: { readonly request: Readonly<Record<string, never>>, readonly reply: { readonly isReached: boolean } }
  /** Any process replies at once. */
  readonly cellPing: { readonly request: Readonly<Record<string, never>>, readonly reply: Readonly<Record<string, never>> }
  /** The called process tries for up to `waitMs` to reach another process and replies whether it succeeded. */
  readonly cellWitness: { readonly request: { readonly processId: string, readonly waitMs: number }, readonly reply: { readonly isReached: boolean } }
  /** The processes that the called process has a link to. */
  readonly cellLinks: { readonly request: Readonly<Record<string, never>>, readonly reply: { readonly processIds: readonly string[] } }
  /** The called process takes the cell over from this owner. It replies when this has succeeded or failed. */
  readonly cellTakeOver: { readonly request: ICellTakeOverRequest, readonly reply: { readonly isOwner: boolean } }
}

/** The casts by name, with their bodies. */
export interface IPeerCasts {
  readonly loadSummary: ILoadSummary
  readonly configEntries: { readonly entries: readonly IConfigEntry[] }
  readonly members: IMembersCast
  readonly taskUpdate: ITaskUpdate
  readonly cellOwner: ICellOwnerCast
  readonly cellStandby: ICellStandbyCast
}

export type PeerCallName = keyof IPeerCalls
export type PeerCastName = keyof IPeerCasts
