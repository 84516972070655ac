/**
 * The order in which waiting calls for advice are sent.
 *
 * It is designed for a full cell in which dozens of gangs wait for room. Their calls name many hosts and can be asked again and again, while
 * a few short ones let other steps start at once.
 */

import type { MonotonicMs } from '../Types.js'
import type { IAdviceCall } from './AdviceDispatcher.js'

export interface IWaitingCall {
  readonly call: IAdviceCall
  readonly sinceMs: MonotonicMs
}

/**
 * Calls for later come last, since the room of the other steps is idle meanwhile. Then by priority; of the same priority, calls that runs
 * on occupied hosts wait for come first, then those of jobs that can still meet their objective, then by objective.
 */
export function sortCalls (calls: readonly IWaitingCall[]): IWaitingCall[] {
  const ordered = calls.map((waiting) => ({ waiting, call: waiting.call, isLate: Number(waiting.call.isLate()) }))
  ordered.sort((a, b) => Number(a.call.isForLater) - Number(b.call.isForLater) || a.call.priority - b.call.priority ||
    Number(b.call.holdsCapacity) - Number(a.call.holdsCapacity) || a.isLate - b.isLate || a.call.dueMs - b.call.dueMs)
  return ordered.map(({ waiting }) => waiting)
}

/** The number of calls that would be sent before a further one, if it were the last of its priority. */
export function countAhead (calls: readonly IWaitingCall[], priority: number, isForLater: boolean): number {
  let ahead = 0
  for (const { call } of calls) {
    const isAhead = call.isForLater === isForLater ? call.priority <= priority : isForLater
    if (isAhead) ahead += 1
  }
  return ahead
}

export function partition<T> (values: readonly T[], predicate: (value: T) => boolean): readonly [T[], T[]] {
  const matching: T[] = []
  const others: T[] = []
  for (const value of values) (predicate(value) ? matching : others).push(value)
  return [matching, others]
}
