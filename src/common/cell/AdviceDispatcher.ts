/**
 * Decides which machine calls the advice service for a step, and when.
 *
 * The service handles one call at a time for each calling machine, and a call takes from tens of milliseconds to more than a
 * second, depending on the queue. The design case is a burst of wide steps with slow calls beside batch steps with short calls and
 * many urgent steps with brief ones. Behind a slow call, an urgent step would wait for longer than its whole objective; so slow calls
 * are limited to some of the machines, and the machines nearest to the owner make only brief calls. Slow calls need a machine
 * that is about to become idle, while short ones follow each other on every machine; so less urgent short calls leave the machines
 * for slow calls alone while a slow call waits. With one or two machines, none is left for some short calls: on the one that they share
 * with slow calls, both kinds take turns, and urgent calls don't wait for the turn. Now and then, the call that has waited longest is sent,
 * so that late jobs get advice while others keep coming. All machines together have no more calls in flight than the owner can process in time.
 */

import { AdviceLimit, LATE_MS, SENDING_MS } from './AdviceLimit.js'
import { countAhead, partition, sortCalls } from './AdviceOrder.js'
import { LongWaitTurns } from './LongWaitTurns.js'
import { MachineLoads, isSlowCall } from './MachineLoads.js'
import { URGENT_PRIORITY } from './Placement.js'

import type { IClock, IDisposable, ITimers, MonotonicMs } from '../Types.js'
import type { IWaitingCall } from './AdviceOrder.js'
import type { AdviceOutcome, IAdviceRequest } from './Types.js'

export interface IAdviceCall extends IAdviceRequest {
  readonly priority: number
  /** Whether the step couldn't start with the answer now, for want of room. */
  readonly isForLater: boolean
  /** Since when the limit of waiting calls had kept the step from asking; undefined if it hadn't. */
  readonly turnedAwaySinceMs?: MonotonicMs | undefined
  /** Whether runs that wait for the answer occupy hosts. */
  readonly holdsCapacity: boolean
  readonly dueMs: number
  /** Whether the job can no longer meet its objective. Checked when the waiting calls are ordered. */
  isLate (): boolean
  /** How long the service needs for the call, in ms. */
  readonly expectedMs: number
  /** Whether the answer is still needed; checked when the call is about to be sent. */
  isWanted (): boolean
  /** Called when the call is sent. */
  onSent (): void
  /** @param sentAtMs undefined if the call was never sent */
  settle (outcome: AdviceOutcome, sentAtMs?: MonotonicMs): void
}

/** A machine that can call the service now. */
export interface IAdviceMachine {
  readonly name: string
  /** Whether the machine is in the region of the owner. */
  readonly isNear: boolean
}

export interface IAdviceSender {
  machines (): readonly IAdviceMachine[]
  send (machine: string, ask: IAdviceRequest, timeoutMs: number): Promise<AdviceOutcome>
}

/** The share of the machines that make slow calls. The others stay free for short ones, since an urgent step behind a slow call would be late. */
const SLOW_MACHINE_SHARE = 0.6
/** The same share while no short call waits for a machine. */
const MAX_SLOW_MACHINE_SHARE = 0.75
/** A call of at most this length, in ms, delays the next one by a small part of an objective of half a second. */
const BRIEF_CALL_MS = 60
/** The share of the machines that make only brief calls. An urgent call behind a batch call of 200 ms would be late as often as not. */
const BRIEF_MACHINE_SHARE = 0.1
/** Without brief calls for this long, in ms, all machines make the other ones. */
const BRIEF_KEEP_MS = 10_000
/** How much longer than expected a call may take, in ms: two round trips between regions and one short call ahead of it. */
const CALL_SLACK_MS = 700
/** The order of the waiting calls changes little within this time, in ms, while none is added. */
const ORDER_INTERVAL_MS = 50
/** A timer that is late by less than this, in ms, shows that this process has time to spare. */
const PUNCTUAL_MS = 100

/** The machines by the calls that they may make: the first ones all, the last ones only brief calls. */
interface IMachineShares {
  readonly names: readonly string[]
  readonly slowCount: number
  readonly maxSlowCount: number
  readonly shortCount: number
}

/** Which calls wait. */
interface IWaitingKinds {
  readonly hasShort: boolean
  /** Whether a step waits that could start with its answer. */
  readonly hasStartable: boolean
  /** The number of calls that have to share a machine with slow ones. */
  sharingCount: number
  /** Whether a slow call before the present one waits for a machine that may make it. */
  isSlowHeldUp: boolean
}

export class AdviceDispatcher {
  private readonly _loads: MachineLoads
  private readonly _limit = new AdviceLimit()
  private _waiting: IWaitingCall[] = []
  private readonly _turns = new LongWaitTurns()
  private _retry: IDisposable | undefined
  private _nextEnd: IDisposable | undefined
  private _briefAtMs: MonotonicMs = -Infinity
  private _isShortOfMachines = false
  private _isOrdered = false
  private _orderedAtMs: MonotonicMs = -Infinity

  public constructor (private readonly _sender: IAdviceSender, private readonly _clock: IClock & ITimers) {
    this._loads = new MachineLoads(_clock)
  }

  public get waitingCount (): number {
    return this._waiting.length
  }

  /** Whether calls wait for a machine that may make them, rather than for this owner. */
  public get isShortOfMachines (): boolean {
    return this._isShortOfMachines && this._waiting.length > 0
  }

  public get inFlightCount (): number {
    return this._limit.inFlight
  }

  /** The number of calls that may occupy the owner at once. */
  public get limit (): number {
    return this._limit.calls
  }

  /** Whether so many calls wait already that would go before a further one that it would not be sent soon. */
  public isBusyFor (priority: number, isForLater: boolean): boolean {
    return countAhead(this._waiting, priority, isForLater) >= this._limit.calls
  }

  /** Whether a step that was turned away for long may queue a call: of each priority, such calls have a limit of their own. */
  public takesTurnOf (priority: number): boolean {
    return this._waiting.filter(({ call }) => call.turnedAwaySinceMs !== undefined && call.priority === priority).length < this._limit.calls
  }

  public dispatch (call: IAdviceCall): void {
    const hasWaiting = this._waiting.length > 0
    this._waiting.push({ call, sinceMs: call.turnedAwaySinceMs ?? this._clock.nowMs() })
    this._isOrdered = false
    if (call.expectedMs <= BRIEF_CALL_MS) this._briefAtMs = this._clock.nowMs()
    // The calls before it are tried when a machine becomes free, and regularly by `sendWaiting`.
    if (!hasWaiting || this._canSend(call)) this.sendWaiting()
  }

  /** Sends the calls that can be sent. To be called when machines come or go. */
  public sendWaiting (): void {
    if (this._waiting.length === 0 || !this._hasRoom()) return
    const unwanted = this._orderWaiting()
    const shares = this._shareMachines()
    this._sendLongestWaiting(shares)
    unwanted.push(...this._sendInOrder(shares))
    if (this._isShortOfMachines) this._awaitNextEnd(shares.names)
    for (const { call } of unwanted) call.settle({ kind: 'failed', reason: 'no longer wanted' })
  }

  public dispose (): void {
    this._retry?.dispose()
    this._nextEnd?.dispose()
    for (const { call } of this._waiting.splice(0)) call.settle({ kind: 'failed', reason: 'no longer the owner' })
  }

  /** Whether the call could be sent now if it were the first of those that wait. */
  private _canSend (call: IAdviceCall): boolean {
    if (!this._hasRoom()) return false
    if (!this._isShortOfMachines) return true
    const hasShort = this._waiting.some((waiting) => !isSlowCall(waiting.call.expectedMs))
    const hasStartable = this._waiting.some((waiting) => !waiting.call.isForLater)
    return this._chooseMachine(this._shareMachines(), call, { hasShort, hasStartable, sharingCount: 0, isSlowHeldUp: false }) !== undefined
  }

  /** Orders the waiting calls, unless it was done a moment ago and no call has come since. Returns those that are no longer wanted. */
  private _orderWaiting (): IWaitingCall[] {
    const nowMs = this._clock.nowMs()
    if (this._isOrdered && nowMs - this._orderedAtMs < ORDER_INTERVAL_MS) return []
    const [wanted, unwanted] = partition(sortCalls(this._waiting), ({ call }) => call.isWanted())
    this._waiting = wanted
    this._isOrdered = true
    this._orderedAtMs = nowMs
    return unwanted
  }

  /** If a turn is due, sends one of the calls that have waited for long and for which there is a machine. */
  private _sendLongestWaiting (shares: IMachineShares): void {
    if (!this._turns.isDue) return
    const kinds = this._waitingKinds(shares)
    for (const waiting of this._turns.candidates(this._waiting, this._clock.nowMs())) {
      if (!waiting.call.isWanted()) continue
      const name = this._chooseMachine(shares, waiting.call, kinds)
      if (name === undefined) continue
      this._waiting = this._waiting.filter((each) => each !== waiting)
      this._send(name, waiting.call)
      this._turns.recordTurn(waiting.call.priority)
      return
    }
  }

  /** Returns the calls that turned out to be no longer wanted. */
  private _sendInOrder (shares: IMachineShares): readonly IWaitingCall[] {
    const left: IWaitingCall[] = []
    const unwanted: IWaitingCall[] = []
    const kinds = this._waitingKinds(shares)
    // While nothing is sent, calls that need the same kind of machine find none either.
    const withoutMachine = new Set<number>()
    let hasRoom = this._hasRoom()
    this._isShortOfMachines = false
    for (const waiting of this._waiting) {
      const { call } = waiting
      const need = machineNeedOf(call)
      const name = hasRoom && !withoutMachine.has(need) ? this._chooseMachine(shares, call, kinds) : undefined
      if (name === undefined) {
        left.push(waiting)
        withoutMachine.add(need)
        this._isShortOfMachines ||= hasRoom
        kinds.isSlowHeldUp ||= hasRoom && isSlowCall(call.expectedMs)
      } else if (!call.isWanted()) unwanted.push(waiting)
      else {
        if (hasToShare(shares, call)) kinds.sharingCount -= 1
        this._send(name, call)
        withoutMachine.clear()
        hasRoom = this._hasRoom()
      }
    }
    this._waiting = left
    return unwanted
  }

  private _waitingKinds (shares: IMachineShares): IWaitingKinds {
    const hasShort = this._waiting.some(({ call }) => !isSlowCall(call.expectedMs))
    const hasStartable = this._waiting.some(({ call }) => !call.isForLater)
    return { hasShort, hasStartable, sharingCount: this._waiting.filter(({ call }) => hasToShare(shares, call)).length, isSlowHeldUp: false }
  }

  /** Whether the owner can process a further call now. If not, the waiting calls are sent when one in flight no longer occupies it. */
  private _hasRoom (): boolean {
    if (this._limit.hasRoom(this._clock.nowMs())) return true
    this._retry ??= this._clock.after(SENDING_MS, () => {
      this._retry = undefined
      this.sendWaiting()
    })
    return false
  }

  /** Sends the waiting calls again shortly before the next call in flight is expected to end. */
  private _awaitNextEnd (names: readonly string[]): void {
    this._nextEnd?.dispose()
    this._nextEnd = undefined
    const waitMs = this._loads.nextFreeInMs(names)
    if (waitMs < Infinity) this._nextEnd = this._clock.after(Math.ceil(waitMs), () => { this.sendWaiting() })
  }

  private _shareMachines (): IMachineShares {
    const names = farFirst(this._sender.machines())
    const hasBrief = this._clock.nowMs() - this._briefAtMs < BRIEF_KEEP_MS
    const shortCount = Math.max(1, names.length - (hasBrief ? Math.ceil(names.length * BRIEF_MACHINE_SHARE) : 0))
    const slowCount = Math.min(shortCount, Math.max(1, Math.floor(names.length * SLOW_MACHINE_SHARE)))
    return { names, shortCount, slowCount, maxSlowCount: Math.min(shortCount, Math.max(1, Math.floor(names.length * MAX_SLOW_MACHINE_SHARE))) }
  }

  private _chooseMachine (shares: IMachineShares, call: IAdviceCall, kinds: IWaitingKinds): string | undefined {
    const name = this._chooseByKind(shares, call, kinds)
    // If calls for later followed each other without a pause, their machine would make no other ones.
    if (name !== undefined && call.isForLater && kinds.hasStartable && !this._loads.isIdle(name)) return undefined
    return name
  }

  private _chooseByKind (shares: IMachineShares, call: IAdviceCall, kinds: IWaitingKinds): string | undefined {
    const { names, slowCount, maxSlowCount } = shares
    const slowNames = names.slice(0, slowCount)
    if (isSlowCall(call.expectedMs)) {
      if (kinds.sharingCount > 0) return this._loads.leastLoaded(slowNames.filter((name) => this._loads.isSlowTurn(name)), call)
      return this._loads.leastLoaded(kinds.hasShort ? slowNames : names.slice(0, maxSlowCount), call)
    }
    const name = this._loads.leastLoaded(shortOnlyNames(shares, call), call)
    if (name !== undefined || !kinds.isSlowHeldUp) return name ?? this._loads.leastLoaded(slowNames, call)
    return hasToShare(shares, call) ? this._loads.leastLoaded(slowNames.filter((slowName) => !this._loads.isSlowTurn(slowName)), call) : undefined
  }

  private _send (name: string, call: IAdviceCall): void {
    this._turns.recordSent()
    call.onSent()
    this._loads.recordSent(name, call)
    const { jobId, step, hostIds, expectedMs } = call
    const sentAtMs = this._clock.nowMs()
    const limited = { sentAtMs, expectedMs, isNoticedInTime: false }
    this._limit.recordSent(limited)
    const lateAtMs = sentAtMs + expectedMs + LATE_MS
    const notice = this._clock.after(lateAtMs - sentAtMs, () => { limited.isNoticedInTime = this._clock.nowMs() - lateAtMs < PUNCTUAL_MS })
    const done = (outcome: AdviceOutcome): void => {
      notice.dispose()
      this._loads.recordEnd(name, call, outcome)
      this._limit.recordEnd(limited, this._clock.nowMs(), outcome.kind === 'advised', this._waiting.length > 0)
      call.settle(outcome, sentAtMs)
      this.sendWaiting()
    }
    this._sender.send(name, { jobId, step, hostIds }, expectedMs + CALL_SLACK_MS)
      .then(done, (error: unknown) => { done({ kind: 'failed', reason: String(error) }) })
  }
}

/** The machines that the short call uses first because they make no slow calls, near ones first. None if there are too few machines. */
function shortOnlyNames ({ names, slowCount, shortCount }: IMachineShares, { expectedMs }: IAdviceCall): readonly string[] {
  return names.slice(slowCount, expectedMs <= BRIEF_CALL_MS ? names.length : shortCount).reverse()
}

/** Whether a short call can only use machines that also make slow ones. */
function hasToShare ({ names, slowCount, shortCount }: IMachineShares, { expectedMs }: IAdviceCall): boolean {
  return !isSlowCall(expectedMs) && (expectedMs <= BRIEF_CALL_MS ? names.length : shortCount) <= slowCount
}

/** A number for all that decides which machines may make the call. */
function machineNeedOf ({ expectedMs, priority }: IAdviceCall): number {
  const length = isSlowCall(expectedMs) ? 2 : expectedMs <= BRIEF_CALL_MS ? 0 : 1
  return length * 2 + Number(priority === URGENT_PRIORITY)
}

/**
 * Sorts far machines first, so that they take the slow calls: a round trip between regions matters little for a call of a second,
 * and much for a short one.
 */
function farFirst (machines: readonly IAdviceMachine[]): readonly string[] {
  const sorted = [...machines].sort((a, b) => Number(a.isNear) - Number(b.isNear) || (a.name < b.name ? -1 : 1))
  return sorted.map(({ name }) => name)
}
