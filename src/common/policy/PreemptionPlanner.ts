/**
 * Chooses the stops for urgent work and tracks the pending ones, so that no more items are stopped than urgent work
 * needs and no profile falls below its floor.
 */

import { addInto } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { IProfile } from '../config/Types.js'
import type { CapacityLedger } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { VictimSelector } from './VictimSelector.js'
import type { IQueueEntry } from './QueueTypes.js'
import type { UsageTracker } from './UsageTracker.js'

export interface IStop {
  readonly itemId: string
  readonly hostId: string
}

export class PreemptionPlanner {
  /** Items being stopped, by id, with the shape of the urgent work that each of them makes way for. */
  private readonly _shapeByStoppingItem = new Map<string, string>()

  public constructor (
    private readonly _ledger: CapacityLedger,
    private readonly _usage: UsageTracker,
    private readonly _queue: FairQueue,
    private readonly _victimSelector: VictimSelector
  ) {}

  public recordEnd (itemId: string): void {
    this._shapeByStoppingItem.delete(itemId)
  }

  /**
   * Returns the items to stop now for an urgent entry; none while as many stops are pending as there are entries like
   * it.
   *
   * Stops take effect with a delay. Without the count of pending stops, each decision for a waiting urgent item would
   * request more, and all preemptible work would be stopped within milliseconds for a few urgent tasks.
   */
  public choose (entry: IQueueEntry, nowMs: MonotonicMs): readonly IStop[] {
    const { item, need, callerQueue } = entry
    const { shape } = callerQueue.lane
    if (this._countPending(shape) >= callerQueue.entries.size) return []
    const victims = this._victimSelector.choose(item, need, nowMs, (profile, lost) => this._keepsFloor(profile, lost))
    for (const victim of victims) {
      victim.isStopping = true
      this._shapeByStoppingItem.set(victim.item.id, shape)
    }
    return victims.map((victim) => ({ itemId: victim.item.id, hostId: victim.host.hostId }))
  }

  private _countPending (shape: string): number {
    let count = 0
    for (const other of this._shapeByStoppingItem.values()) if (other === shape) count += 1
    return count
  }

  /** Whether the profile keeps its floor without `lost` and without what is already being stopped. */
  private _keepsFloor (profile: IProfile, lost: IResources): boolean {
    const leaving = { ...lost }
    for (const itemId of this._shapeByStoppingItem.keys()) {
      const running = this._ledger.runningItem(itemId)
      if (running?.item.profile.name === profile.name) addInto(leaving, running.counted)
    }
    const left = this._usage.profileShare(profile.name, this._ledger.capacity) - this._ledger.shareOf(leaving)
    return left >= this._queue.floorShare(this._queue.profileFor(profile))
  }
}
