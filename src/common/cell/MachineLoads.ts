/**
 * The calls for advice that each machine makes, as far as the owner knows: how many are in flight, until when the service is expected to be
 * busy with them, and whether the last ones have failed.
 */

import { URGENT_PRIORITY } from './Placement.js'

import type { IClock, MonotonicMs } from '../Types.js'
import type { IAdviceCall } from './AdviceDispatcher.js'
import type { AdviceOutcome } from './Types.js'

/** A call that takes longer than this counts as slow, in ms: others would wait behind it for too long, given an objective of half a second. */
const SLOW_CALL_MS = 300
/** A machine whose call takes this much longer than expected, in ms, gets no other: more than two round trips between regions. */
const OVERDUE_MS = 100
/** After this many failed calls in a row, a machine is used last. */
const MAX_FAILURES = 2
/** How long a machine is used last after a failed call, in ms: a link that is cut for a moment is back by then. */
const USED_LAST_MS = 4000
/** The number of calls in flight from one machine: the one that the service handles, and the next. */
const MAX_CALLS_AT_ONCE = 2
/** A machine gets its next call this long before the present one ends, in ms: else the service is idle for a round trip between regions. */
const LEAD_MS = 45

interface IMachineLoad {
  slow: number
  short: number
  /** When the service is expected to have handled the calls in flight. */
  busyUntilMs: MonotonicMs
  /** Calls that failed in a row. */
  failures: number
  usedLastUntilMs: MonotonicMs
  /** How long the service still handles short calls other than urgent ones before the next slow one, in ms, if both kinds share the machine. */
  shortTurnMs: number
}

type CallKind = 'slow' | 'short'

export class MachineLoads {
  private readonly _loads = new Map<string, IMachineLoad>()

  public constructor (private readonly _clock: IClock) {}

  public isIdle (name: string): boolean {
    const { slow, short } = this._loadOf(name)
    return slow + short === 0
  }

  /** Whether the next call of a machine that both kinds share is a slow one. */
  public isSlowTurn (name: string): boolean {
    const { slow, shortTurnMs } = this._loadOf(name)
    return slow === 0 && shortTurnMs <= 0
  }

  /** The machine that can be given the call now and is expected to make it first. */
  public leastLoaded (names: readonly string[], call: IAdviceCall): string | undefined {
    const nowMs = this._clock.nowMs()
    let best: string | undefined
    let bestWaitMs = Infinity
    for (const name of names) {
      const load = this._loadOf(name)
      if (!isFree(load, call, nowMs)) continue
      const waitMs = expectedWaitMs(load, nowMs)
      if (waitMs < bestWaitMs) {
        best = name
        bestWaitMs = waitMs
      }
    }
    return best
  }

  /** When the next of the machines can be given a call, if none can now, in ms; Infinity if none will by itself. */
  public nextFreeInMs (names: readonly string[]): number {
    const nowMs = this._clock.nowMs()
    let waitMs = Infinity
    for (const name of names) {
      const freeInMs = this._loadOf(name).busyUntilMs - LEAD_MS - nowMs
      if (freeInMs > 0) waitMs = Math.min(waitMs, freeInMs)
    }
    return waitMs
  }

  public recordSent (name: string, { expectedMs, priority }: IAdviceCall): void {
    const load = this._loadOf(name)
    const kind = kindOf(expectedMs)
    load[kind] += 1
    if (kind === 'slow') load.shortTurnMs = expectedMs
    else if (priority !== URGENT_PRIORITY) load.shortTurnMs -= expectedMs
    load.busyUntilMs = Math.max(load.busyUntilMs, this._clock.nowMs()) + expectedMs
  }

  public recordEnd (name: string, { expectedMs }: IAdviceCall, outcome: AdviceOutcome): void {
    const load = this._loadOf(name)
    const nowMs = this._clock.nowMs()
    load[kindOf(expectedMs)] -= 1
    if (load.slow + load.short === 0) load.busyUntilMs = nowMs
    load.failures = outcome.kind === 'advised' ? 0 : load.failures + 1
    load.usedLastUntilMs = load.failures < MAX_FAILURES ? -Infinity : nowMs + USED_LAST_MS
  }

  private _loadOf (name: string): IMachineLoad {
    let load = this._loads.get(name)
    if (load === undefined) {
      load = { slow: 0, short: 0, busyUntilMs: -Infinity, failures: 0, usedLastUntilMs: -Infinity, shortTurnMs: 0 }
      this._loads.set(name, load)
    }
    return load
  }
}

export function isSlowCall (expectedMs: number): boolean {
  return expectedMs > SLOW_CALL_MS
}

function kindOf (expectedMs: number): CallKind {
  return isSlowCall(expectedMs) ? 'slow' : 'short'
}

/** Whether the machine may be given the call now. Short calls are never given to a machine with a slow one in flight. */
function isFree ({ slow, short, busyUntilMs }: IMachineLoad, { expectedMs, priority }: IAdviceCall, nowMs: MonotonicMs): boolean {
  const calls = slow + short
  if (calls === 0) return true
  const isSlow = isSlowCall(expectedMs)
  if (calls >= MAX_CALLS_AT_ONCE || (!isSlow && slow > 0) || nowMs - busyUntilMs > OVERDUE_MS) return false
  // No call that arrives later is more urgent, so nothing is gained by keeping an urgent one here.
  return busyUntilMs - nowMs <= LEAD_MS || (!isSlow && priority === URGENT_PRIORITY)
}

/** How long a further call is expected to wait at the machine, in ms; machines whose calls have failed come last. */
function expectedWaitMs ({ slow, short, busyUntilMs, usedLastUntilMs }: IMachineLoad, nowMs: MonotonicMs): number {
  const waitMs = slow + short === 0 ? 0 : Math.max(1, busyUntilMs - nowMs)
  return nowMs < usedLastUntilMs ? USED_LAST_MS + waitMs : waitMs
}
