/**
 * Updates everything that depends on running work when an item starts or ends: capacity, quotas, fair shares, spread
 * and the candidates for preemption.
 */

import { DrainRate } from './DrainRate.js'
import { fits } from './Resources.js'
import { UrgentReserve } from './UrgentReserve.js'

import type { IClock, IResources } from '../Types.js'
import type { CapacityLedger, IRunningItem, LedgerHost } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { HostChooser } from './HostChooser.js'
import type { VictimSelector } from './VictimSelector.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { IWorkItem } from './Types.js'
import type { UsageTracker } from './UsageTracker.js'

/** An item about to start and the cost that its caller is charged. */
export interface IStart {
  readonly item: IWorkItem
  readonly need: IResources
  readonly queue: ProfileQueue
  readonly costMs: number
}

export interface IUsageReport {
  readonly item: IWorkItem
  readonly hasFreedCapacity: boolean
}

export class RunningWork {
  private readonly _starts = new Map<string, IStart>()
  private readonly _releaseRate = new DrainRate()
  private readonly _urgentReserve = new UrgentReserve()

  public constructor (
    private readonly _clock: IClock,
    private readonly _ledger: CapacityLedger,
    private readonly _usage: UsageTracker,
    private readonly _queue: FairQueue,
    private readonly _chooser: HostChooser,
    private readonly _victimSelector: VictimSelector
  ) {
    this._releaseRate.startBacklog(_clock.nowMs())
  }

  public start (start: IStart, host: LedgerHost): void {
    const { item, need, queue, costMs } = start
    const nowMs = this._clock.nowMs()
    const running = this._ledger.start(item, host, need, nowMs)
    this._usage.add(item, running.counted)
    this._countUrgent(item, running.counted, 1)
    this._chooser.recordStart(item, host, nowMs)
    this._victimSelector.recordStart(running)
    this._queue.charge({ queue, costMs }, item.caller)
    this._starts.set(item.id, start)
  }

  public end (itemId: string, serviceMs: number): IRunningItem | undefined {
    const running = this._ledger.finish(itemId)
    if (running === undefined) return undefined
    this._settle(running, serviceMs)
    this._releaseRate.recordDrained(this._ledger.shareOf(running.counted), this._clock.nowMs())
    return running
  }

  public removeHost (hostId: string): readonly IRunningItem[] {
    const lost = this._ledger.removeHost(hostId)
    for (const running of lost) this._settle(running, this._clock.nowMs() - running.startedAtMs)
    return lost
  }

  public reportUsage (itemId: string, usage: IResources): IUsageReport | undefined {
    const running = this._ledger.runningItem(itemId)
    if (running === undefined) return undefined
    const before = running.counted
    this._ledger.reportUsage(itemId, usage)
    this._usage.update(running.item, before, running.counted)
    return { item: running.item, hasFreedCapacity: !fits(before, running.counted) }
  }

  /** The share of the capacity in use that becomes free per millisecond. */
  public turnoverPerMs (): number {
    const inUse = this._ledger.shareOf(this._ledger.used)
    return inUse <= 0 ? Infinity : this._releaseRate.perMs(0, this._clock.nowMs()) / inUse
  }

  /** Whether long work with this need would use capacity that urgent work is likely to need again. */
  public isReservedForUrgent (need: IResources): boolean {
    const used = this._ledger.shareOf(this._ledger.used) + this._ledger.shareOf(need)
    return used > 1 - this._urgentReserve.shareToKeep(this._clock.nowMs())
  }

  private _countUrgent (item: IWorkItem, counted: IResources, sign: 1 | -1): void {
    if (item.profile.priorityClass === 'urgent') this._urgentReserve.add(sign * this._ledger.shareOf(counted), this._clock.nowMs())
  }

  private _settle (running: IRunningItem, serviceMs: number): void {
    const { item, host, counted } = running
    this._usage.remove(item, counted)
    this._countUrgent(item, counted, -1)
    this._chooser.recordEnd(item, host)
    this._victimSelector.recordEnd(running)
    const start = this._starts.get(item.id)
    this._starts.delete(item.id)
    if (start === undefined) return
    const actualMs = this._ledger.shareOf(counted) * serviceMs
    this._queue.settle(start.queue, item.caller, start.costMs, actualMs)
  }
}
