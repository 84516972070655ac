/**
 * Records what runs on each host and how much capacity it uses. No other part of the engine counts capacity.
 */

import { addInto, CORE_ROUNDING, difference, dominantShare, fits, larger, subtractFrom, zeroResources } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { IMutableResources } from './Resources.js'
import type { IEngineHost, IWorkItem } from './Types.js'

export interface IRunningItem {
  readonly item: IWorkItem
  readonly host: LedgerHost
  readonly startedAtMs: MonotonicMs
  /** The larger of declared and reported usage. */
  counted: IResources
  /** Set once a stop was requested, so that it isn't requested twice. */
  isStopping: boolean
}

/** Notified whenever the free capacity of a host has changed. */
export interface IHostObserver {
  hostChanged (host: LedgerHost): void
  hostRemoved (host: LedgerHost): void
}

/** The capacity accounting of one host. */
export class LedgerHost {
  public readonly used: IMutableResources = zeroResources()
  /** Capacity held for tasks of all-at-once jobs that have not started. */
  public readonly held: IMutableResources = zeroResources()
  public readonly running = new Map<string, IRunningItem>()

  public constructor (public config: IEngineHost) {}

  public get hostId (): string {
    return this.config.hostId
  }

  /** The same failure domain name may occur in several regions, so the region is part of the key. */
  public get domainKey (): string {
    return `${this.config.region}/${this.config.failureDomain}`
  }

  /** Whether any capacity of the host is held. */
  public get hasHolds (): boolean {
    return this.held.cores > 0 || this.held.memoryBytes > 0 || this.held.accelerators > 0
  }

  /** Capacity that is neither used nor held. Negative in a dimension where reported usage exceeds the capacity. */
  public free (): IResources {
    const { capacity } = this.config
    return {
      cores: capacity.cores - this.used.cores - this.held.cores,
      memoryBytes: capacity.memoryBytes - this.used.memoryBytes - this.held.memoryBytes,
      accelerators: capacity.accelerators - this.used.accelerators - this.held.accelerators
    }
  }

  /** Capacity that is not used, whether held or not. */
  public unused (): IResources {
    return difference(this.config.capacity, this.used)
  }
}

export class CapacityLedger {
  public readonly capacity: IMutableResources = zeroResources()
  public readonly used: IMutableResources = zeroResources()
  public readonly held: IMutableResources = zeroResources()
  private readonly _hosts = new Map<string, LedgerHost>()
  private readonly _running = new Map<string, IRunningItem>()
  private readonly _capacityShapes = new Map<string, { readonly capacity: IResources, hosts: number }>()
  private _removedHostCount = 0

  public constructor (private readonly _observer: IHostObserver) {}

  public get runningCount (): number {
    return this._running.size
  }

  /** The number of hosts removed so far. */
  public get removedHostCount (): number {
    return this._removedHostCount
  }

  public get hostCount (): number {
    return this._hosts.size
  }

  public hosts (): IterableIterator<LedgerHost> {
    return this._hosts.values()
  }

  public host (hostId: string): LedgerHost | undefined {
    return this._hosts.get(hostId)
  }

  public runningItem (itemId: string): IRunningItem | undefined {
    return this._running.get(itemId)
  }

  public putHost (config: IEngineHost): void {
    const host = this._hosts.get(config.hostId)
    if (host === undefined) {
      this._addHost(new LedgerHost(config))
      return
    }
    this._countCapacity(host.config, -1)
    host.config = config
    this._countCapacity(config, 1)
    this._observer.hostChanged(host)
  }

  /** Removes a host and what ran there; the caller of this method settles the returned items. */
  public removeHost (hostId: string): readonly IRunningItem[] {
    const host = this._hosts.get(hostId)
    if (host === undefined) return []
    const lost = [...host.running.values()]
    for (const running of lost) this._remove(running)
    this._countCapacity(host.config, -1)
    this._removedHostCount += 1
    this._hosts.delete(hostId)
    this._observer.hostRemoved(host)
    return lost
  }

  /** Whether any accepting host could hold this if it were empty. */
  public isFeasible (need: IResources): boolean {
    for (const shape of this._capacityShapes.values()) {
      if (fits(need, shape.capacity)) return true
    }
    return false
  }

  /** The share of the accepting hosts' capacity that `part` takes. */
  public shareOf (part: IResources): number {
    return dominantShare(part, this.capacity)
  }

  /**
   * Counts an item on a host, at first as `counted`: what it declared or what its service was seen to use. Checking the
   * free capacity is up to the caller of this method, since a takeover counts running work even where it exceeds the
   * capacity.
   */
  public start (item: IWorkItem, host: LedgerHost, counted: IResources, nowMs: MonotonicMs): IRunningItem {
    const running: IRunningItem = { item, host, startedAtMs: nowMs, counted, isStopping: false }
    this._running.set(item.id, running)
    host.running.set(item.id, running)
    this._addUsage(host, running.counted)
    return running
  }

  public finish (itemId: string): IRunningItem | undefined {
    const running = this._running.get(itemId)
    if (running !== undefined) this._remove(running)
    return running
  }

  /**
   * Updates a running item to the larger of declared and reported usage.
   *
   * Declared sizes may be far too small: counting them as declared would overfill the host, and tasks would be killed
   * for lack of memory. A report below the declared size frees nothing, because the task may still grow to its declared
   * size.
   */
  public reportUsage (itemId: string, usage: IResources): IRunningItem | undefined {
    const running = this._running.get(itemId)
    if (running === undefined) return undefined
    const { host } = running
    subtractFrom(host.used, running.counted)
    subtractFrom(this.used, running.counted)
    running.counted = larger(running.item.resources, usage)
    this._addUsage(host, running.counted)
    return running
  }

  public hold (host: LedgerHost, need: IResources): void {
    addInto(host.held, need)
    addInto(this.held, need)
    this._observer.hostChanged(host)
  }

  public releaseHold (host: LedgerHost, need: IResources): void {
    subtractFrom(host.held, need)
    subtractFrom(this.held, need)
    if (Math.abs(host.held.cores) < CORE_ROUNDING) host.held.cores = 0
    if (this._hosts.has(host.hostId)) this._observer.hostChanged(host)
  }

  private _addHost (host: LedgerHost): void {
    this._hosts.set(host.hostId, host)
    this._countCapacity(host.config, 1)
    this._observer.hostChanged(host)
  }

  private _countCapacity (config: IEngineHost, sign: 1 | -1): void {
    if (!config.accepting) return
    const { capacity } = config
    if (sign === 1) addInto(this.capacity, capacity)
    else subtractFrom(this.capacity, capacity)
    const key = `${capacity.cores}/${capacity.memoryBytes}/${capacity.accelerators}`
    const shape = this._capacityShapes.get(key) ?? { capacity, hosts: 0 }
    shape.hosts += sign
    if (shape.hosts > 0) this._capacityShapes.set(key, shape)
    else this._capacityShapes.delete(key)
  }

  private _addUsage (host: LedgerHost, counted: IResources): void {
    addInto(host.used, counted)
    addInto(this.used, counted)
    this._observer.hostChanged(host)
  }

  private _remove (running: IRunningItem): void {
    const { host, item } = running
    this._running.delete(item.id)
    host.running.delete(item.id)
    subtractFrom(host.used, running.counted)
    subtractFrom(this.used, running.counted)
    this._observer.hostChanged(host)
  }
}
