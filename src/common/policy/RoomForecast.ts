/**
 * When room will have come free, if work ends as fast as it does now.
 */

import { addInto, difference, dominantShare, zeroResources } from './Resources.js'

import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { IGroup } from './GroupBook.js'

/** What is left of the work after a very long time: keeps the logarithm finite. */
const LEAST_LEFT_SHARE = 0.01

/** Taken when nothing ends at all. */
const LEAST_TURNOVER_PER_MS = 1e-9

export class RoomForecast {
  /** @param _turnoverPerMs the share of what is in use that ends per millisecond */
  public constructor (private readonly _ledger: CapacityLedger, private readonly _turnoverPerMs: () => number) {}

  /** Until the host has room for what is held on it, in milliseconds. */
  public hostMs (host: LedgerHost): number {
    const { capacity } = host.config
    const lacking = dominantShare(difference(host.held, host.unused()), capacity)
    return this._comesFreeInMs(lacking, dominantShare(host.used, capacity))
  }

  /** Until there is room for the whole group on all hosts together, in milliseconds. */
  public groupMs (group: IGroup): number {
    const sum = zeroResources()
    for (const { need } of group.tasks) addInto(sum, need)
    const lacking = this._ledger.shareOf(difference(sum, difference(this._ledger.capacity, this._ledger.used)))
    return this._comesFreeInMs(lacking, this._ledger.shareOf(this._ledger.used))
  }

  /** Work that ends at a constant rate leaves an exponentially falling share of itself. */
  private _comesFreeInMs (lacking: number, used: number): number {
    if (lacking <= 0 || used <= 0) return 0
    const leftShare = Math.max(1 - lacking / used, LEAST_LEFT_SHARE)
    return -Math.log(leftShare) / Math.max(this._turnoverPerMs(), LEAST_TURNOVER_PER_MS)
  }
}
