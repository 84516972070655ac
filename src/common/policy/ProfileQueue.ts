/**
 * The queue of one profile. Callers share the capacity of the profile by the cost of the work they ran; each caller's
 * own items are ordered by deadline (urgent) or by arrival.
 */

import BTreeModule from 'sorted-btree'

import type { IProfile } from '../config/Types.js'
import type { ICallerQueue, ICallerState, ILane, ILaneKey, IQueueEntry, IQueueRequest, LaneFilter } from './QueueTypes.js'

const BTree = BTreeModule.default

/** Idle callers are removed once this many new ones have come, so that the cost of the scan is spread over them. */
const REMOVE_IDLE_AFTER_CALLERS = 1_000

/**
 * While capacity is scarce, the last free slots are kept from a caller that runs more than this many times its even
 * share. With 1 instead of 2, urgent requests of callers just above the average would wait for seconds behind patient
 * ones, because callers with similar demand also differ by some amount.
 */
const SCARCE_SHARE_FACTOR = 2

/** The most callers above their share that are skipped in one search. If there are more than this, they can't all be far above it. */
const MAX_QUEUES_SKIPPED = 16

export class ProfileQueue {
  public queuedCount = 0
  public queuedCostMs = 0
  /** The cost charged to the profile, divided by its weight, on the virtual time of its class. */
  public virtualMs = 0
  private readonly _callers = new Map<string, ICallerState>()
  private readonly _lanes = new Map<string, ILane>()
  private _callerVirtualMs = 0
  private _activeCallers = 0
  private _callersWithWork = 0
  private _runningCount = 0
  private _sequence = 0
  private _removeIdleAtCount = REMOVE_IDLE_AFTER_CALLERS

  public constructor (public profile: IProfile) {}

  /** The number of callers with queued work. */
  public get activeCallers (): number {
    return this._activeCallers
  }

  /** The number of callers remembered, with or without work. */
  public get knownCallers (): number {
    return this._callers.size
  }

  public caller (name: string): ICallerState | undefined {
    return this._callers.get(name)
  }

  public add (request: IQueueRequest): IQueueEntry {
    const { item } = request
    const state = this._stateOf(item.caller)
    const callerQueue = this._queueOf(state, request.lane)
    this._sequence += 1
    const orderMs = this.profile.priorityClass === 'urgent' ? item.deadlineAtMs : item.arrivedAtMs
    const { need, costMs, latestStartAtMs } = request
    const entry: IQueueEntry = { item, need, costMs, latestStartAtMs, queue: this, callerQueue, orderMs, sequence: this._sequence }
    callerQueue.entries.set(entry, undefined)
    this._countQueued(entry, 1)
    return entry
  }

  /**
   * Removes an entry from any position in logarithmic time.
   *
   * In a wave of cancellations, marking entries and skipping them later would leave tens of thousands of them to a
   * single placement, which would cause a pause. Here each cancellation removes its own entry.
   */
  public remove (entry: IQueueEntry): void {
    const { callerQueue } = entry
    callerQueue.entries.delete(entry)
    this._countQueued(entry, -1)
    if (callerQueue.entries.isEmpty) this._removeCallerQueue(callerQueue)
  }

  /**
   * Returns the next entry of the caller that was charged least, among the lanes that are not blocked.
   *
   * @param isScarce when set, callers that run far more than their even share are skipped. Otherwise a caller that
   * could fill every slot would make the others wait for a slot each time, though they use little. With the last few
   * slots left to them, they are served at once, as if they were alone.
   */
  public peek (isBlocked: LaneFilter, isScarce: boolean): IQueueEntry | undefined {
    let best: ICallerQueue | undefined
    for (const lane of this._lanes.values()) {
      if (isBlocked(lane)) continue
      const callerQueue = isScarce ? this._firstQueueWithinShare(lane) : lane.callerQueues.minKey()
      if (callerQueue !== undefined && (best === undefined || compareCallerQueues(callerQueue, best) < 0)) best = callerQueue
    }
    return best?.entries.minKey()
  }

  /** Charges a caller with the estimated cost of an item that starts. */
  public charge (caller: string, costMs: number): void {
    const state = this._stateOf(caller)
    this._callerVirtualMs = Math.max(this._callerVirtualMs, state.virtualMs)
    this._countRunning(state, 1)
    this._setVirtualMs(state, state.virtualMs + costMs)
  }

  /**
   * Replaces the estimated charge by the actual cost. Without the correction, a caller that declares a tenth of its run
   * times would get ten times the share of the others, whose waits would grow.
   */
  public settle (caller: string, estimatedMs: number, actualMs: number): void {
    const state = this._callers.get(caller)
    if (state === undefined) return
    this._countRunning(state, -1)
    this._setVirtualMs(state, state.virtualMs + actualMs - estimatedMs)
  }

  private _firstQueueWithinShare (lane: ILane): ICallerQueue | undefined {
    const allowed = 1 + SCARCE_SHARE_FACTOR * this._runningCount / Math.max(1, this._callersWithWork)
    let checked = 0
    for (const callerQueue of lane.callerQueues.keys()) {
      checked += 1
      if (callerQueue.owner.runningCount <= allowed) return callerQueue
      if (checked >= MAX_QUEUES_SKIPPED) return undefined
    }
    return undefined
  }

  private _stateOf (caller: string): ICallerState {
    const known = this._callers.get(caller)
    if (known !== undefined) return known
    if (this._callers.size >= this._removeIdleAtCount) this._removeIdleCallers()
    const state: ICallerState = {
      caller, virtualMs: this._callerVirtualMs, queuedCount: 0, queuedCostMs: 0, runningCount: 0, queues: new Set()
    }
    this._callers.set(caller, state)
    return state
  }

  private _queueOf (state: ICallerState, key: ILaneKey): ICallerQueue {
    const lane = this._laneFor(key)
    const known = lane.queueByCaller.get(state.caller)
    if (known !== undefined) return known
    if (state.queuedCount === 0) this._catchUp(state)
    this._sequence += 1
    const callerQueue: ICallerQueue = { owner: state, lane, id: this._sequence, entries: new BTree(undefined, compareEntries) }
    state.queues.add(callerQueue)
    lane.queueByCaller.set(state.caller, callerQueue)
    lane.callerQueues.set(callerQueue, undefined)
    return callerQueue
  }

  /** Moves a caller that was idle up to the current virtual time: idle time earns no claim to be served first. */
  private _catchUp (state: ICallerState): void {
    this._setVirtualMs(state, Math.max(state.virtualMs, this._callerVirtualMs))
  }

  private _laneFor ({ shape, team }: ILaneKey): ILane {
    const key = `${shape}|${team}`
    const known = this._lanes.get(key)
    if (known !== undefined) return known
    const lane: ILane = { key, shape, team, callerQueues: new BTree(undefined, compareCallerQueues), queueByCaller: new Map() }
    this._lanes.set(key, lane)
    return lane
  }

  private _removeCallerQueue (callerQueue: ICallerQueue): void {
    const { lane, owner: state } = callerQueue
    lane.callerQueues.delete(callerQueue)
    lane.queueByCaller.delete(state.caller)
    state.queues.delete(callerQueue)
    if (lane.queueByCaller.size === 0) this._lanes.delete(lane.key)
  }

  /** Sets a caller's virtual time; its queues are ordered by it, so they are removed and inserted again. */
  private _setVirtualMs (state: ICallerState, virtualMs: number): void {
    for (const callerQueue of state.queues) callerQueue.lane.callerQueues.delete(callerQueue)
    state.virtualMs = virtualMs
    for (const callerQueue of state.queues) callerQueue.lane.callerQueues.set(callerQueue, undefined)
  }

  private _countRunning (state: ICallerState, sign: 1 | -1): void {
    const hadWork = hasWork(state)
    state.runningCount += sign
    this._runningCount += sign
    this._callersWithWork += Number(hasWork(state)) - Number(hadWork)
  }

  private _countQueued (entry: IQueueEntry, sign: 1 | -1): void {
    const { owner: state } = entry.callerQueue
    const queuedBefore = state.queuedCount
    const hadWork = hasWork(state)
    state.queuedCount += sign
    state.queuedCostMs += sign * entry.costMs
    this.queuedCount += sign
    this.queuedCostMs += sign * entry.costMs
    if (queuedBefore === 0) this._activeCallers += 1
    if (state.queuedCount === 0) this._activeCallers -= 1
    this._callersWithWork += Number(hasWork(state)) - Number(hadWork)
  }

  /**
   * Removes callers without queued or running work, and with them the cost that they were charged beyond the others.
   *
   * The virtual time doesn't advance while each request comes from a new caller, so all these callers would seem to be
   * ahead and be kept for ever: memory would grow by some 200 bytes a request. Little charge is lost, since the scan
   * runs only after a thousand new callers, and a caller that keeps coming is rarely without a request for long.
   */
  private _removeIdleCallers (): void {
    for (const [name, state] of this._callers) {
      if (!hasWork(state)) this._callers.delete(name)
    }
    this._removeIdleAtCount = 2 * this._callers.size + REMOVE_IDLE_AFTER_CALLERS
  }
}

function hasWork (state: ICallerState): boolean {
  return state.queuedCount > 0 || state.runningCount > 0
}

function compareEntries (a: IQueueEntry, b: IQueueEntry): number {
  return a.orderMs === b.orderMs ? a.sequence - b.sequence : a.orderMs - b.orderMs
}

function compareCallerQueues (a: ICallerQueue, b: ICallerQueue): number {
  return a.owner.virtualMs === b.owner.virtualMs ? a.id - b.id : a.owner.virtualMs - b.owner.virtualMs
}
