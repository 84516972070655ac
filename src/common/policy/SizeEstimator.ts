/**
 * Estimates from reported usage how far the tasks of each service exceed their declared size.
 */

import { LRUCache } from 'lru-cache'

import type { IResources } from '../Types.js'
import type { IWorkItem } from './Types.js'

const MAX_SERVICES = 10_000

/** The number of reports from which the learnt size is used. */
const MIN_REPORTS = 5

/** The weight of a new report: a change of a service is followed within some tens of tasks. */
const REPORT_WEIGHT = 0.05

/** The largest factor applied to a declared size: one wrong report must not make a service impossible to place. */
const MAX_FACTOR = 10

interface IFactors {
  cores: number
  memoryBytes: number
  reports: number
}

export class SizeEstimator {
  private readonly _services = new LRUCache<string, IFactors>({ max: MAX_SERVICES })

  public record (item: IWorkItem, usage: IResources): void {
    const factors = this._services.get(item.service) ?? { cores: 1, memoryBytes: 1, reports: 0 }
    const weight = Math.max(REPORT_WEIGHT, 1 / (factors.reports + 1))
    factors.cores += weight * (factorOf(usage.cores, item.resources.cores) - factors.cores)
    factors.memoryBytes += weight * (factorOf(usage.memoryBytes, item.resources.memoryBytes) - factors.memoryBytes)
    factors.reports += 1
    this._services.set(item.service, factors)
  }

  /**
   * The expected usage of a task before its own usage is reported.
   *
   * Reports lag by seconds. Until then, a service that declares far too little would overfill a host several times over
   * by its declared sizes, and the host would be over its capacity although the ledger is not.
   */
  public expectedUsage (item: IWorkItem): IResources {
    const factors = this._services.get(item.service)
    if (factors === undefined || factors.reports < MIN_REPORTS) return item.resources
    if (factors.cores <= 1 && factors.memoryBytes <= 1) return item.resources
    const { cores, memoryBytes, accelerators } = item.resources
    return { cores: cores * Math.max(1, factors.cores), memoryBytes: memoryBytes * Math.max(1, factors.memoryBytes), accelerators }
  }
}

/** Usage below the declared size counts as declared, as in the ledger. */
function factorOf (used: number, declared: number): number {
  return declared <= 0 ? 1 : Math.min(Math.max(used / declared, 1), MAX_FACTOR)
}
