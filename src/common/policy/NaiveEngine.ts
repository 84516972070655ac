/**
 * A simple decision engine: first come, first served, on the first host with enough free capacity. It is the baseline
 * of the benchmarks and the reference of the differential tests, so it is written to be obviously correct rather than
 * fast or fair.
 */

import { NaiveQueue } from './NaiveQueue.js'
import { addInto, difference, fits, larger, NO_RESOURCES, subtractFrom, zeroResources } from './Resources.js'

import type { IResources, MonotonicMs, IClock } from '../Types.js'
import type { ITeamConfig } from '../config/Types.js'
import type { IMutableResources } from './Resources.js'
import type { AdmitDecision, AttemptEnd, EngineDecision, IDecisionEngine, IEngineHost, IEngineLoad, IWorkItem } from './Types.js'

const RETRY_AFTER_MS = 1_000

export interface INaiveHost {
  config: IEngineHost
  readonly used: IMutableResources
}

interface INaivePlacement {
  readonly item: IWorkItem
  readonly hostId: string
  counted: IResources
}

interface INaiveGroup {
  readonly groupId: string
  readonly items: readonly IWorkItem[]
  readonly expiresAtMs: MonotonicMs
}

export class NaiveEngine implements IDecisionEngine {
  protected readonly _hosts = new Map<string, INaiveHost>()
  private readonly _running = new Map<string, INaivePlacement>()
  private readonly _held = new Map<string, INaivePlacement>()
  private readonly _groups = new Map<string, INaiveGroup>()
  private readonly _ready: EngineDecision[] = []
  private readonly _queue = new NaiveQueue()

  public constructor (protected readonly _clock: IClock) {}

  public putHost (host: IEngineHost): void {
    const known = this._hosts.get(host.hostId)
    if (known === undefined) this._hosts.set(host.hostId, { config: host, used: zeroResources() })
    else known.config = host
  }

  public removeHost (hostId: string): readonly string[] {
    const lost = [...this._running.values()].filter((place) => place.hostId === hostId)
    for (const place of lost) this._running.delete(place.item.id)
    for (const [id, place] of this._held) {
      if (place.hostId === hostId) this._held.delete(id)
    }
    this._hosts.delete(hostId)
    return lost.map((place) => place.item.id)
  }

  public adopt (item: IWorkItem, hostId: string): void {
    this._place(this._running, item, hostId)
  }

  public admit (item: IWorkItem): AdmitDecision {
    return this._enqueue([item])
  }

  public admitGroup (_groupId: string, items: readonly IWorkItem[]): AdmitDecision {
    return this._enqueue(items)
  }

  public cancel (itemId: string): 'queued' | 'running' | 'absent' {
    if (this._running.has(itemId)) return 'running'
    return this._queue.cancel(itemId) ? 'queued' : 'absent'
  }

  public next (): EngineDecision | undefined {
    this._expire()
    this._fillReservations()
    if (this._ready.length === 0) this._placeHead()
    return this._ready.shift()
  }

  public nextWakeAtMs (): MonotonicMs {
    let wakeAtMs = this._queue.earliestDeadlineAtMs()
    for (const group of this._groups.values()) wakeAtMs = Math.min(wakeAtMs, group.expiresAtMs)
    return wakeAtMs
  }

  public recordEnd (itemId: string, _end: AttemptEnd, _serviceMs: number): void {
    this._release(this._running, itemId)
  }

  public reportUsage (itemId: string, usage: IResources): void {
    const place = this._running.get(itemId)
    const host = place === undefined ? undefined : this._hosts.get(place.hostId)
    if (place === undefined || host === undefined) return
    subtractFrom(host.used, place.counted)
    place.counted = larger(place.item.resources, usage)
    addInto(host.used, place.counted)
  }

  public reserve (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs): readonly string[] {
    this.dropReservation(groupId)
    this._groups.set(groupId, { groupId, items, expiresAtMs })
    this._fillReservations()
    return this.reservedIds(groupId)
  }

  public reservedIds (groupId: string): readonly string[] {
    const items = this._groups.get(groupId)?.items ?? []
    return items.filter((item) => this._held.has(item.id)).map((item) => item.id)
  }

  public startReserved (groupId: string): readonly { readonly item: IWorkItem, readonly hostId: string }[] | undefined {
    this._expire()
    const group = this._groups.get(groupId)
    if (group === undefined || this.reservedIds(groupId).length < group.items.length) return undefined
    const places = group.items.map((item) => ({ item, hostId: this._held.get(item.id)?.hostId ?? '' }))
    this.dropReservation(groupId)
    for (const place of places) this._place(this._running, place.item, place.hostId)
    return places
  }

  public dropReservation (groupId: string): void {
    for (const item of this._groups.get(groupId)?.items ?? []) this._release(this._held, item.id)
    this._groups.delete(groupId)
  }

  public putTeam (_team: ITeamConfig): void {}

  public load (): IEngineLoad {
    const capacity = zeroResources()
    const used = zeroResources()
    let largestFree = NO_RESOURCES
    for (const host of this._hosts.values()) {
      addInto(used, host.used)
      if (!host.config.accepting) continue
      addInto(capacity, host.config.capacity)
      const free = difference(host.config.capacity, host.used)
      if (free.cores > largestFree.cores) largestFree = free
    }
    const expectedWaitMs = { urgent: 0, normal: 0, patient: 0 }
    return { queued: this._queue.itemCount, running: this._running.size, capacity, used, largestFree, expectedWaitMs }
  }

  public dump (): Readonly<Record<string, unknown>> {
    return { engine: 'naive', hosts: this._hosts.size, load: this.load() }
  }

  /** Returns the first host with enough free capacity; subclasses in the benchmarks choose differently. */
  protected _chooseHost (item: IWorkItem): INaiveHost | undefined {
    for (const host of this._hosts.values()) {
      if (this._hasCapacityFor(host, item) && item.avoidHostIds?.includes(host.config.hostId) !== true) return host
    }
    return item.avoidHostIds === undefined ? undefined : this._chooseAvoided(item)
  }

  /** The rank of an item's queue; lower ranks go first. */
  protected _rankOf (_item: IWorkItem): number {
    return 0
  }

  protected _hasCapacityFor (host: INaiveHost, item: IWorkItem): boolean {
    return host.config.accepting && fits(item.resources, difference(host.config.capacity, host.used))
  }

  /** If every accepting host that could ever hold the item is to be avoided, returns one of them with enough free capacity. */
  private _chooseAvoided (item: IWorkItem): INaiveHost | undefined {
    const accepting = [...this._hosts.values()].filter((host) => host.config.accepting && fits(item.resources, host.config.capacity))
    const hasOther = accepting.some((host) => item.avoidHostIds?.includes(host.config.hostId) !== true)
    return hasOther ? undefined : accepting.find((host) => this._hasCapacityFor(host, item))
  }

  private _enqueue (items: readonly IWorkItem[]): AdmitDecision {
    const tooLarge = items.find((item) => !this._isFeasible(item))
    if (tooLarge !== undefined) {
      const detail = `no host is large enough for ${tooLarge.id}`
      return { admitted: false, reason: 'infeasible', detail, retryAfterMs: RETRY_AFTER_MS }
    }
    const [first] = items
    if (first === undefined) return { admitted: true, expectedWaitMs: 0 }
    this._queue.add(this._rankOf(first), items)
    return { admitted: true, expectedWaitMs: 0 }
  }

  private _isFeasible (item: IWorkItem): boolean {
    for (const host of this._hosts.values()) {
      if (fits(item.resources, host.config.capacity)) return true
    }
    return false
  }

  private _expire (): void {
    const nowMs = this._clock.nowMs()
    for (const group of [...this._groups.values()]) {
      if (group.expiresAtMs <= nowMs) this.dropReservation(group.groupId)
    }
    for (let late = this._queue.removeExpired(nowMs); late.length > 0; late = this._queue.removeExpired(nowMs)) {
      for (const item of late) this._ready.push({ type: 'giveUp', item, reason: 'deadline', retryAfterMs: RETRY_AFTER_MS })
    }
  }

  private _fillReservations (): void {
    for (const group of this._groups.values()) {
      for (const item of group.items) {
        const host = this._held.has(item.id) ? undefined : this._chooseHost(item)
        if (host !== undefined) this._place(this._held, item, host.config.hostId)
      }
    }
  }

  private _placeHead (): void {
    const items = this._queue.first()
    if (items.length === 0 || !this._placeAll(items)) return
    const nowMs = this._clock.nowMs()
    for (const item of items) {
      const hostId = this._running.get(item.id)?.hostId ?? ''
      this._ready.push({ type: 'place', item, hostId, waitMs: nowMs - item.arrivedAtMs })
    }
    this._queue.removeFirst()
  }

  private _placeAll (items: readonly IWorkItem[]): boolean {
    const placed: string[] = []
    for (const item of items) {
      const host = this._chooseHost(item)
      if (host === undefined) {
        for (const id of placed) this._release(this._running, id)
        return false
      }
      this._place(this._running, item, host.config.hostId)
      placed.push(item.id)
    }
    return true
  }

  private _place (places: Map<string, INaivePlacement>, item: IWorkItem, hostId: string): void {
    places.set(item.id, { item, hostId, counted: item.resources })
    const host = this._hosts.get(hostId)
    if (host !== undefined) addInto(host.used, item.resources)
  }

  private _release (places: Map<string, INaivePlacement>, itemId: string): void {
    const place = places.get(itemId)
    const host = place === undefined ? undefined : this._hosts.get(place.hostId)
    places.delete(itemId)
    if (place !== undefined && host !== undefined) subtractFrom(host.used, place.counted)
  }
}
