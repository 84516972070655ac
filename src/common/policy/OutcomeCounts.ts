/**
 * What each caller of each service received, for operators: the ends of its requests and how long they waited.
 */

import { LRUCache } from 'lru-cache'

import type { IFinalAnswer, MonotonicMs } from '../Types.js'
import type { IWorkItem } from './Types.js'

/** Callers remembered over all services, about 300 bytes each; the one unseen for longest is forgotten first. */
const MAX_CALLERS = 20_000

/** Waits by octave: below 1 ms, below 2 ms, and so on up to 12 days. */
const WAIT_BUCKETS = 32

/** Counts of one caller of one service since this process started or last forgot it. */
export interface ICallerOutcomes {
  readonly service: string
  readonly caller: string
  /** Whole answers in time. */
  readonly completed: number
  /** Whole answers after the deadline; counted in the caller's favour, so not as completed. */
  readonly late: number
  readonly refused: number
  readonly notRun: number
  readonly unknown: number
  /** Requests by wait: entry `i` counts waits below `2 ** i` ms that are in no earlier entry. */
  readonly waitsByOctave: readonly number[]
}

interface ICounts {
  readonly service: string
  readonly caller: string
  completed: number
  late: number
  refused: number
  notRun: number
  unknown: number
  readonly waits: Uint32Array
}

export class OutcomeCounts {
  private readonly _counts = new LRUCache<string, ICounts>({ max: MAX_CALLERS })

  /** Counts one final answer; `nowMs` is when it was known. */
  public note (item: IWorkItem, answer: IFinalAnswer, nowMs: MonotonicMs): void {
    const counts = this._countsOf(item)
    if (answer.outcome === 'done') counts[nowMs > item.deadlineAtMs ? 'late' : 'completed'] += 1
    else counts[answer.outcome] += 1
    if (answer.waitMs !== undefined) countWait(counts.waits, answer.waitMs)
  }

  /** The counts of one service, at most `limit` callers, the one seen last first. */
  public ofService (service: string, limit: number): readonly ICallerOutcomes[] {
    const found: ICallerOutcomes[] = []
    for (const counts of this._counts.values()) {
      if (found.length >= limit) break
      if (counts.service !== service) continue
      const { waits, ...rest } = counts
      found.push({ ...rest, waitsByOctave: [...waits] })
    }
    return found
  }

  private _countsOf (item: IWorkItem): ICounts {
    const { service, caller } = item
    const key = JSON.stringify([service, caller])
    const known = this._counts.get(key)
    if (known !== undefined) return known
    const counts = { service, caller, completed: 0, late: 0, refused: 0, notRun: 0, unknown: 0, waits: new Uint32Array(WAIT_BUCKETS) }
    this._counts.set(key, counts)
    return counts
  }
}

function countWait (waits: Uint32Array, waitMs: number): void {
  const bucket = waitMs < 1 ? 0 : Math.min(1 + Math.floor(Math.log2(waitMs)), WAIT_BUCKETS - 1)
  waits[bucket] = (waits[bucket] ?? 0) + 1
}
