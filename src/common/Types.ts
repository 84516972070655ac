/**
 * The vocabulary that every layer shares: identities, resources, time and the final answer of a request.
 */

/** Milliseconds from a clock that only moves forward; comparable within one process only. */
export type MonotonicMs = number

/** Milliseconds since the Unix epoch, as `Date.now()` gives them; for people and for records that outlive a process. */
export type EpochMs = number

/** Where time comes from. Passed in, so that decisions run in a test without waiting. */
export interface IClock {
  /** Monotonic time in milliseconds, with fractions. */
  nowMs (): MonotonicMs
  /** Wall-clock time in milliseconds since the Unix epoch. */
  wallMs (): EpochMs
}

/** A running timer; `dispose` cancels it. */
export interface IDisposable {
  dispose (): void
}

/** Timers, passed in beside the clock. */
export interface ITimers {
  /** Calls back once, after `delayMs`. */
  after (delayMs: number, callback: () => void): IDisposable
  /** Calls back every `periodMs` until disposed. */
  every (periodMs: number, callback: () => void): IDisposable
}

/** Random numbers in [0, 1), seeded in tests. */
export interface IRandom {
  next (): number
}

/** Where a process or a host stands. */
export interface ILocation {
  readonly region: string
  readonly failureDomain: string
}

/** One identity of a process: a restart keeps `processId` and raises `incarnation`. */
export interface IProcessIdentity extends ILocation {
  readonly processId: string
  /** Wall-clock start of the process in milliseconds, so that a restart compares higher. */
  readonly incarnation: number
}

/** What a task needs or a host has. */
export interface IResources {
  readonly cores: number
  readonly memoryBytes: number
  readonly accelerators: number
}

/** How a request ended, in one form for callers, operators and records. */
export type FinalOutcome = 'done' | 'refused' | 'notRun' | 'unknown'

/** The reasons that accompany an outcome other than `done`. */
export type OutcomeReason =
  | 'overloaded' | 'quota' | 'deadline' | 'infeasible' | 'storeUnavailable' | 'noUpstream' | 'upstreamRefused'
  | 'upstreamCut' | 'upstreamTimeout' | 'linkLost' | 'cancelled' | 'draining' | 'duplicate' | 'internal'

/** The final answer of a request: exactly one per request, sent as soon as it is known. */
export interface IFinalAnswer {
  readonly outcome: FinalOutcome
  /** Set unless the outcome is `done`. */
  readonly reason?: OutcomeReason
  /** One sentence for a person. */
  readonly detail?: string
  /** When to come back, in milliseconds from now; set for `refused` and `notRun`. */
  readonly retryAfterMs?: number
  /** The upstream's HTTP status; set for `done`. */
  readonly status?: number
  readonly contentType?: string
  readonly body?: Uint8Array
  /** The host that ran it or may have run it. */
  readonly upstream?: string
  readonly region?: string
  /** From arrival at the scheduler to dispatch, in milliseconds. */
  readonly waitMs?: number
  /** From dispatch to the whole answer, in milliseconds. */
  readonly serviceMs?: number
  /** The profile revision that the decision was made under. */
  readonly profileRevision?: number
}
