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
import type { Preemption } from './Preemption.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { IWorkItem } from './Types.js'
import type { UseLedger } from './UseLedger.js'

/** An item about to start and the cost that its caller is charged. */
export interface IStart {
  readonly item: IWorkItem
  readonly need: IResources
  readonly queue: ProfileQueue
  readonly costMs: number
}

export interface IReport {
  readonly item: IWorkItem
  readonly hasFreedRoom: boolean
}

export class RunningWork {
  private readonly _starts = new Map<string, IStart>()
  private readonly _released = new DrainRate()
  private readonly _reserve = new UrgentReserve()

  public constructor (
    private readonly _clock: IClock,
    private readonly _ledger: CapacityLedger,
    private readonly _use: UseLedger,
    private readonly _queue: FairQueue,
    private readonly _chooser: HostChooser,
    private readonly _preemption: Preemption
  ) {
    this._released.startBacklog(_clock.nowMs())
  }

  public start (start: IStart, host: LedgerHost): void {
    const { item, need, queue, costMs } = start
    const nowMs = this._clock.nowMs()
    const running = this._ledger.start(item, host, need, nowMs)
    this._use.add(item, running.counted)
    this._noteUrgent(item, running.counted, 1)
    this._chooser.noteStarted(item, host, nowMs)
    this._preemption.noteStarted(running)
    this._queue.charge({ queue, costMs }, item.caller)
    this._starts.set(item.id, start)
  }

  public end (itemId: string, serviceMs: number): IRunningItem | undefined {
    const running = this._ledger.finish(itemId)
    if (running === undefined) return undefined
    this._settle(running, serviceMs)
    this._released.noteStarted(this._ledger.shareOf(running.counted), this._clock.nowMs())
    return running
  }

  public removeHost (hostId: string): readonly IRunningItem[] {
    const lost = this._ledger.removeHost(hostId)
    for (const running of lost) this._settle(running, this._clock.nowMs() - running.startedAtMs)
    return lost
  }

  public reportUsage (itemId: string, usage: IResources): IReport | undefined {
    const running = this._ledger.runningItem(itemId)
    if (running === undefined) return undefined
    const before = running.counted
    this._ledger.reportUsage(itemId, usage)
    this._use.recount(running.item, before, running.counted)
    return { item: running.item, hasFreedRoom: !fits(before, running.counted) }
  }

  /** The share of the capacity in use that comes free per millisecond. */
  public turnoverPerMs (): number {
    const inUse = this._ledger.shareOf(this._ledger.used)
    return inUse <= 0 ? Infinity : this._released.perMs(0, this._clock.nowMs()) / inUse
  }

  /** Whether long work with this need would use capacity that urgent work is likely to need again. */
  public isKeptForUrgent (need: IResources): boolean {
    const used = this._ledger.shareOf(this._ledger.used) + this._ledger.shareOf(need)
    return used > 1 - this._reserve.shareToKeep(this._clock.nowMs())
  }

  private _noteUrgent (item: IWorkItem, counted: IResources, sign: 1 | -1): void {
    if (item.profile.priorityClass === 'urgent') this._reserve.add(sign * this._ledger.shareOf(counted), this._clock.nowMs())
  }

  private _settle (running: IRunningItem, serviceMs: number): void {
    const { item, host, counted } = running
    this._use.remove(item, counted)
    this._noteUrgent(item, counted, -1)
    this._chooser.noteEnded(item, host)
    this._preemption.noteEnded(running)
    const start = this._starts.get(item.id)
    this._starts.delete(item.id)
    if (start === undefined) return
    const actualMs = this._ledger.shareOf(counted) * serviceMs
    this._queue.settle(start.queue, item.caller, start.costMs, actualMs)
  }
}
