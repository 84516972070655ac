/**
 * All-at-once jobs: their places are held one by one and started together, without two jobs ever waiting for each other.
 */

import { addInto, difference, dominantShare, fits, zeroResources } from './Resources.js'

import type { MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { HostChooser } from './HostChooser.js'
import type { IWorkItem } from './Types.js'
import type { UseLedger } from './UseLedger.js'

/** Groups looked at for places that are free anyway; a later small one may start while an early large one waits. */
const MAX_GROUPS_TRIED = 8

/** How long a group waits for enough room by chance before room is gathered for it, which costs idle room. */
const GATHER_AFTER_MS = 1_000

/** Gathering that has not come to an end in this time is given up in favour of the next group: its room may never come. */
const MAX_GATHER_MS = 600_000

export interface IHold {
  readonly item: IWorkItem
  readonly host: LedgerHost
}

export interface IGroup {
  readonly groupId: string
  /** The largest first: where it doesn't fit, nothing else needs to be tried. */
  readonly items: IWorkItem[]
  readonly holds: Map<string, IHold>
  /** Class rank of its profile; the lowest goes first. */
  readonly rank: number
  readonly expiresAtMs: MonotonicMs
  /** False for a part of a job that spans schedulers: it starts when its coordinator says so. */
  readonly startsItself: boolean
  queuedAtMs: MonotonicMs
  gatheringSinceMs: MonotonicMs | undefined
}

/** Whether it is this group's turn to have room gathered for it. */
export type TurnTest = (group: IGroup) => boolean

export class GroupPlacer {
  private readonly _groups = new Map<string, IGroup>()
  private readonly _groupOf = new Map<string, IGroup>()
  private _gathering: IGroup | undefined

  public constructor (
    private readonly _ledger: CapacityLedger,
    private readonly _use: UseLedger,
    private readonly _chooser: HostChooser
  ) {}

  public get itemCount (): number {
    return this._groupOf.size
  }

  public get groupCount (): number {
    return this._groups.size
  }

  /** The group for which room is being gathered. */
  public get gathering (): IGroup | undefined {
    return this._gathering
  }

  public group (groupId: string): IGroup | undefined {
    return this._groups.get(groupId)
  }

  public has (itemId: string): boolean {
    return this._groupOf.has(itemId)
  }

  public add (group: IGroup): void {
    group.items.sort((a, b) => this._ledger.shareOf(b.resources) - this._ledger.shareOf(a.resources))
    this._groups.set(group.groupId, group)
    for (const item of group.items) this._groupOf.set(item.id, group)
  }

  /** Forgets the group and gives its room back. */
  public drop (groupId: string): IGroup | undefined {
    const group = this._groups.get(groupId)
    if (group === undefined) return undefined
    this._giveBack(group)
    this._groups.delete(groupId)
    for (const item of group.items) this._groupOf.delete(item.id)
    return group
  }

  /** Takes one item out; the rest of its group still starts together. */
  public cancelItem (itemId: string): boolean {
    const group = this._groupOf.get(itemId)
    if (group === undefined) return false
    this._groupOf.delete(itemId)
    this._release(group, itemId)
    group.items.splice(group.items.findIndex((item) => item.id === itemId), 1)
    if (group.items.length === 0) this.drop(group.groupId)
    return true
  }

  /** Places held on a host that is gone or gets nothing new are looked for anew. */
  public forgetHost (host: LedgerHost): void {
    for (const group of this._groups.values()) {
      for (const hold of group.holds.values()) {
        if (hold.host === host) this._release(group, hold.item.id)
      }
    }
  }

  /** Takes out a group whose time is up. */
  public takeExpired (nowMs: MonotonicMs): IGroup | undefined {
    for (const group of this._groups.values()) {
      if (group.expiresAtMs <= nowMs) return this.drop(group.groupId)
    }
    return undefined
  }

  /** When something here is due although no room has come free. */
  public nextWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    let wakeAtMs = Infinity
    for (const group of this._groups.values()) {
      const gatherAtMs = group.queuedAtMs + GATHER_AFTER_MS
      wakeAtMs = Math.min(wakeAtMs, group.expiresAtMs, gatherAtMs > nowMs ? gatherAtMs : Infinity)
    }
    return wakeAtMs
  }

  /**
   * Moves the groups on and gives one that can start itself now.
   *
   * Made for jobs of many tasks among a stream of small ones. Left to chance, a large job never finds all its room at
   * one moment: it starves, though each small task waits hardly at all. So room that comes free is gathered for one
   * group at a time. Were it gathered for two, each could hold half and wait for the other for ever, which shows
   * as hosts held but idle; with one, its wait is bounded by the run times of what is in its way.
   */
  public advance (nowMs: MonotonicMs, isItsTurn: TurnTest): IGroup | undefined {
    this._stopStalled(nowMs)
    this._startGathering(nowMs, isItsTurn)
    if (this._gathering !== undefined) this._gather(this._gathering)
    this._tryOthers(isItsTurn)
    for (const group of this._groups.values()) {
      if (group.startsItself && this.isReady(group)) return group
    }
    return undefined
  }

  /** Whether every place is held and the work let into them meanwhile has ended. */
  public isReady (group: IGroup): boolean {
    if (group.holds.size < group.items.length) return false
    for (const { host } of group.holds.values()) {
      if (!fits(host.held, host.unused())) return false
    }
    return true
  }

  /** The share of the capacity that the gathering still lacks. */
  public lackingShare (group: IGroup): number {
    let share = 0
    for (const item of group.items) {
      if (!group.holds.has(item.id)) share += dominantShare(item.resources, this._ledger.capacity)
    }
    return share
  }

  private _stopStalled (nowMs: MonotonicMs): void {
    const group = this._gathering
    if (group?.gatheringSinceMs === undefined || nowMs - group.gatheringSinceMs < MAX_GATHER_MS) return
    this._giveBack(group)
    group.queuedAtMs = nowMs
  }

  private _startGathering (nowMs: MonotonicMs, isItsTurn: TurnTest): void {
    if (this._gathering !== undefined) return
    let next: IGroup | undefined
    for (const group of this._groups.values()) {
      if (this._mayGather(group, nowMs) && (next === undefined || goesBefore(group, next)) && isItsTurn(group)) next = group
    }
    if (next === undefined) return
    next.gatheringSinceMs = nowMs
    this._gathering = next
  }

  /** Parts of a job that spans schedulers hold room elsewhere already, so room is gathered for them at once. */
  private _mayGather (group: IGroup, nowMs: MonotonicMs): boolean {
    if (group.holds.size === group.items.length || !this._isWithinLimits(group)) return false
    return !group.startsItself || nowMs - group.queuedAtMs >= GATHER_AFTER_MS
  }

  private _gather (group: IGroup): void {
    for (const item of group.items) {
      if (!group.holds.has(item.id) && !this._hold(group, item)) return
    }
    if (!group.startsItself) this._gathering = undefined
  }

  private _tryOthers (isItsTurn: TurnTest): void {
    let tried = 0
    for (const group of this._groups.values()) {
      if (group === this._gathering || group.holds.size > 0) continue
      tried += 1
      if (tried > MAX_GROUPS_TRIED) return
      if (this._couldFit(group) && isItsTurn(group) && this._isWithinLimits(group)) this._tryWhole(group)
    }
  }

  /** Enough is free in sum; without this look a large group would be tried in vain each time a task ends. */
  private _couldFit (group: IGroup): boolean {
    const sum = zeroResources()
    for (const item of group.items) addInto(sum, item.resources)
    return fits(sum, difference(this._ledger.capacity, this._ledger.used))
  }

  private _tryWhole (group: IGroup): void {
    for (const item of group.items) {
      if (this._hold(group, item)) continue
      this._giveBack(group)
      return
    }
  }

  private _isWithinLimits (group: IGroup): boolean {
    const [first] = group.items
    return first !== undefined && this._use.isProfileOpen(first.profile, group.items.length) && this._use.isWithinQuota(group.items)
  }

  private _hold (group: IGroup, item: IWorkItem): boolean {
    const host = this._chooser.choose(item)
    if (host === undefined) return false
    group.holds.set(item.id, { item, host })
    this._ledger.hold(host, item.resources)
    return true
  }

  private _giveBack (group: IGroup): void {
    for (const itemId of [...group.holds.keys()]) this._release(group, itemId)
    group.gatheringSinceMs = undefined
    if (this._gathering === group) this._gathering = undefined
  }

  private _release (group: IGroup, itemId: string): void {
    const hold = group.holds.get(itemId)
    if (hold === undefined) return
    group.holds.delete(itemId)
    this._ledger.releaseHold(hold.host, hold.item.resources)
  }
}

function goesBefore (a: IGroup, b: IGroup): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank
  if (a.startsItself !== b.startsItself) return !a.startsItself
  return a.queuedAtMs < b.queuedAtMs
}
