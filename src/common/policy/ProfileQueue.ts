/**
 * The queue of one profile: its callers share what the profile gets by the cost of what they ran, and each caller's
 * own items stand by deadline (urgent) or by arrival.
 */

import BTreeModule from 'sorted-btree'

import type { IProfile } from '../config/Types.js'
import type { ICallerLine, ICallerShare, ILane, ILaneKey, IQueueEntry, IQueueRequest, LaneFilter } from './QueueTypes.js'

const BTree = BTreeModule.default

/** Idle callers are looked through once this many new ones have come, so that the cost of a look is spread over them. */
const SWEEP_AFTER_CALLERS = 1_000

/**
 * How many times its even share a caller runs before the last free slots are kept from it. Callers with like demand differ by
 * less: with 1 instead of 2, urgent requests of callers just above the average waited for seconds behind patient ones.
 */
const FAR_ABOVE = 2

/** Callers above their share that are passed over in one look; more of them than this can't all be far above it. */
const MAX_PASSED_OVER = 16

export class ProfileQueue {
  public queuedCount = 0
  public queuedCostMs = 0
  /** What the profile was served by its weight, on the virtual time of its class. */
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

  /** Callers with something waiting. */
  public get activeCallers (): number {
    return this._activeCallers
  }

  /** Callers remembered, with something here or not. */
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
   * Takes an entry out, wherever it stands, in logarithmic time.
   *
   * Made for waves of cancellations. Marking entries and skipping the marked ones later would leave tens of
   * thousands of them to one unlucky placement, seen as a pause; here each cancellation pays for itself.
   */
  public remove (entry: IQueueEntry): void {
    const { line } = entry
    line.entries.delete(entry)
    this._countQueued(entry, -1)
    if (line.entries.isEmpty) this._dropLine(line)
  }

  /**
   * The next entry of the caller that was served least, among the lanes that are not blocked.
   *
   * @param isScarce when set, callers that run far more than their even share are passed over. Made for one caller that
   * could fill every slot: the others would wait for a slot to come free each time, though they use little. With the last few
   * slots left to them they are served at once, as if they were alone.
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
   * Corrects the charge when the true cost is known.
   *
   * Made for callers whose declared run times are far off: charged by declaration, one that declares a tenth of what
   * it takes would get ten times the share of the others, who see their waits grow for no fault of theirs.
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

  /** A caller that comes back after a rest starts level with the others: a rest saves up no claim to be served first. */
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

  /** Moves a caller on the virtual time; its lines are ordered by it, so they are taken out and put back. */
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
   * Forgets callers that have nothing here, and with them what they still owe.
   *
   * Made for callers that come once. The virtual time stands still while each request is of a new caller, so all of them would
   * seem to owe something and be kept for ever: memory grows by some 200 bytes a request. What is forgiven is small, since a
   * look comes only after a thousand new callers, and none that keeps coming is without a request for long.
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
