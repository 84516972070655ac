/**
 * The policies that ours is measured against, as small changes to the naive engine.
 */

import { NaiveEngine } from '../../src/common/policy/NaiveEngine.js'
import { addInto, difference, fits, subtractFrom, zeroResources } from '../../src/common/policy/Resources.js'

import type { IClock, IRandom } from '../../src/common/Types.js'
import type { INaiveHost } from '../../src/common/policy/NaiveEngine.js'
import type { AdmitDecision, AttemptEnd, EngineDecision, IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'

const RANK = { urgent: 0, normal: 1, patient: 2 }

/** Urgent before normal before patient, whatever the cost to those behind. */
export class StrictPriorityEngine extends NaiveEngine {
  protected override _rankOf (item: IWorkItem): number {
    return RANK[item.profile.priorityClass]
  }
}

/** First come, first served on any host with room, drawn at random. */
export class RandomPlacingEngine extends NaiveEngine {
  public constructor (clock: IClock, private readonly _random: IRandom) {
    super(clock)
  }

  protected override _chooseHost (item: IWorkItem): INaiveHost | undefined {
    const hosts = [...this._hosts.values()].filter((host) => this._hasCapacityFor(host, item))
    return hosts[Math.floor(this._random.next() * hosts.length)]
  }
}

/** The length of a slot in which the admission's virtual queue is updated. */
const SLOT_MS = 100

interface IHostLine {
  readonly host: IEngineHost
  readonly used: ReturnType<typeof zeroResources>
  readonly items: IWorkItem[]
}

/**
 * Threshold admission with join-the-shortest-queue, by equations 26, 29 and 31 of the paper on power and performance
 * in SaaS clouds (one server per host, unit cost per request, `weight` for V): one queue per host, and an arrival is denied
 * while the shortest is longer than the application's virtual queue.
 */
export class ThresholdEngine extends NaiveEngine {
  private readonly _hostLines = new Map<string, IHostLine>()
  private readonly _started = new Map<string, { readonly line: IHostLine, readonly item: IWorkItem }>()
  private readonly _virtual = new Map<string, number>()
  private readonly _decisions: EngineDecision[] = []
  private _slot = 0

  public constructor (private readonly _time: IClock, private readonly _weight: number) {
    super(_time)
  }

  public override putHost (host: IEngineHost): void {
    super.putHost(host)
    this._hostLines.set(host.hostId, { host, used: zeroResources(), items: [] })
  }

  public override admit (item: IWorkItem): AdmitDecision {
    this._startSlots()
    const line = this._shortestFor(item)
    if (line === undefined) return { admitted: false, reason: 'infeasible', detail: 'no host is large enough', retryAfterMs: SLOT_MS }
    const virtual = this._virtual.get(item.service) ?? this._weight
    if (line.items.length > virtual) return { admitted: false, reason: 'overloaded', detail: 'above the threshold', retryAfterMs: 1_000 }
    this._virtual.set(item.service, Math.max(virtual - 1, 0))
    line.items.push(item)
    this._startFirst(line)
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
    subtractFrom(started.line.used, started.item.resources)
    this._startFirst(started.line)
  }

  private _startFirst (line: IHostLine): void {
    for (let item = line.items[0]; item !== undefined && fits(item.resources, difference(line.host.capacity, line.used)); item = line.items[0]) {
      line.items.shift()
      if (item.deadlineAtMs <= this._time.nowMs()) {
        this._decisions.push({ type: 'giveUp', item, reason: 'deadline', retryAfterMs: 1_000 })
        continue
      }
      addInto(line.used, item.resources)
      this._started.set(item.id, { line, item })
      this._decisions.push({ type: 'place', item, hostId: line.host.hostId, waitMs: this._time.nowMs() - item.arrivedAtMs })
    }
  }

  private _shortestFor (item: IWorkItem): IHostLine | undefined {
    let best: IHostLine | undefined
    let bestLength = Infinity
    for (const line of this._hostLines.values()) {
      const length = line.items.length + line.used.cores / line.host.capacity.cores
      if (length >= bestLength || !fits(item.resources, line.host.capacity)) continue
      best = line
      bestLength = length
    }
    return best
  }

  /** Equation 26 with unit cost: the auxiliary rate falls as the virtual queue grows. */
  private _startSlots (): void {
    const slot = Math.floor(this._time.nowMs() / SLOT_MS)
    for (; this._slot < slot; this._slot++) {
      for (const [service, virtual] of this._virtual) this._virtual.set(service, virtual + this._auxiliaryRate(virtual))
    }
  }

  private _auxiliaryRate (virtual: number): number {
    if (virtual > this._weight) return 0
    return Math.min(this._weight / Math.max(virtual, 1e-3) - 1, this._weight)
  }
}
