/**
 * The baseline policies that the decision engine is compared with, each a small change to the naive engine.
 */

import { NaiveEngine } from '../../src/common/policy/NaiveEngine.js'
import { addInto, difference, fits, subtractFrom, zeroResources } from '../../src/common/policy/Resources.js'

import type { IClock, IRandom } from '../../src/common/Types.js'
import type { INaiveHost } from '../../src/common/policy/NaiveEngine.js'
import type { AdmitDecision, AttemptEnd, EngineDecision, IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'

const PRIORITY_RANK = { urgent: 0, normal: 1, patient: 2 }

/** Places urgent work before normal work and normal work before patient work, without a floor share for lower classes. */
export class StrictPriorityEngine extends NaiveEngine {
  protected override _rankOf (item: IWorkItem): number {
    return PRIORITY_RANK[item.profile.priorityClass]
  }
}

/** First come, first served, on a random host among those with free capacity. */
export class RandomPlacingEngine extends NaiveEngine {
  public constructor (clock: IClock, private readonly _random: IRandom) {
    super(clock)
  }

  protected override _chooseHost (item: IWorkItem): INaiveHost | undefined {
    const hosts = [...this._hosts.values()].filter((host) => this._hasCapacityFor(host, item))
    return hosts[Math.floor(this._random.next() * hosts.length)]
  }
}

/** The interval at which the virtual queues of the admission are updated. */
const SLOT_MS = 100

interface IHostQueue {
  readonly host: IEngineHost
  readonly used: ReturnType<typeof zeroResources>
  readonly items: IWorkItem[]
}

/**
 * Threshold admission with join-the-shortest-queue, by equations 26, 29 and 31 of the paper on power and performance
 * in SaaS clouds, with one server per host, unit cost per request, and `weight` for V. Each host has one queue, and an arrival
 * is refused while the shortest queue is longer than the virtual queue of the arrival's service.
 */
export class ThresholdEngine extends NaiveEngine {
  private readonly _hostQueues = new Map<string, IHostQueue>()
  private readonly _started = new Map<string, { readonly queue: IHostQueue, readonly item: IWorkItem }>()
  private readonly _virtualLengths = new Map<string, number>()
  private readonly _decisions: EngineDecision[] = []
  private _lastSlot = 0

  public constructor (private readonly _time: IClock, private readonly _weight: number) {
    super(_time)
  }

  public override putHost (host: IEngineHost): void {
    super.putHost(host)
    this._hostQueues.set(host.hostId, { host, used: zeroResources(), items: [] })
  }

  public override admit (item: IWorkItem): AdmitDecision {
    this._updateVirtualQueues()
    const queue = this._findShortestQueue(item)
    if (queue === undefined) return { admitted: false, reason: 'infeasible', detail: 'no host is large enough', retryAfterMs: SLOT_MS }
    const virtualLength = this._virtualLengths.get(item.service) ?? this._weight
    if (queue.items.length > virtualLength) return { admitted: false, reason: 'overloaded', detail: 'above the threshold', retryAfterMs: 1_000 }
    this._virtualLengths.set(item.service, Math.max(virtualLength - 1, 0))
    queue.items.push(item)
    this._startQueued(queue)
    return { admitted: true, expectedWaitMs: 0 }
  }

  public override next (): EngineDecision | undefined {
    return this._decisions.shift()
  }

  public override nextWakeAtMs (): number {
    return Infinity
  }

  public override removeHost (): readonly string[] {
    return []
  }

  public override recordEnd (itemId: string, _end: AttemptEnd, _serviceMs: number): void {
    const started = this._started.get(itemId)
    if (started === undefined) return
    this._started.delete(itemId)
    subtractFrom(started.queue.used, started.item.resources)
    this._startQueued(started.queue)
  }

  private _startQueued (queue: IHostQueue): void {
    for (let item = queue.items[0]; item !== undefined && fits(item.resources, difference(queue.host.capacity, queue.used)); item = queue.items[0]) {
      queue.items.shift()
      if (item.deadlineAtMs <= this._time.nowMs()) {
        this._decisions.push({ type: 'giveUp', item, reason: 'deadline', retryAfterMs: 1_000 })
        continue
      }
      addInto(queue.used, item.resources)
      this._started.set(item.id, { queue, item })
      this._decisions.push({ type: 'place', item, hostId: queue.host.hostId, waitMs: this._time.nowMs() - item.arrivedAtMs })
    }
  }

  private _findShortestQueue (item: IWorkItem): IHostQueue | undefined {
    let shortest: IHostQueue | undefined
    let shortestLength = Infinity
    for (const queue of this._hostQueues.values()) {
      const length = queue.items.length + queue.used.cores / queue.host.capacity.cores
      if (length >= shortestLength || !fits(item.resources, queue.host.capacity)) continue
      shortest = queue
      shortestLength = length
    }
    return shortest
  }

  /** Adds the auxiliary rate to the virtual queues once per slot. By equation 26 with unit cost, the rate falls as the queue grows. */
  private _updateVirtualQueues (): void {
    const slot = Math.floor(this._time.nowMs() / SLOT_MS)
    for (; this._lastSlot < slot; this._lastSlot++) {
      for (const [service, length] of this._virtualLengths) this._virtualLengths.set(service, length + this._auxiliaryRate(length))
    }
  }

  private _auxiliaryRate (virtualLength: number): number {
    if (virtualLength > this._weight) return 0
    return Math.min(this._weight / Math.max(virtualLength, 1e-3) - 1, this._weight)
  }
}
