/**
 * Decides which machine calls the advice service for a step, and when.
 *
 * The service handles one call at a time for each calling machine, and a call takes from tens of milliseconds to more than a
 * second, depending on the queue. The design case is a burst of wide steps with slow calls beside many urgent steps with fast
 * ones: sent through the nearest machine, an urgent step would wait behind a slow call for longer than its whole objective. So
 * slow calls are limited to some of the machines, each machine has few calls in flight, and waiting calls are sent by urgency. All machines
 * together have no more calls in flight than the owner can process in time.
 */

import { AdviceLimit, LATE_MS, SENDING_MS } from './AdviceLimit.js'

import type { IClock, IDisposable, ITimers, MonotonicMs } from '../Types.js'
import type { AdviceOutcome, IAdviceRequest } from './Types.js'

export interface IAdviceCall extends IAdviceRequest {
  readonly priority: number
  readonly dueMs: number
  /** How long the service needs for the call, in ms. */
  readonly expectedMs: number
  /** Whether the answer is still needed; checked when the call is about to be sent. */
  isWanted (): boolean
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

/** A call that takes longer than this counts as slow, in ms: others would wait behind it for too long, given an objective of half a second. */
const SLOW_CALL_MS = 300
/** The share of the machines that make slow calls. The others stay free for short ones, since an urgent step behind a slow call would be late. */
const SLOW_MACHINE_SHARE = 0.6
/** The number of short calls in flight from one machine: two, so that the service never idles for a round trip between regions. */
const SHORT_CALLS_AT_ONCE = 2
/** How much longer than expected a call may take, in ms: two round trips between regions and one short call ahead of it. */
const CALL_SLACK_MS = 700
/** A timer that is late by less than this, in ms, shows that this process has time to spare. */
const PUNCTUAL_MS = 100

interface IMachineLoad {
  slow: number
  short: number
}

export class AdviceDispatcher {
  private readonly _loads = new Map<string, IMachineLoad>()
  private readonly _limit = new AdviceLimit()
  private _waiting: IAdviceCall[] = []
  private _retry: IDisposable | undefined
  private _isShortOfMachines = false

  public constructor (private readonly _sender: IAdviceSender, private readonly _clock: IClock & ITimers) {}

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

  /** Whether so many calls wait already, at least as urgent ones, that a further one would not be sent soon. */
  public isBusyFor (priority: number): boolean {
    let ahead = 0
    for (const call of this._waiting) if (call.priority <= priority) ahead += 1
    return ahead >= this._limit.calls
  }

  public dispatch (call: IAdviceCall): void {
    this._waiting.push(call)
    this.sendWaiting()
  }

  /** Sends the calls that can be sent. To be called when machines come or go. */
  public sendWaiting (): void {
    if (this._waiting.length === 0 || !this._hasRoom()) return
    this._waiting.sort((a, b) => a.priority - b.priority || a.dueMs - b.dueMs)
    const left: IAdviceCall[] = []
    const unwanted: IAdviceCall[] = []
    const names = farFirst(this._sender.machines())
    this._isShortOfMachines = false
    for (const call of this._waiting) {
      const hasRoom = this._hasRoom()
      const name = hasRoom ? this._chooseMachine(names, call) : undefined
      if (!call.isWanted()) unwanted.push(call)
      else if (name === undefined) {
        left.push(call)
        this._isShortOfMachines ||= hasRoom
      } else this._send(name, call)
    }
    this._waiting = left
    for (const call of unwanted) call.settle({ kind: 'failed', reason: 'no longer wanted' })
  }

  public dispose (): void {
    this._retry?.dispose()
    for (const call of this._waiting.splice(0)) call.settle({ kind: 'failed', reason: 'no longer the owner' })
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

  private _chooseMachine (names: readonly string[], call: IAdviceCall): string | undefined {
    const isSlow = isSlowCall(call.expectedMs)
    const slowCount = Math.max(1, Math.floor(names.length * SLOW_MACHINE_SHARE))
    const slow = names.slice(0, slowCount)
    if (isSlow) return this._leastLoaded(slow, true)
    // Short calls use the machines without slow calls first, and of these the near ones first.
    return this._leastLoaded(names.slice(slowCount).reverse(), false) ?? this._leastLoaded(slow, false)
  }

  private _leastLoaded (names: readonly string[], isSlow: boolean): string | undefined {
    let best: string | undefined
    let bestLoad = Infinity
    for (const name of names) {
      const { slow, short } = this._loadOf(name)
      const isFree = isSlow ? slow + short === 0 : slow === 0 && short < SHORT_CALLS_AT_ONCE
      if (isFree && short < bestLoad) {
        best = name
        bestLoad = short
      }
    }
    return best
  }

  private _send (name: string, call: IAdviceCall): void {
    const load = this._loadOf(name)
    const kind = isSlowCall(call.expectedMs) ? 'slow' : 'short'
    load[kind] += 1
    const { jobId, step, hostIds, expectedMs } = call
    const sentAtMs = this._clock.nowMs()
    const limited = { sentAtMs, expectedMs, isNoticedInTime: false }
    this._limit.recordSent(limited)
    const lateAtMs = sentAtMs + expectedMs + LATE_MS
    const notice = this._clock.after(lateAtMs - sentAtMs, () => { limited.isNoticedInTime = this._clock.nowMs() - lateAtMs < PUNCTUAL_MS })
    const done = (outcome: AdviceOutcome): void => {
      notice.dispose()
      load[kind] -= 1
      this._limit.recordEnd(limited, this._clock.nowMs(), outcome.kind === 'advised', this._waiting.length > 0)
      call.settle(outcome, sentAtMs)
      this.sendWaiting()
    }
    this._sender.send(name, { jobId, step, hostIds }, expectedMs + CALL_SLACK_MS)
      .then(done, (error: unknown) => { done({ kind: 'failed', reason: String(error) }) })
  }

  private _loadOf (name: string): IMachineLoad {
    let load = this._loads.get(name)
    if (load === undefined) {
      load = { slow: 0, short: 0 }
      this._loads.set(name, load)
    }
    return load
  }
}

export function isSlowCall (expectedMs: number): boolean {
  return expectedMs > SLOW_CALL_MS
}

/**
 * Sorts far machines first, so that they take the slow calls: a round trip between regions matters little for a call of a second,
 * and much for a short one.
 */
function farFirst (machines: readonly IAdviceMachine[]): readonly string[] {
  const sorted = [...machines].sort((a, b) => Number(a.isNear) - Number(b.isNear) || (a.name < b.name ? -1 : 1))
  return sorted.map(({ name }) => name)
}
