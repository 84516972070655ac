/**
 * The decision engine: memory per host, running task and queued request, and processor time per start at growing numbers of each.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { GIB, hostsOf, pick, profileOf } from '../decisions/Arrivals.js'
import { VirtualClock } from '../decisions/VirtualRun.js'
import { heapBytes, processorUsOf } from './Readings.js'
import { printSlope } from './Slope.js'

import type { IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { IResources } from '../../src/common/Types.js'

const WORKER: IResources = { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 }
const HOSTS = [7_250, 14_500, 29_000]
const RUNNING = [35_000, 70_000, 140_000]
const QUEUED = [10_000, 20_000, 40_000]
const ROUNDS = 20_000
const SEED = 5
const PROFILES = [
  profileOf({ name: 'urgent', priorityClass: 'urgent' }),
  profileOf({ name: 'normal' }),
  profileOf({ name: 'patient', priorityClass: 'patient', floorShare: 0.1 })
]

type Points = Array<readonly [number, number]>

/** One engine that is filled step by step. */
class GrowingEngine {
  private readonly _clock = new VirtualClock()
  private readonly _random = new SeededRandom(SEED)
  private readonly _engine = new DecisionEngine(this._clock, this._random, { kind: 'resources' })
  private readonly _running: string[] = []
  private _hosts = 0
  private _items = 0

  public growHosts (hosts: readonly IEngineHost[]): void {
    for (; this._hosts < hosts.length; this._hosts++) this._engine.putHost(hosts[this._hosts] as IEngineHost)
  }

  public growRunning (count: number): void {
    while (this._running.length < count) {
      this._engine.admit(this._item(false))
      if (this._decide() === 0) return
    }
  }

  public queue (count: number): void {
    for (let added = 0; added < count; added++) this._engine.admit(this._item(true))
    this._decide()
  }

  /** A task ends, another one comes and is placed. */
  public rounds (count: number): void {
    for (let done = 0; done < count; done++) {
      this._clock.atMs += 0.1
      const at = Math.floor(this._random.next() * this._running.length)
      const ended = this._running[at]
      const last = this._running.pop()
      if (ended === undefined || last === undefined) return
      if (ended !== last) this._running[at] = last
      this._engine.finished(ended, 'succeeded', 20_000)
      this._engine.admit(this._item(false))
      this._decide()
    }
  }

  private _decide (): number {
    let placed = 0
    for (let decision = this._engine.next(); decision !== undefined; decision = this._engine.next()) {
      if (decision.type !== 'place') continue
      this._running.push(decision.item.id)
      placed += 1
    }
    return placed
  }

  private _item (isLarge: boolean): IWorkItem {
    this._items += 1
    const cores = isLarge ? WORKER.cores : pick(this._random, [[8, 2], [12, 1], [16, 1]])
    return {
      id: `item-${this._items}`,
      caller: `caller-${this._items % 100}`,
      service: `service-${this._items % 1_000}`,
      team: `team-${this._items % 95}`,
      profile: PROFILES[this._items % PROFILES.length] ?? profileOf({}),
      resources: { cores, memoryBytes: cores * GIB, accelerators: 0 },
      arrivedAtMs: this._clock.atMs,
      deadlineAtMs: Infinity,
      declaredRunMs: 20_000,
      idempotent: true
    }
  }
}

async function measureMemory (): Promise<void> {
  const hosts = hostsOf(HOSTS.at(-1) ?? 0, WORKER)
  const engine = new GrowingEngine()
  const step = (sizes: readonly number[], grow: (size: number) => void): Points => sizes.map((size) => {
    grow(size)
    return [size, heapBytes()]
  })
  printSlope({ slope: 'engine: memory per host', unit: 'bytes', points: step(HOSTS, (size) => engine.growHosts(hosts.slice(0, size))) })
  printSlope({ slope: 'engine: memory per running task', unit: 'bytes', points: step(RUNNING, (size) => engine.growRunning(size)) })
  let queued = 0
  const queue = (size: number): void => {
    engine.queue(size - queued)
    queued = size
  }
  printSlope({ slope: 'engine: memory per queued request', unit: 'bytes', points: step(QUEUED, queue) })
}

async function measureTime (): Promise<void> {
  const perHosts: Points = []
  for (const size of HOSTS) {
    const engine = new GrowingEngine()
    engine.growHosts(hostsOf(size, WORKER))
    engine.growRunning(size * 4)
    engine.rounds(ROUNDS)
    perHosts.push([size, await processorUsOf(() => { engine.rounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by hosts', unit: 'us', points: perHosts })
  const engine = new GrowingEngine()
  engine.growHosts(hostsOf(HOSTS.at(-1) ?? 0, WORKER))
  const perTasks: Points = []
  for (const size of RUNNING) {
    engine.growRunning(size * 0.8)
    engine.rounds(ROUNDS)
    perTasks.push([size * 0.8, await processorUsOf(() => { engine.rounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by running tasks', unit: 'us', points: perTasks })
  const perQueued: Points = []
  let queued = 0
  for (const size of QUEUED) {
    engine.queue(size - queued)
    queued = size
    perQueued.push([size, await processorUsOf(() => { engine.rounds(ROUNDS) }) / ROUNDS])
  }
  printSlope({ slope: 'engine: time per start and end, by queued requests', unit: 'us', points: perQueued })
}

export async function measureEngine (): Promise<void> {
  await measureMemory()
  await measureTime()
}
