/**
 * Which hosts to ask advice for.
 *
 * The load this answers: a fleet of hundreds of hosts, a service that takes milliseconds for each host named and allows a
 * quarter of them, and steps of one to a hundred tasks. Naming all hosts makes the call the slowest part of a short step;
 * naming the same ones for every step fills these and leaves the others idle.
 */

import type { HostState } from './HostState.js'
import type { Step } from './Job.js'

/** The service takes no more in one call. */
const MAX_HOSTS = 100
/** At least so many: fewer save little time, and a step that is refused by most of them has no choice left. */
const MIN_HOSTS = 40
/** Room is taken by others between the call and the placement: places asked for, as a multiple of those needed. */
const SPARE_FACTOR = 2
/** The share of hosts that the service is taken to allow before anything is known of a queue. */
const FIRST_SHARE = 0.3
const SHARE_WEIGHT = 0.1

/** The share of the named hosts that the service allows, by queue. */
export class AllowedShares {
  private readonly _shares = new Map<string, number>()

  public of (queue: string): number {
    return this._shares.get(queue) ?? FIRST_SHARE
  }

  public note (queue: string, asked: number, allowed: number): void {
    if (asked === 0) return
    const before = this.of(queue)
    this._shares.set(queue, before + (allowed / asked - before) * SHARE_WEIGHT)
  }
}

/** The hosts to name next for the step: those with the most room, as many as it needs and some to spare. */
export function hostsToAsk (step: Step, hosts: Iterable<HostState>, share: number): readonly string[] {
  const { spec, job, advice } = step
  const candidates: HostState[] = []
  for (const host of hosts) {
    if (host.entry.service !== job.queue.service || !host.isListed || host.entry.draining) continue
    if (host.couldHold(spec) && advice?.wasAsked(host.hostId) !== true) candidates.push(host)
  }
  const [first] = candidates
  if (first === undefined) return []
  const perHost = Math.max(1, first.capacityFor(spec))
  const wanted = Math.ceil(spec.count / perHost / Math.max(share, 0.02) * SPARE_FACTOR)
  const count = Math.min(MAX_HOSTS, Math.max(MIN_HOSTS, wanted))
  if (candidates.length > count) candidates.sort((a, b) => b.freeCpu - a.freeCpu)
  return candidates.slice(0, count).map((host) => host.hostId)
}
