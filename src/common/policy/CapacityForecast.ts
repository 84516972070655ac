/**
 * Forecasts when enough capacity will be free, assuming that running work ends at the present rate.
 */

import { addInto, difference, dominantShare, zeroResources } from './Resources.js'

import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { IGroup } from './GroupStore.js'

/** The lower limit of the share of work that is left, which keeps the logarithm finite. */
const MIN_LEFT_SHARE = 0.01

/** The lower limit of the turnover, for when nothing ends at all. */
const MIN_TURNOVER_PER_MS = 1e-9

export class CapacityForecast {
  /** @param _turnoverPerMs the share of the capacity in use that becomes free per millisecond */
  public constructor (private readonly _ledger: CapacityLedger, private readonly _turnoverPerMs: () => number) {}

  /** The time until the host's free capacity covers its holds, in milliseconds. */
  public timeToHostFitMs (host: LedgerHost): number {
    const { capacity } = host.config
    const lacking = dominantShare(difference(host.held, host.unused()), capacity)
    return this._timeToFreeMs(lacking, dominantShare(host.used, capacity))
  }

  /** The time until all hosts together have enough free capacity for the whole group, in milliseconds. */
  public timeToGroupFitMs (group: IGroup): number {
    const sum = zeroResources()
    for (const { need } of group.tasks) addInto(sum, need)
    const lacking = this._ledger.shareOf(difference(sum, difference(this._ledger.capacity, this._ledger.used)))
    return this._timeToFreeMs(lacking, this._ledger.shareOf(this._ledger.used))
  }

  /** The time until the lacking share becomes free. Work that ends at a constant rate decays exponentially. */
  private _timeToFreeMs (lacking: number, used: number): number {
    if (lacking <= 0 || used <= 0) return 0
    const leftShare = Math.max(1 - lacking / used, MIN_LEFT_SHARE)
    return -Math.log(leftShare) / Math.max(this._turnoverPerMs(), MIN_TURNOVER_PER_MS)
  }
}
