/**
 * The queue of one profile. Callers share the capacity of the profile by the cost of the work they ran; each caller's
 * own items are ordered by deadline (urgent) or by arrival.
 */

import BTreeModule from 'sorted-btree'

import type { IProfile } from '../config/Types.js'
import type { ICallerLine, ICallerShare, ILane, ILaneKey, IQueueEntry, IQueueRequest, LaneFilter } from './QueueTypes.js'

const BTree = BTreeModule.default

/** Idle callers are removed once this many new ones have come, so that the cost of the scan is spread over them. */
const SWEEP_AFTER_CALLERS = 1_000

/**
 * While capacity is scarce, the last free slots are kept from a caller that runs more than this many times its even
 * share. With 1 instead of 2, urgent requests of callers just above the average would wait for seconds behind patient
 * ones, because callers with similar demand also differ by some amount.
 */
const FAR_ABOVE = 2

/**
 * The most callers above their share that are skipped in one search. If there are more than this, they can't all be far
 * above it.
 */
const MAX_PASSED_OVER = 16

export class ProfileQueue {
  public queuedCount = 0
  public queuedCostMs = 0
  /** The cost charged to the profile, divided by its weight, on the virtual time of its class. */
  public virtualMs = 0
  private readonly _callers = new Map<string, ICallerShare>()
  private readonly _lanes = new Map<string, ILane>()
  private _callerVirtualMs = 0
  private _activeCallers = 0
  private _presentCallers = 0
  private _runningCount = 0
  private _sequence = 0
  private _sweepAtCallers = SWEEP_AFTER_CALLERS

  public constructor (public profile: IProfile) {}

  /** The number of callers with queued work. */
  public get activeCallers (): number {
    return this._activeCallers
  }

  /** The number of callers remembered, with or without work. */
  public get knownCallers (): number {
    return this._callers.size
  }

  public caller (name: string): ICallerShare | undefined {
    return this._callers.get(name)
  }

  public add (request: IQueueRequest): IQueueEntry {
    const { item } = request
    const share = this._share(item.caller)
    const line = this._line(share, request.lane)
    this._sequence += 1
    const orderMs = this.profile.priorityClass === 'urgent' ? item.deadlineAtMs : item.arrivedAtMs
    const { need, costMs, latestStartAtMs } = request
    const entry: IQueueEntry = { item, need, costMs, latestStartAtMs, queue: this, line, orderMs, sequence: this._sequence }
    line.entries.set(entry, undefined)
    this._countQueued(entry, 1)
    return entry
  }

  /**
   * Removes an entry from any position in logarithmic time.
   *
   * In a wave of cancellations, marking entries and skipping them later would leave tens of thousands of them to a
   * single placement, which would cause a pause. Here each cancellation bears its own cost.
   */
  public remove (entry: IQueueEntry): void {
    const { line } = entry
    line.entries.delete(entry)
    this._countQueued(entry, -1)
    if (line.entries.isEmpty) this._dropLine(line)
  }

  /**
   * Returns the next entry of the caller that was charged least, among the lanes that are not blocked.
   *
   * @param isScarce when set, callers that run far more than their even share are skipped. Otherwise a caller that
   * could fill every slot would make the others wait for a slot each time, though they use little. With the last few
   * slots left to them, they are served at once, as if they were alone.
   */
  public peek (isBlocked: LaneFilter, isScarce: boolean): IQueueEntry | undefined {
    let best: ICallerLine | undefined
    for (const lane of this._lanes.values()) {
      if (isBlocked(lane)) continue
      const line = isScarce ? this._firstWithinShare(lane) : lane.lines.minKey()
      if (line !== undefined && (best === undefined || compareLines(line, best) < 0)) best = line
    }
    return best?.entries.minKey()
  }

  /** Charges a caller with the estimated cost of an item that starts. */
  public charge (caller: string, costMs: number): void {
    const share = this._share(caller)
    this._callerVirtualMs = Math.max(this._callerVirtualMs, share.virtualMs)
    this._countRunning(share, 1)
    this._moveTo(share, share.virtualMs + costMs)
  }

  /**
   * Replaces the estimated charge by the actual cost. Without the correction, a caller that declares a tenth of its run
   * times would get ten times the share of the others, whose waits would grow.
   */
  public settle (caller: string, estimatedMs: number, actualMs: number): void {
    const share = this._callers.get(caller)
    if (share === undefined) return
    this._countRunning(share, -1)
    this._moveTo(share, share.virtualMs + actualMs - estimatedMs)
  }

  private _firstWithinShare (lane: ILane): ICallerLine | undefined {
    const allowed = 1 + FAR_ABOVE * this._runningCount / Math.max(1, this._presentCallers)
    let looks = 0
    for (const line of lane.lines.keys()) {
      looks += 1
      if (line.share.runningCount <= allowed) return line
      if (looks >= MAX_PASSED_OVER) return undefined
    }
    return undefined
  }

  private _share (caller: string): ICallerShare {
    const known = this._callers.get(caller)
    if (known !== undefined) return known
    if (this._callers.size >= this._sweepAtCallers) this._sweep()
    const share: ICallerShare = {
      caller, virtualMs: this._callerVirtualMs, queuedCount: 0, queuedCostMs: 0, runningCount: 0, lines: new Set()
    }
    this._callers.set(caller, share)
    return share
  }

  private _line (share: ICallerShare, key: ILaneKey): ICallerLine {
    const lane = this._lane(key)
    const known = lane.lineOf.get(share.caller)
    if (known !== undefined) return known
    if (share.queuedCount === 0) this._catchUp(share)
    this._sequence += 1
    const line: ICallerLine = { share, lane, id: this._sequence, entries: new BTree(undefined, compareEntries) }
    share.lines.add(line)
    lane.lineOf.set(share.caller, line)
    lane.lines.set(line, undefined)
    return line
  }

  /** Moves a caller that was idle up to the current virtual time: idle time earns no claim to be served first. */
  private _catchUp (share: ICallerShare): void {
    this._moveTo(share, Math.max(share.virtualMs, this._callerVirtualMs))
  }

  private _lane ({ shape, team }: ILaneKey): ILane {
    const key = `${shape}|${team}`
    const known = this._lanes.get(key)
    if (known !== undefined) return known
    const lane: ILane = { key, shape, team, lines: new BTree(undefined, compareLines), lineOf: new Map() }
    this._lanes.set(key, lane)
    return lane
  }

  private _dropLine (line: ICallerLine): void {
    const { lane, share } = line
    lane.lines.delete(line)
    lane.lineOf.delete(share.caller)
    share.lines.delete(line)
    if (lane.lineOf.size === 0) this._lanes.delete(lane.key)
  }

  /** Sets a caller's virtual time; its queues are ordered by it, so they are removed and inserted again. */
  private _moveTo (share: ICallerShare, virtualMs: number): void {
    for (const line of share.lines) line.lane.lines.delete(line)
    share.virtualMs = virtualMs
    for (const line of share.lines) line.lane.lines.set(line, undefined)
  }

  private _countRunning (share: ICallerShare, sign: 1 | -1): void {
    const wasPresent = isPresent(share)
    share.runningCount += sign
    this._runningCount += sign
    this._presentCallers += Number(isPresent(share)) - Number(wasPresent)
  }

  private _countQueued (entry: IQueueEntry, sign: 1 | -1): void {
    const { share } = entry.line
    const before = share.queuedCount
    const wasPresent = isPresent(share)
    share.queuedCount += sign
    share.queuedCostMs += sign * entry.costMs
    this.queuedCount += sign
    this.queuedCostMs += sign * entry.costMs
    if (before === 0) this._activeCallers += 1
    if (share.queuedCount === 0) this._activeCallers -= 1
    this._presentCallers += Number(isPresent(share)) - Number(wasPresent)
  }

  /**
   * Removes callers without queued or running work, and with them the cost that they were charged beyond the others.
   *
   * The virtual time doesn't advance while each request comes from a new caller, so all these callers would seem to be
   * ahead and be kept for ever: memory would grow by some 200 bytes a request. Little charge is lost, since the scan
   * runs only after a thousand new callers, and a caller that keeps coming is rarely without a request for long.
   */
  private _sweep (): void {
    for (const [name, share] of this._callers) {
      if (!isPresent(share)) this._callers.delete(name)
    }
    this._sweepAtCallers = 2 * this._callers.size + SWEEP_AFTER_CALLERS
  }
}

function isPresent (share: ICallerShare): boolean {
  return share.queuedCount > 0 || share.runningCount > 0
}

function compareEntries (a: IQueueEntry, b: IQueueEntry): number {
  return a.orderMs === b.orderMs ? a.sequence - b.sequence : a.orderMs - b.orderMs
}

function compareLines (a: ICallerLine, b: ICallerLine): number {
  return a.share.virtualMs === b.share.virtualMs ? a.id - b.id : a.share.virtualMs - b.share.virtualMs
}
