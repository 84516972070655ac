/**
 * Estimates the size, the cost and the latest start of an item from what was learnt about its service.
 */

import { RunTimeEstimator } from './RunTimeEstimator.js'
import { SizeEstimator } from './SizeEstimator.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { CapacityLedger } from './CapacityLedger.js'
import type { IWorkItem } from './Types.js'

/** A request is given up when its median run no longer fits before its deadline, but never within the first half of the time that it is allowed. */
const MAX_RUN_SHARE_OF_DEADLINE = 0.5

/** Work may backfill held capacity if this share of its service's runs would have ended by the time the capacity is needed. */
const BACKFILL_CONFIDENCE = 0.95

/** Work that may run longer than this is kept out of capacity that urgent work is likely to need again. */
const LONG_RUN_MS = 5_000

export class WorkEstimates {
  private readonly _runTimes = new RunTimeEstimator()
  private readonly _sizes = new SizeEstimator()

  public constructor (private readonly _ledger: CapacityLedger) {}

  public get serviceCount (): number {
    return this._runTimes.serviceCount
  }

  public recordRun (item: IWorkItem, runMs: number): void {
    this._runTimes.record(item.service, runMs)
  }

  public recordUsage (item: IWorkItem, usage: IResources): void {
    this._sizes.record(item, usage)
  }

  /** The expected usage of an item, or its declared size if no host could hold the expected usage. */
  public expectedUsage (item: IWorkItem): IResources {
    const expected = this._sizes.expectedUsage(item)
    return expected === item.resources || !this._ledger.isFeasible(expected) ? item.resources : expected
  }

  /** The item's share of the capacity times its mean run time. */
  public costMs (item: IWorkItem, need: IResources): number {
    return this._ledger.shareOf(need) * this._runTimes.meanMs(item)
  }

  /** The latest start at which the item still ends before its deadline. */
  public latestStartAtMs (item: IWorkItem): MonotonicMs {
    const allowedMs = item.deadlineAtMs - item.arrivedAtMs
    if (allowedMs === Infinity) return Infinity
    const runMs = Math.min(this._runTimes.quantileMs(item, 0.5), MAX_RUN_SHARE_OF_DEADLINE * allowedMs)
    return item.deadlineAtMs - runMs
  }

  public isLongRunning (item: IWorkItem): boolean {
    return item.profile.priorityClass !== 'urgent' && this.likelyRunMs(item) > LONG_RUN_MS
  }

  /** How long the item will run, at a confidence of `BACKFILL_CONFIDENCE`. */
  public likelyRunMs (item: IWorkItem): number {
    return this._runTimes.quantileMs(item, BACKFILL_CONFIDENCE)
  }
}
