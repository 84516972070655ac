/**
 * How fast decisions are and what they cost in memory, in real time: a steady state of tasks that end and arrive.
 */

import { build } from 'hdr-histogram-js'

import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { SeededRandom } from '../../src/common/Random.js'
import { GIB, hostsOf, pick, profileOf } from './Arrivals.js'
import { round } from './Outcomes.js'
import { VirtualClock } from './VirtualRun.js'

import type { IRandom, IResources } from '../../src/common/Types.js'
import type { IWorkItem } from '../../src/common/policy/Types.js'

const MICROSECONDS = 1_000
const WORKER: IResources = { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 }
const PROFILES = [
  profileOf({ name: 'urgent', priorityClass: 'urgent' }),
  profileOf({ name: 'normal' }),
  profileOf({ name: 'patient', priorityClass: 'patient', floorShare: 0.1 })
]

interface ISize {
  readonly hosts: number
  readonly running: number
  readonly queued: number
}

const SIZES: readonly ISize[] = [
  { hosts: 30, running: 240, queued: 0 },
  { hosts: 30, running: 240, queued: 10_000 },
  { hosts: 1_000, running: 5_000, queued: 0 },
  { hosts: 10_000, running: 48_000, queued: 0 },
  { hosts: 29_000, running: 140_000, queued: 0 },
  { hosts: 29_000, running: 140_000, queued: 50_000 },
  { hosts: 29_000, running: 140_000, queued: 100_000 }
]

const WARM_UP_ROUNDS = 20_000
const MEASURED_ROUNDS = 100_000

export function measureSpeed (seed: number): void {
  for (const size of SIZES) console.log(JSON.stringify(new SpeedRun(size, seed).run()))
}

class SpeedRun {
  private readonly _clock = new VirtualClock()
  private readonly _random: IRandom
  private readonly _engine: DecisionEngine
  private readonly _running: string[] = []
  private _count = 0

  public constructor (private readonly _size: ISize, seed: number) {
    this._random = new SeededRandom(seed)
    this._engine = new DecisionEngine(this._clock, this._random, { kind: 'resources' })
  }

  public run (): Readonly<Record<string, unknown>> {
    const emptyBytes = heapBytes()
    for (const host of hostsOf(this._size.hosts, WORKER)) this._engine.putHost(host)
    const hostsBytes = heapBytes()
    this._fill(this._size.running)
    const runningBytes = heapBytes()
    this._queue(this._size.queued)
    const queuedBytes = heapBytes()
    for (let i = 0; i < WARM_UP_ROUNDS; i++) this._round()
    const times = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 })
    let placed = 0
    const startedMs = performance.now()
    for (let i = 0; i < MEASURED_ROUNDS; i++) {
      const roundStartedMs = performance.now()
      placed += this._round()
      times.recordValue(Math.round((performance.now() - roundStartedMs) * MICROSECONDS))
    }
    const tookMs = performance.now() - startedMs
    return {
      scenario: 'speed',
      policy: 'ours',
      ...this._size,
      decisionsPerSecond: Math.round(placed / tookMs * 1_000),
      roundP99Ms: times.getValueAtPercentile(99) / MICROSECONDS,
      roundWorstMs: times.maxValue / MICROSECONDS,
      bytesPerHost: perUnit(hostsBytes - emptyBytes, this._size.hosts),
      bytesPerRunning: perUnit(runningBytes - hostsBytes, this._size.running),
      bytesPerQueued: perUnit(queuedBytes - runningBytes, this._size.queued),
      heapMegabytes: round(heapBytes() / 2 ** 20, 1)
    }
  }

  /** One task ends, one arrives, and all decisions that follow are taken. */
  private _round (): number {
    this._clock.atMs += 0.1
    const index = Math.floor(this._random.next() * this._running.length)
    const itemId = this._running[index]
    const last = this._running.pop()
    if (itemId !== undefined && last !== undefined && last !== itemId) this._running[index] = last
    if (itemId !== undefined) this._engine.finished(itemId, 'succeeded', 20_000)
    this._engine.admit(this._item(this._size.queued > 0))
    return this._decide()
  }

  private _fill (count: number): void {
    while (this._running.length < count) {
      this._engine.admit(this._item(false))
      if (this._decide() === 0) return
    }
  }

  /** Large items stay in the queue, since the hosts are filled first. */
  private _queue (count: number): void {
    for (let i = 0; i < count; i++) {
      this._engine.admit(this._item(true))
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
    this._count += 1
    const cores = isLarge ? pick(this._random, [[16, 1], [32, 1], [64, 1]]) : pick(this._random, [[8, 2], [12, 1], [16, 1]])
    return {
      id: `item-${this._count}`,
      caller: `caller-${this._count % 100}`,
      service: `service-${this._count % 1_000}`,
      team: `team-${this._count % 10}`,
      profile: PROFILES[this._count % PROFILES.length] ?? profileOf({}),
      resources: { cores, memoryBytes: cores * GIB, accelerators: 0 },
      arrivedAtMs: this._clock.atMs,
      deadlineAtMs: Infinity,
      declaredRunMs: 20_000,
      idempotent: true
    }
  }
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function perUnit (bytes: number, units: number): number {
  return units === 0 ? 0 : Math.round(bytes / units)
}

const QUEUED = 100_000

/**
 * Half of 100,000 queued items are cancelled at once, in the order in which they came; between the cancellations a placement
 * is made now and then, and its time is what a caller notices.
 */
export function measureCancelWave (seed: number): void {
  const clock = new VirtualClock()
  const random = new SeededRandom(seed)
  const engine = new DecisionEngine(clock, random, { kind: 'slots' })
  for (const host of hostsOf(30, { cores: 8, memoryBytes: 0, accelerators: 0 })) engine.putHost(host)
  const running: string[] = []
  for (let i = 0; i < QUEUED + 240; i++) admitSlot(engine, clock, i)
  place(engine, running)
  let worstPauseMs = 0
  const startedMs = performance.now()
  for (let i = 0; i < QUEUED / 2; i++) {
    engine.cancel(`item-${i + 240}`)
    if (i % 100 !== 0) continue
    const pauseStartedMs = performance.now()
    engine.finished(running.shift() ?? '', 'succeeded', 100)
    place(engine, running)
    worstPauseMs = Math.max(worstPauseMs, performance.now() - pauseStartedMs)
  }
  const tookMs = performance.now() - startedMs
  console.log(JSON.stringify({
    scenario: 'cancel-wave-real-time',
    policy: 'ours',
    queued: QUEUED,
    cancelled: QUEUED / 2,
    allMs: round(tookMs, 1),
    microsecondsEach: round(tookMs * MICROSECONDS / (QUEUED / 2), 2),
    worstPlacingPauseMs: round(worstPauseMs, 3)
  }))
}

function admitSlot (engine: DecisionEngine, clock: VirtualClock, i: number): void {
  engine.admit({
    id: `item-${i}`,
    caller: `caller-${i % 1_000}`,
    service: 'bulk',
    team: 'team',
    profile: profileOf({ name: 'patient', priorityClass: 'patient' }),
    resources: { cores: 1, memoryBytes: 0, accelerators: 0 },
    arrivedAtMs: clock.atMs,
    deadlineAtMs: Infinity,
    idempotent: true
  })
}

function place (engine: DecisionEngine, running: string[]): void {
  for (let decision = engine.next(); decision !== undefined; decision = engine.next()) {
    if (decision.type === 'place') running.push(decision.item.id)
  }
}
