/**
 * Tracks the running work of each profile and each team, and checks it against the quotas and limits that operators
 * set.
 */

import { addInto, dominantShare, subtractFrom, zeroResources } from './Resources.js'

import type { IResources } from '../Types.js'
import type { IProfile, ITeamConfig } from '../config/Types.js'
import type { IMutableResources } from './Resources.js'
import type { IWorkItem } from './Types.js'

/** What hosts offer: slots for requests, or cores, memory and accelerators for tasks. */
export type CapacityKind = 'slots' | 'resources'

interface IUsage {
  count: number
  readonly resources: IMutableResources
}

export class UsageTracker {
  private readonly _profiles = new Map<string, IUsage>()
  private readonly _teams = new Map<string, IUsage>()
  private readonly _quotas = new Map<string, ITeamConfig>()

  public constructor (private readonly _kind: CapacityKind) {}

  public putTeam (team: ITeamConfig): void {
    this._quotas.set(team.name, team)
  }

  public add (item: IWorkItem, counted: IResources): void {
    for (const usage of this._usagesOf(item)) {
      usage.count += 1
      addInto(usage.resources, counted)
    }
  }

  public remove (item: IWorkItem, counted: IResources): void {
    for (const usage of this._usagesOf(item)) {
      usage.count -= 1
      subtractFrom(usage.resources, counted)
    }
  }

  /** Updates the usage of a running item after a report. */
  public update (item: IWorkItem, before: IResources, after: IResources): void {
    for (const usage of this._usagesOf(item)) {
      subtractFrom(usage.resources, before)
      addInto(usage.resources, after)
    }
  }

  public profileCount (name: string): number {
    return this._profiles.get(name)?.count ?? 0
  }

  /** The share of `capacity` that the profile uses in its dominant resource. */
  public profileShare (name: string, capacity: IResources): number {
    const usage = this._profiles.get(name)
    return usage === undefined ? 0 : dominantShare(usage.resources, capacity)
  }

  public isWithinMaxRunning (profile: IProfile, count = 1): boolean {
    return this.profileCount(profile.name) + count <= profile.maxRunning
  }

  /** Whether the team's quota allows all of these items now; they belong to one team. */
  public isWithinQuota (items: readonly IWorkItem[]): boolean {
    const [first] = items
    const quota = first === undefined ? undefined : this._quotas.get(first.team)
    if (first === undefined || quota === undefined) return true
    return this._fitsQuota(items, quota, this._teams.get(first.team))
  }

  /** Whether the items would be within their team's quota if nothing else of the team ran. */
  public couldEverFitQuota (items: readonly IWorkItem[]): boolean {
    const [first] = items
    const quota = first === undefined ? undefined : this._quotas.get(first.team)
    return quota === undefined || this._fitsQuota(items, quota, undefined)
  }

  private _fitsQuota (items: readonly IWorkItem[], quota: ITeamConfig, usage: IUsage | undefined): boolean {
    if (this._kind === 'slots') return (usage?.count ?? 0) + items.length <= quota.maxSlots
    const sum = zeroResources()
    if (usage !== undefined) addInto(sum, usage.resources)
    for (const item of items) addInto(sum, item.resources)
    return sum.cores <= quota.maxCores && sum.accelerators <= quota.maxAccelerators
  }

  private _usagesOf (item: IWorkItem): readonly IUsage[] {
    return [usageOf(this._profiles, item.profile.name), usageOf(this._teams, item.team)]
  }
}

function usageOf (usages: Map<string, IUsage>, name: string): IUsage {
  const known = usages.get(name)
  if (known !== undefined) return known
  const usage: IUsage = { count: 0, resources: zeroResources() }
  usages.set(name, usage)
  return usage
}
