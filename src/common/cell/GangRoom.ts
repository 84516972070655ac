/**
 * Keeps room together for all-at-once steps that wait.
 *
 * Without it, room that comes free in small pieces is taken by narrow tasks as fast as it comes: one sees wide steps
 * wait without end in a cell that is four fifths full. So waiting gangs hold back, on the hosts where their room will come
 * free soonest, what work behind them would take. Room held back stands idle, so there is a bound on it; and what is held for a gang that
 * can't be in time any more is left to work that still can and has waited for long: one would see all that is behind such a gang late too.
 */

import type { HostState } from './HostState.js'
import { placeTimes } from './HostForecast.js'
import type { Step } from './Job.js'
import { eligibleHosts } from './Placement.js'
import type { IPlacementView } from './Placement.js'
import { NO_ROOM, plus, roomOf } from './Room.js'
import type { IRoom } from './Room.js'

/** Room that comes free later than this is not held, in ms: how long the longest tasks run, of what is usual. */
const HORIZON_MS = 5000
/** The share of all hosts' processors that waiting gangs may hold back together, of which a good part is still in use. */
const MAX_HELD_SHARE = 0.4

interface IPlace {
  readonly host: HostState
  readonly waitMs: number
}

/** Where a gang will find its room, and when. */
export interface IReservation {
  readonly hosts: readonly HostState[]
  readonly waitMs: number
}

export class GangRoom {
  private readonly _held = new Map<HostState, IRoom>()
  private readonly _heldForLate = new Map<HostState, IRoom>()
  private _leftMillicores: number

  public constructor (hosts: Iterable<HostState>) {
    let total = 0
    for (const host of hosts) total += host.entry.cpuMillicores
    this._leftMillicores = total * MAX_HELD_SHARE
  }

  /**
   * What work behind the gangs has to leave free on the host.
   *
   * @param isPressed whether the work leaves nothing for gangs that are late
   */
  public heldOn (host: HostState, isPressed: boolean): IRoom {
    const held = this._held.get(host) ?? NO_ROOM
    return isPressed ? held : plus(held, this._heldForLate.get(host) ?? NO_ROOM)
  }

  public isHeld (host: HostState): boolean {
    return this._held.has(host) || this._heldForLate.has(host)
  }

  /** Holds back room for a gang that couldn't be placed; gives where and when it will have all of it, if that can be foreseen. */
  public hold (step: Step, view: IPlacementView, isLate: boolean): IReservation | undefined {
    const { spec } = step
    if (this._leftMillicores <= 0) return undefined
    const hosts = eligibleHosts(step, view)
    if (!couldEverFit(step, hosts)) return undefined
    const places = soonestPlaces(step, hosts, view)
    const held = isLate ? this._heldForLate : this._held
    for (const { host } of places) this._hold(held, host, roomOf(spec))
    const last = places.at(-1)
    if (last === undefined || places.length < spec.count) return undefined
    return { hosts: [...new Set(places.map(({ host }) => host))], waitMs: last.waitMs }
  }

  private _hold (held: Map<HostState, IRoom>, host: HostState, room: IRoom): void {
    held.set(host, plus(held.get(host) ?? NO_ROOM, room))
    this._leftMillicores -= room.cpuMillicores
  }
}

/**
 * Whether the hosts would hold the gang if they were empty. One that is too wide for the few hosts it may use can't be
 * helped; keeping room for it would leave these hosts idle for ever, and work behind it would wait beside empty hosts.
 */
export function couldEverFit (step: Step, hosts: Iterable<HostState>): boolean {
  let room = 0
  for (const host of hosts) room += host.capacityFor(step.spec)
  return room >= step.spec.count
}

/** As many as the gang needs, or all that come free within the horizon. */
function soonestPlaces (step: Step, hosts: readonly HostState[], view: IPlacementView): readonly IPlace[] {
  const places = hosts.flatMap((host) =>
    placeTimes(host, step.spec, view.headroom(host, step), view.nowMs, HORIZON_MS).map((waitMs) => ({ host, waitMs })))
  return places.sort((a, b) => a.waitMs - b.waitMs).slice(0, step.spec.count)
}
