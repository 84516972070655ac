/**
 * The vocabulary of a cell: jobs of steps, the queues that take them, the hosts that run them, and what the outside
 * systems answer. An adapter translates the platform's messages into these types and back.
 */

import type { EpochMs } from '../Types.js'

/** One step of a job: `count` like tasks. */
export interface IStepSpec {
  readonly count: number
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
  /** The caller's guess of how long a task runs; may be far off. */
  readonly estimateMs: number
  /** Steps of the same job, by number, all of whose tasks have to be done first. */
  readonly after: readonly number[]
  readonly checkpointing: boolean
  /** All tasks run at the same time or not at all. */
  readonly gang: boolean
  readonly sameRack: boolean
  /** Only hosts with this label; empty for any. */
  readonly requiredLabel: string
  /** The rack that holds the data; empty for none. */
  readonly preferredRack: string
  /** Tasks of the step on one host; 0 for no bound. */
  readonly maxPerHost: number
  readonly speculative: boolean
  /** Restarted however its tasks end, until the job is cancelled. */
  readonly longRunning: boolean
  /** Takes what others leave of a host, and nothing of its capacity. */
  readonly fills: boolean
}

export interface IJobSpec {
  readonly jobId: string
  /** The caller's description of the work, passed on to the hosts as it came. */
  readonly description: string
  readonly steps: readonly IStepSpec[]
  /** How often the steps run on a schedule; 0 for a job that runs once, at once. */
  readonly occurrences: number
}

/** How long the advice service takes for one step, and how long a ticket of it is good. */
export interface IAdviceTerms {
  readonly baseMs: number
  readonly perHostMs: number
  readonly validMs: number
}

/** A queue as the operator configured it. */
export interface IQueue {
  readonly name: string
  readonly hostName: string
  readonly pathPrefix: string
  /** The pool of hosts that runs its tasks. */
  readonly service: string
  /** 0 goes first. */
  readonly priority: number
  /** Failed runs of a task after which its job has failed. */
  readonly maxAttempts: number
  /** The objective is this many times the longest chain of work, and `targetMs` more. */
  readonly stretch: number
  readonly targetMs: number
  readonly advice: IAdviceTerms | undefined
}

export interface ICellConfig {
  readonly version: number
  readonly queues: readonly IQueue[]
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
}

/** A host as its entry in the store tells. */
export interface IHostEntry {
  readonly hostId: string
  /** Unix time of its start: another value is another incarnation under the same id. */
  readonly bornMs: EpochMs
  readonly service: string
  /** `ip:port`. */
  readonly address: string
  readonly failureDomain: string
  readonly draining: boolean
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly labels: readonly string[]
  /** The label that names its rack. */
  readonly rack: string
}

/** Names one run of one task. */
export interface IRunRef {
  readonly jobId: string
  readonly step: number
  readonly index: number
  /** Rises with each start of the task. */
  readonly run: number
}

export interface IStartOrder {
  readonly ref: IRunRef
  readonly description: string
  /** On the host's clock: after it the order is refused, and until it what runs there is held. */
  readonly deadlineMs: number
  readonly fence: number
  readonly checkpoint: string
  readonly ticket: string
}

/**
 * What became of a start. `refused` and `unsent`: it did not run and never will. `unanswered`: it may run now or later,
 * until its deadline. `fenced`: a newer owner gives orders to that host.
 */
export type StartOutcome =
  | { readonly kind: 'started', readonly clockMs: number }
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'otherIncarnation' }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'unanswered' }
  | { readonly kind: 'fenced' }

export type StopOutcome = 'stopped' | 'fenced' | 'otherIncarnation' | 'unanswered'

export interface IRunRow {
  readonly ref: IRunRef
  readonly checkpoint: string
  readonly percent: number
}

/** How a run ended. `lapsed`: its lease ran out; `broken`: another member of its gang ended; `alone`: members were missing. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

export interface IEndRow {
  /** Rises by one with each end in this incarnation. */
  readonly sequence: number
  readonly ref: IRunRef
  readonly end: EndKind
  readonly checkpoint: string
}

export interface IHoldOrder {
  readonly fence: number
  /** Ends up to this sequence may be forgotten by the host. */
  readonly acknowledgedSequence: number
  /** On the host's clock; absent leaves it as it is. */
  readonly deadlineMs: number | undefined
  readonly waitMs: number
}

/** All that a host runs, and the ends that it hasn't been told to forget. */
export interface IHoldAnswer {
  readonly clockMs: number
  readonly bornMs: EpochMs
  readonly running: readonly IRunRow[]
  readonly ended: readonly IEndRow[]
  /** Whether there may be ends that this answer had no room for. */
  readonly moreEnds: boolean
}

export type HoldOutcome =
  | { readonly kind: 'held', readonly answer: IHoldAnswer }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'otherIncarnation' }
  | { readonly kind: 'failed', readonly reason: string }

/** Orders to the hosts. */
export interface IHostOrders {
  start (host: IHostEntry, order: IStartOrder): Promise<StartOutcome>
  stop (host: IHostEntry, ref: IRunRef, fence: number): Promise<StopOutcome>
  hold (host: IHostEntry, order: IHoldOrder, signal: AbortSignal): Promise<HoldOutcome>
  /** Closes what is open to a host that is gone. */
  forget (hostId: string): void
}

export interface ITicket {
  readonly hostId: string
  readonly ticket: string
}

export type AdviceOutcome =
  | { readonly kind: 'advised', readonly allowed: readonly ITicket[] }
  | { readonly kind: 'busy' }
  | { readonly kind: 'failed', readonly reason: string }

export interface IAdviceAsk {
  readonly jobId: string
  readonly step: number
  readonly hostIds: readonly string[]
}

/** The service that knows which hosts may run a step. It handles one call at a time for each machine that calls. */
export interface IAdviser {
  ask (ask: IAdviceAsk, timeoutMs: number): Promise<AdviceOutcome>
}

export interface IMetadataItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

export interface IMetadataRange {
  readonly items: readonly IMetadataItem[]
  readonly revision: number
}

export interface IMetadataEvent {
  readonly key: string
  readonly revision: number
  /** Absent: the key was deleted. */
  readonly item: IMetadataItem | undefined
}

export type WatchOutcome =
  | { readonly kind: 'events', readonly events: readonly IMetadataEvent[], readonly revision: number }
  /** What lies between can't be told any more: read everything again. */
  | { readonly kind: 'historyGone' }
  | { readonly kind: 'failed', readonly reason: string }

export interface ITransaction {
  /** Keys and the revision each must have; 0: it must not exist. */
  readonly expect: readonly { readonly key: string, readonly revision: number }[]
  readonly puts: readonly { readonly key: string, readonly value: string, readonly leaseId?: number | undefined }[]
  readonly removes: readonly string[]
}

/** `refused`: nothing was done. `unanswered`: it may have been done, or may be done later while its conditions hold. */
export type CommitOutcome =
  | { readonly kind: 'committed', readonly revision: number }
  | { readonly kind: 'conflict', readonly items: readonly IMetadataItem[] }
  | { readonly kind: 'leaseGone' }
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'unanswered', readonly reason: string }

export type ReadOutcome<T> = { readonly kind: 'read', readonly value: T } | { readonly kind: 'failed', readonly reason: string }

export type RenewOutcome = 'renewed' | 'gone' | 'failed'

/** The platform's store of small records. */
export interface IMetadataStore {
  readonly callCount: number
  get (key: string): Promise<ReadOutcome<IMetadataItem | undefined>>
  /** All items under a prefix, page by page. */
  range (prefix: string): Promise<ReadOutcome<IMetadataRange>>
  watch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<WatchOutcome>
  commit (transaction: ITransaction, timeoutMs: number): Promise<CommitOutcome>
  grantLease (ttlMs: number): Promise<ReadOutcome<number>>
  renewLease (leaseId: number): Promise<RenewOutcome>
  endLease (leaseId: number): Promise<void>
  dispose (): void
}

/** What callers are told of a job. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/**
 * What became of a submission. `accepted` is said once it is stored; `refused` only when it is not and never will be.
 * `inDoubt`: nobody can say yet.
 */
export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  | {
    readonly kind: 'refused'
    readonly reason: string
    readonly retryAfterMs: number
    /** The owner can't reach the store; another process may. */
    readonly isStoreAway?: boolean
  }
  | { readonly kind: 'noQueue' }
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'inDoubt', readonly reason: string }

/** What a process that a submission was sent to as the owner makes of it. */
export type OwnerAnswer =
  | SubmitOutcome
  /** It isn't the owner any more. It has not stored the submission, and what it sent to the store can't be done any more. */
  | { readonly kind: 'notOwner', readonly reason: string }

export type StateOutcome =
  | { readonly kind: 'known', readonly phase: JobPhase }
  | { readonly kind: 'unknownJob' }
  | { readonly kind: 'unavailable', readonly reason: string }

export type CancelOutcome = 'cancelled' | 'unknownJob' | 'unavailable'

export interface ISubmission {
  readonly jobId: string
  readonly queue: string
  /** The job as `encodeJob` gives it. */
  readonly record: string
  /** How long the caller has waited already, in milliseconds. */
  readonly ageMs: number
}

/** The one process that owns the cell's hosts and jobs, seen from a gateway. */
export interface ICellOwnerPort {
  submit (submission: ISubmission): Promise<OwnerAnswer>
  state (jobId: string): Promise<StateOutcome>
  cancel (jobId: string): Promise<CancelOutcome>
  waiting (queue: string): Promise<number | undefined>
}
