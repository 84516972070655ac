/**
 * Keeps room together for all-at-once steps that wait.
 *
 * Without it, room that comes free in small pieces is taken by narrow tasks as fast as it comes: one sees wide steps
 * wait without end in a cell that is four fifths full. So waiting gangs hold back, on the hosts where their room will come
 * free soonest, what work behind them would take. Room held back stands idle, so there is a bound on it.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import { eligibleHosts } from './Placement.js'
import type { IPlacementView } from './Placement.js'

/** Room that will come free within this time counts as good as free, in ms: about half a wide step's run. */
const SOON_MS = 2500
/** The share of all hosts' processors that waiting gangs may hold back together, of which a good part is still in use. */
const MAX_HELD_SHARE = 0.3

export class GangRoom {
  /** Held back on each host, in millicores. */
  private readonly _held = new Map<HostState, number>()
  private _leftMillicores: number

  public constructor (hosts: Iterable<HostState>) {
    let total = 0
    for (const host of hosts) total += host.entry.cpuMillicores
    this._leftMillicores = total * MAX_HELD_SHARE
  }

  /** What work behind the gangs has to leave free on the host, in millicores. */
  public heldOn (host: HostState): number {
    return this._held.get(host) ?? 0
  }

  /** Holds back room for a gang that couldn't be placed: where the most of it is free now or soon. */
  public hold (step: Step, view: IPlacementView): void {
    const { spec } = step
    if (this._leftMillicores <= 0) return
    const hosts = eligibleHosts(step, view)
    if (!couldEverFit(step, hosts)) return
    const bySoon = hosts.map((host) => ({ host, soon: roomSoon(step, host, view) })).sort((a, b) => b.soon - a.soon)
    let missing = spec.count
    for (const { host, soon } of bySoon) {
      const places = Math.min(soon, missing)
      if (places <= 0) return
      this._hold(host, places * spec.cpuMillicores)
      missing -= places
    }
  }

  private _hold (host: HostState, millicores: number): void {
    this._held.set(host, this.heldOn(host) + millicores)
    this._leftMillicores -= millicores
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

function roomSoon (step: Step, host: HostState, view: IPlacementView): number {
  const { spec } = step
  let soonFree = host.freeCpu - view.headroom(host, step)
  for (const attempt of host.attempts) {
    if (endsWithin(attempt, view.nowMs, SOON_MS)) soonFree += attempt.task.step.spec.cpuMillicores
  }
  const room = Math.max(0, Math.floor(soonFree / Math.max(1, spec.cpuMillicores)))
  return Math.min(room, host.capacityFor(spec))
}

/** By its progress so far, or by its estimate before there is any. */
function endsWithin (attempt: Attempt, nowMs: MonotonicMs, withinMs: number): boolean {
  const ranMs = nowMs - attempt.startedAtMs
  if (attempt.percent > 0) return ranMs * (100 - attempt.percent) / attempt.percent < withinMs
  return attempt.task.step.spec.estimateMs - ranMs < withinMs
}
