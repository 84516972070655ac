/**
 * Types that all layers share: identities, resources, time and the final answer of a request.
 */

/** Milliseconds of a monotonic clock; comparable within one process only. */
export type MonotonicMs = number

/** Milliseconds since the Unix epoch, as `Date.now()` returns; for display and for records that outlive a process. */
export type EpochMs = number

/** A source of time. It is passed in, so that tests run time-dependent decisions without waiting. */
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

/** Timers, passed in like the clock. */
export interface ITimers {
  /** Calls back once, after `delayMs` and after what had arrived on the sockets by then was read. */
  after (delayMs: number, callback: () => void): IDisposable
  /** Calls back every `periodMs` until disposed. */
  every (periodMs: number, callback: () => void): IDisposable
}

/** Random numbers in [0, 1), seeded in tests. */
export interface IRandom {
  next (): number
}

/** The location of a process or a host. */
export interface ILocation {
  readonly region: string
  readonly failureDomain: string
}

/** The identity of a process: a restart keeps `processId` and raises `incarnation`. */
export interface IProcessIdentity extends ILocation {
  readonly processId: string
  /** Wall-clock time of the process start in milliseconds, so that a restart gets a higher number. */
  readonly incarnation: number
}

/** The resources that a task needs or that a host has. */
export interface IResources {
  readonly cores: number
  readonly memoryBytes: number
  readonly accelerators: number
}

/** How a request ended, in the same form for callers, operators and records. */
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
  /** One sentence that explains the outcome to people. */
  readonly detail?: string
  /** When to retry, in milliseconds from now; set for `refused` and `notRun`. */
  readonly retryAfterMs?: number
  /** The upstream's HTTP status; set for `done`. */
  readonly status?: number
  readonly contentType?: string
  readonly body?: Uint8Array
  /** The host that ran the request or may have run it. */
  readonly upstream?: string
  readonly region?: string
  /** From arrival at the scheduler to dispatch, in milliseconds. */
  readonly waitMs?: number
  /** From dispatch to the whole answer, in milliseconds. */
  readonly serviceMs?: number
  /** The profile revision that the decision was made under. */
  readonly profileRevision?: number
}
