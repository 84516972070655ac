/**
 * Chooses the hosts for which advice is requested.
 *
 * It is designed for a fleet of hundreds of hosts, a service that takes milliseconds for each named host and allows a quarter of
 * them, and steps of one to a hundred tasks. Naming all hosts would make the call the slowest part of a short step; naming the
 * same hosts for every step would fill these and leave the others idle.
 */

import { hash32 } from '../membership/Hash.js'

import type { HostState } from './HostState.js'
import type { Step } from './Job.js'

/** The maximum number of hosts named for a step that is not a gang: as many as the service accepts in one call. */
const MAX_HOSTS = 100
/** The minimum number of hosts named: naming fewer saves little time, and few of them may be allowed for the step. */
const MIN_HOSTS = 40
/** The number of places asked for, as a multiple of those needed: others take capacity between the call and the placement. */
const SPARE_FACTOR = 2
/**
 * A gang needs all its places at once, so it names hosts by the places that are free now: this many times as many as it needs,
 * within the maximum number of hosts. By the capacity of empty hosts, it would get half its places in a busy cell, and would call
 * again and again while its objective passes.
 */
const GANG_SPARE_FACTOR = 3
/** The same factor if a further call takes little time, or if calls wait for a machine that may make them. */
const LEAN_GANG_SPARE_FACTOR = 1.5
const MAX_GANG_HOSTS = 240
/** Calls for more hosts than this are split over several machines: naming 50 hosts takes half as long again as naming one. */
const MAX_HOSTS_PER_CALL = 50
/** The share of hosts that the service is assumed to allow before any answer for a queue is known. */
const INITIAL_SHARE = 0.3
const SHARE_WEIGHT = 0.1
/** The minimum share assumed for a queue whose steps are allowed on almost no host. */
const MIN_SHARE = 0.02

/** The share of the named hosts that the service allows, for each queue. */
export class AllowedShares {
  private readonly _shares = new Map<string, number>()

  public shareOf (queue: string): number {
    return this._shares.get(queue) ?? INITIAL_SHARE
  }

  public record (queue: string, asked: number, allowed: number): void {
    if (asked === 0) return
    const before = this.shareOf(queue)
    this._shares.set(queue, before + (allowed / asked - before) * SHARE_WEIGHT)
  }
}

/**
 * The hosts to name next for the step: those with the most room, as many as it needs with some to spare. Equal hosts are ordered
 * differently for each gang.
 *
 * @param isLean whether a gang names few hosts at once, since a further call costs less than many hosts
 */
export function chooseHostsToName (step: Step, hosts: Iterable<HostState>, share: number, isLean: boolean): readonly string[] {
  const candidates = findUnnamedHosts(step, hosts)
  const spareFactor = isLean ? LEAN_GANG_SPARE_FACTOR : GANG_SPARE_FACTOR
  const chosen = step.spec.gang ? chooseByFreePlaces(step, candidates, share, spareFactor) : chooseByCapacity(step, candidates, share)
  return chosen.map((host) => host.hostId)
}

/** Splits the hosts into calls. */
export function splitIntoCalls (step: Step, hostIds: readonly string[]): readonly (readonly string[])[] {
  if (!step.spec.gang || hostIds.length <= MAX_HOSTS_PER_CALL) return [hostIds]
  const calls = Math.ceil(hostIds.length / MAX_HOSTS_PER_CALL)
  const size = Math.ceil(hostIds.length / calls)
  return Array.from({ length: calls }, (_, number) => hostIds.slice(number * size, (number + 1) * size))
}

/** Hosts that could hold the step and that have not been named to the service for it. */
export function findUnnamedHosts (step: Step, hosts: Iterable<HostState>): HostState[] {
  const { spec, job, advice } = step
  const candidates: HostState[] = []
  for (const host of hosts) {
    if (host.entry.service !== job.queue.service || !host.isListed || host.entry.draining) continue
    if (host.couldHold(spec) && advice?.wasAsked(host.hostId) !== true) candidates.push(host)
  }
  return candidates
}

function chooseByCapacity ({ spec }: Step, candidates: HostState[], share: number): readonly HostState[] {
  const [first] = candidates
  if (first === undefined) return []
  const perHost = Math.max(1, first.capacityFor(spec))
  const wanted = Math.ceil(spec.count / perHost / Math.max(share, MIN_SHARE) * SPARE_FACTOR)
  const count = Math.min(MAX_HOSTS, Math.max(MIN_HOSTS, wanted))
  if (candidates.length > count) candidates.sort((a, b) => b.freeCpu - a.freeCpu)
  return candidates.slice(0, count)
}

function chooseByFreePlaces (step: Step, candidates: readonly HostState[], share: number, spareFactor: number): readonly HostState[] {
  const { spec, number, job } = step
  // Shuffled, because gangs that arrive together would otherwise all name the same hosts, and all but one would find the capacity
  // taken when the answer arrives.
  const shuffled = candidates.map((host) => ({ host, freePlaces: host.placesFor(spec), order: hash32(`${job.spec.jobId}.${number} ${host.hostId}`) }))
  const sorted = shuffled.sort((a, b) => b.freePlaces - a.freePlaces || a.order - b.order)
  const wanted = spec.count / Math.max(share, MIN_SHARE) * spareFactor
  const chosen: HostState[] = []
  let places = 0
  for (const { host, freePlaces } of sorted) {
    if (chosen.length >= MAX_GANG_HOSTS || (chosen.length >= MIN_HOSTS && places >= wanted)) break
    chosen.push(host)
    places += freePlaces
  }
  return chosen
}
