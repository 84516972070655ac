/**
 * On which host an item goes: as the probe of a host on probation, spread if its profile asks for it, else by best fit or
 * by least in flight.
 */

import { difference, fits } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { CapacityLedger, LedgerHost } from './CapacityLedger.js'
import type { IHoldObserver } from './GroupBook.js'
import type { GridOrder, HostFilter } from './HostGrid.js'
import type { HostHealth } from './HostHealth.js'
import type { HostIndex } from './HostIndex.js'
import type { IWorkItem } from './Types.js'
import type { CapacityKind } from './UseLedger.js'

/** Hosts looked at one by one when the index knows none to empty. */
const MAX_DRAIN_LOOKS = 1_000

export class HostChooser implements IHoldObserver {
  private readonly _order: GridOrder
  /** Running items of services to be spread, by failure domain. */
  private readonly _spread = new Map<string, Map<string, number>>()

  public constructor (
    kind: CapacityKind,
    private readonly _ledger: CapacityLedger,
    private readonly _index: HostIndex,
    private readonly _health: HostHealth
  ) {
    this._order = kind === 'slots' ? 'freest' : 'tightest'
  }

  /**
   * A host with room, or nothing.
   *
   * Made for two loads. Requests on slots go where the fewest are in flight, because a host that slows down then gets
   * less, and nobody queues behind a busy host while another is free. Tasks go where they fit most tightly, because
   * evenly filled hosts have room for small tasks only: large ones would wait though enough is free in sum.
   */
  public choose (item: IWorkItem, need: IResources): LedgerHost | undefined {
    if (item.profile.spread === 'failureDomain') return this._chooseSpread(item, need)
    return this._index.find(item, need, this._order) ?? this._chooseAvoided(item, need)
  }

  /** A host on probation for which the item may serve as the probe now due. */
  public chooseProbe (item: IWorkItem, need: IResources, nowMs: MonotonicMs): LedgerHost | undefined {
    const hostId = this._health.hostToProbe(item, nowMs)
    const host = hostId === undefined ? undefined : this._ledger.host(hostId)
    if (host === undefined || !host.config.accepting || item.avoidHostIds?.includes(host.hostId) === true) return undefined
    return fits(need, host.free()) ? host : undefined
  }

  /** A place in room that is held for others, for work that will have ended when they start. */
  public chooseHeld (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    return this._index.findHeld(item, need, isAllowed)
  }

  /** A host to be emptied for the item; the index knows most of them, and a look at some others finds the rest. */
  public chooseToDrain (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    const found = this._index.findToDrain(item, need, isAllowed)
    if (found !== undefined) return found
    let looks = 0
    for (const host of this._ledger.hosts()) {
      looks += 1
      if (looks > MAX_DRAIN_LOOKS) return undefined
      const couldHold = fits(need, difference(host.config.capacity, host.held))
      if (couldHold && isAllowed(host) && host.config.accepting && !this._health.isOnProbation(host.hostId)) return host
    }
    return undefined
  }

  public noteStarted (item: IWorkItem, host: LedgerHost, nowMs: MonotonicMs): void {
    if (this._health.isOnProbation(host.hostId)) this._health.startProbe(host.hostId, item.id, nowMs)
    this._countSpread(item, host, 1)
  }

  public noteEnded (item: IWorkItem, host: LedgerHost): void {
    this._countSpread(item, host, -1)
  }

  /**
   * The failure domain in which its service has least running comes first.
   *
   * Made for the loss of a whole domain: tasks packed by fit alone tend to share one, and the service is gone with it.
   */
  private _chooseSpread (item: IWorkItem, need: IResources): LedgerHost | undefined {
    const counts = this._spread.get(item.service)
    const domains = [...this._index.domainKeys()]
    domains.sort((a, b) => (counts?.get(a) ?? 0) - (counts?.get(b) ?? 0))
    for (const domain of domains) {
      const host = this._index.findInDomain(domain, item, need, this._order)
      if (host !== undefined) return host
    }
    return this._chooseAvoided(item, need)
  }

  /**
   * An attempt that failed goes elsewhere, unless there is no elsewhere: with one host left, waiting for another would
   * never end.
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

  /** Held places count as running for the spread: the tasks of a job are all placed before the first one runs. */
  public holdChanged (item: IWorkItem, host: LedgerHost, sign: 1 | -1): void {
    this._countSpread(item, host, sign)
  }

  private _countSpread (item: IWorkItem, host: LedgerHost, sign: 1 | -1): void {
    if (item.profile.spread !== 'failureDomain') return
    const counts = this._spread.get(item.service) ?? new Map<string, number>()
    const left = (counts.get(host.domainKey) ?? 0) + sign
    if (left > 0) counts.set(host.domainKey, left)
    else counts.delete(host.domainKey)
    if (counts.size > 0) this._spread.set(item.service, counts)
    else this._spread.delete(item.service)
  }
}
