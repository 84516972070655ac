/**
 * Finds the next decision, in this order: give up work that can't start, start all-at-once jobs, place an item,
 * preempt.
 */

import { classRank } from './FairQueue.js'
import { PREEMPT_AFTER_MS } from './VictimSelector.js'
import { PreemptionPlanner } from './PreemptionPlanner.js'

import type { IClock, IResources, MonotonicMs, OutcomeReason } from '../Types.js'
import type { AcceleratorReserve } from './AcceleratorReserve.js'
import type { Admission } from './Admission.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { GiveUpFinder } from './GiveUpFinder.js'
import type { GroupStore, IGroup } from './GroupStore.js'
import type { GroupPlacer } from './GroupPlacer.js'
import type { HostChooser } from './HostChooser.js'
import type { HostHealth } from './HostHealth.js'
import type { VictimSelector } from './VictimSelector.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { ILaneKey, IQueueEntry } from './QueueTypes.js'
import type { IStart, RunningWork } from './RunningWork.js'
import type { EngineDecision, IWorkItem } from './Types.js'
import type { UsageTracker } from './UsageTracker.js'
import type { WorkEstimates } from './WorkEstimates.js'

/** A large item that has waited this long has a host drained for it, like an all-at-once job of one task. */
const GATHER_FOR_SINGLE_AFTER_MS = 2_000

/** An item counts as large from this share of an average host on; smaller ones soon find a host with enough free capacity. */
const LARGE_SHARE_OF_HOST = 0.2

/** The components that the loop uses; created by the engine. */
export interface ILoopComponents {
  readonly clock: IClock
  readonly ledger: CapacityLedger
  readonly usage: UsageTracker
  readonly queue: FairQueue
  readonly admission: Admission
  readonly estimates: WorkEstimates
  readonly chooser: HostChooser
  readonly health: HostHealth
  readonly accelerators: AcceleratorReserve
  readonly giveUpFinder: GiveUpFinder
  readonly victimSelector: VictimSelector
  readonly runningWork: RunningWork
  readonly groupStore: GroupStore
  readonly groupPlacer: GroupPlacer
  /** The share of the capacity that a profile could use now. */
  readonly priorRate: (queue: ProfileQueue) => number
}

export class DecisionLoop {
  private readonly _ready: EngineDecision[] = []
  /** Shapes and teams for which no capacity was found since capacity last became free. */
  private readonly _blockedShapes = new Set<string>()
  private readonly _blockedTeams = new Set<string>()
  private readonly _preemptionPlanner: PreemptionPlanner
  private readonly _isLaneBlocked = (lane: ILaneKey): boolean => this._blockedShapes.has(lane.shape) || this._blockedTeams.has(lane.team)
  /** Until this time there is nothing to decide, unless an event arrives. */
  private _idleUntilMs: MonotonicMs = -Infinity
  private _recheckAtMs: MonotonicMs = Infinity
  private _needsGroupAdvance = false

  public constructor (private readonly _components: ILoopComponents) {
    const { ledger, usage, queue, victimSelector } = _components
    this._preemptionPlanner = new PreemptionPlanner(ledger, usage, queue, victimSelector)
  }

  public next (): EngineDecision | undefined {
    if (this._ready.length === 0) this._decide(this._components.clock.nowMs())
    return this._ready.shift()
  }

  public nextWakeAtMs (): MonotonicMs {
    const nowMs = this._components.clock.nowMs()
    if (this._ready.length > 0) return nowMs
    return this._idleUntilMs > nowMs ? this._idleUntilMs : this._computeWakeAtMs(nowMs)
  }

  /** Work was added: a decision may be possible. */
  public onWorkAdded (): void {
    this._idleUntilMs = -Infinity
  }

  /** A group was added: it may start or have hosts drained for it. */
  public onGroupAdded (): void {
    this._needsGroupAdvance = true
    this.onWorkAdded()
  }

  /** Capacity may have become free: work that found none is tried again. */
  public onCapacityFreed (): void {
    this._blockedShapes.clear()
    this._blockedTeams.clear()
    this.onGroupAdded()
  }

  public onItemEnded (itemId: string): void {
    this._preemptionPlanner.recordEnd(itemId)
    this.onCapacityFreed()
  }

  /** Advances reservations at once instead of at the next call of `next`. */
  public advanceGroups (): void {
    this._needsGroupAdvance = true
    this._advanceGroups(this._components.clock.nowMs())
  }

  public startGroup (group: IGroup): readonly { readonly item: IWorkItem, readonly host: LedgerHost }[] {
    const { groupStore, runningWork } = this._components
    const holds = [...group.holds.values()]
    groupStore.remove(group.groupId)
    for (const { item, need, host } of holds) runningWork.start(this._createStart(item, need), host)
    return holds
  }

  /** Finds the next decisions, if any, and appends them to `_ready`. */
  private _decide (nowMs: MonotonicMs): void {
    if (nowMs < this._idleUntilMs) return
    if (this._idleUntilMs > -Infinity) this.onCapacityFreed()
    this._recheckAtMs = Infinity
    if (this._giveUpNext(nowMs) || this._advanceGroups(nowMs) || this._placeOne(nowMs)) return
    this._idleUntilMs = this._computeWakeAtMs(nowMs)
  }

  private _giveUpNext (nowMs: MonotonicMs): boolean {
    const givenUp = this._components.giveUpFinder.removeNext(nowMs)
    if (givenUp === undefined) return false
    if (givenUp.hasFreedCapacity) this.onCapacityFreed()
    for (const item of givenUp.items) this._pushGiveUp(item, givenUp.reason)
    return this._ready.length > 0
  }

  private _pushGiveUp (item: IWorkItem, reason: OutcomeReason): void {
    const { queue, admission, priorRate } = this._components
    const profileQueue = queue.profileFor(item.profile)
    const waitMs = admission.expectedWaitMs(profileQueue, priorRate(profileQueue))
    this._ready.push({ type: 'giveUp', item, reason, retryAfterMs: admission.withJitter(waitMs) })
  }

  private _advanceGroups (nowMs: MonotonicMs): boolean {
    const { queue, groupStore, groupPlacer } = this._components
    if (groupStore.groupCount === 0 || !this._needsGroupAdvance) return false
    this._needsGroupAdvance = false
    const first = queue.peek(this._isLaneBlocked)
    const group = groupPlacer.advance(nowMs, (candidate) => this._isTurnOf(candidate, first))
    if (group === undefined) return false
    this._needsGroupAdvance = true
    for (const { item, host } of this.startGroup(group)) this._pushPlace(item, host, nowMs)
    return true
  }

  /** Whether the group goes before the first queued entry, by the rules for all work: floor, class, weight. */
  private _isTurnOf (group: IGroup, first: IQueueEntry | undefined): boolean {
    const [task] = group.tasks
    if (first === undefined || task === undefined) return true
    const { queue } = this._components
    const ownQueue = queue.profileFor(task.item.profile)
    if (queue.isBelowFloor(ownQueue)) return true
    const rank = classRank(first.queue.profile.priorityClass)
    return group.rank < rank || (group.rank === rank && ownQueue.virtualMs <= first.queue.virtualMs)
  }

  private _placeOne (nowMs: MonotonicMs): boolean {
    for (;;) {
      const entry = this._components.queue.peek(this._isLaneBlocked)
      if (entry === undefined) return false
      const host = this._chooseHost(entry, nowMs)
      if (host !== undefined) {
        this._startEntry(entry, host, nowMs)
        return true
      }
      if (this._ready.length > 0) return true
    }
  }

  private _chooseHost (entry: IQueueEntry, nowMs: MonotonicMs): LedgerHost | undefined {
    const { item, need, callerQueue } = entry
    const { usage, chooser } = this._components
    if (!usage.isWithinQuota([item])) {
      this._blockedTeams.add(callerQueue.lane.team)
      return undefined
    }
    const free = this._mustLeaveCapacity(entry, nowMs) ? undefined : chooser.chooseProbe(item, need, nowMs) ?? chooser.choose(item, need)
    const host = free ?? this._chooseBackfill(entry, nowMs)
    if (host !== undefined) return host
    this._blockedShapes.add(callerQueue.lane.shape)
    if (need.accelerators === 0) this._deferUntil(this._components.accelerators.endsAtMs, nowMs)
    if (item.profile.priorityClass === 'urgent') this._preemptFor(entry, nowMs)
    else this._queueAsGroup(entry, nowMs)
    return undefined
  }

  /** Whether the item must leave capacity to urgent work, or to a job that goes before it and would start while it still runs. */
  private _mustLeaveCapacity (entry: IQueueEntry, nowMs: MonotonicMs): boolean {
    const { groupPlacer, queue, estimates, runningWork } = this._components
    if (queue.isBelowFloor(entry.queue)) return false
    if (estimates.isLongRunning(entry.item) && runningWork.isReservedForUrgent(entry.need)) return true
    const group = groupPlacer.gathering
    if (group === undefined || !groupPlacer.areHostsClosed(nowMs)) return false
    if (classRank(entry.queue.profile.priorityClass) < group.rank) return false
    return nowMs + estimates.likelyRunMs(entry.item) > group.startsAtMs
  }

  /**
   * Finds held capacity of an all-at-once job for an item that will have ended before the job starts.
   *
   * A large job may gather capacity for seconds or minutes. Without backfill its hosts would be idle meanwhile, and
   * utilization would fall with each large job.
   */
  private _chooseBackfill (entry: IQueueEntry, nowMs: MonotonicMs): LedgerHost | undefined {
    const { groupPlacer, chooser, estimates, groupStore } = this._components
    if (groupStore.groupCount === 0) return undefined
    const endsAtMs = nowMs + estimates.likelyRunMs(entry.item)
    return chooser.chooseHeld(entry.item, entry.need, (host) => groupPlacer.canBackfillUntil(host, endsAtMs))
  }

  /**
   * Queues a large item as an all-at-once job of one task, so that a host is drained for it. Otherwise small items
   * would fill each gap before it is large enough, and the large item would wait for ever.
   */
  private _queueAsGroup (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item, need, latestStartAtMs } = entry
    const { ledger, queue, admission, groupPlacer } = this._components
    if (ledger.shareOf(need) * ledger.hostCount < LARGE_SHARE_OF_HOST) return
    if (!groupPlacer.canGatherForSingle() || this._deferUntil(item.arrivedAtMs + GATHER_FOR_SINGLE_AFTER_MS, nowMs)) return
    queue.remove(item.id)
    admission.recordDequeued(entry.queue, entry.costMs)
    this.addGroup(item.id, [{ item, need }], latestStartAtMs, true)
  }

  public addGroup (groupId: string, tasks: IGroup['tasks'], expiresAtMs: MonotonicMs, startsItself: boolean): void {
    const [first] = tasks
    if (first === undefined) return
    const { item } = first
    const { queue, groupStore } = this._components
    const rank = classRank(item.profile.priorityClass)
    const queuedAtMs = item.arrivedAtMs
    groupStore.add({
      groupId, tasks, holds: new Map(), rank, expiresAtMs, startsItself, queuedAtMs, gatheringSinceMs: undefined, startsAtMs: 0
    })
    const ownQueue = queue.profileFor(item.profile)
    if (ownQueue.queuedCount === 0) queue.catchUp(ownQueue)
    this.onGroupAdded()
  }

  private _preemptFor (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item, callerQueue } = entry
    if (this._deferUntil(item.arrivedAtMs + PREEMPT_AFTER_MS, nowMs)) return
    const stops = this._preemptionPlanner.choose(entry, nowMs)
    if (stops.length > 0) this._blockedShapes.delete(callerQueue.lane.shape)
    for (const { itemId, hostId } of stops) this._ready.push({ type: 'preempt', itemId, hostId, forItemId: item.id })
  }

  /** Whether something is due only later; if so, schedules a recheck at that time. */
  private _deferUntil (dueAtMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    if (dueAtMs <= nowMs) return false
    this._recheckAtMs = Math.min(this._recheckAtMs, dueAtMs)
    return true
  }

  /**
   * Starts an entry. The cores and memory reserved for an accelerator are open to plain work once the accelerator is in
   * use, so starting accelerator work may free capacity.
   */
  private _startEntry (entry: IQueueEntry, host: LedgerHost, nowMs: MonotonicMs): void {
    const { queue, runningWork, admission } = this._components
    queue.remove(entry.item.id)
    runningWork.start(entry, host)
    admission.recordDequeued(entry.queue, entry.costMs)
    if (entry.need.accelerators > 0) this.onCapacityFreed()
    this._pushPlace(entry.item, host, nowMs)
  }

  private _createStart (item: IWorkItem, need: IResources): IStart {
    const { queue, estimates } = this._components
    return { item, need, queue: queue.profileFor(item.profile), costMs: estimates.costMs(item, need) }
  }

  private _pushPlace (item: IWorkItem, host: LedgerHost, nowMs: MonotonicMs): void {
    this._ready.push({ type: 'place', item, hostId: host.hostId, waitMs: nowMs - item.arrivedAtMs })
  }

  private _computeWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    const { queue, groupPlacer, health } = this._components
    const probeAtMs = queue.size > 0 ? Math.max(health.nextProbeAtMs(), nowMs + 1) : Infinity
    return Math.min(queue.earliestLatestStartMs(), groupPlacer.nextWakeAtMs(nowMs), probeAtMs, this._recheckAtMs)
  }
}
