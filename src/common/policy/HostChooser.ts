/**
 * Chooses the host for an item: a host on probation that is due for a probe, a host in the failure domain with the
 * fewest items of a service to be spread, or else the best fit (tasks) or the host with the fewest requests in flight.
 */

import { difference, fits } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { IHoldObserver } from './GroupStore.js'
import type { GridOrder, HostFilter } from './HostGrid.js'
import type { HostHealth } from './HostHealth.js'
import type { HostIndex } from './HostIndex.js'
import type { IWorkItem } from './Types.js'
import type { CapacityKind } from './UsageTracker.js'

/** The most hosts checked one by one when the index finds none to drain. */
const MAX_HOSTS_SCANNED = 1_000

export class HostChooser implements IHoldObserver {
  private readonly _order: GridOrder
  /** The number of running items by service and failure domain, for services to be spread. */
  private readonly _spreadCounts = new Map<string, Map<string, number>>()

  public constructor (
    kind: CapacityKind,
    private readonly _ledger: CapacityLedger,
    private readonly _index: HostIndex,
    private readonly _health: HostHealth
  ) {
    this._order = kind === 'slots' ? 'freest' : 'tightest'
  }

  /**
   * Returns a host with enough free capacity, if any.
   *
   * Requests on slots go to the host with the fewest in flight: a host that becomes slow then gets fewer requests, and
   * no request queues behind a busy host while another is free. Tasks go where they fit most tightly: on evenly filled
   * hosts only small tasks would fit, and large ones would wait though enough capacity is free in total.
   */
  public choose (item: IWorkItem, need: IResources): LedgerHost | undefined {
    if (item.profile.spread === 'failureDomain') return this._chooseSpread(item, need)
    return this._index.find(item, need, this._order) ?? this._chooseAvoided(item, need)
  }

  /** Returns a host on probation for which the item may serve as the probe that is due. */
  public chooseProbe (item: IWorkItem, need: IResources, nowMs: MonotonicMs): LedgerHost | undefined {
    const hostId = this._health.findHostToProbe(item, nowMs)
    const host = hostId === undefined ? undefined : this._ledger.host(hostId)
    if (host === undefined || !host.config.accepting || item.avoidHostIds?.includes(host.hostId) === true) return undefined
    return fits(need, host.free()) ? host : undefined
  }

  /** Returns a host with capacity held for others, for work that will have ended when they start. */
  public chooseHeld (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    return this._index.findHeld(item, need, isAllowed)
  }

  /** Returns a host to drain for the item. Hosts that are missing in the index are found by a bounded scan. */
  public chooseToDrain (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    const found = this._index.findToDrain(item, need, isAllowed)
    if (found !== undefined) return found
    let scanned = 0
    for (const host of this._ledger.hosts()) {
      scanned += 1
      if (scanned > MAX_HOSTS_SCANNED) return undefined
      const couldHold = fits(need, difference(host.config.capacity, host.held))
      if (couldHold && isAllowed(host) && host.config.accepting && !this._health.isOnProbation(host.hostId)) return host
    }
    return undefined
  }

  public recordStart (item: IWorkItem, host: LedgerHost, nowMs: MonotonicMs): void {
    if (this._health.isOnProbation(host.hostId)) this._health.startProbe(host.hostId, item.id, nowMs)
    this._countSpread(item, host, 1)
  }

  public recordEnd (item: IWorkItem, host: LedgerHost): void {
    this._countSpread(item, host, -1)
  }

  /**
   * Tries failure domains in order of how few items of the service run there. Placed by fit alone, the tasks of a
   * service tend to share one domain, whose loss would stop the service.
   */
  private _chooseSpread (item: IWorkItem, need: IResources): LedgerHost | undefined {
    const counts = this._spreadCounts.get(item.service)
    const domains = [...this._index.domainKeys()]
    domains.sort((a, b) => (counts?.get(a) ?? 0) - (counts?.get(b) ?? 0))
    for (const domain of domains) {
      const host = this._index.findInDomain(domain, item, need, this._order)
      if (host !== undefined) return host
    }
    return this._chooseAvoided(item, need)
  }

  /**
   * Returns an avoided host, but only if no other accepting host could ever hold the item: with no other host left,
   * waiting for one would never end.
   */
  private _chooseAvoided (item: IWorkItem, need: IResources): LedgerHost | undefined {
    const avoided = item.avoidHostIds
    if (avoided === undefined || avoided.length === 0) return undefined
    for (const host of this._ledger.hosts()) {
      if (!avoided.includes(host.hostId) && host.config.accepting && fits(need, host.config.capacity)) return undefined
    }
    const { avoidHostIds: _dropped, ...rest } = item
    return this._index.find(rest, need, this._order)
  }

  /** Counts held capacity as running for the spread, because the tasks of a job are all placed before the first one runs. */
  public holdChanged (item: IWorkItem, host: LedgerHost, sign: 1 | -1): void {
    this._countSpread(item, host, sign)
  }

  private _countSpread (item: IWorkItem, host: LedgerHost, sign: 1 | -1): void {
    if (item.profile.spread !== 'failureDomain') return
    const counts = this._spreadCounts.get(item.service) ?? new Map<string, number>()
    const left = (counts.get(host.domainKey) ?? 0) + sign
    if (left > 0) counts.set(host.domainKey, left)
    else counts.delete(host.domainKey)
    if (counts.size > 0) this._spreadCounts.set(item.service, counts)
    else this._spreadCounts.delete(item.service)
  }
}
