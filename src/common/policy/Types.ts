/**
 * The interfaces of the decision engine, which decides what work is admitted, in which order it starts and on which
 * host. An engine performs no I/O: the scheduler feeds it events and carries out its decisions. One engine serves
 * runners (a slot is one core) and another one serves workers.
 */

import type { IProfile, ITeamConfig } from '../config/Types.js'
import type { ILocation, IResources, MonotonicMs, OutcomeReason } from '../Types.js'

/** One request or one task that needs capacity on a host. */
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
  /** When the caller stops waiting; `Infinity` for tasks. */
  readonly deadlineAtMs: MonotonicMs
  /** The declared run time; often inaccurate or absent. */
  readonly declaredRunMs?: number
  readonly idempotent: boolean
  /** Hosts to avoid because an earlier attempt failed there. */
  readonly avoidHostIds?: readonly string[]
}

export interface IEngineHost extends ILocation {
  readonly hostId: string
  readonly shardId: string
  readonly capacity: IResources
  /** False for a host that is leaving, unfenced or unreachable: its running work stays, no new work is placed on it. */
  readonly accepting: boolean
}

export type AdmitDecision =
  | { readonly admitted: true, readonly expectedWaitMs: number }
  | { readonly admitted: false, readonly reason: OutcomeReason, readonly detail: string, readonly retryAfterMs: number }

/** The next action for the scheduler. */
export type EngineDecision =
  | { readonly type: 'place', readonly item: IWorkItem, readonly hostId: string, readonly waitMs: number }
  /** Stop this running item to free capacity; it stays counted until `recordEnd` is called for it. */
  | { readonly type: 'preempt', readonly itemId: string, readonly hostId: string, readonly forItemId: string }
  /** The item can't be started any more: answer its caller now. */
  | { readonly type: 'giveUp', readonly item: IWorkItem, readonly reason: OutcomeReason, readonly retryAfterMs: number }

export type AttemptEnd =
  /** Ran to its end. */
  | 'succeeded'
  /** Ran and failed: counts against the host. */
  | 'failed'
  /** Never started there (no slot, leaving, unreachable): counts against the host, not against the work. */
  | 'refused'
  /** Stopped by the scheduler. */
  | 'stopped'

export interface IEngineLoad {
  readonly queued: number
  readonly running: number
  readonly capacity: IResources
  readonly used: IResources
  /** The largest free capacity of a single accepting host. */
  readonly largestFree: IResources
  readonly expectedWaitMs: Readonly<Record<'urgent' | 'normal' | 'patient', number>>
}

export interface IDecisionEngine {
  /** Adds a host, or updates its capacity and whether it accepts work. */
  putHost (host: IEngineHost): void
  /** Removes a host and returns the ids of the items that ran there; they are no longer counted. */
  removeHost (hostId: string): readonly string[]
  /** Counts an item found running at a takeover, without a decision, even where it exceeds the host's capacity. */
  adopt (item: IWorkItem, hostId: string): void
  /** Queues the item or refuses it at once. */
  admit (item: IWorkItem): AdmitDecision
  /** Queues items that start all together or not at all, on this engine's hosts. */
  admitGroup (groupId: string, items: readonly IWorkItem[]): AdmitDecision
  /** Removes a queued item (O(1)); returns 'running' for an item that has already started. */
  cancel (itemId: string): 'queued' | 'running' | 'absent'
  /** Returns the next decision for the current time; call it until it returns undefined. */
  next (): EngineDecision | undefined
  /** When to call `next` again if nothing else happens, because a deadline or a reservation expires. */
  nextWakeAtMs (): MonotonicMs
  /** Records the end of an attempt: frees its capacity and updates the host's health and the service's run times. */
  recordEnd (itemId: string, end: AttemptEnd, serviceMs: number): void
  /** Records the reported usage of a running item; the larger of declared and reported usage is counted. */
  reportUsage (itemId: string, usage: IResources): void
  /**
   * Reserves capacity for tasks of a job that spans schedulers, until `expiresAtMs`. Returns the ids that got capacity
   * at once; the others wait for it until the reservation expires.
   */
  reserve (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs): readonly string[]
  /** Returns the ids of the reservation's items that have capacity now. */
  reservedIds (groupId: string): readonly string[]
  /** Starts all items of a reservation; undefined when some of them have no capacity or the reservation has expired. */
  startReserved (groupId: string): readonly { readonly item: IWorkItem, readonly hostId: string }[] | undefined
  dropReservation (groupId: string): void
  putTeam (team: ITeamConfig): void
  load (): IEngineLoad
  /** A state dump for operators, bounded to a few hundred lines at any size. */
  dump (): Readonly<Record<string, unknown>>
}
