/**
 * Decides when a call for advice is sent because it has waited for long, and which one.
 *
 * In a saturated service, the calls of a queue with many of them would all have waited longer than those of another. So the turn goes to the
 * priority whose last one was the longest ago.
 */

import type { MonotonicMs } from '../Types.js'
import type { IWaitingCall } from './AdviceOrder.js'

/** A call that has waited for this long, in ms, has its turn, however late its job is. Otherwise it would wait for as long as others keep coming. */
export const LONG_WAIT_MS = 5000
/** One of this many calls is one that has waited for long, if there is any. The others keep the usual order. */
const CALLS_PER_TURN = 8

export class LongWaitTurns {
  /** The number of calls that were sent since the last turn. */
  private _sentCount = 0
  private _turnCount = 0
  /** The number of the last turn of each priority. */
  private readonly _lastTurns = new Map<number, number>()

  public get isDue (): boolean {
    return this._sentCount >= CALLS_PER_TURN - 1
  }

  public recordSent (): void {
    this._sentCount += 1
  }

  public recordTurn (priority: number): void {
    this._sentCount = 0
    this._turnCount += 1
    this._lastTurns.set(priority, this._turnCount)
  }

  /** The calls that have waited for long, in the order in which they should have the turn. */
  public candidates (waiting: readonly IWaitingCall[], nowMs: MonotonicMs): readonly IWaitingCall[] {
    const longWaiting = waiting.filter(({ sinceMs }) => sinceMs <= nowMs - LONG_WAIT_MS)
    return longWaiting.sort((a, b) => this._lastTurnOf(a) - this._lastTurnOf(b) || a.sinceMs - b.sinceMs)
  }

  private _lastTurnOf ({ call }: IWaitingCall): number {
    return this._lastTurns.get(call.priority) ?? 0
  }
}
