/**
 * Finds the next decision: give up expired work, start all-at-once jobs, place an item or preempt, in this order.
 */

import { classRank } from './FairQueue.js'
import { PREEMPT_AFTER_MS } from './Preemption.js'
import { StopPlan } from './StopPlan.js'

import type { IClock, IResources, MonotonicMs, OutcomeReason } from '../Types.js'
import type { AcceleratorReserve } from './AcceleratorReserve.js'
import type { Admission } from './Admission.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { FairQueue } from './FairQueue.js'
import type { GiveUpFinder } from './GiveUpFinder.js'
import type { GroupBook, IGroup } from './GroupBook.js'
import type { GroupPlacer } from './GroupPlacer.js'
import type { HostChooser } from './HostChooser.js'
import type { HostHealth } from './HostHealth.js'
import type { Preemption } from './Preemption.js'
import type { ProfileQueue } from './ProfileQueue.js'
import type { ILaneKey, IQueueEntry } from './QueueTypes.js'
import type { IStart, RunningWork } from './RunningWork.js'
import type { EngineDecision, IWorkItem } from './Types.js'
import type { UseLedger } from './UseLedger.js'
import type { WorkEstimates } from './WorkEstimates.js'

/** A large item that has waited this long has a host drained for it, like an all-at-once job of one task. */
const GATHER_FOR_ONE_AFTER_MS = 2_000

/**
 * An item counts as large from this share of an average host on; smaller ones soon find a host with enough free
 * capacity.
 */
const LARGE_SHARE_OF_HOST = 0.2

/** The components that the loop uses; created by the engine. */
export interface ILoopParts {
  readonly clock: IClock
  readonly ledger: CapacityLedger
  readonly use: UseLedger
  readonly queue: FairQueue
  readonly admission: Admission
  readonly estimates: WorkEstimates
  readonly chooser: HostChooser
  readonly health: HostHealth
  readonly accelerators: AcceleratorReserve
  readonly giveUps: GiveUpFinder
  readonly preemption: Preemption
  readonly work: RunningWork
  readonly book: GroupBook
  readonly groups: GroupPlacer
  /** The share of the capacity that a profile could use now. */
  readonly priorRate: (queue: ProfileQueue) => number
}

export class DecisionLoop {
  private readonly _ready: EngineDecision[] = []
  /** Shapes and teams for which no capacity was found since capacity last came free. */
  private readonly _blockedShapes = new Set<string>()
  private readonly _blockedTeams = new Set<string>()
  private readonly _stops: StopPlan
  private readonly _isLaneBlocked = (lane: ILaneKey): boolean => this._blockedShapes.has(lane.shape) || this._blockedTeams.has(lane.team)
  /** Until this time there is nothing to decide, unless an event arrives. */
  private _settledUntilMs: MonotonicMs = -Infinity
  private _recheckAtMs: MonotonicMs = Infinity
  private _needsGroupAdvance = false

  public constructor (private readonly _parts: ILoopParts) {
    const { ledger, use, queue, preemption } = _parts
    this._stops = new StopPlan(ledger, use, queue, preemption)
  }

  public next (): EngineDecision | undefined {
    if (this._ready.length === 0) this._decide(this._parts.clock.nowMs())
    return this._ready.shift()
  }

  public nextWakeAtMs (): MonotonicMs {
    const nowMs = this._parts.clock.nowMs()
    if (this._ready.length > 0) return nowMs
    return this._settledUntilMs > nowMs ? this._settledUntilMs : this._computeWakeAtMs(nowMs)
  }

  /** Work was added: a decision may be possible. */
  public noteWork (): void {
    this._settledUntilMs = -Infinity
  }

  /** A group was added: it may start or have hosts drained for it. */
  public noteGroup (): void {
    this._needsGroupAdvance = true
    this.noteWork()
  }

  /** Capacity may have come free: work that found none is tried again. */
  public noteRoom (): void {
    this._blockedShapes.clear()
    this._blockedTeams.clear()
    this.noteGroup()
  }

  public noteEnded (itemId: string): void {
    this._stops.noteEnded(itemId)
    this.noteRoom()
  }

  /** Advances reservations at once instead of at the next call of `next`. */
  public advanceGroups (): void {
    this._needsGroupAdvance = true
    this._advanceGroups(this._parts.clock.nowMs())
  }

  public startGroup (group: IGroup): readonly { readonly item: IWorkItem, readonly host: LedgerHost }[] {
    const { book, work } = this._parts
    const holds = [...group.holds.values()]
    book.drop(group.groupId)
    for (const { item, need, host } of holds) work.start(this._startOf(item, need), host)
    return holds
  }

  /** Finds the next decisions, if any, and appends them to `_ready`. */
  private _decide (nowMs: MonotonicMs): void {
    if (nowMs < this._settledUntilMs) return
    if (this._settledUntilMs > -Infinity) this.noteRoom()
    this._recheckAtMs = Infinity
    if (this._giveUpSome(nowMs) || this._advanceGroups(nowMs) || this._placeOne(nowMs)) return
    this._settledUntilMs = this._computeWakeAtMs(nowMs)
  }

  private _giveUpSome (nowMs: MonotonicMs): boolean {
    const givenUp = this._parts.giveUps.take(nowMs)
    if (givenUp === undefined) return false
    if (givenUp.freesRoom) this.noteRoom()
    for (const item of givenUp.items) this._giveUp(item, givenUp.reason)
    return this._ready.length > 0
  }

  private _giveUp (item: IWorkItem, reason: OutcomeReason): void {
    const { queue, admission, priorRate } = this._parts
    const profileQueue = queue.profileFor(item.profile)
    const waitMs = admission.expectedWaitMs(profileQueue, priorRate(profileQueue))
    this._ready.push({ type: 'giveUp', item, reason, retryAfterMs: admission.spread(waitMs) })
  }

  private _advanceGroups (nowMs: MonotonicMs): boolean {
    const { queue, book, groups } = this._parts
    if (book.groupCount === 0 || !this._needsGroupAdvance) return false
    this._needsGroupAdvance = false
    const first = queue.peek(this._isLaneBlocked)
    const group = groups.advance(nowMs, (candidate) => this._isTurnOf(candidate, first))
    if (group === undefined) return false
    this._needsGroupAdvance = true
    for (const { item, host } of this.startGroup(group)) this._pushPlace(item, host, nowMs)
    return true
  }

  /** Whether the group goes before the first queued entry, by the rules for all work: floor, class, weight. */
  private _isTurnOf (group: IGroup, first: IQueueEntry | undefined): boolean {
    const [task] = group.tasks
    if (first === undefined || task === undefined) return true
    const { queue } = this._parts
    const own = queue.profileFor(task.item.profile)
    if (queue.isBelowFloor(own)) return true
    const rank = classRank(first.queue.profile.priorityClass)
    return group.rank < rank || (group.rank === rank && own.virtualMs <= first.queue.virtualMs)
  }

  private _placeOne (nowMs: MonotonicMs): boolean {
    for (;;) {
      const entry = this._parts.queue.peek(this._isLaneBlocked)
      if (entry === undefined) return false
      const host = this._chooseFor(entry, nowMs)
      if (host !== undefined) {
        this._startEntry(entry, host, nowMs)
        return true
      }
      if (this._ready.length > 0) return true
    }
  }

  private _chooseFor (entry: IQueueEntry, nowMs: MonotonicMs): LedgerHost | undefined {
    const { item, need, line } = entry
    const { use, chooser } = this._parts
    if (!use.isWithinQuota([item])) {
      this._blockedTeams.add(line.lane.team)
      return undefined
    }
    const free = this._isKeptOut(entry, nowMs) ? undefined : chooser.chooseProbe(item, need, nowMs) ?? chooser.choose(item, need)
    const host = free ?? this._chooseBackfill(entry, nowMs)
    if (host !== undefined) return host
    this._blockedShapes.add(line.lane.shape)
    if (need.accelerators === 0) this._isTooEarly(this._parts.accelerators.endsAtMs, nowMs)
    if (item.profile.priorityClass === 'urgent') this._preemptFor(entry, nowMs)
    else this._gatherFor(entry, nowMs)
    return undefined
  }

  /**
   * Whether the item must leave capacity to urgent work, or to a job that goes before it and would start while it still
   * runs.
   */
  private _isKeptOut (entry: IQueueEntry, nowMs: MonotonicMs): boolean {
    const { groups, queue, estimates, work } = this._parts
    if (queue.isBelowFloor(entry.queue)) return false
    if (estimates.isLong(entry.item) && work.isKeptForUrgent(entry.need)) return true
    const group = groups.gathering
    if (group === undefined || !groups.isClosing(nowMs)) return false
    if (classRank(entry.queue.profile.priorityClass) < group.rank) return false
    return nowMs + estimates.endsWithinMs(entry.item) > group.startsAtMs
  }

  /**
   * Finds held capacity of an all-at-once job for an item that will have ended before the job starts.
   *
   * A large job may gather capacity for seconds or minutes. Without backfill its hosts would be idle meanwhile, and
   * utilization would fall with each large job.
   */
  private _chooseBackfill (entry: IQueueEntry, nowMs: MonotonicMs): LedgerHost | undefined {
    const { groups, chooser, estimates, book } = this._parts
    if (book.groupCount === 0) return undefined
    const endsAtMs = nowMs + estimates.endsWithinMs(entry.item)
    return chooser.chooseHeld(entry.item, entry.need, (host) => groups.isOpenUntil(host, endsAtMs))
  }

  /**
   * Queues a large item as an all-at-once job of one task, so that a host is drained for it. Otherwise small items
   * would fill each gap before it is large enough, and the large item would wait for ever.
   */
  private _gatherFor (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item, need, latestStartAtMs } = entry
    const { ledger, queue, admission, groups } = this._parts
    if (ledger.shareOf(need) * ledger.hostCount < LARGE_SHARE_OF_HOST) return
    if (!groups.canGatherForOne() || this._isTooEarly(item.arrivedAtMs + GATHER_FOR_ONE_AFTER_MS, nowMs)) return
    queue.remove(item.id)
    admission.noteStarted(entry.queue, entry.costMs)
    this.addGroup(item.id, [{ item, need }], latestStartAtMs, true)
  }

  public addGroup (groupId: string, tasks: IGroup['tasks'], expiresAtMs: MonotonicMs, startsItself: boolean): void {
    const [first] = tasks
    if (first === undefined) return
    const { item } = first
    const { queue, book } = this._parts
    const rank = classRank(item.profile.priorityClass)
    const queuedAtMs = item.arrivedAtMs
    book.add({
      groupId, tasks, holds: new Map(), rank, expiresAtMs, startsItself, queuedAtMs, gatheringSinceMs: undefined, startsAtMs: 0
    })
    const own = queue.profileFor(item.profile)
    if (own.queuedCount === 0) queue.catchUp(own)
    this.noteGroup()
  }

  private _preemptFor (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item, line } = entry
    if (this._isTooEarly(item.arrivedAtMs + PREEMPT_AFTER_MS, nowMs)) return
    const stops = this._stops.choose(entry, nowMs)
    if (stops.length > 0) this._blockedShapes.delete(line.lane.shape)
    for (const { itemId, hostId } of stops) this._ready.push({ type: 'preempt', itemId, hostId, forItemId: item.id })
  }

  /** Whether something is due only later; if so, schedules a recheck at that time. */
  private _isTooEarly (dueAtMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    if (dueAtMs <= nowMs) return false
    this._recheckAtMs = Math.min(this._recheckAtMs, dueAtMs)
    return true
  }

  /**
   * Starts an entry. The cores and memory reserved for an accelerator are open to plain work once the accelerator is in
   * use, so starting accelerator work may free capacity.
   */
  private _startEntry (entry: IQueueEntry, host: LedgerHost, nowMs: MonotonicMs): void {
    const { queue, work, admission } = this._parts
    queue.remove(entry.item.id)
    work.start(entry, host)
    admission.noteStarted(entry.queue, entry.costMs)
    if (entry.need.accelerators > 0) this.noteRoom()
    this._pushPlace(entry.item, host, nowMs)
  }

  private _startOf (item: IWorkItem, need: IResources): IStart {
    const { queue, estimates } = this._parts
    return { item, need, queue: queue.profileFor(item.profile), costMs: estimates.costMs(item, need) }
  }

  private _pushPlace (item: IWorkItem, host: LedgerHost, nowMs: MonotonicMs): void {
    this._ready.push({ type: 'place', item, hostId: host.hostId, waitMs: nowMs - item.arrivedAtMs })
  }

  private _computeWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    const { queue, groups, health } = this._parts
    const probeAtMs = queue.size > 0 ? Math.max(health.nextProbeAtMs(), nowMs + 1) : Infinity
    return Math.min(queue.earliestLatestStartMs(), groups.nextWakeAtMs(nowMs), probeAtMs, this._recheckAtMs)
  }
}
