/**
 * Scenarios of tasks on 30 workers of 64 cores and 128 GiB.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { arrivalsOf, GIB, hostsOf, logNormal, mergeArrivals, pickWeighted, profileOf } from './Arrivals.js'

import type { IRandom, IResources } from '../../src/common/Types.js'
import type { IStream } from './Arrivals.js'
import type { IArrival, IScenario } from './Types.js'

const WORKERS = 30
const WORKER: IResources = { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 }
const TOTAL_CORES = WORKERS * WORKER.cores

const BATCH = profileOf({ name: 'batch', priorityClass: 'patient' })
const SERVICE = profileOf({ name: 'service', priorityClass: 'normal', floorShare: 0.1 })
const WHOLE = profileOf({ name: 'whole', priorityClass: 'normal', allAtOnce: true, weight: 1 })
const STOPS = profileOf({ name: 'stops', priorityClass: 'urgent', deadlineMs: 10_000 })
const FILLER = profileOf({ name: 'filler', priorityClass: 'patient', preemptible: true, floorShare: 0.1 })

/** Most tasks are small; the mean is near 2.9 cores. Memory is from 1 to 2.8 GiB per core. */
function drawMixedSize (random: IRandom): IResources {
  const cores = pickWeighted(random, [[0.5, 30], [1, 25], [2, 18], [4, 14], [8, 9], [16, 3], [32, 1]])
  return { cores, memoryBytes: Math.round(cores * (1 + 1.8 * random.next()) * GIB), accelerators: 0 }
}

const MEAN_CORES = (0.5 * 30 + 25 + 2 * 18 + 4 * 14 + 8 * 9 + 16 * 3 + 32) / 100

/** The tasks a second that use a share `load` of all cores, at this mean size and run time. */
function tasksPerSecond (load: number, cores: number, runMs: number): number {
  return load * TOTAL_CORES / cores / (runMs / 1_000)
}

function createStream (changes: Partial<IStream> & Pick<IStream, 'name' | 'profile' | 'perSecond'>): IStream {
  return {
    caller: (random) => `caller-${Math.floor(random.next() * 10)}`,
    fromMs: 0,
    untilMs: 300_000,
    runMs: (random) => logNormal(random, 20_000, 1),
    resources: drawMixedSize,
    hasDeadline: false,
    ...changes
  }
}

function createScenario (name: string, seed: number, arrivals: readonly IArrival[], changes: Partial<IScenario> = {}): IScenario {
  return {
    name,
    kind: 'resources',
    hosts: hostsOf(WORKERS, WORKER),
    arrivals,
    measuredFromMs: 60_000,
    untilMs: 300_000,
    starvedAfterMs: 200_000,
    seed,
    ...changes
  }
}

function mixedStream (load: number): IStream {
  return createStream({ name: 'mixed', profile: BATCH, perSecond: tasksPerSecond(load, MEAN_CORES, 20_000) })
}

function mixedSizes (seed: number): IScenario {
  return createScenario('mixed-sizes', seed, arrivalsOf(mixedStream(1.4), new SeededRandom(seed)))
}

/** Jobs of 8 to 96 tasks of 8 cores, which use up to two fifths of all cores. The mean is near 35 tasks. */
function groupStream (load: number, untilMs = 300_000): IStream {
  return createStream({
    name: 'whole',
    profile: WHOLE,
    perSecond: tasksPerSecond(load, 35.4 * 8, 20_000),
    untilMs,
    resources: () => ({ cores: 8, memoryBytes: 12 * GIB, accelerators: 0 }),
    groupSize: (random) => Math.floor(8 * 12 ** random.next())
  })
}

function mixedWithGroups (seed: number): IScenario {
  const random = new SeededRandom(seed)
  return createScenario('mixed-sizes-with-jobs', seed, mergeArrivals(arrivalsOf(mixedStream(1.1), random), arrivalsOf(groupStream(0.3), random)))
}

/** Jobs that need from a third to two thirds of all cores and fill half of the cores. */
function mixedWithLargeJobs (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const large: IStream = {
    ...groupStream(0.5),
    perSecond: tasksPerSecond(0.5, 120 * 8, 20_000),
    groupSize: (r) => 80 + Math.floor(81 * r.next())
  }
  return createScenario('mixed-sizes-with-large-jobs', seed, mergeArrivals(arrivalsOf(mixedStream(1.1), random), arrivalsOf(large, random)))
}

/** Every 30 s a job that needs half of the cores, among small tasks that fill the hosts by themselves. */
function groupsAmongSmall (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const small = createStream({
    name: 'small',
    profile: SERVICE,
    perSecond: tasksPerSecond(1.1, 1, 3_000),
    runMs: (r) => logNormal(r, 3_000, 0.7),
    resources: () => ({ cores: 1, memoryBytes: 2 * GIB, accelerators: 0 })
  })
  const large = createStream({
    name: 'whole',
    profile: WHOLE,
    perSecond: 1 / 30,
    untilMs: 250_000,
    runMs: (r) => logNormal(r, 5_000, 0.3),
    resources: () => ({ cores: 32, memoryBytes: 60 * GIB, accelerators: 0 }),
    groupSize: () => WORKERS
  })
  return createScenario('jobs-among-small-tasks', seed, mergeArrivals(arrivalsOf(small, random), arrivalsOf(large, random)))
}

/** Declared run times and sizes are wrong by a factor of up to ten in either direction. By true use, the cores are overcommitted. */
function wrongSizes (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const drawError = (r: IRandom): number => 10 ** (2 * r.next() - 1)
  const wronglyDeclared: IStream = {
    ...mixedStream(0.55),
    declaredRunMs: (runMs, r) => runMs * drawError(r),
    usage: (declared, r) => {
      const factor = Math.min(drawError(r), WORKER.cores / declared.cores / 2)
      return { cores: declared.cores * factor, memoryBytes: declared.memoryBytes * Math.min(factor, 1.5), accelerators: 0 }
    }
  }
  return createScenario('sizes-off-by-10', seed, arrivalsOf(wronglyDeclared, random))
}

function impossibleTasks (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const never = createStream({ name: 'never', profile: BATCH, perSecond: 5, resources: () => ({ cores: 65, memoryBytes: GIB, accelerators: 0 }) })
  return createScenario('can-never-run', seed, mergeArrivals(arrivalsOf(mixedStream(0.8), random), arrivalsOf(never, random)))
}

/** The hosts are full of preemptible tasks that run for minutes when urgent tasks arrive. */
function urgentAmongLong (seed: number): IScenario {
  const random = new SeededRandom(seed)
  const filler = createStream({ name: 'filler', profile: FILLER, perSecond: tasksPerSecond(1.5, MEAN_CORES, 120_000), runMs: (r) => logNormal(r, 120_000, 0.5) })
  const urgent = createStream({
    name: 'stops',
    profile: STOPS,
    perSecond: tasksPerSecond(0.1, 2, 1_000),
    runMs: (r) => logNormal(r, 1_000, 0.5),
    resources: () => ({ cores: 2, memoryBytes: 2 * GIB, accelerators: 0 }),
    hasDeadline: true
  })
  return createScenario('urgent-among-long', seed, mergeArrivals(arrivalsOf(filler, random), arrivalsOf(urgent, random)))
}

export const TASK_SCENARIOS: readonly ((seed: number) => IScenario)[] = [
  mixedSizes, mixedWithGroups, mixedWithLargeJobs, groupsAmongSmall, wrongSizes, impossibleTasks, urgentAmongLong
]
