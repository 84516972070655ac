/**
 * What an item will cost and how long it may wait, from what was learnt about its service.
 */

import { RunTimeLearner } from './RunTimeLearner.js'
import { SizeLearner } from './SizeLearner.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { CapacityLedger } from './CapacityLedger.js'
import type { IWorkItem } from './Types.js'

/** A request is given up when its typical run no longer fits before its deadline, but never before half its time. */
const MAX_RUN_SHARE_OF_DEADLINE = 0.5

/** Work is let into gathered room if this share of its kind has ended by the time the room is needed. */
const BACKFILL_CONFIDENCE = 0.95

/** Work that may run longer than this is kept out of room that urgent work is likely to want again. */
const LONG_RUN_MS = 5_000

export class WorkEstimates {
  private readonly _runTimes = new RunTimeLearner()
  private readonly _sizes = new SizeLearner()

  public constructor (private readonly _ledger: CapacityLedger) {}

  public get serviceCount (): number {
    return this._runTimes.serviceCount
  }

  public noteRun (item: IWorkItem, runMs: number): void {
    this._runTimes.note(item.service, runMs)
  }

  public noteUsage (item: IWorkItem, usage: IResources): void {
    this._sizes.note(item, usage)
  }

  /** What it is expected to use, unless no host could hold that: then what it declares. */
  public need (item: IWorkItem): IResources {
    const expected = this._sizes.expected(item)
    return expected === item.resources || !this._ledger.isFeasible(expected) ? item.resources : expected
  }

  /** Its share of the capacity times its run time. */
  public costMs (item: IWorkItem, need: IResources): number {
    return this._ledger.shareOf(need) * this._runTimes.meanMs(item)
  }

  /** After this it would end too late for its caller. */
  public latestStartAtMs (item: IWorkItem): MonotonicMs {
    const allowedMs = item.deadlineAtMs - item.arrivedAtMs
    if (allowedMs === Infinity) return Infinity
    const runMs = Math.min(this._runTimes.quantileMs(item, 0.5), MAX_RUN_SHARE_OF_DEADLINE * allowedMs)
    return item.deadlineAtMs - runMs
  }

  public isLong (item: IWorkItem): boolean {
    return item.profile.priorityClass !== 'urgent' && this.endsWithinMs(item) > LONG_RUN_MS
  }

  /** By when it will almost certainly have ended, if started now. */
  public endsWithinMs (item: IWorkItem): number {
    return this._runTimes.quantileMs(item, BACKFILL_CONFIDENCE)
  }
}
