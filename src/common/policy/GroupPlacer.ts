/**
 * Finds capacity for all-at-once jobs. Hosts are drained for one such job at a time, so that no two jobs wait for each
 * other.
 */

import { addInto, difference, fits, zeroResources } from './Resources.js'

import type { MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { GroupStore, IGroup, IGroupTask } from './GroupStore.js'
import type { HostChooser } from './HostChooser.js'
import type { CapacityForecast } from './CapacityForecast.js'
import type { UsageTracker } from './UsageTracker.js'

/** The most groups tried for capacity that is free without draining; lets a later small group start while an early large one waits. */
const MAX_GROUPS_TRIED = 8

/** How long a group waits for enough free capacity before hosts are drained for it, since draining leaves capacity idle. */
const GATHER_AFTER_MS = 1_000

/** Gathering that takes longer than this stops in favour of the next group, since the capacity may never become free. */
const MAX_GATHER_MS = 600_000

/** How long other work may be kept from all hosts. Where run times are longer, selected hosts are drained instead. */
const MAX_CLOSED_MS = 60_000

/** The time for which hosts are open to all work after gathering has ended, as a multiple of the time for which they were closed. */
const OPEN_TO_CLOSED_RATIO = 1

/** From this share of held capacity on, no further hosts are drained for single items, because held capacity is mostly idle. */
const MAX_HELD_SHARE_FOR_SINGLES = 0.05

/** The most single items for which hosts are drained at the same time, since each of them is checked whenever a task ends. */
const MAX_SINGLES = 32

/** Whether it is this group's turn to have capacity gathered for it. */
export type TurnTest = (group: IGroup) => boolean

export class GroupPlacer {
  private _gathering: IGroup | undefined
  private _singleCount = 0
  private _nextGatherAtMs: MonotonicMs = -Infinity
  /** Until when a host's held capacity is open to work that ends by then. */
  private readonly _backfillUntilMs = new Map<LedgerHost, MonotonicMs>()

  public constructor (
    private readonly _groupStore: GroupStore,
    private readonly _ledger: CapacityLedger,
    private readonly _usage: UsageTracker,
    private readonly _chooser: HostChooser,
    private readonly _forecast: CapacityForecast
  ) {}

  /** The group for which capacity is being gathered. */
  public get gathering (): IGroup | undefined {
    return this._gathering
  }

  /** Whether one more host may be drained for a single large item. */
  public canGatherForSingle (): boolean {
    if (this._gathering !== undefined || this._singleCount >= MAX_SINGLES) return false
    return this._ledger.shareOf(this._ledger.held) < MAX_HELD_SHARE_FOR_SINGLES
  }

  /**
   * Whether all hosts are closed to other work so that capacity is gathered for a job.
   *
   * For large jobs among tasks that run for seconds, this keeps the idle time shortest: capacity that becomes free on any
   * host counts towards the job. Draining a few selected hosts takes longer, since the last of them to finish decides.
   */
  public areHostsClosed (nowMs: MonotonicMs): boolean {
    const sinceMs = this._gathering?.gatheringSinceMs
    return sinceMs !== undefined && nowMs - sinceMs < MAX_CLOSED_MS
  }

  /** When the next time limit of a group expires, even if no capacity becomes free before. */
  public nextWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    let wakeAtMs = this._groupStore.earliestExpiryMs
    if (this._groupStore.groupCount > 0 && this._nextGatherAtMs > nowMs) wakeAtMs = Math.min(wakeAtMs, this._nextGatherAtMs)
    if (this.areHostsClosed(nowMs)) wakeAtMs = Math.min(wakeAtMs, (this._gathering?.gatheringSinceMs ?? nowMs) + MAX_CLOSED_MS)
    for (const group of this._groupStore.groups()) {
      const gatherAtMs = group.queuedAtMs + GATHER_AFTER_MS
      if (gatherAtMs > nowMs) wakeAtMs = Math.min(wakeAtMs, gatherAtMs)
    }
    return wakeAtMs
  }

  /**
   * Advances the groups and returns one that can start by itself now.
   *
   * Without gathering, a job of many tasks would starve in a stream of small tasks, because the capacity for all its
   * tasks is never free at the same moment. So capacity is held for it as it becomes free. Only one group at a time has
   * incomplete holds: two such groups could each hold half of the capacity and wait for the other for ever, on idle
   * hosts. A group with complete holds waits for running work only, so its wait is bounded by run times, and the next
   * group may gather meanwhile.
   */
  public advance (nowMs: MonotonicMs, isItsTurn: TurnTest): IGroup | undefined {
    this._releaseStalled(nowMs)
    this._gatherForSingles(nowMs)
    this._startGathering(nowMs, isItsTurn)
    if (this._gathering !== undefined) this._gather(this._gathering, nowMs)
    this._improveHolds()
    this._holdFreeCapacity(isItsTurn)
    for (const group of this._groupStore.groupsWithHolds()) {
      if (group.startsItself && this._groupStore.isReady(group)) return group
    }
    return undefined
  }

  /** Whether held capacity of this host may be backfilled by work that ends at `atMs`. */
  public canBackfillUntil (host: LedgerHost, atMs: MonotonicMs): boolean {
    return atMs <= (this._backfillUntilMs.get(host) ?? 0)
  }

  private _releaseStalled (nowMs: MonotonicMs): void {
    const gathering = this._gathering
    if (gathering !== undefined && this._groupStore.group(gathering.groupId) !== gathering) this._endGathering(gathering, nowMs)
    for (const group of this._groupStore.groupsWithHolds()) {
      if (group.gatheringSinceMs === undefined || nowMs - group.gatheringSinceMs < MAX_GATHER_MS) continue
      this._groupStore.releaseHolds(group)
      group.queuedAtMs = nowMs
      if (group === this._gathering) this._endGathering(group, nowMs)
    }
  }

  private _gatherForSingles (nowMs: MonotonicMs): void {
    this._singleCount = 0
    for (const group of this._groupStore.groups()) {
      if (!isSingle(group)) continue
      this._singleCount += 1
      if (group.holds.size === 0 && nowMs - group.queuedAtMs >= GATHER_AFTER_MS) this._gather(group, nowMs)
    }
  }

  private _startGathering (nowMs: MonotonicMs, isItsTurn: TurnTest): void {
    if (this._gathering !== undefined || nowMs < this._nextGatherAtMs) return
    let next: IGroup | undefined
    for (const group of this._groupStore.groups()) {
      if (this._canGather(group, nowMs) && (next === undefined || goesBefore(group, next)) && isItsTurn(group)) next = group
    }
    if (next === undefined) return
    this._gathering = next
    next.gatheringSinceMs = nowMs
    next.startsAtMs = nowMs + this._forecast.timeToGroupFitMs(next)
  }

  /**
   * Whether capacity may be gathered for the group. Parts of a job that spans schedulers need not wait, because other
   * parts already hold capacity elsewhere.
   */
  private _canGather (group: IGroup, nowMs: MonotonicMs): boolean {
    if (this._groupStore.isComplete(group) || isSingle(group) || !this._isWithinLimits(group)) return false
    return !group.startsItself || nowMs - group.queuedAtMs >= GATHER_AFTER_MS
  }

  private _gather (group: IGroup, nowMs: MonotonicMs): void {
    group.gatheringSinceMs ??= nowMs
    const before = group.holds.size
    for (const task of group.tasks) {
      if (!group.holds.has(task.item.id) && !this._holdFor(group, task, nowMs)) break
    }
    if (group.holds.size > before) this._updateBackfillLimits()
    if (group === this._gathering && this._groupStore.isComplete(group)) this._endGathering(group, nowMs)
  }

  /**
   * Opens the hosts to other work again, for a time in proportion to the time for which they were closed.
   *
   * If capacity were gathered for the next job at once, a series of jobs would keep hosts closed nearly all the time:
   * hosts would be half idle, and lower classes would get their floors only.
   */
  private _endGathering (group: IGroup, nowMs: MonotonicMs): void {
    const closedMs = Math.min(nowMs - (group.gatheringSinceMs ?? nowMs), MAX_CLOSED_MS)
    this._nextGatherAtMs = nowMs + OPEN_TO_CLOSED_RATIO * closedMs
    this._gathering = undefined
  }

  /**
   * Holds free capacity for a task, or else capacity on a host that gets no new work until the hold is met. A host is
   * drained for one group at a time: two holds on it would each see the other's capacity as missing and never be met.
   */
  private _holdFor (group: IGroup, task: IGroupTask, nowMs: MonotonicMs): boolean {
    const free = this._chooser.choose(task.item, task.need)
    const host = free ?? (this.areHostsClosed(nowMs) && group === this._gathering ? undefined : this._findHostToDrain(group, task))
    if (host === undefined) return false
    this._groupStore.hold(group, task, host)
    if (free === undefined) group.startsAtMs = Math.max(group.startsAtMs, nowMs + this._forecast.timeToHostFitMs(host))
    return true
  }

  private _findHostToDrain (group: IGroup, task: IGroupTask): LedgerHost | undefined {
    const isOurs = (host: LedgerHost): boolean => !host.hasHolds || [...group.holds.values()].some((hold) => hold.host === host)
    return this._chooser.chooseToDrain(task.item, task.need, isOurs)
  }

  /**
   * Moves holds from hosts that are still draining to capacity that has become free elsewhere.
   *
   * Run times have a long tail: if one of sixteen hosts runs a task for another minute, the fifteen drained hosts would
   * be idle until then.
   */
  private _improveHolds (): void {
    let hasMoved = false
    for (const group of this._groupStore.groupsWithHolds()) hasMoved = this._improveHoldsOf(group) || hasMoved
    if (hasMoved) this._updateBackfillLimits()
  }

  private _improveHoldsOf (group: IGroup): boolean {
    let hasMoved = false
    for (const hold of group.holds.values()) {
      if (fits(hold.host.held, hold.host.unused())) continue
      const host = this._chooser.choose(hold.item, hold.need)
      if (host === undefined) break
      this._groupStore.moveHold(group, hold, host)
      hasMoved = true
    }
    return hasMoved
  }

  private _updateBackfillLimits (): void {
    this._backfillUntilMs.clear()
    for (const group of this._groupStore.groupsWithHolds()) {
      for (const { host } of group.holds.values()) {
        this._backfillUntilMs.set(host, Math.min(this._backfillUntilMs.get(host) ?? Infinity, group.startsAtMs))
      }
    }
  }

  private _holdFreeCapacity (isItsTurn: TurnTest): void {
    let tried = 0
    for (const group of this._groupStore.groups()) {
      if (group === this._gathering || group.holds.size > 0) continue
      tried += 1
      if (tried > MAX_GROUPS_TRIED) return
      if (this._mightFit(group) && isItsTurn(group) && this._isWithinLimits(group)) this._holdAllOrNone(group)
    }
  }

  /** Whether enough capacity is free in total. Without this check a large group would be tried in vain each time a task ends. */
  private _mightFit (group: IGroup): boolean {
    const sum = zeroResources()
    for (const { need } of group.tasks) addInto(sum, need)
    return fits(sum, difference(this._ledger.capacity, this._ledger.used))
  }

  private _holdAllOrNone (group: IGroup): void {
    for (const task of group.tasks) {
      const host = this._chooser.choose(task.item, task.need)
      if (host === undefined) {
        this._groupStore.releaseHolds(group)
        return
      }
      this._groupStore.hold(group, task, host)
    }
  }

  private _isWithinLimits (group: IGroup): boolean {
    const items = group.tasks.map(({ item }) => item)
    const [first] = items
    return first !== undefined && this._usage.isWithinMaxRunning(first.profile, items.length) && this._usage.isWithinQuota(items)
  }
}

function isSingle (group: IGroup): boolean {
  return group.startsItself && group.tasks.length === 1
}

function goesBefore (a: IGroup, b: IGroup): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank
  if (a.startsItself !== b.startsItself) return !a.startsItself
  return a.queuedAtMs < b.queuedAtMs
}
