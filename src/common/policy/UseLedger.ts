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

interface IUse {
  count: number
  readonly resources: IMutableResources
}

export class UseLedger {
  private readonly _profiles = new Map<string, IUse>()
  private readonly _teams = new Map<string, IUse>()
  private readonly _quotas = new Map<string, ITeamConfig>()

  public constructor (private readonly _kind: CapacityKind) {}

  public putTeam (team: ITeamConfig): void {
    this._quotas.set(team.name, team)
  }

  public add (item: IWorkItem, counted: IResources): void {
    for (const use of this._usesOf(item)) {
      use.count += 1
      addInto(use.resources, counted)
    }
  }

  public remove (item: IWorkItem, counted: IResources): void {
    for (const use of this._usesOf(item)) {
      use.count -= 1
      subtractFrom(use.resources, counted)
    }
  }

  /** Updates the usage of a running item after a report. */
  public recount (item: IWorkItem, before: IResources, after: IResources): void {
    for (const use of this._usesOf(item)) {
      subtractFrom(use.resources, before)
      addInto(use.resources, after)
    }
  }

  public profileCount (name: string): number {
    return this._profiles.get(name)?.count ?? 0
  }

  /** The share of `capacity` that the profile uses in its dominant resource. */
  public profileShare (name: string, capacity: IResources): number {
    const use = this._profiles.get(name)
    return use === undefined ? 0 : dominantShare(use.resources, capacity)
  }

  public isProfileOpen (profile: IProfile, count = 1): boolean {
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
  public couldEverRun (items: readonly IWorkItem[]): boolean {
    const [first] = items
    const quota = first === undefined ? undefined : this._quotas.get(first.team)
    return quota === undefined || this._fitsQuota(items, quota, undefined)
  }

  private _fitsQuota (items: readonly IWorkItem[], quota: ITeamConfig, use: IUse | undefined): boolean {
    if (this._kind === 'slots') return (use?.count ?? 0) + items.length <= quota.maxSlots
    const sum = zeroResources()
    if (use !== undefined) addInto(sum, use.resources)
    for (const item of items) addInto(sum, item.resources)
    return sum.cores <= quota.maxCores && sum.accelerators <= quota.maxAccelerators
  }

  private _usesOf (item: IWorkItem): readonly IUse[] {
    return [useOf(this._profiles, item.profile.name), useOf(this._teams, item.team)]
  }
}

function useOf (uses: Map<string, IUse>, name: string): IUse {
  const known = uses.get(name)
  if (known !== undefined) return known
  const use: IUse = { count: 0, resources: zeroResources() }
  uses.set(name, use)
  return use
}
