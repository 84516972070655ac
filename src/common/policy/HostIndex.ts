/**
 * Indexes the usable hosts by free capacity: hosts with accelerators apart, and hosts per failure domain for work to be
 * spread.
 */

import { HostGrid } from './HostGrid.js'
import { difference, fits, NO_RESOURCES } from './Resources.js'

import type { IResources } from '../Types.js'
import type { AcceleratorReserve } from './AcceleratorReserve.js'
import type { LedgerHost } from './CapacityLedger.js'
import type { GridOrder, HostFilter } from './HostGrid.js'
import type { IWorkItem } from './Types.js'

/** Two grids: one of hosts with accelerators for work that needs them, one of all hosts for other work. */
class GridPair {
  public readonly plain = new HostGrid()
  public readonly accelerated = new HostGrid()

  public constructor (private readonly _reserve: AcceleratorReserve) {}

  public set (host: LedgerHost, free: IResources): void {
    this.plain.set(host, withoutAcceleratorShare(host, free))
    if (host.config.capacity.accelerators > 0) this.accelerated.set(host, free)
  }

  public delete (host: LedgerHost): void {
    this.plain.delete(host)
    this.accelerated.delete(host)
  }

  public find (need: IResources, order: GridOrder, isAllowed: HostFilter): LedgerHost | undefined {
    if (need.accelerators > 0) return this.accelerated.find(need, order, isAllowed)
    const host = this.plain.find(need, order, isAllowed)
    if (host !== undefined || this._reserve.isActive) return host
    return this.accelerated.find(need, order, isAllowed)
  }
}

/**
 * The free capacity of a host that plain work may use: what its free accelerators don't need.
 *
 * If plain work filled the cores of accelerator hosts, their accelerators would be idle while accelerator work waits.
 * Each free accelerator keeps its even share of the host's cores and memory; the rest is open to all work, so that
 * these hosts aren't left half empty either.
 */
function withoutAcceleratorShare (host: LedgerHost, free: IResources): IResources {
  const { capacity } = host.config
  if (capacity.accelerators === 0 || free.accelerators <= 0) return free
  const keptShare = free.accelerators / capacity.accelerators
  const kept = { cores: capacity.cores * keptShare, memoryBytes: capacity.memoryBytes * keptShare, accelerators: 0 }
  return difference(free, kept)
}

export class HostIndex {
  private readonly _all: GridPair
  private readonly _byDomain = new Map<string, GridPair>()
  /** Hosts with capacity held for all-at-once jobs, by unused capacity: open to work that ends before the job starts. */
  private readonly _held = new HostGrid()

  public constructor (private readonly _reserve: AcceleratorReserve) {
    this._all = new GridPair(_reserve)
  }

  /** Updates the position of a host from its free capacity; `isUsable` is false for a host that gets no new work. */
  public update (host: LedgerHost, isUsable: boolean): void {
    if (!isUsable) {
      this.remove(host)
      return
    }
    const free = host.free()
    this._all.set(host, free)
    this._domainGrids(host.domainKey).set(host, free)
    if (host.hasHolds) this._held.set(host, host.unused())
    else this._held.delete(host)
  }

  public remove (host: LedgerHost): void {
    this._all.delete(host)
    this._byDomain.get(host.domainKey)?.delete(host)
    this._held.delete(host)
  }

  public domainKeys (): readonly string[] {
    return [...this._byDomain.keys()]
  }

  /** Returns a host with enough free capacity for `need`, which may be more than the item declares. */
  public find (item: IWorkItem, need: IResources, order: GridOrder): LedgerHost | undefined {
    return this._all.find(need, order, notAvoidedBy(item))
  }

  public findInDomain (domainKey: string, item: IWorkItem, need: IResources, order: GridOrder): LedgerHost | undefined {
    return this._byDomain.get(domainKey)?.find(need, order, notAvoidedBy(item))
  }

  /** The free capacity of one of the emptiest hosts. */
  public largestFree (): IResources {
    return this._all.accelerated.freest() ?? this._all.plain.freest() ?? NO_RESOURCES
  }

  /** Returns a host with held capacity that is not used yet. */
  public findHeld (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    const allowed = notAvoidedBy(item)
    return this._held.find(need, 'tightest', (host) => isAllowed(host) && allowed(host))
  }

  /** Returns one of the emptiest hosts that could hold `need`, in addition to its existing holds, once its running work has ended. */
  public findToDrain (item: IWorkItem, need: IResources, isAllowed: HostFilter): LedgerHost | undefined {
    const isNotAvoided = notAvoidedBy(item)
    const allowed: HostFilter = (host) => isAllowed(host) && isNotAvoided(host)
    const grid = need.accelerators > 0 ? this._all.accelerated : this._all.plain
    return grid.find(NO_RESOURCES, 'freest', (host) => allowed(host) && fits(need, difference(host.config.capacity, host.held)))
  }

  private _domainGrids (domainKey: string): GridPair {
    const known = this._byDomain.get(domainKey)
    if (known !== undefined) return known
    const created = new GridPair(this._reserve)
    this._byDomain.set(domainKey, created)
    return created
  }
}

function notAvoidedBy (item: IWorkItem): HostFilter {
  const avoided = item.avoidHostIds
  if (avoided === undefined || avoided.length === 0) return () => true
  return (host) => !avoided.includes(host.hostId)
}
