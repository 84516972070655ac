/**
 * Orders the waiting work of all profiles: profiles below their floor first, then by class, then by weight.
 * `ProfileQueue` orders the work within a profile.
 */

import BTreeModule from 'sorted-btree'

import { ProfileQueue } from './ProfileQueue.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { PriorityClass } from '../config/Types.js'
import type { IQueueEntry, IQueueRequest, LaneFilter } from './QueueTypes.js'
import type { UsageTracker } from './UsageTracker.js'

const BTree = BTreeModule.default

/** The floor of a waiting profile that has no larger one: enough to make progress, too little for others to notice. */
const MIN_FLOOR_SHARE = 0.02

/** Floors are scaled down when their sum is larger than this, so that work without a floor always finds some capacity. */
const MAX_FLOOR_SUM = 0.9

const CLASS_RANK: Readonly<Record<PriorityClass, number>> = { urgent: 0, normal: 1, patient: 2 }

export function classRank (priorityClass: PriorityClass): number {
  return CLASS_RANK[priorityClass]
}

export class FairQueue {
  private readonly _profiles = new Map<string, ProfileQueue>()
  private readonly _entries = new Map<string, IQueueEntry>()
  private readonly _byLatestStart = new BTree<IQueueEntry, undefined>(undefined, compareLatestStart)
  private readonly _classVirtualMs = [0, 0, 0]

  /** @param _isScarce whether so little capacity is free that callers above their share have to leave it to the others */
  public constructor (
    private readonly _usage: UsageTracker,
    private readonly _capacity: IResources,
    private readonly _isScarce: () => boolean
  ) {}

  public get size (): number {
    return this._entries.size
  }

  public profiles (): IterableIterator<ProfileQueue> {
    return this._profiles.values()
  }

  /** All queued entries, in no particular order. */
  public entries (): IterableIterator<IQueueEntry> {
    return this._entries.values()
  }

  public has (itemId: string): boolean {
    return this._entries.has(itemId)
  }

  public profile (name: string): ProfileQueue | undefined {
    return this._profiles.get(name)
  }

  public add (request: IQueueRequest): IQueueEntry {
    const queue = this.profileFor(request.item.profile)
    if (queue.queuedCount === 0) this.catchUp(queue)
    const entry = queue.add(request)
    this._entries.set(request.item.id, entry)
    if (entry.latestStartAtMs < Infinity) this._byLatestStart.set(entry, undefined)
    return entry
  }

  public remove (itemId: string): IQueueEntry | undefined {
    const entry = this._entries.get(itemId)
    if (entry === undefined) return undefined
    this._entries.delete(itemId)
    if (entry.latestStartAtMs < Infinity) this._byLatestStart.delete(entry)
    entry.queue.remove(entry)
    return entry
  }

  /** Removes and returns one entry that can't end in time any more. */
  public removeExpired (nowMs: MonotonicMs): IQueueEntry | undefined {
    const first = this._byLatestStart.minKey()
    if (first === undefined || first.latestStartAtMs > nowMs) return undefined
    return this.remove(first.item.id)
  }

  public earliestLatestStartMs (): MonotonicMs {
    return this._byLatestStart.minKey()?.latestStartAtMs ?? Infinity
  }

  /**
   * Returns the entry to start next among the lanes that are not blocked.
   *
   * A profile below its floor goes first, whatever its class. By class alone, patient work would wait for as long as a
   * flood of urgent work lasts. Among profiles above their floors the class decides, so that urgent work waits at most
   * until the next place becomes free.
   */
  public peek (isBlocked: LaneFilter): IQueueEntry | undefined {
    return this._peekBelowFloor(isBlocked) ?? this._peekByClass(isBlocked)
  }

  /** Whether the profile runs less than its floor guarantees, or nothing. */
  public isBelowFloor (queue: ProfileQueue): boolean {
    const { name } = queue.profile
    if (this._usage.profileCount(name) === 0) return true
    return this._usage.profileShare(name, this._capacity) <= this.floorShare(queue)
  }

  public floorShare (queue: ProfileQueue): number {
    return Math.max(queue.profile.floorShare * this._floorScale(), MIN_FLOOR_SHARE)
  }

  /** Charges the profile and the caller for an item that starts. */
  public charge (entry: { readonly queue: ProfileQueue, readonly costMs: number }, caller: string): void {
    const { queue, costMs } = entry
    const rank = classRank(queue.profile.priorityClass)
    this._classVirtualMs[rank] = Math.max(this._classVirtualMs[rank] ?? 0, queue.virtualMs)
    queue.virtualMs += costMs / queue.profile.weight
    queue.charge(caller, costMs)
  }

  public settle (queue: ProfileQueue, caller: string, estimatedMs: number, actualMs: number): void {
    queue.virtualMs += (actualMs - estimatedMs) / queue.profile.weight
    queue.settle(caller, estimatedMs, actualMs)
  }

  /** Returns the queue of a profile, created if needed, and updates it to the profile revision that came with the work. */
  public profileFor (profile: ProfileQueue['profile']): ProfileQueue {
    const known = this._profiles.get(profile.name)
    if (known !== undefined) {
      known.profile = profile
      return known
    }
    const queue = new ProfileQueue(profile)
    this._profiles.set(profile.name, queue)
    return queue
  }

  /** Moves a profile that was idle up to the virtual time of its class, so that idle time earns no priority. */
  public catchUp (queue: ProfileQueue): void {
    const rank = classRank(queue.profile.priorityClass)
    queue.virtualMs = Math.max(queue.virtualMs, this._classVirtualMs[rank] ?? 0)
  }

  private _peekBelowFloor (isBlocked: LaneFilter): IQueueEntry | undefined {
    let best: IQueueEntry | undefined
    let bestFilled = Infinity
    for (const queue of this._profiles.values()) {
      if (!this._canStart(queue) || !this.isBelowFloor(queue)) continue
      const filled = this._usage.profileShare(queue.profile.name, this._capacity) / this.floorShare(queue)
      const entry = filled < bestFilled ? queue.peek(isBlocked, false) : undefined
      if (entry === undefined) continue
      best = entry
      bestFilled = filled
    }
    return best
  }

  private _peekByClass (isBlocked: LaneFilter): IQueueEntry | undefined {
    const isScarce = this._isScarce()
    let best: IQueueEntry | undefined
    for (const queue of this._profiles.values()) {
      if (!this._canStart(queue) || (best !== undefined && !goesBefore(queue, best.queue))) continue
      best = queue.peek(isBlocked, isScarce) ?? best
    }
    return best
  }

  private _canStart (queue: ProfileQueue): boolean {
    return queue.queuedCount > 0 && this._usage.isWithinMaxRunning(queue.profile)
  }

  private _floorScale (): number {
    let sum = 0
    for (const queue of this._profiles.values()) {
      if (queue.queuedCount > 0) sum += queue.profile.floorShare
    }
    return sum > MAX_FLOOR_SUM ? MAX_FLOOR_SUM / sum : 1
  }
}

function goesBefore (a: ProfileQueue, b: ProfileQueue): boolean {
  const byClass = classRank(a.profile.priorityClass) - classRank(b.profile.priorityClass)
  return byClass === 0 ? a.virtualMs < b.virtualMs : byClass < 0
}

function compareLatestStart (a: IQueueEntry, b: IQueueEntry): number {
  if (a.latestStartAtMs !== b.latestStartAtMs) return a.latestStartAtMs - b.latestStartAtMs
  if (a.sequence !== b.sequence) return a.sequence - b.sequence
  return a.item.id < b.item.id ? -1 : Number(a.item.id > b.item.id)
}
