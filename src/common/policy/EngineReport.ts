/**
 * Reports the state of an engine: its load for other schedulers, a state dump for operators.
 */

import { classRank } from './FairQueue.js'

import type { Admission } from './Admission.js'
import type { CapacityLedger } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { GroupStore } from './GroupStore.js'
import type { HostIndex } from './HostIndex.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { IEngineLoad } from './Types.js'
import type { UsageTracker } from './UsageTracker.js'

/** The maximum number of entries of each kind in a dump. */
export const MAX_DUMPED = 100

export class EngineReport {
  public constructor (
    private readonly _ledger: CapacityLedger,
    private readonly _index: HostIndex,
    private readonly _usage: UsageTracker,
    private readonly _queue: FairQueue,
    private readonly _groupStore: GroupStore,
    private readonly _admission: Admission
  ) {}

  public queuedCount (): number {
    return this._queue.size + this._groupStore.itemCount
  }

  public load (): IEngineLoad {
    return {
      queued: this.queuedCount(),
      running: this._ledger.runningCount,
      capacity: { ...this._ledger.capacity },
      used: { ...this._ledger.used },
      largestFree: this._index.largestFree(),
      expectedWaitMs: this._expectedWaits()
    }
  }

  public dump (): Readonly<Record<string, unknown>> {
    return {
      engine: 'decisions',
      hosts: this._ledger.hostCount,
      load: this.load(),
      profiles: [...this._queue.profiles()].slice(0, MAX_DUMPED).map((queue) => this._dumpProfile(queue))
    }
  }

  /** The share of the capacity that the profile could have: what the profiles that go before it leave unused, and at least its floor. */
  public priorRate (queue: ProfileQueue): number {
    const rank = classRank(queue.profile.priorityClass)
    let others = 0
    for (const other of this._queue.profiles()) {
      if (other === queue || classRank(other.profile.priorityClass) > rank) continue
      others += this._usage.profileShare(other.profile.name, this._ledger.capacity)
    }
    return Math.max(1 - others, this._queue.floorShare(queue))
  }

  private _dumpProfile (queue: ProfileQueue): Readonly<Record<string, unknown>> {
    const { name } = queue.profile
    return {
      profile: name,
      queued: queue.queuedCount,
      callers: queue.activeCallers,
      running: this._usage.profileCount(name),
      share: this._usage.profileShare(name, this._ledger.capacity),
      expectedWaitMs: this._admission.expectedWaitMs(queue, this.priorRate(queue))
    }
  }

  private _expectedWaits (): Readonly<Record<'urgent' | 'normal' | 'patient', number>> {
    const waits = { urgent: 0, normal: 0, patient: 0 }
    for (const queue of this._queue.profiles()) {
      const { priorityClass } = queue.profile
      waits[priorityClass] = Math.max(waits[priorityClass], this._admission.expectedWaitMs(queue, this.priorRate(queue)))
    }
    return waits
  }
}
