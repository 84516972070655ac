/**
 * Keeps room together for an all-at-once step that waits.
 *
 * Without it, room that comes free in small pieces is taken by narrow tasks as fast as it comes: one sees wide steps
 * wait without end in a cell that is four fifths full. So the first few waiting gangs hold back, on the hosts where their
 * room will come free soonest, what work behind them would take. It is for a few only, since room held back stands idle.
 */

import type { MonotonicMs } from '../Types.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { Attempt } from './Attempt.js'
import type { IPlacementView } from './Placement.js'
import { eligibleHosts } from './Placement.js'

/** Room that will come free within this time counts as good as free, in ms: about half a wide step's run. */
const SOON_MS = 2500

/** The hosts that a waiting gang should fill: those with the most room now and soon, until they hold all of it. */
export function hostsToGather (step: Step, view: IPlacementView): readonly HostState[] {
  const { spec } = step
  const hosts = eligibleHosts(step, view)
  if (!couldEverFit(step, hosts)) return []
  const candidates = hosts
    .map((host) => ({ host, soon: roomSoon(step, host, view) }))
    .filter(({ soon }) => soon > 0)
    .sort((a, b) => b.soon - a.soon)
  const chosen: HostState[] = []
  let room = 0
  for (const { host, soon } of candidates) {
    if (room >= spec.count) break
    chosen.push(host)
    room += soon
  }
  return chosen
}

/**
 * Whether the hosts would hold the gang if they were empty. One that is too wide for the few hosts it may use can't be
 * helped; keeping room for it would leave these hosts idle for ever, and work behind it would wait beside empty hosts.
 */
function couldEverFit (step: Step, hosts: readonly HostState[]): boolean {
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
  const room = Math.floor(soonFree / Math.max(1, spec.cpuMillicores))
  return spec.maxPerHost === 0 ? room : Math.min(room, spec.maxPerHost)
}

/** By its progress so far, or by its estimate before there is any. */
function endsWithin (attempt: Attempt, nowMs: MonotonicMs, withinMs: number): boolean {
  const ranMs = nowMs - attempt.startedAtMs
  if (attempt.percent > 0) return ranMs * (100 - attempt.percent) / attempt.percent < withinMs
  return attempt.task.step.spec.estimateMs - ranMs < withinMs
}
