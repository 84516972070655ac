/**
 * What runs where and how much of each host that takes: the only place that counts capacity.
 */

import { addInto, CORE_ROUNDING, difference, dominantShare, fits, larger, subtractFrom, zeroResources } from './Resources.js'

import type { IResources, MonotonicMs } from '../Types.js'
import type { IMutableResources } from './Resources.js'
import type { IEngineHost, IWorkItem } from './Types.js'

export interface IRunningItem {
  readonly item: IWorkItem
  readonly host: LedgerHost
  readonly startedAtMs: MonotonicMs
  /** The larger of declared and reported use. */
  counted: IResources
  /** Set once it was asked to stop, so that it isn't asked twice. */
  isStopping: boolean
}

/** Told whenever the free room of a host has changed. */
export interface IHostObserver {
  hostChanged (host: LedgerHost): void
  hostRemoved (host: LedgerHost): void
}

/** One host's account. */
export class LedgerHost {
  public readonly used: IMutableResources = zeroResources()
  /** Room kept for tasks of all-at-once jobs that have not started. */
  public readonly held: IMutableResources = zeroResources()
  public readonly running = new Map<string, IRunningItem>()

  public constructor (public config: IEngineHost) {}

  public get hostId (): string {
    return this.config.hostId
  }

  /** Failure domains bear the same names in several regions, so the region is part of the key. */
  public get domainKey (): string {
    return `${this.config.region}/${this.config.failureDomain}`
  }

  /** Whether any room is held here. */
  public get hasHolds (): boolean {
    return this.held.cores > 0 || this.held.memoryBytes > 0 || this.held.accelerators > 0
  }

  /** Room that is neither used nor held. May be negative when reported use exceeds the capacity. */
  public free (): IResources {
    const { capacity } = this.config
    return {
      cores: capacity.cores - this.used.cores - this.held.cores,
      memoryBytes: capacity.memoryBytes - this.used.memoryBytes - this.held.memoryBytes,
      accelerators: capacity.accelerators - this.used.accelerators - this.held.accelerators
    }
  }

  /** Room that is not used, held or not. */
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
  private readonly _shapes = new Map<string, { readonly capacity: IResources, hosts: number }>()
  private _removals = 0

  public constructor (private readonly _observer: IHostObserver) {}

  public get runningCount (): number {
    return this._running.size
  }

  /** Hosts forgotten so far. */
  public get removals (): number {
    return this._removals
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

  /** Forgets a host and what ran there; the caller settles the items that it gets back. */
  public removeHost (hostId: string): readonly IRunningItem[] {
    const host = this._hosts.get(hostId)
    if (host === undefined) return []
    const lost = [...host.running.values()]
    for (const running of lost) this._remove(running)
    this._countCapacity(host.config, -1)
    this._removals += 1
    this._hosts.delete(hostId)
    this._observer.hostRemoved(host)
    return lost
  }

  /** Whether any accepting host, were it empty, could hold this. */
  public isFeasible (need: IResources): boolean {
    for (const shape of this._shapes.values()) {
      if (fits(need, shape.capacity)) return true
    }
    return false
  }

  /** The share of the accepting hosts' capacity that `part` takes. */
  public shareOf (part: IResources): number {
    return dominantShare(part, this.capacity)
  }

  /**
   * Counts an item on a host, at first for `counted`: what it declared or what its service was seen to use.
   * Whoever places has looked for room; a takeover counts what already runs, room or not.
   */
  public start (item: IWorkItem, host: LedgerHost, counted: IResources, nowMs: MonotonicMs): IRunningItem {
    const running: IRunningItem = { item, host, startedAtMs: nowMs, counted, isStopping: false }
    this._running.set(item.id, running)
    host.running.set(item.id, running)
    this._use(host, running.counted)
    return running
  }

  public finish (itemId: string): IRunningItem | undefined {
    const running = this._running.get(itemId)
    if (running !== undefined) this._remove(running)
    return running
  }

  /**
   * Counts the larger of declared and reported use.
   *
   * Made for declared sizes that are far too small: counting them as declared would fill the host beyond what it has,
   * which shows as tasks killed for want of memory. A report below the declared size frees nothing, because the task
   * may still grow to what it was promised.
   */
  public reportUsage (itemId: string, usage: IResources): IRunningItem | undefined {
    const running = this._running.get(itemId)
    if (running === undefined) return undefined
    const { host } = running
    subtractFrom(host.used, running.counted)
    subtractFrom(this.used, running.counted)
    running.counted = larger(running.item.resources, usage)
    this._use(host, running.counted)
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
    const shape = this._shapes.get(key) ?? { capacity, hosts: 0 }
    shape.hosts += sign
    if (shape.hosts > 0) this._shapes.set(key, shape)
    else this._shapes.delete(key)
  }

  private _use (host: LedgerHost, counted: IResources): void {
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
