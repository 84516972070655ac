/**
 * Types of a cell: jobs made of steps, the queues that accept them, the hosts that run them, and the answers of the outside
 * systems. Adapters translate the platform's messages to and from these types.
 */

import type { EpochMs } from '../Types.js'
import type { IResources } from './Resources.js'

/** One step of a job: `count` identical tasks. */
export interface IStepSpec {
  readonly count: number
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
  /** The caller's estimate of how long a task runs. It may be far off. */
  readonly estimateMs: number
  /** Numbers of the steps of the same job whose tasks must all be done before this step starts. */
  readonly after: readonly number[]
  readonly checkpointing: boolean
  /** All tasks run at the same time, or none does. */
  readonly gang: boolean
  readonly sameRack: boolean
  /** The step runs only on hosts with this label; empty allows every host. */
  readonly requiredLabel: string
  /** The rack that holds the step's data; empty if there is none. */
  readonly preferredRack: string
  /** The highest number of tasks of the step on one host; 0 means no limit. */
  readonly maxPerHost: number
  readonly speculative: boolean
  /** Its tasks are restarted however they end, until the job is cancelled. */
  readonly longRunning: boolean
  /** Runs on processor time that other tasks leave unused, and reserves no processor capacity. */
  readonly fills: boolean
}

export interface IJobSpec {
  readonly jobId: string
  /** The caller's description of the work, passed on to the hosts unchanged. */
  readonly description: string
  readonly steps: readonly IStepSpec[]
  /** How often the steps run on a schedule; 0 for a job that runs once and immediately. */
  readonly occurrences: number
}

/** How long the advice service takes for one step, and how long its tickets are valid. */
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
  /** 0 is the most urgent. */
  readonly priority: number
  /** The number of failed runs of a task after which its job fails. */
  readonly maxAttempts: number
  /** The objective is the length of the longest chain of steps times `stretch`, plus `targetMs`. */
  readonly stretch: number
  readonly targetMs: number
  readonly advice: IAdviceTerms | undefined
  /** Whether callers need no key. */
  readonly isPublic: boolean
}

/** A group of callers that share keys, a share of the cell and a limit. */
export interface IWorkspace {
  readonly name: string
  /** The digests of its keys, as `KeyDigest` computes them. The keys themselves are not kept. */
  readonly keyDigests: readonly string[]
  /** Its share of the cell while there is not enough for all, in jobs per second. */
  readonly weight: number
  /** The resources that its runs may use together; 0 means no limit. */
  readonly maximum: IResources
}

/** Why a record of another program, or a part of it, can't be used. */
export interface IMalformedField {
  /** The path of the field in the record; empty for the record as a whole. */
  readonly field: string
  readonly reason: string
}

export interface ICellConfig {
  readonly version: number
  readonly queues: readonly IQueue[]
  readonly workspaces: readonly IWorkspace[]
  /** What is wrong with the queues and workspaces that were left out. */
  readonly malformed: readonly IMalformedField[]
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
}

/** A host as its entry in the store describes it. */
export interface IHostEntry {
  readonly hostId: string
  /** Unix time of its start. A different value under the same id is a different incarnation. */
  readonly bornMs: EpochMs
  readonly service: string
  /** The address, as `ip:port`. */
  readonly address: string
  readonly failureDomain: string
  readonly draining: boolean
  /** The host's clock when it wrote the entry; undefined if the entry doesn't say. */
  readonly clockMs: number | undefined
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly labels: readonly string[]
  /** The label that names its rack. */
  readonly rack: string
}

/** Identifies one run of one task. */
export interface IRunRef {
  readonly jobId: string
  readonly step: number
  readonly index: number
  /** Increases with each start of the task. */
  readonly run: number
}

/** A run that an earlier owner recorded. */
export interface IRecordedRun {
  readonly step: number
  readonly index: number
  readonly run: number
  readonly hostId: string
  readonly bornMs: EpochMs
  /** For how long a later incarnation of the host may still carry out the start order, in ms; 0 if it can't. */
  readonly openMs: number
}

export interface IStartOrder {
  readonly ref: IRunRef
  readonly description: string
  /** On the host's clock. The host refuses the order after this time, and the leases of its runs last until then. */
  readonly deadlineMs: number
  readonly fence: number
  readonly checkpoint: string
  readonly ticket: string
}

/**
 * The result of a start order. `refused` and `unsent`: the run did not start and never will. `unanswered`: it may start now or
 * later, until its deadline. `fenced`: that host accepts only orders of a newer owner.
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

/** How a run ended. `lapsed`: its lease ran out; `broken`: another member of its gang ended; `alone`: other members of its gang were missing. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

export interface IEndRow {
  /** Increases by one with each end in this incarnation of the host. */
  readonly sequence: number
  readonly ref: IRunRef
  readonly end: EndKind
  readonly checkpoint: string
}

export interface IHoldOrder {
  readonly fence: number
  /** The host may forget the ends up to and including this sequence. */
  readonly acknowledgedSequence: number
  /** On the host's clock; if absent, the host keeps its present deadline. */
  readonly deadlineMs: number | undefined
  readonly waitMs: number
}

/** Everything that a host runs, and the ends that the owner hasn't acknowledged. */
export interface IHoldAnswer {
  readonly clockMs: number
  readonly bornMs: EpochMs
  readonly running: readonly IRunRow[]
  readonly ended: readonly IEndRow[]
  /** Whether there may be further ends that didn't fit into this answer. */
  readonly moreEnds: boolean
  /** The number of rows of both lists that were left out because they can't be read. */
  readonly unreadableRows: number
}

export type HoldOutcome =
  | { readonly kind: 'held', readonly answer: IHoldAnswer }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'otherIncarnation' }
  /** `hasAnswered`: the host itself has answered with an error, so it still serves. */
  | { readonly kind: 'failed', readonly reason: string, readonly hasAnswered?: boolean }

/** Sends orders to the hosts. */
export interface IHostOrders {
  start (host: IHostEntry, order: IStartOrder): Promise<StartOutcome>
  stop (host: IHostEntry, ref: IRunRef, fence: number): Promise<StopOutcome>
  hold (host: IHostEntry, order: IHoldOrder, signal: AbortSignal): Promise<HoldOutcome>
  /** Sends further orders to the host over new connections: the present ones may lead to an earlier incarnation, or may be broken. */
  reconnect (hostId: string): void
  /** Closes the connections to a host that is gone. */
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

export interface IAdviceRequest {
  readonly jobId: string
  readonly step: number
  readonly hostIds: readonly string[]
}

/** The advice service, which knows the hosts that may run a step. It handles one call at a time for each calling machine. */
export interface IAdviceService {
  ask (ask: IAdviceRequest, timeoutMs: number): Promise<AdviceOutcome>
}

export interface IMetadataItem {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** A record that was read only if it has changed. */
export type RecordChange = { readonly isChanged: false } | { readonly isChanged: true, readonly item: IMetadataItem | undefined }

export interface IMetadataRange {
  readonly items: readonly IMetadataItem[]
  readonly revision: number
}

export interface IMetadataEvent {
  readonly key: string
  readonly revision: number
  /** Absent if the key was deleted. */
  readonly item: IMetadataItem | undefined
}

export type WatchOutcome =
  | { readonly kind: 'events', readonly events: readonly IMetadataEvent[], readonly revision: number }
  /** The store no longer has the events in between: read everything again. */
  | { readonly kind: 'historyGone' }
  | { readonly kind: 'failed', readonly reason: string }

export interface ITransaction {
  /** Keys with the revision that each must have; 0 means that the key must not exist. */
  readonly expect: readonly { readonly key: string, readonly revision: number }[]
  readonly puts: readonly { readonly key: string, readonly value: string, readonly leaseId?: number | undefined }[]
  readonly removes: readonly string[]
}

/** `refused`: nothing was written. `unanswered`: it may have been written, or may still be while its conditions hold. */
export type CommitOutcome =
  | { readonly kind: 'committed', readonly revision: number }
  | { readonly kind: 'conflict', readonly items: readonly IMetadataItem[] }
  | { readonly kind: 'leaseGone' }
  | { readonly kind: 'refused', readonly reason: string }
  | { readonly kind: 'unanswered', readonly reason: string }

export type ReadOutcome<T> = { readonly kind: 'read', readonly value: T } | { readonly kind: 'failed', readonly reason: string }

export type RenewOutcome = 'renewed' | 'gone' | 'failed'

/** The platform's metadata store, which holds small records. */
export interface IMetadataStore {
  readonly callCount: number
  get (key: string): Promise<ReadOutcome<IMetadataItem | undefined>>
  /** Reads a record unless it still has this revision. Costs a write call, but transfers no record that is known. */
  getIfChanged (key: string, revision: number): Promise<ReadOutcome<RecordChange>>
  /** Reads all items under a prefix, page by page. */
  range (prefix: string): Promise<ReadOutcome<IMetadataRange>>
  watch (prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<WatchOutcome>
  commit (transaction: ITransaction, timeoutMs: number): Promise<CommitOutcome>
  grantLease (ttlMs: number): Promise<ReadOutcome<number>>
  renewLease (leaseId: number): Promise<RenewOutcome>
  endLease (leaseId: number): Promise<void>
  dispose (): void
}

/** The phase of a job that callers see. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** What a caller may not do: `noQueue`: its queue doesn't exist; `unauthorized`: no workspace has its key. */
export type AccessRefusal = { readonly kind: 'noQueue' } | { readonly kind: 'unauthorized' }

/**
 * The result of a submission. `accepted` is returned only once the submission is stored, `refused` only if it isn't and never
 * will be. `inDoubt`: it is not known yet whether the submission is stored.
 */
export type SubmitOutcome =
  | { readonly kind: 'accepted' }
  | {
    readonly kind: 'refused'
    readonly reason: string
    readonly retryAfterMs: number
    /** The owner can't reach the store; another process may be able to. */
    readonly isStoreAway?: boolean
  }
  | AccessRefusal
  | { readonly kind: 'invalid', readonly reason: string }
  | { readonly kind: 'inDoubt', readonly reason: string }

/** The answer of a process that received a submission as the supposed owner. */
export type OwnerAnswer =
  | SubmitOutcome
  /** The process is no longer the owner. It has not stored the submission, and none of its requests to the store can still take effect. */
  | { readonly kind: 'notOwner', readonly reason: string }

export type StateOutcome =
  | { readonly kind: 'known', readonly phase: JobPhase }
  | { readonly kind: 'unknownJob' }
  | { readonly kind: 'unavailable', readonly reason: string }
  | AccessRefusal

export type CancelOutcome = 'cancelled' | 'unknownJob' | 'unavailable' | AccessRefusal['kind']

/** `count`: the number of accepted jobs that have not started. */
export type WaitingOutcome = { readonly kind: 'counted', readonly count: number } | { readonly kind: 'unavailable' } | AccessRefusal

/** Who calls, through which queue. The owner decides by its own configuration whether the call is allowed. */
export interface ICallerAccess {
  readonly queue: string
  /** The digest of the caller's key; empty if it has sent none. */
  readonly keyDigest: string
  /** The version of the configuration that the gateway used. The owner must have this version or a newer one before it decides. */
  readonly configVersion: number
}

export interface ISubmission extends ICallerAccess {
  readonly jobId: string
  /** The job as encoded by `encodeJob`. */
  readonly record: string
  /** How long the caller has already waited, in milliseconds. */
  readonly ageMs: number
}

/** The one process that owns the cell's hosts and jobs, as a gateway sees it. */
export interface ICellOwnerPort {
  submit (submission: ISubmission): Promise<OwnerAnswer>
  state (jobId: string, access: ICallerAccess): Promise<StateOutcome>
  cancel (jobId: string, access: ICallerAccess): Promise<CancelOutcome>
  waiting (access: ICallerAccess): Promise<WaitingOutcome>
}
