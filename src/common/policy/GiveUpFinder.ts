/**
 * Finds waiting work that will not start, because its time has run out or the hosts that could hold it have left.
 */

import { Feasibility } from './Feasibility.js'

import type { MonotonicMs, OutcomeReason } from '../Types.js'
import type { Admission } from './Admission.js'
import type { CapacityLedger } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { GroupStore, IGroup } from './GroupStore.js'
import type { IQueueEntry } from './QueueTypes.js'
import type { IWorkItem } from './Types.js'

export interface IGivenUp {
  readonly items: readonly IWorkItem[]
  readonly reason: OutcomeReason
  /** Whether capacity that was held for the items has become free. */
  readonly hasFreedCapacity: boolean
}

export class GiveUpFinder {
  private readonly _feasibility: Feasibility

  public constructor (
    private readonly _queue: FairQueue,
    private readonly _groupStore: GroupStore,
    private readonly _admission: Admission,
    private readonly _ledger: CapacityLedger
  ) {
    this._feasibility = new Feasibility(_ledger)
  }

  /** Removes and returns the next work to give up; undefined when there is none now. */
  public removeNext (nowMs: MonotonicMs): IGivenUp | undefined {
    return this._removeInfeasible() ?? this._removeExpired(nowMs)
  }

  private _removeExpired (nowMs: MonotonicMs): IGivenUp | undefined {
    const entry = this._queue.removeExpired(nowMs)
    if (entry !== undefined) {
      this._admission.recordDequeued(entry.queue, 0)
      return { items: [entry.item], reason: 'deadline', hasFreedCapacity: false }
    }
    const group = this._groupStore.removeExpired(nowMs)
    return group === undefined ? undefined : { items: itemsOf(group), reason: 'deadline', hasFreedCapacity: true }
  }

  /** Scans the whole queue, but only after hosts were removed. */
  private _removeInfeasible (): IGivenUp | undefined {
    if (!this._feasibility.detectRemovedHosts() || this._queue.size + this._groupStore.groupCount === 0) return undefined
    const { couldHold, couldHoldAll } = this._feasibility.check()
    const entries = [...this._queue.entries()].filter(({ item }) => !couldHold(item.resources))
    const groups = [...this._groupStore.groups()].filter(({ tasks }) => !couldHoldAll(tasks.map(({ item }) => item.resources)))
    if (entries.length + groups.length === 0) return undefined
    for (const entry of entries) this._remove(entry)
    for (const { groupId } of groups) this._groupStore.remove(groupId)
    const reason = this._ledger.hostCount > 0 ? 'infeasible' : 'noUpstream'
    return { items: [...groups.flatMap(itemsOf), ...entries.map(({ item }) => item)], reason, hasFreedCapacity: groups.length > 0 }
  }

  private _remove (entry: IQueueEntry): void {
    this._queue.remove(entry.item.id)
    this._admission.recordDequeued(entry.queue, 0)
  }
}

/** The items to answer for a group. A part of a job that spans schedulers is answered by its coordinator. */
function itemsOf (group: IGroup): readonly IWorkItem[] {
  return group.startsItself ? group.tasks.map(({ item }) => item) : []
}
