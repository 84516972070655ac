/**
 * What operators configure: profiles, the services that use them, and the teams with their quotas.
 */

import type { EpochMs } from '../Types.js'

export type PriorityClass = 'urgent' | 'normal' | 'patient'
export type SpreadRule = 'none' | 'failureDomain'
export type CrossRegionRule = 'never' | 'whenWorthIt'

/** How a class of work is scheduled. The bounds given below are checked when an operator puts a profile. */
export interface IProfile {
  readonly name: string
  readonly priorityClass: PriorityClass
  /** The deadline for requests that state none, in milliseconds from arrival: 10 to 86,400,000. */
  readonly deadlineMs: number
  /** The share of capacity that is guaranteed to this profile while it has work waiting: 0 to 0.9. */
  readonly floorShare: number
  /** Its weight against profiles of the same class: 0.01 to 1,000. */
  readonly weight: number
  /** The most requests and tasks of this profile that one scheduler runs at once: 1 to 1,000,000. */
  readonly maxRunning: number
  /** Whether all tasks of a job start together or not at all. */
  readonly allAtOnce: boolean
  readonly spread: SpreadRule
  readonly crossRegion: CrossRegionRule
  /** The wait that a move to another region must save, in milliseconds: 0 to 3,600,000. */
  readonly crossRegionGainMs: number
  /** Further attempts for idempotent work that failed: 0 to 10. */
  readonly maxRetries: number
  /** Whether its tasks may be stopped to free capacity for urgent ones. */
  readonly preemptible: boolean
  /** Whether a request counts as idempotent if its caller does not say. */
  readonly idempotentDefault: boolean
}

export interface IServiceConfig {
  readonly name: string
  readonly profile: string
  readonly team: string
}

export interface ITeamConfig {
  readonly name: string
  /** The most slots its requests hold at once in one scheduler: 1 to 1,000,000. */
  readonly maxSlots: number
  /** The most cores its tasks hold at once: 0.1 to 10,000,000. */
  readonly maxCores: number
  /** The most accelerators its tasks hold at once: 0 to 1,000,000. */
  readonly maxAccelerators: number
}

export type ConfigKind = 'profile' | 'service' | 'team'

/** One revision of a profile, service or team. A deletion is a revision too, so that an older copy can't undo it. */
export interface IConfigEntry {
  readonly kind: ConfigKind
  readonly name: string
  /** Increases by one with each accepted change. */
  readonly revision: number
  readonly deleted: boolean
  /** Absent when deleted. */
  readonly value?: IProfile | IServiceConfig | ITeamConfig
  /** Who made the change. With the nonce, a writer recognises its own change when the answer of the store was lost. */
  readonly writer: string
  readonly nonce: string
  readonly changedAt: EpochMs
}

/** A process's copy of the configuration. */
export interface IConfigReplica {
  /** Applies the entries from the store or a peer with a higher revision than its own, and returns those. */
  apply (entries: readonly IConfigEntry[]): readonly IConfigEntry[]
  get (kind: ConfigKind, name: string): IConfigEntry | undefined
  entries (): readonly IConfigEntry[]
  profile (name: string): { readonly profile: IProfile, readonly revision: number } | undefined
  service (name: string): IServiceConfig | undefined
  team (name: string): ITeamConfig | undefined
  /** A short digest that differs when any revision differs; peers compare it before they exchange entries. */
  digest (): string
}
