/**
 * Stores the waiting all-at-once jobs (groups) and the capacity held for them.
 */

import { fits } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { IWorkItem } from './Types.js'

export interface IGroupTask {
  readonly item: IWorkItem
  readonly need: IResources
}

export interface IHold extends IGroupTask {
  readonly host: LedgerHost
}

export interface IGroup {
  readonly groupId: string
  /** The largest first: if it doesn't fit, the others need not be tried. */
  readonly tasks: IGroupTask[]
  readonly holds: Map<string, IHold>
  /** The class rank of its profile; the lowest goes first. */
  readonly rank: number
  readonly expiresAtMs: MonotonicMs
  /** False for a part of a job that spans schedulers: its coordinator starts it. */
  readonly startsItself: boolean
  queuedAtMs: MonotonicMs
  gatheringSinceMs: MonotonicMs | undefined
  /** When the hosts that are drained for it are expected to have enough free capacity. */
  startsAtMs: MonotonicMs
}

/** Notified of each hold that is added (1) or released (-1). */
export interface IHoldObserver {
  holdChanged (item: IWorkItem, host: LedgerHost, sign: 1 | -1): void
}

export class GroupStore {
  private readonly _groups = new Map<string, IGroup>()
  private readonly _groupByItemId = new Map<string, IGroup>()
  private readonly _groupsWithHolds = new Set<IGroup>()
  private _earliestExpiryMs: MonotonicMs = Infinity

  public constructor (private readonly _ledger: CapacityLedger, private readonly _observer: IHoldObserver) {}

  public get itemCount (): number {
    return this._groupByItemId.size
  }

  public get groupCount (): number {
    return this._groups.size
  }

  public get earliestExpiryMs (): MonotonicMs {
    return this._earliestExpiryMs
  }

  public groups (): IterableIterator<IGroup> {
    return this._groups.values()
  }

  /** The groups that have at least one hold. */
  public groupsWithHolds (): IterableIterator<IGroup> {
    return this._groupsWithHolds.values()
  }

  public group (groupId: string): IGroup | undefined {
    return this._groups.get(groupId)
  }

  public add (group: IGroup): void {
    group.tasks.sort((a, b) => this._ledger.shareOf(b.need) - this._ledger.shareOf(a.need))
    this._groups.set(group.groupId, group)
    for (const { item } of group.tasks) this._groupByItemId.set(item.id, group)
    this._earliestExpiryMs = Math.min(this._earliestExpiryMs, group.expiresAtMs)
  }

  /** Removes the group and releases its holds. */
  public remove (groupId: string): IGroup | undefined {
    const group = this._groups.get(groupId)
    if (group === undefined) return undefined
    this.releaseHolds(group)
    this._groups.delete(groupId)
    for (const { item } of group.tasks) this._groupByItemId.delete(item.id)
    return group
  }

  public has (itemId: string): boolean {
    return this._groupByItemId.has(itemId)
  }

  /** Removes one item; the rest of its group still starts together. */
  public cancelItem (itemId: string): boolean {
    const group = this._groupByItemId.get(itemId)
    if (group === undefined) return false
    this._groupByItemId.delete(itemId)
    this._release(group, itemId)
    group.tasks.splice(group.tasks.findIndex(({ item }) => item.id === itemId), 1)
    if (group.tasks.length === 0) this.remove(group.groupId)
    return true
  }

  /** Releases all holds on a host that was removed or accepts no new work; their groups then need capacity elsewhere. */
  public releaseHost (host: LedgerHost): void {
    for (const group of this._groupsWithHolds) {
      for (const hold of group.holds.values()) {
        if (hold.host === host) this._release(group, hold.item.id)
      }
    }
  }

  /** Removes and returns a group that has expired. */
  public removeExpired (nowMs: MonotonicMs): IGroup | undefined {
    if (nowMs < this._earliestExpiryMs) return undefined
    this._earliestExpiryMs = Infinity
    let expired: IGroup | undefined
    for (const group of this._groups.values()) {
      if (group.expiresAtMs <= nowMs) expired ??= group
      if (group !== expired) this._earliestExpiryMs = Math.min(this._earliestExpiryMs, group.expiresAtMs)
    }
    return expired === undefined ? undefined : this.remove(expired.groupId)
  }

  public hold (group: IGroup, task: IGroupTask, host: LedgerHost): void {
    group.holds.set(task.item.id, { ...task, host })
    this._groupsWithHolds.add(group)
    this._ledger.hold(host, task.need)
    this._observer.holdChanged(task.item, host, 1)
  }

  /** Moves a hold to another host. */
  public moveHold (group: IGroup, hold: IHold, host: LedgerHost): void {
    const { item, need } = hold
    this._release(group, item.id)
    this.hold(group, { item, need }, host)
  }

  public releaseHolds (group: IGroup): void {
    for (const itemId of [...group.holds.keys()]) this._release(group, itemId)
    group.gatheringSinceMs = undefined
    group.startsAtMs = 0
  }

  public isComplete (group: IGroup): boolean {
    return group.holds.size === group.tasks.length
  }

  /** Whether every task has a hold and the work that ran in the held capacity has ended. */
  public isReady (group: IGroup): boolean {
    if (!this.isComplete(group)) return false
    for (const { host } of group.holds.values()) {
      if (!fits(host.held, host.unused())) return false
    }
    return true
  }

  /** The ids of the items whose held capacity is free for them now. */
  public readyIds (group: IGroup): readonly string[] {
    const ready = [...group.holds.values()].filter(({ host }) => fits(host.held, host.unused()))
    return ready.map(({ item }) => item.id)
  }

  private _release (group: IGroup, itemId: string): void {
    const hold = group.holds.get(itemId)
    if (hold === undefined) return
    group.holds.delete(itemId)
    if (group.holds.size === 0) this._groupsWithHolds.delete(group)
    this._ledger.releaseHold(hold.host, hold.need)
    this._observer.holdChanged(hold.item, hold.host, -1)
  }
}
