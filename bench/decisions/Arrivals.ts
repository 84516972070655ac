/**
 * Generates work as it arrives in real clusters: Poisson arrivals, log-normal run times, sizes with a long tail.
 */

import type { IProfile } from '../../src/common/config/Types.js'
import type { IEngineHost } from '../../src/common/policy/Types.js'
import type { IRandom, IResources } from '../../src/common/Types.js'
import type { IArrival, IActualWork } from './Types.js'

export const GIB = 2 ** 30

export const SLOT: IResources = { cores: 1, memoryBytes: 0, accelerators: 0 }

const PROFILE: IProfile = {
  name: 'normal',
  priorityClass: 'normal',
  deadlineMs: 60_000,
  floorShare: 0,
  weight: 1,
  maxRunning: 1_000_000,
  allAtOnce: false,
  spread: 'none',
  crossRegion: 'never',
  crossRegionGainMs: 0,
  maxRetries: 2,
  preemptible: false,
  idempotentDefault: true
}

export function profileOf (changes: Partial<IProfile>): IProfile {
  return { ...PROFILE, ...changes }
}

/** Creates hosts in three regions with eight hosts per rack, as at today's size. */
export function hostsOf (count: number, capacity: IResources): readonly IEngineHost[] {
  return Array.from({ length: count }, (_, i) => ({
    hostId: `host-${i}`,
    shardId: `rack-${Math.floor(i / 8)}`,
    region: `region-${i % 3}`,
    failureDomain: `domain-${Math.floor(i / 8) % 4}`,
    capacity,
    accepting: true
  }))
}

export function exponential (random: IRandom, mean: number): number {
  return -mean * Math.log(1 - random.next())
}

/** Draws a log-normal value with this mean. A `sigma` of 1 gives a p99 of about six times the mean. */
export function logNormal (random: IRandom, mean: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()))
  const normal = radius * Math.cos(2 * Math.PI * random.next())
  return mean * Math.exp(sigma * normal - sigma * sigma / 2)
}

/** Draws one of `values` with a probability in proportion to its weight. */
export function pickWeighted<T> (random: IRandom, values: readonly (readonly [T, number])[]): T {
  const total = values.reduce((sum, [, weight]) => sum + weight, 0)
  let remaining = random.next() * total
  for (const [value, weight] of values) {
    remaining -= weight
    if (remaining < 0) return value
  }
  return (values[values.length - 1] as readonly [T, number])[0]
}

export interface IStream {
  readonly name: string
  readonly profile: IProfile
  readonly caller: (random: IRandom) => string
  readonly perSecond: number
  readonly fromMs: number
  readonly untilMs: number
  readonly runMs: (random: IRandom) => number
  readonly resources?: (random: IRandom) => IResources
  /** Derives the declared run time from the true one; absent if they are equal. */
  readonly declaredRunMs?: (runMs: number, random: IRandom) => number
  readonly usage?: (declared: IResources, random: IRandom) => IResources
  /** The number of tasks of each arrival, for all-at-once jobs. */
  readonly groupSize?: (random: IRandom) => number
  /** Requests have a deadline, tasks have none. */
  readonly hasDeadline: boolean
  readonly team?: string
}

export function arrivalsOf (stream: IStream, random: IRandom): readonly IArrival[] {
  const arrivals: IArrival[] = []
  let atMs = stream.fromMs
  for (;;) {
    atMs += exponential(random, 1_000 / stream.perSecond)
    if (atMs >= stream.untilMs) return arrivals
    arrivals.push(arrivalOf(stream, random, atMs, arrivals.length))
  }
}

export function mergeArrivals (...streams: readonly (readonly IArrival[])[]): readonly IArrival[] {
  return streams.flat().sort((a, b) => a.atMs - b.atMs)
}

function arrivalOf (stream: IStream, random: IRandom, atMs: number, index: number): IArrival {
  const id = `${stream.name}-${index}`
  const caller = stream.caller(random)
  if (stream.groupSize === undefined) return { atMs, work: [workOf(stream, random, atMs, id, caller)] }
  const size = stream.groupSize(random)
  const first = workOf(stream, random, atMs, `${id}.0`, caller)
  const work = [first]
  for (let i = 1; i < size; i++) work.push({ ...first, item: { ...first.item, id: `${id}.${i}` } })
  return { atMs, work, groupId: id }
}

function workOf (stream: IStream, random: IRandom, atMs: number, id: string, caller: string): IActualWork {
  const runMs = Math.max(1, stream.runMs(random))
  const resources = stream.resources?.(random) ?? SLOT
  const item = {
    id,
    caller,
    service: stream.name,
    team: stream.team ?? 'team',
    profile: stream.profile,
    resources,
    arrivedAtMs: atMs,
    deadlineAtMs: stream.hasDeadline ? atMs + stream.profile.deadlineMs : Infinity,
    declaredRunMs: stream.declaredRunMs?.(runMs, random) ?? runMs,
    idempotent: true
  }
  return stream.usage === undefined ? { item, runMs } : { item, runMs, usage: stream.usage(resources, random) }
}
