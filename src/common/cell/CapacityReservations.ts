/**
 * Reserves capacity for waiting gangs (steps whose tasks start all at once).
 *
 * Without it, capacity that becomes free in small pieces is taken by narrow tasks immediately, and gangs never start in a cell
 * that is four fifths full. So waiting gangs reserve capacity on the hosts where it will become free soonest, and work behind
 * them can't use it. Reserved capacity is idle, so its amount is limited. Capacity reserved for a gang that can no longer
 * meet its objective is available to work that still can and has waited for long: otherwise all work behind such a gang would be
 * late, too. While less than half of the processors are in use, short runs may use what is reserved (backfilling): a gang may wait for long
 * for a few runs.
 */

import { Backfill } from './Backfill.js'
import { fitsOnceFree } from './BlockedSteps.js'
import type { HostState } from './HostState.js'
import { forecastEnds, hasRoomBefore, placeTimes } from './HostForecast.js'
import type { IRunEnd } from './HostForecast.js'
import type { Step } from './Job.js'
import { eligibleHosts } from './Placement.js'
import type { IPlacementView } from './Placement.js'
import { NO_RESOURCES, addResources, countPlaces, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { IStartForecast } from './StartForecast.js'
import type { MonotonicMs } from '../Types.js'

/** Capacity that becomes free later than this, in ms, is not reserved: about the run time of the longest usual tasks. */
const HORIZON_MS = 5000
/** The share of all hosts' processors that waiting gangs may reserve together. Much of it is still in use. */
const MAX_RESERVED_SHARE = 0.4

/** A gang that hasn't reserved for this long, in ms, has started in the meantime, and waits anew. */
const LAPSE_MS = 30_000
/** Below this share of the processors in use, runs may use what is reserved. */
const MAX_USED_SHARE = 0.5

interface IPlace {
  readonly host: HostState
  readonly waitMs: number
}

/** The ends of a host's runs, forecast in this pass. */
interface IKnownEnds {
  readonly runsVersion: number
  readonly ends: readonly IRunEnd[]
}

/** Resources for one task of a gang on a host. */
interface IHold {
  readonly step: Step
  readonly isLate: boolean
  /** How long runs may last that use it, in ms. */
  readonly maxRunMs: number
}

interface IGangWait {
  readonly backfill: Backfill
  reservedAtMs: MonotonicMs
}

/** The hosts on which a gang will find room, and how long that will take. */
export interface IReservation {
  readonly hosts: readonly HostState[]
  readonly waitMs: number
}

export class CapacityReservations {
  private readonly _reserved = new Map<HostState, IResources>()
  private readonly _reservedForLate = new Map<HostState, IResources>()
  /** How long each gang that has found no room is expected to wait for it, in ms; `HORIZON_MS` if that is longer. */
  private readonly _waits = new Map<Step, number>()
  private readonly _holds = new Map<HostState, IHold[]>()
  private readonly _gangWaits: WeakMap<Step, IGangWait>
  private readonly _runsMs = new Map<Step, number>()
  private readonly _hosts: readonly HostState[]
  /** The step that asked last, and whether most of the processors were free then. */
  private _lastAsking: Step | undefined
  private _isHalfFree = false
  private readonly _ends = new Map<HostState, IKnownEnds>()
  private _leftMillicores: number

  /** @param last the reservations of the previous pass */
  public constructor (hosts: Iterable<HostState>, private readonly _forecast?: IStartForecast, last?: CapacityReservations) {
    this._hosts = [...hosts]
    this._leftMillicores = sumCpu(this._hosts) * MAX_RESERVED_SHARE
    this._gangWaits = last?._gangWaits ?? new WeakMap()
  }

  /**
   * The resources that a step behind the gangs has to leave free on the host.
   *
   * @param isAtRisk whether the step may use what is reserved for late gangs
   */
  public reservedOn (host: HostState, step: Step, isAtRisk: boolean): IResources {
    const holds = this._holds.get(host)
    // A gang hardly waits for longer because of a task that it has waited beside before, and the task would be down for as long as the gang waits.
    if (holds === undefined || step.hasRestart) return NO_RESOURCES
    if (this._isHalfFreeFor(step)) return this._sumNotUsable(holds, this._runMsOf(step), isAtRisk)
    const reserved = this._reserved.get(host) ?? NO_RESOURCES
    return isAtRisk ? reserved : addResources(reserved, this._reservedForLate.get(host) ?? NO_RESOURCES)
  }

  /** How long the gang is expected to wait for room, in ms, up to `HORIZON_MS`; undefined if it doesn't wait for room. */
  public waitOf (step: Step): number | undefined {
    return this._waits.get(step)
  }

  public hasReservation (host: HostState): boolean {
    return this._reserved.has(host) || this._reservedForLate.has(host)
  }

  /** The gangs for which resources are reserved on the hosts. */
  public findHolders (hosts: Iterable<HostState>): ReadonlySet<Step> {
    const holders = new Set<Step>()
    for (const host of hosts) for (const { step } of this._holds.get(host) ?? []) holders.add(step)
    return holders
  }

  /** Reserves resources for a gang that couldn't be placed. Returns where and when it will have room for all its tasks, if that can be forecast. */
  public reserve (step: Step, view: IPlacementView, isLate: boolean): IReservation | undefined {
    const { spec } = step
    if (this._leftMillicores <= 0) return undefined
    const hosts = eligibleHosts(step, view)
    if (!fitsOnceFree(step, hosts)) return undefined
    const places = this._soonestPlaces(step, hosts, view)
    const waitMs = places.length < spec.count ? HORIZON_MS : places.at(-1)?.waitMs ?? 0
    this._waits.set(step, waitMs)
    const reserved = isLate ? this._reservedForLate : this._reserved
    const hold = { step, isLate, maxRunMs: this._maxRunMs(step, hosts, waitMs, view) }
    for (const { host } of places) {
      this._addReservation(reserved, host, resourcesOf(spec))
      const holds = this._holds.get(host)
      if (holds === undefined) this._holds.set(host, [hold])
      else holds.push(hold)
    }
    const last = places.at(-1)
    if (last === undefined || places.length < spec.count) return undefined
    return { hosts: [...new Set(places.map(({ host }) => host))], waitMs: last.waitMs }
  }

  /** The places that become free soonest: as many as the gang needs, or all within the horizon. */
  private _soonestPlaces (step: Step, hosts: readonly HostState[], view: IPlacementView): readonly IPlace[] {
    const { spec } = step
    const places: IPlace[] = []
    for (const host of hosts) {
      const ends = this._endsOn(host, view)
      // A later place of the same wait is not among the soonest.
      const beforeMs = places[spec.count - 1]?.waitMs ?? Infinity
      if (beforeMs <= 0) break
      if (!hasRoomBefore(host, spec, NO_RESOURCES, ends, beforeMs)) continue
      for (const waitMs of placeTimes(host, spec, view.headroom(host, step), ends, beforeMs)) insertPlace(places, { host, waitMs }, spec.count)
    }
    return places
  }

  /** Forecast once a pass for all gangs that wait, and again only if runs were placed on the host meanwhile. */
  private _endsOn (host: HostState, view: IPlacementView): readonly IRunEnd[] {
    const { runsVersion } = host
    const known = this._ends.get(host)
    if (known?.runsVersion === runsVersion) return known.ends
    const ends = forecastEnds(host, view.nowMs, HORIZON_MS, view.times)
    this._ends.set(host, { runsVersion, ends })
    return ends
  }

  /** Determined anew for each step: the runs that the pass has given to the steps before it count as used. */
  private _isHalfFreeFor (step: Step): boolean {
    if (this._lastAsking === step) return this._isHalfFree
    this._lastAsking = step
    const used = this._hosts.reduce((sum, host) => sum + host.usedCpu, 0)
    this._isHalfFree = used < sumCpu(this._hosts) * MAX_USED_SHARE
    return this._isHalfFree
  }

  private _sumNotUsable (holds: readonly IHold[], runMs: number, isAtRisk: boolean): IResources {
    let sum = NO_RESOURCES
    for (const { step, isLate, maxRunMs } of holds) {
      if (runMs > maxRunMs && !(isAtRisk && isLate)) sum = addResources(sum, resourcesOf(step.spec))
    }
    return sum
  }

  private _runMsOf (step: Step): number {
    const known = this._runsMs.get(step)
    if (known !== undefined) return known
    const runMs = this._forecast?.runMs(step) ?? step.spec.estimateMs
    this._runsMs.set(step, runMs)
    return runMs
  }

  private _maxRunMs (step: Step, hosts: readonly HostState[], waitMs: number, { nowMs }: IPlacementView): number {
    const last = this._gangWaits.get(step)
    const wait = last !== undefined && nowMs - last.reservedAtMs < LAPSE_MS ? last : { backfill: new Backfill(nowMs), reservedAtMs: nowMs }
    wait.reservedAtMs = nowMs
    this._gangWaits.set(step, wait)
    if (!this._isHalfFreeFor(step)) return 0
    const { backfill } = wait
    const isHeldByLaterRuns = backfill.hasLaterRuns(nowMs) && fitsBesideEarlier(step, hosts, backfill.runsBeforeMs)
    // Runs may exceed their forecasts, so a wait for runs that began before it is expected to last for as long again as it has.
    const lastedMs = nowMs - backfill.sinceMs
    const isLasting = lastedMs > waitMs && !fitsBesideEarlier(step, hosts, backfill.sinceMs)
    return backfill.maxRunMs(isLasting ? lastedMs : waitMs, isHeldByLaterRuns, nowMs)
  }

  private _addReservation (reserved: Map<HostState, IResources>, host: HostState, resources: IResources): void {
    reserved.set(host, addResources(reserved.get(host) ?? NO_RESOURCES, resources))
    this._leftMillicores -= resources.cpuMillicores
  }
}

/** Keeps the places in the order of their waits, and those of the same wait in the order of their insertion. */
function insertPlace (places: IPlace[], place: IPlace, most: number): void {
  let number = places.length
  while (number > 0 && (places[number - 1]?.waitMs ?? 0) > place.waitMs) number -= 1
  places.splice(number, 0, place)
  if (places.length > most) places.pop()
}

/** Whether the gang would fit if all runs had ended that began after the given time. */
function fitsBesideEarlier ({ spec }: Step, hosts: readonly HostState[], beganBeforeMs: MonotonicMs): boolean {
  let places = 0
  for (const host of hosts) {
    let free: IResources = host.entry
    for (const { preparedAtMs, task } of host.attempts) if (preparedAtMs <= beganBeforeMs) free = addResources(free, resourcesOf(task.step.spec), -1)
    places += Math.min(host.capacityFor(spec), countPlaces(free, spec))
    if (places >= spec.count) return true
  }
  return false
}

function sumCpu (hosts: readonly HostState[]): number {
  return hosts.reduce((sum, { entry }) => sum + entry.cpuMillicores, 0)
}
