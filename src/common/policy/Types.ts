/**
 * The decisions under load: what is admitted, in which order it runs and where. Free of I/O; the scheduler feeds
 * events in and carries decisions out. One engine serves runners (a slot is one core) and another one workers.
 */

import type { IProfile, ITeamConfig } from '../config/Types.js'
import type { ILocation, IResources, MonotonicMs, OutcomeReason } from '../Types.js'

/** One request or one task that wants a place. */
export interface IWorkItem {
  /** Unique in this engine: the attempt id of a request, `taskId#attempt` of a task. */
  readonly id: string
  readonly caller: string
  readonly service: string
  readonly team: string
  readonly profile: IProfile
  /** A request needs one slot: `{ cores: 1, memoryBytes: 0, accelerators: 0 }`. */
  readonly resources: IResources
  readonly arrivedAtMs: MonotonicMs
  /** When its caller stops waiting; `Infinity` for tasks. */
  readonly deadlineAtMs: MonotonicMs
  /** Declared run time; often far off, or absent. */
  readonly declaredRunMs?: number
  readonly idempotent: boolean
  /** Hosts not to use again, because an attempt failed there. */
  readonly avoidHostIds?: readonly string[]
}

export interface IEngineHost extends ILocation {
  readonly hostId: string
  readonly shardId: string
  readonly capacity: IResources
  /** False for a host that is leaving, unfenced or unreachable: it keeps what runs there and gets nothing new. */
  readonly accepting: boolean
}

export type AdmitDecision =
  | { readonly admitted: true, readonly expectedWaitMs: number }
  | { readonly admitted: false, readonly reason: OutcomeReason, readonly detail: string, readonly retryAfterMs: number }

/** What to do next. */
export type EngineDecision =
  | { readonly type: 'place', readonly item: IWorkItem, readonly hostId: string, readonly waitMs: number }
  /** Stop this running item to make room; it stays counted until `finished` is called. */
  | { readonly type: 'preempt', readonly itemId: string, readonly hostId: string, readonly forItemId: string }
  /** It can't be started in time any more: answer its caller now. */
  | { readonly type: 'giveUp', readonly item: IWorkItem, readonly reason: OutcomeReason, readonly retryAfterMs: number }

export type AttemptEnd =
  /** Ran to its end. */
  | 'succeeded'
  /** Ran and failed: counts against the host. */
  | 'failed'
  /** Never started there (no slot, leaving, unreachable): counts against the host, not against the work. */
  | 'refused'
  /** Stopped by us. */
  | 'stopped'

export interface IEngineLoad {
  readonly queued: number
  readonly running: number
  readonly capacity: IResources
  readonly used: IResources
  /** The largest free place on one accepting host. */
  readonly largestFree: IResources
  readonly expectedWaitMs: Readonly<Record<'urgent' | 'normal' | 'patient', number>>
}

export interface IDecisionEngine {
  /** Adds a host or changes its capacity or whether it accepts. */
  putHost (host: IEngineHost): void
  /** Forgets a host. Gives the ids of what ran there; they are no longer counted. */
  removeHost (hostId: string): readonly string[]
  /** Counts work found running at a takeover, without a decision. Counts even where it exceeds the capacity. */
  adopt (item: IWorkItem, hostId: string): void
  /** Queues the item or refuses it at once. */
  admit (item: IWorkItem): AdmitDecision
  /** Queues items that start all together or not at all, on this engine's hosts. */
  admitGroup (groupId: string, items: readonly IWorkItem[]): AdmitDecision
  /** Takes queued work out (O(1)); says so when it already runs. */
  cancel (itemId: string): 'queued' | 'running' | 'absent'
  /** The next decision at the present time; call until it gives nothing. */
  next (): EngineDecision | undefined
  /** When `next` should be called again although nothing happened, because a deadline or a reservation runs out. */
  nextWakeAtMs (): MonotonicMs
  /** An attempt ended: its place is free, and the host's record and the run times are learnt. */
  finished (itemId: string, end: AttemptEnd, serviceMs: number): void
  /** Reported use of a running item; the ledger counts the larger of declared and reported. */
  reportUsage (itemId: string, usage: IResources): void
  /**
   * Holds places for tasks of a job that spans schedulers, until `expiresAtMs`. Gives the ids that got one at once;
   * the others wait for room until the reservation expires.
   */
  reserve (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs): readonly string[]
  /** Ids of a reservation that hold a place now. */
  reservedIds (groupId: string): readonly string[]
  /** Turns a reservation that holds all its places into placements; false when it doesn't (any more). */
  startReserved (groupId: string): readonly { readonly item: IWorkItem, readonly hostId: string }[] | undefined
  dropReservation (groupId: string): void
  putTeam (team: ITeamConfig): void
  load (): IEngineLoad
  /** Bounded, for a person: at most a few hundred lines at any size. */
  dump (): Readonly<Record<string, unknown>>
}
