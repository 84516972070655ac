/**
 * What the system's own processes say to each other. Each method is a call with one reply or a cast without; the
 * links in `src/peer` carry them and know nothing of their meaning.
 */

import type {
  AdviceOutcome, CancelOutcome, IAdviceRequest, ISubmission, ITicket, JobPhase, OwnerAnswer, StateOutcome
} from '../cell/Types.js'
import type { IConfigEntry } from '../config/Types.js'
import type { IFinalAnswer, ILocation, IProcessIdentity, IResources, OutcomeReason } from '../Types.js'

export interface ISubmitRequest {
  /**
   * Unique for each attempt of a gateway to hand the request over. A claim is held by an attempt, and a gateway that
   * lost the link can have the attempt blocked, after which it can never run.
   */
  readonly attemptId: string
  readonly service: string
  readonly caller: string
  readonly requestId: string
  readonly idempotent: boolean
  /** What is left until the deadline when it was sent; no clocks are compared. */
  readonly remainingMs: number
  /** How long ago the gateway took the request, when it was sent; no clocks are compared. */
  readonly ageMs: number
  readonly contentType: string
  readonly body: Uint8Array
  /** Times that it has been moved between schedulers. */
  readonly hops: number
}

/** A claim is the right to dispatch a non-idempotent request: at most one attempt of an id ever holds it. */
export interface IClaimRequest {
  readonly idShard: string
  /** Hash of caller and request id. */
  readonly claimKey: string
  readonly attemptId: string
  /** The process that will dispatch, and that keeps the answer for repeats. */
  readonly holder: string
  /**
   * How long ago the attempt began, in milliseconds, counted by the asking process. Claims and blocks are kept for a
   * limited time only, so an attempt older than `MAX_ATTEMPT_AGE_MS` gets no claim.
   */
  readonly ageMs: number
}

export type ClaimReply =
  | { readonly decision: 'granted' }
  /** Another attempt holds it: ask its holder for the outcome. */
  | { readonly decision: 'duplicate', readonly attemptId: string, readonly holder: string }
  /** This attempt was blocked or its claim released: it must not dispatch. */
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
  /** The largest free place on one host of the shard. */
  readonly largestFree: IResources
}

/** What a scheduler tells those that route to it, about once a second and when it changes a lot. */
export interface ILoadSummary extends ILocation {
  readonly processId: string
  readonly incarnation: number
  readonly draining: boolean
  readonly storeReachable: boolean
  readonly shards: readonly IShardLoad[]
  /** Expected wait of a new request by priority class, in milliseconds. */
  readonly expectedWaitMs: Readonly<Record<'urgent' | 'normal' | 'patient', number>>
  readonly queued: number
}

export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead'

export interface IMember extends IProcessIdentity {
  readonly role: 'gateway' | 'scheduler'
  /** `ws://ip:port` of its peer listener. */
  readonly peerUrl: string
  /** `http://ip:port` of its operator listener. */
  readonly operatorUrl: string
  readonly state: MemberState
}

/**
 * What is said of a member's state. Of two statements about a process the one with the higher incarnation holds, then
 * the one with the higher sequence, then the graver state.
 */
export interface IMemberNews {
  readonly processId: string
  readonly incarnation: number
  /** Raised by the member alone, to refute what others say of it and to say that it leaves. */
  readonly sequence: number
  readonly state: MemberState
}

/** A member with the sequence of its state; the rest never changes within an incarnation. */
export interface IMemberRecord extends IMember, IMemberNews {}

/** Membership as peers pass it on: changes first, whole records on demand, digests to find what was missed. */
export interface IMembersCast {
  readonly news: readonly IMemberNews[]
  /** Whole records that the receiver asked for, or the sender's own. */
  readonly records?: readonly IMemberRecord[]
  /** Processes whose records the sender lacks. */
  readonly wanted?: readonly string[]
  /** Hash of the sender's view of all members not dead. */
  readonly viewHash?: number
  /** The same by bucket of process ids, when two views were found to differ. */
  readonly bucketHashes?: readonly number[]
  /** Buckets of which `news` holds every member that the sender knows. */
  readonly listedBuckets?: readonly number[]
}

export interface ITaskSpec {
  readonly taskId: string
  readonly resources: IResources
  /** Expected run time in milliseconds, as declared; absent for a long-running service. */
  readonly runMs?: number
}

export type JobState = 'accepted' | 'running' | 'succeeded' | 'failed' | 'cancelled'

export interface IJobSpec {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  /** Restart its tasks whenever they end or their host dies, until cancelled. */
  readonly longRunning: boolean
  readonly tasks: readonly ITaskSpec[]
}

export interface ITaskPlace {
  readonly taskId: string
  readonly attempt: number
  /**
   * `stopped`: this attempt is over without a result, or will never run. `unsure`: its host has changed hands or can't
   * be asked, so that it may still run.
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
  readonly tasks: readonly ITaskPlace[]
}

export interface ITaskUpdate {
  readonly jobId: string
  readonly place: ITaskPlace
}

/** Asks the addressed scheduler to place one task on any worker that it owns. */
export interface IPlaceTask {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  readonly task: ITaskSpec
  readonly attempt: number
  /** The process that hears what becomes of it. */
  readonly jobOwner: string
  /** The epoch under which it owns the job's id shard: a scheduler refuses one older than it has heard of. */
  readonly ownerEpoch?: number
  /** Hosts on which an attempt of this task has failed. */
  readonly avoidHostIds?: readonly string[]
}

/** Asks the addressed scheduler to start these tasks together on its workers, when it has room for all of them. */
export interface IPlaceGroup {
  readonly jobId: string
  readonly tasks: readonly IPlaceTask[]
}

export interface IPlaceReply {
  readonly accepted: boolean
  readonly reason?: OutcomeReason
  readonly retryAfterMs?: number
}

/** Asks for all tasks of one id shard's jobs that the addressed scheduler holds. */
export interface ITasksOfAsk {
  readonly idShard: string
  /** The epoch of the asking owner: from now on commands of an older one are refused. */
  readonly ownerEpoch: number
  /** The asking process, which from now on hears what becomes of them. */
  readonly jobOwner: string
  /** Of these jobs it also tells tasks that have ended lately; absent: of all. */
  readonly endedOf?: readonly string[]
}

export interface ITasksOfReply {
  /** Worker shards that it owns and whose hosts have all told it what they run, or are gone. */
  readonly settledShards: readonly string[]
  readonly tasks: readonly ITaskUpdate[]
}

/** Asks the addressed scheduler to hold places for tasks of an all-at-once job, without starting them. */
export interface IReserveRequest {
  readonly jobId: string
  readonly tasks: readonly IPlaceTask[]
  /** The reservation goes by itself after this time. */
  readonly expiresMs: number
  /** Rises with each try of the job; a scheduler holds places for one try and acts on no command of an earlier one. */
  readonly tryNumber: number
}

/** Names a reservation: of a job, and of which try. */
export interface IReservationRef {
  readonly jobId: string
  readonly tryNumber: number
}

export interface IReserveReply {
  /** The tasks that got a place; all of them or as many as fit. */
  readonly reservedTaskIds: readonly string[]
}

export interface ICancelTask {
  readonly jobId: string
  readonly taskId: string
  /** Only this attempt; absent: whichever is held. */
  readonly attempt?: number
  /** Leaves it alone once it has been sent to a host; to move queued work. */
  readonly onlyIfQueued?: boolean
}

/** A job on its way from the gateway that took it to the owner of the cell. */
export interface ICellSubmission extends ISubmission {
  /** The configuration under which the gateway took it: the owner acts on none that is older. */
  readonly configVersion: number
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

/** Asks a machine to ask the advice service, which handles the calls of each machine one after the other. */
export interface ICellAdviceAsk extends IAdviceRequest {
  readonly timeoutMs: number
}

export interface ICellAdviceReply {
  readonly kind: AdviceOutcome['kind']
  readonly allowed?: readonly ITicket[]
}

/** The owner of the cell tells who it is: a process that can't reach the store would not hear of it. */
export interface ICellOwnerCast {
  readonly processId: string
  readonly incarnation: number
  readonly peerUrl: string
  readonly revision: number
}

/** Asks a process whether it would take the cell over from this owner, which is about to stop. */
export interface ICellOfferReply {
  readonly isWilling: boolean
  /** How long it would let others go first: the further the store and the weaker the machine, the longer. */
  readonly yieldMs: number
  /** Where it can be dialled. */
  readonly peerUrl: string
}

/** The owner tells which process stands by for it, under this ownership. */
export interface ICellStandbyCast {
  readonly processId: string
  readonly peerUrl: string
  readonly revision: number
}

/** Calls: a name, what is asked, what is answered. */
export interface IPeerCalls {
  readonly submit: { readonly ask: ISubmitRequest, readonly reply: IFinalAnswer }
  readonly cancel: { readonly ask: { readonly attemptId: string }, readonly reply: { readonly cancelled: boolean } }
  readonly claim: { readonly ask: IClaimRequest, readonly reply: ClaimReply }
  readonly block: { readonly ask: IClaimRequest, readonly reply: BlockReply }
  readonly release: { readonly ask: IClaimRequest, readonly reply: { readonly released: boolean } }
  /** Waits for the final answer of an attempt that this process holds. */
  readonly outcomeOf: { readonly ask: { readonly attemptId: string, readonly waitMs: number }, readonly reply: IFinalAnswer }
  readonly submitJob: { readonly ask: IJobSpec, readonly reply: IFinalAnswer }
  readonly jobStatus: { readonly ask: { readonly jobId: string }, readonly reply: { readonly status?: IJobStatus, readonly owner: boolean } }
  readonly cancelJob: { readonly ask: { readonly jobId: string }, readonly reply: { readonly status?: IJobStatus, readonly owner: boolean } }
  readonly placeTask: { readonly ask: IPlaceTask, readonly reply: IPlaceReply }
  readonly placeGroup: { readonly ask: IPlaceGroup, readonly reply: IPlaceReply }
  readonly cancelTask: { readonly ask: ICancelTask, readonly reply: { readonly known: boolean } }
  readonly tasksOf: { readonly ask: ITasksOfAsk, readonly reply: ITasksOfReply }
  readonly reserve: { readonly ask: IReserveRequest, readonly reply: IReserveReply }
  readonly startReserved: { readonly ask: IReservationRef, readonly reply: { readonly started: boolean } }
  readonly dropReservation: { readonly ask: IReservationRef, readonly reply: { readonly dropped: boolean } }
  readonly configSince: { readonly ask: { readonly digest: string }, readonly reply: { readonly entries: readonly IConfigEntry[] } }
  readonly dump: { readonly ask: { readonly section?: string }, readonly reply: { readonly json: string } }
  readonly drain: { readonly ask: { readonly hostId?: string }, readonly reply: { readonly draining: boolean } }
  readonly cellSubmit: { readonly ask: ICellSubmission, readonly reply: ICellSubmitReply }
  readonly cellState: { readonly ask: { readonly jobId: string }, readonly reply: ICellStateReply }
  readonly cellCancel: { readonly ask: { readonly jobId: string }, readonly reply: { readonly result: CancelOutcome } }
  readonly cellWaiting: { readonly ask: { readonly queue: string }, readonly reply: { readonly count?: number } }
  readonly cellAdvise: { readonly ask: ICellAdviceAsk, readonly reply: ICellAdviceReply }
  readonly cellOffer: { readonly ask: ICellOwnerCast, readonly reply: ICellOfferReply }
  /** The same of a process that tries the store first: it is willing only if the store answers. */
  readonly cellRelief: { readonly ask: ICellOwnerCast, readonly reply: ICellOfferReply }
  /** Asks the owner whether it reaches the store now: it tries. */
  readonly cellReach: { readonly ask: Readonly<Record<string, never>>, readonly reply: { readonly isReached: boolean } }
  /** Answered at once by any process. */
  readonly cellPing: { readonly ask: Readonly<Record<string, never>>, readonly reply: Readonly<Record<string, never>> }
  /** Asks a process whether it reaches another one now: it tries, for `waitMs`. */
  readonly cellWitness: { readonly ask: { readonly processId: string, readonly waitMs: number }, readonly reply: { readonly isReached: boolean } }
  /** Asks a process which others it has a link to. */
  readonly cellLinks: { readonly ask: Readonly<Record<string, never>>, readonly reply: { readonly processIds: readonly string[] } }
  /** Has a process take the cell over from this owner; answered when that is done, or has failed. */
  readonly cellTakeOver: { readonly ask: ICellOwnerCast, readonly reply: { readonly isOwner: boolean } }
}

/** Casts: news that needs no reply. */
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
