/**
 * Scenarios of requests on the slots of 30 runners: 240 slots, 1,200 requests a second at a mean of 200 ms.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { arrivalsOf, hostsOf, logNormal, merge, pick, profileOf } from './Arrivals.js'

import type { IRandom, IResources } from '../../src/common/Types.js'
import type { IStream } from './Arrivals.js'
import type { IArrival, IHostFault, IScenario } from './Types.js'

const RUNNERS = 30
const RUNNER: IResources = { cores: 8, memoryBytes: 0, accelerators: 0 }
const MEAN_RUN_MS = 200

/** Requests a second that fill the slots. */
const SATURATION_PER_SECOND = RUNNERS * RUNNER.cores * 1_000 / MEAN_RUN_MS

export const URGENT = profileOf({ name: 'urgent', priorityClass: 'urgent', deadlineMs: 2_000 })
export const NORMAL = profileOf({ name: 'normal', priorityClass: 'normal', deadlineMs: 10_000 })
export const PATIENT = profileOf({ name: 'patient', priorityClass: 'patient', deadlineMs: 3_600_000, floorShare: 0.2 })

function callers (count: number): (random: IRandom) => string {
  return (random) => `caller-${Math.floor(random.next() * count)}`
}

function runMs (random: IRandom): number {
  return logNormal(random, MEAN_RUN_MS, 0.8)
}

function stream (changes: Partial<IStream> & Pick<IStream, 'name' | 'profile' | 'perSecond'>): IStream {
  return { caller: callers(20), fromMs: 0, untilMs: 60_000, runMs, hasDeadline: true, ...changes }
}

/** `load` times saturation: a fifth urgent, two fifths normal, two fifths patient. */
function classes (load: number, random: IRandom, changes: Partial<IStream> = {}): readonly IArrival[] {
  const perSecond = load * SATURATION_PER_SECOND
  return merge(
    arrivalsOf(stream({ name: 'lookup', profile: URGENT, perSecond: 0.2 * perSecond, ...changes }), random),
    arrivalsOf(stream({ name: 'sweep', profile: NORMAL, perSecond: 0.4 * perSecond, ...changes }), random),
    arrivalsOf(stream({ name: 'budget', profile: PATIENT, perSecond: 0.4 * perSecond, ...changes }), random)
  )
}

function scenario (name: string, seed: number, arrivals: readonly IArrival[], changes: Partial<IScenario> = {}): IScenario {
  return {
    name,
    kind: 'slots',
    hosts: hostsOf(RUNNERS, RUNNER),
    arrivals,
    measuredFromMs: 5_000,
    untilMs: 60_000,
    starvedAfterMs: 60_000,
    seed,
    ...changes
  }
}

function saturation (seed: number): IScenario {
  return scenario('saturation-2x', seed, classes(2, new SeededRandom(seed)), { starvedAfterMs: 50_000 })
}

/** One caller has nine tenths of a demand of twice the capacity. */
export function skewed (seed: number, withLargeCaller: boolean): IScenario {
  const random = new SeededRandom(seed)
  const others = arrivalsOf(stream({ name: 'small', profile: NORMAL, perSecond: 0.2 * SATURATION_PER_SECOND, caller: callers(9) }), random)
  const large = arrivalsOf(stream({ name: 'large', profile: NORMAL, perSecond: 1.8 * SATURATION_PER_SECOND, caller: () => 'large' }), random)
  const name = withLargeCaller ? 'one-caller-90%' : 'one-caller-90%-others-alone'
  return scenario(name, seed, withLargeCaller ? merge(others, large) : others, { measuredFromMs: 0 })
}

function burst (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const rush = arrivalsOf(stream({ name: 'rush', profile: URGENT, perSecond: 4 * SATURATION_PER_SECOND, fromMs: 20_000, untilMs: 22_000 }), random)
  return scenario('burst', seed, merge(classes(0.7, random), rush))
}

function slowUpstream (seed: number): IScenario {
  const faults: readonly IHostFault[] = [{ hostId: 'host-3', fromMs: 10_000, untilMs: 40_000, kind: 'slow' }]
  return scenario('slow-upstream', seed, classes(0.8, new SeededRandom(seed)), { faults })
}

function failingUpstream (seed: number): IScenario {
  const faults: readonly IHostFault[] = [{ hostId: 'host-3', fromMs: 10_000, untilMs: 30_000, kind: 'failsAtOnce' }]
  return scenario('fails-at-once', seed, classes(0.8, new SeededRandom(seed)), { faults })
}

function shortAndLong (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const mixed = (r: IRandom): number => pick(r, [[20, 0.9], [2_000, 0.1]]) * (0.5 + r.next())
  return scenario('short-and-long', seed, classes(1.2 * MEAN_RUN_MS / 218, random, { runMs: mixed }))
}

function halfGone (seed: number): IScenario {
  const faults = hostsOf(RUNNERS / 2, RUNNER).map((host): IHostFault => ({ hostId: host.hostId, fromMs: 20_000, untilMs: 40_000, kind: 'gone' }))
  return scenario('half-the-hosts-gone', seed, classes(0.8, new SeededRandom(seed)), { faults })
}

/** Twice saturation with a deadline, and each refused request comes back once, when it was told to. */
function refusal (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const first = arrivalsOf(stream({ name: 'sweep', profile: NORMAL, perSecond: 2 * SATURATION_PER_SECOND, untilMs: 15_000 }), random)
  return scenario('refusal', seed, first, { followsRetryAfter: true, measuredFromMs: 1_000, untilMs: 60_000 })
}

/** 100,000 wait, half of them are cancelled at once. */
function cancelWave (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const patient = profileOf({ name: 'patient', priorityClass: 'patient', deadlineMs: 86_400_000 })
  const bulk = stream({ name: 'bulk', profile: patient, perSecond: 51_000, untilMs: 2_000, caller: callers(1_000) })
  const queued = arrivalsOf(bulk, random)
  const urgent = arrivalsOf(stream({ name: 'lookup', profile: URGENT, perSecond: 200, untilMs: 4_000 }), random)
  const cancelWave = { atMs: 2_500, share: 0.5 }
  return scenario('cancel-wave', seed, merge(queued, urgent), { cancelWave, measuredFromMs: 2_500, untilMs: 4_000 })
}

export const REQUEST_SCENARIOS: readonly ((seed: number) => IScenario)[] = [
  saturation,
  (seed) => skewed(seed, false),
  (seed) => skewed(seed, true),
  burst,
  slowUpstream,
  failingUpstream,
  shortAndLong,
  halfGone,
  refusal,
  cancelWave
]
