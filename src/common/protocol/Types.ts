/**
 * What the system's own processes say to each other. Each method is a call with one reply or a cast without; the
 * links in `src/peer` carry them and know nothing of their meaning.
 */

import type { IConfigEntry } from '../config/Types.js'
import type { IFinalAnswer, ILocation, IProcessIdentity, IResources } from '../Types.js'

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
   * limited time only, so an attempt older than `MAX_ATTEMPT_AGE_MS` gets no claim. Absent counts as 0.
   */
  readonly ageMs?: number
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
  readonly state: 'queued' | 'reserved' | 'running' | 'succeeded' | 'failed' | 'stopped'
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

/**
 * On whose behalf a job's task is placed, reserved, started or cancelled. A scheduler refuses an epoch older than the
 * highest it has heard of for the id shard, so that a superseded owner of the job places nothing.
 */
export interface IJobFence {
  readonly idShard: string
  /** The epoch under which the job's owner holds that shard. */
  readonly epoch: number
}

/** What a scheduler knows of one task of a job, for a new owner of the job. */
export interface IKnownAttempt {
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
  readonly jobFence?: IJobFence
}

/** Asks the addressed scheduler to hold places for tasks of an all-at-once job, without starting them. */
export interface IReserveRequest {
  readonly jobId: string
  readonly tasks: readonly IPlaceTask[]
  /** The reservation goes by itself after this time. */
  readonly expiresMs: number
  /** Counts the tries of the job; a scheduler holds places for one try and acts on no command of another. */
  readonly tryNumber?: number
}

/** Names a reservation: of a job, and of which try. */
export interface IReservationRef {
  readonly jobId: string
  readonly jobFence?: IJobFence
  readonly tryNumber?: number
}

export interface IReserveReply {
  /** The tasks that got a place; all of them or as many as fit. */
  readonly reservedTaskIds: readonly string[]
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
  /** Raises the epoch of an id shard's jobs and lists their tasks here; a new owner asks every scheduler before it places. */
  readonly fenceJobs: { readonly ask: IJobFence, readonly reply: { readonly attempts: readonly IKnownAttempt[] } }
  readonly placeTask: { readonly ask: IPlaceTask, readonly reply: { readonly accepted: boolean } }
  readonly cancelTask: { readonly ask: { readonly jobId: string, readonly taskId: string }, readonly reply: { readonly known: boolean } }
  readonly reserve: { readonly ask: IReserveRequest, readonly reply: IReserveReply }
  readonly startReserved: { readonly ask: IReservationRef, readonly reply: { readonly started: boolean } }
  readonly dropReservation: { readonly ask: IReservationRef, readonly reply: { readonly dropped: boolean } }
  readonly configSince: { readonly ask: { readonly digest: string }, readonly reply: { readonly entries: readonly IConfigEntry[] } }
  readonly dump: { readonly ask: { readonly section?: string }, readonly reply: { readonly json: string } }
  readonly drain: { readonly ask: { readonly hostId?: string }, readonly reply: { readonly draining: boolean } }
}

/** Casts: news that needs no reply. */
export interface IPeerCasts {
  readonly loadSummary: ILoadSummary
  readonly configEntries: { readonly entries: readonly IConfigEntry[] }
  readonly members: { readonly members: readonly IMember[] }
  readonly taskUpdate: ITaskUpdate
}

export type PeerCallName = keyof IPeerCalls
export type PeerCastName = keyof IPeerCasts
