/**
 * Measures the decision engine: memory per host, running task and queued request, and processor time per start at growing numbers
 * of each.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { GIB, hostsOf, pickWeighted } from '../decisions/Arrivals.js'
import { LoadedEngine, taskItem } from '../decisions/LoadedEngine.js'
import { heapBytes, processorUsOf } from './Readings.js'
import { printSlope } from './Slope.js'

import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { IRandom, IResources, MonotonicMs } from '../../src/common/Types.js'

const WORKER: IResources = { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 }
const HOSTS = [7_250, 14_500, 29_000]
const RUNNING = [35_000, 70_000, 140_000]
const QUEUED = [10_000, 20_000, 40_000]
const ROUNDS = 20_000
const SEED = 5
const TEAMS = 95

type Points = Array<readonly [number, number]>

/** An engine that gets more hosts step by step. */
class GrowingEngine extends LoadedEngine {
  private _hostCount = 0

  public constructor () {
    const random = new SeededRandom(SEED)
    super(random, (number, isLarge, nowMs) => createItem(number, isLarge, nowMs, random))
  }

  public growHosts (hosts: readonly IEngineHost[]): void {
    this.addHosts(hosts.slice(this._hostCount))
    this._hostCount = hosts.length
  }

  public runRounds (count: number): void {
    for (let done = 0; done < count; done++) this.runRound(false)
  }
}

function createItem (number: number, isLarge: boolean, nowMs: MonotonicMs, random: IRandom): IWorkItem {
  const cores = isLarge ? WORKER.cores : pickWeighted(random, [[8, 2], [12, 1], [16, 1]])
  return taskItem(number, cores, TEAMS, nowMs)
}

async function measureMemory (): Promise<void> {
  const hosts = hostsOf(HOSTS.at(-1) ?? 0, WORKER)
  const engine = new GrowingEngine()
  const measureSteps = (sizes: readonly number[], grow: (size: number) => void): Points => sizes.map((size) => {
    grow(size)
    return [size, heapBytes()]
  })
  printSlope({ slope: 'engine: memory per host', unit: 'bytes', points: measureSteps(HOSTS, (size) => engine.growHosts(hosts.slice(0, size))) })
  printSlope({ slope: 'engine: memory per running task', unit: 'bytes', points: measureSteps(RUNNING, (size) => engine.fillHosts(size)) })
  let queued = 0
  const queue = (size: number): void => {
    engine.addQueued(size - queued)
    queued = size
  }
  printSlope({ slope: 'engine: memory per queued request', unit: 'bytes', points: measureSteps(QUEUED, queue) })
}

async function measureTime (): Promise<void> {
  const perHosts: Points = []
  for (const size of HOSTS) {
    const engine = new GrowingEngine()
    engine.growHosts(hostsOf(size, WORKER))
    engine.fillHosts(size * 4)
    engine.runRounds(ROUNDS)
    perHosts.push([size, await processorUsOf(() => { engine.runRounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by hosts', unit: 'us', points: perHosts })
  const engine = new GrowingEngine()
  engine.growHosts(hostsOf(HOSTS.at(-1) ?? 0, WORKER))
  const perTasks: Points = []
  for (const size of RUNNING) {
    engine.fillHosts(size * 0.8)
    engine.runRounds(ROUNDS)
    perTasks.push([size * 0.8, await processorUsOf(() => { engine.runRounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by running tasks', unit: 'us', points: perTasks })
  const perQueued: Points = []
  let queued = 0
  for (const size of QUEUED) {
    engine.addQueued(size - queued)
    queued = size
    perQueued.push([size, await processorUsOf(() => { engine.runRounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by queued requests', unit: 'us', points: perQueued })
}

export async function measureEngine (): Promise<void> {
  await measureMemory()
  await measureTime()
}
