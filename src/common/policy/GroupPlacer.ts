/**
 * Finds room for all-at-once jobs: hosts are emptied for one of them at a time, so that no two wait for each other.
 */

import { addInto, difference, fits, zeroResources } from './Resources.js'

import type { MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { GroupBook, IGroup, IGroupTask } from './GroupBook.js'
import type { HostChooser } from './HostChooser.js'
import type { RoomForecast } from './RoomForecast.js'
import type { UseLedger } from './UseLedger.js'

/** Groups looked at for places that are free anyway; a later small one may start while an early large one waits. */
const MAX_GROUPS_TRIED = 8

/** How long a group waits for enough room by chance before hosts are emptied for it, which costs idle room. */
const GATHER_AFTER_MS = 1_000

/** Gathering that has not come to an end in this time is given up in favour of the next group: its room may never come. */
const MAX_GATHER_MS = 600_000

/** For so long other work may be kept from all hosts; where run times are longer, chosen hosts are emptied instead. */
const MAX_CLOSED_MS = 60_000

/** Time for which hosts are open to all after a job's room has come together, per time for which they were closed. */
const OPEN_PER_CLOSED = 1

/** While this share of the capacity is held, no further hosts are emptied for single items: held room is mostly idle. */
const MAX_HELD_SHARE_FOR_ONE = 0.05

/** Single items for which hosts are emptied at once: each is looked at whenever a task ends. */
const MAX_SINGLES = 32

/** Whether it is this group's turn to have room gathered for it. */
export type TurnTest = (group: IGroup) => boolean

export class GroupPlacer {
  private _gathering: IGroup | undefined
  private _singles = 0
  private _nextGatherAtMs: MonotonicMs = -Infinity
  /** Until when the held room of a host is open to work that ends by then. */
  private readonly _openUntilMs = new Map<LedgerHost, MonotonicMs>()

  public constructor (
    private readonly _book: GroupBook,
    private readonly _ledger: CapacityLedger,
    private readonly _use: UseLedger,
    private readonly _chooser: HostChooser,
    private readonly _forecast: RoomForecast
  ) {}

  /** The group for which hosts are being emptied. */
  public get gathering (): IGroup | undefined {
    return this._gathering
  }

  /** Whether one more host may be emptied for a single large item. */
  public canGatherForOne (): boolean {
    if (this._gathering !== undefined || this._singles >= MAX_SINGLES) return false
    return this._ledger.shareOf(this._ledger.held) < MAX_HELD_SHARE_FOR_ONE
  }

  /**
   * Whether other work is kept from all hosts so that room comes together for a job.
   *
   * Made for large jobs amid tasks that run for seconds: what ends on any host then counts towards the job, so the
   * hosts are idle for the shortest time. Emptying a few chosen hosts takes longer, since the last of them decides.
   */
  public isClosing (nowMs: MonotonicMs): boolean {
    const sinceMs = this._gathering?.gatheringSinceMs
    return sinceMs !== undefined && nowMs - sinceMs < MAX_CLOSED_MS
  }

  /** When something here is due although no room has come free. */
  public nextWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    let wakeAtMs = this._book.earliestExpiryMs
    if (this._book.groupCount > 0 && this._nextGatherAtMs > nowMs) wakeAtMs = Math.min(wakeAtMs, this._nextGatherAtMs)
    if (this.isClosing(nowMs)) wakeAtMs = Math.min(wakeAtMs, (this._gathering?.gatheringSinceMs ?? nowMs) + MAX_CLOSED_MS)
    for (const group of this._book.groups()) {
      const gatherAtMs = group.queuedAtMs + GATHER_AFTER_MS
      if (gatherAtMs > nowMs) wakeAtMs = Math.min(wakeAtMs, gatherAtMs)
    }
    return wakeAtMs
  }

  /**
   * Moves the groups on and gives one that can start itself now.
   *
   * Made for jobs of many tasks among a stream of small ones. Left to chance, a large job never finds all its room at
   * one moment: it starves, though each small task waits hardly at all. So room is gathered for it as it comes free. Only
   * one group at a time holds part of its room: were there two, each could hold half and wait for the other for ever,
   * which shows as hosts held but idle. A group with all its claims waits for running work alone, so its wait is
   * bounded by run times, and the next group may gather meanwhile.
   */
  public advance (nowMs: MonotonicMs, isItsTurn: TurnTest): IGroup | undefined {
    this._stopStalled(nowMs)
    this._gatherForSingles(nowMs)
    this._startGathering(nowMs, isItsTurn)
    if (this._gathering !== undefined) this._gather(this._gathering, nowMs)
    this._improveClaims()
    this._tryOthers(isItsTurn)
    for (const group of this._book.holding()) {
      if (group.startsItself && this._book.isReady(group)) return group
    }
    return undefined
  }

  /** Whether the held room of this host is still open at `atMs`. */
  public isOpenUntil (host: LedgerHost, atMs: MonotonicMs): boolean {
    return atMs <= (this._openUntilMs.get(host) ?? 0)
  }

  private _stopStalled (nowMs: MonotonicMs): void {
    const gathering = this._gathering
    if (gathering !== undefined && this._book.group(gathering.groupId) !== gathering) this._endGathering(gathering, nowMs)
    for (const group of this._book.holding()) {
      if (group.gatheringSinceMs === undefined || nowMs - group.gatheringSinceMs < MAX_GATHER_MS) continue
      this._book.giveBack(group)
      group.queuedAtMs = nowMs
      if (group === this._gathering) this._endGathering(group, nowMs)
    }
  }

  private _gatherForSingles (nowMs: MonotonicMs): void {
    this._singles = 0
    for (const group of this._book.groups()) {
      if (!isSingle(group)) continue
      this._singles += 1
      if (group.holds.size === 0 && nowMs - group.queuedAtMs >= GATHER_AFTER_MS) this._gather(group, nowMs)
    }
  }

  private _startGathering (nowMs: MonotonicMs, isItsTurn: TurnTest): void {
    if (this._gathering !== undefined || nowMs < this._nextGatherAtMs) return
    let next: IGroup | undefined
    for (const group of this._book.groups()) {
      if (this._mayGather(group, nowMs) && (next === undefined || goesBefore(group, next)) && isItsTurn(group)) next = group
    }
    if (next === undefined) return
    this._gathering = next
    next.gatheringSinceMs = nowMs
    next.startsAtMs = nowMs + this._forecast.groupMs(next)
  }

  /** Parts of a job that spans schedulers hold room elsewhere already, so room is gathered for them at once. */
  private _mayGather (group: IGroup, nowMs: MonotonicMs): boolean {
    if (this._book.isComplete(group) || isSingle(group) || !this._isWithinLimits(group)) return false
    return !group.startsItself || nowMs - group.queuedAtMs >= GATHER_AFTER_MS
  }

  private _gather (group: IGroup, nowMs: MonotonicMs): void {
    group.gatheringSinceMs ??= nowMs
    const before = group.holds.size
    for (const task of group.tasks) {
      if (!group.holds.has(task.item.id) && !this._claim(group, task, nowMs)) break
    }
    if (group.holds.size > before) this._reopen()
    if (group === this._gathering && this._book.isComplete(group)) this._endGathering(group, nowMs)
  }

  /**
   * Lets the other work in again, for a time in proportion to that for which it was kept out.
   *
   * Made for jobs that come one after the other. Were room gathered for the next at once, hosts would be closed nearly all the time:
   * half idle, and lower classes left with their floors alone.
   */
  private _endGathering (group: IGroup, nowMs: MonotonicMs): void {
    const closedMs = Math.min(nowMs - (group.gatheringSinceMs ?? nowMs), MAX_CLOSED_MS)
    this._nextGatherAtMs = nowMs + OPEN_PER_CLOSED * closedMs
    this._gathering = undefined
  }

  /**
   * Holds room that is free, or else room on a host that gets nothing new until the claim is met. A host is emptied for
   * one group at a time: two claims on it would each see the other's room as missing and never be met.
   */
  private _claim (group: IGroup, task: IGroupTask, nowMs: MonotonicMs): boolean {
    const free = this._chooser.choose(task.item, task.need)
    const host = free ?? (this.isClosing(nowMs) && group === this._gathering ? undefined : this._hostToEmpty(group, task))
    if (host === undefined) return false
    this._book.hold(group, task, host)
    if (free === undefined) group.startsAtMs = Math.max(group.startsAtMs, nowMs + this._forecast.hostMs(host))
    return true
  }

  private _hostToEmpty (group: IGroup, task: IGroupTask): LedgerHost | undefined {
    const isOurs = (host: LedgerHost): boolean => !host.hasHolds || [...group.holds.values()].some((hold) => hold.host === host)
    return this._chooser.chooseToDrain(task.item, task.need, isOurs)
  }

  /**
   * Moves claims from hosts that are still being emptied to room that has come free elsewhere.
   *
   * Made for run times with a long tail: of sixteen hosts, one runs something for a minute more, and the fifteen that
   * have been emptied would stand idle until then.
   */
  private _improveClaims (): void {
    let hasMoved = false
    for (const group of this._book.holding()) hasMoved = this._improveClaimsOf(group) || hasMoved
    if (hasMoved) this._reopen()
  }

  private _improveClaimsOf (group: IGroup): boolean {
    let hasMoved = false
    for (const hold of group.holds.values()) {
      if (fits(hold.host.held, hold.host.unused())) continue
      const host = this._chooser.choose(hold.item, hold.need)
      if (host === undefined) break
      this._book.move(group, hold, host)
      hasMoved = true
    }
    return hasMoved
  }

  private _reopen (): void {
    this._openUntilMs.clear()
    for (const group of this._book.holding()) {
      for (const { host } of group.holds.values()) {
        this._openUntilMs.set(host, Math.min(this._openUntilMs.get(host) ?? Infinity, group.startsAtMs))
      }
    }
  }

  private _tryOthers (isItsTurn: TurnTest): void {
    let tried = 0
    for (const group of this._book.groups()) {
      if (group === this._gathering || group.holds.size > 0) continue
      tried += 1
      if (tried > MAX_GROUPS_TRIED) return
      if (this._couldFit(group) && isItsTurn(group) && this._isWithinLimits(group)) this._tryWhole(group)
    }
  }

  /** Enough is free in sum; without this look a large group would be tried in vain each time a task ends. */
  private _couldFit (group: IGroup): boolean {
    const sum = zeroResources()
    for (const { need } of group.tasks) addInto(sum, need)
    return fits(sum, difference(this._ledger.capacity, this._ledger.used))
  }

  private _tryWhole (group: IGroup): void {
    for (const task of group.tasks) {
      const host = this._chooser.choose(task.item, task.need)
      if (host === undefined) {
        this._book.giveBack(group)
        return
      }
      this._book.hold(group, task, host)
    }
  }

  private _isWithinLimits (group: IGroup): boolean {
    const items = group.tasks.map(({ item }) => item)
    const [first] = items
    return first !== undefined && this._use.isProfileOpen(first.profile, items.length) && this._use.isWithinQuota(items)
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
