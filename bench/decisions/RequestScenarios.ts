/**
 * Scenarios of requests on the slots of 30 runners. The 240 slots serve 1,200 requests a second at a mean run time of 200 ms.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { arrivalsOf, hostsOf, logNormal, mergeArrivals, pickWeighted, profileOf } from './Arrivals.js'

import type { IRandom, IResources } from '../../src/common/Types.js'
import type { IStream } from './Arrivals.js'
import type { IArrival, IHostFault, IScenario } from './Types.js'

const RUNNERS = 30
const RUNNER: IResources = { cores: 8, memoryBytes: 0, accelerators: 0 }
const MEAN_RUN_MS = 200

/** The requests a second that fill the slots. */
const SATURATION_PER_SECOND = RUNNERS * RUNNER.cores * 1_000 / MEAN_RUN_MS

export const URGENT = profileOf({ name: 'urgent', priorityClass: 'urgent', deadlineMs: 2_000 })
export const NORMAL = profileOf({ name: 'normal', priorityClass: 'normal', deadlineMs: 10_000 })
export const PATIENT = profileOf({ name: 'patient', priorityClass: 'patient', deadlineMs: 3_600_000, floorShare: 0.2 })

function drawCaller (count: number): (random: IRandom) => string {
  return (random) => `caller-${Math.floor(random.next() * count)}`
}

function drawRunMs (random: IRandom): number {
  return logNormal(random, MEAN_RUN_MS, 0.8)
}

function createStream (changes: Partial<IStream> & Pick<IStream, 'name' | 'profile' | 'perSecond'>): IStream {
  return { caller: drawCaller(20), fromMs: 0, untilMs: 60_000, runMs: drawRunMs, hasDeadline: true, ...changes }
}

/** Arrivals at `load` times saturation: a fifth urgent, two fifths normal, two fifths patient. */
function mixedClasses (load: number, random: IRandom, changes: Partial<IStream> = {}): readonly IArrival[] {
  const perSecond = load * SATURATION_PER_SECOND
  return mergeArrivals(
    arrivalsOf(createStream({ name: 'lookup', profile: URGENT, perSecond: 0.2 * perSecond, ...changes }), random),
    arrivalsOf(createStream({ name: 'sweep', profile: NORMAL, perSecond: 0.4 * perSecond, ...changes }), random),
    arrivalsOf(createStream({ name: 'budget', profile: PATIENT, perSecond: 0.4 * perSecond, ...changes }), random)
  )
}

function createScenario (name: string, seed: number, arrivals: readonly IArrival[], changes: Partial<IScenario> = {}): IScenario {
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
  return createScenario('saturation-2x', seed, mixedClasses(2, new SeededRandom(seed)), { starvedAfterMs: 50_000 })
}

/** The demand is twice the capacity, and nine tenths of it come from one caller. */
export function skewedCallers (seed: number, withLargeCaller: boolean): IScenario {
  const random = new SeededRandom(seed)
  const others = arrivalsOf(createStream({ name: 'small', profile: NORMAL, perSecond: 0.2 * SATURATION_PER_SECOND, caller: drawCaller(9) }), random)
  const large = arrivalsOf(createStream({ name: 'large', profile: NORMAL, perSecond: 1.8 * SATURATION_PER_SECOND, caller: () => 'large' }), random)
  const name = withLargeCaller ? 'one-caller-90%' : 'one-caller-90%-others-alone'
  return createScenario(name, seed, withLargeCaller ? mergeArrivals(others, large) : others, { measuredFromMs: 0 })
}

function burst (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const rush = arrivalsOf(createStream({ name: 'rush', profile: URGENT, perSecond: 4 * SATURATION_PER_SECOND, fromMs: 20_000, untilMs: 22_000 }), random)
  return createScenario('burst', seed, mergeArrivals(mixedClasses(0.7, random), rush))
}

function slowUpstream (seed: number): IScenario {
  const faults: readonly IHostFault[] = [{ hostId: 'host-3', fromMs: 10_000, untilMs: 40_000, kind: 'slow' }]
  return createScenario('slow-upstream', seed, mixedClasses(0.8, new SeededRandom(seed)), { faults })
}

function failingUpstream (seed: number): IScenario {
  const faults: readonly IHostFault[] = [{ hostId: 'host-3', fromMs: 10_000, untilMs: 30_000, kind: 'failsAtOnce' }]
  return createScenario('fails-at-once', seed, mixedClasses(0.8, new SeededRandom(seed)), { faults })
}

function shortAndLong (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const drawMixedRunMs = (r: IRandom): number => pickWeighted(r, [[20, 0.9], [2_000, 0.1]]) * (0.5 + r.next())
  return createScenario('short-and-long', seed, mixedClasses(1.2 * MEAN_RUN_MS / 218, random, { runMs: drawMixedRunMs }))
}

function halfTheHostsGone (seed: number): IScenario {
  const faults = hostsOf(RUNNERS / 2, RUNNER).map((host): IHostFault => ({ hostId: host.hostId, fromMs: 20_000, untilMs: 40_000, kind: 'gone' }))
  return createScenario('half-the-hosts-gone', seed, mixedClasses(0.8, new SeededRandom(seed)), { faults })
}

/** Twice saturation with a deadline. Each refused request returns once, after the delay that the refusal gave. */
function refusal (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const first = arrivalsOf(createStream({ name: 'sweep', profile: NORMAL, perSecond: 2 * SATURATION_PER_SECOND, untilMs: 15_000 }), random)
  return createScenario('refusal', seed, first, { followsRetryAfter: true, measuredFromMs: 1_000, untilMs: 60_000 })
}

/** 100,000 requests wait, and half of them are cancelled at once. */
function cancelWave (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const patient = profileOf({ name: 'patient', priorityClass: 'patient', deadlineMs: 86_400_000 })
  const bulk = createStream({ name: 'bulk', profile: patient, perSecond: 51_000, untilMs: 2_000, caller: drawCaller(1_000) })
  const queued = arrivalsOf(bulk, random)
  const urgent = arrivalsOf(createStream({ name: 'lookup', profile: URGENT, perSecond: 200, untilMs: 4_000 }), random)
  const cancelWave = { atMs: 2_500, share: 0.5 }
  return createScenario('cancel-wave', seed, mergeArrivals(queued, urgent), { cancelWave, measuredFromMs: 2_500, untilMs: 4_000 })
}

export const REQUEST_SCENARIOS: readonly ((seed: number) => IScenario)[] = [
  saturation,
  (seed) => skewedCallers(seed, false),
  (seed) => skewedCallers(seed, true),
  burst,
  slowUpstream,
  failingUpstream,
  shortAndLong,
  halfTheHostsGone,
  refusal,
  cancelWave
]
