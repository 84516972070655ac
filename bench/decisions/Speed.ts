/**
 * Measures the speed and the memory of decisions in real time, in a steady state in which tasks end and arrive.
 */

import { build } from 'hdr-histogram-js'

import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { SeededRandom } from '../../src/common/Random.js'
import { GIB, hostsOf, pickWeighted, profileOf } from './Arrivals.js'
import { LoadedEngine, taskItem } from './LoadedEngine.js'
import { round } from './Outcomes.js'
import { VirtualClock } from './VirtualRun.js'

import type { IRandom, IResources, MonotonicMs } from '../../src/common/Types.js'
import type { IWorkItem } from '../../src/common/policy/Types.js'

const US_PER_MS = 1_000
const WORKER: IResources = { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 }
const TEAMS = 10

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
  private readonly _engine: LoadedEngine

  public constructor (private readonly _size: ISize, seed: number) {
    const random = new SeededRandom(seed)
    this._engine = new LoadedEngine(random, (number, isLarge, nowMs) => createItem(number, isLarge, nowMs, random))
  }

  public run (): Readonly<Record<string, unknown>> {
    const emptyBytes = heapBytes()
    this._engine.addHosts(hostsOf(this._size.hosts, WORKER))
    const hostsBytes = heapBytes()
    this._engine.fillHosts(this._size.running)
    const runningBytes = heapBytes()
    this._engine.addQueued(this._size.queued)
    const queuedBytes = heapBytes()
    const isQueued = this._size.queued > 0
    for (let i = 0; i < WARM_UP_ROUNDS; i++) this._engine.runRound(isQueued)
    const roundUs = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1e9, numberOfSignificantValueDigits: 3 })
    let placed = 0
    const startedMs = performance.now()
    for (let i = 0; i < MEASURED_ROUNDS; i++) {
      const roundStartedMs = performance.now()
      placed += this._engine.runRound(isQueued)
      roundUs.recordValue(Math.round((performance.now() - roundStartedMs) * US_PER_MS))
    }
    const tookMs = performance.now() - startedMs
    return {
      scenario: 'speed',
      policy: 'ours',
      ...this._size,
      decisionsPerSecond: Math.round(placed / tookMs * 1_000),
      roundP99Ms: roundUs.getValueAtPercentile(99) / US_PER_MS,
      roundWorstMs: roundUs.maxValue / US_PER_MS,
      bytesPerHost: perUnit(hostsBytes - emptyBytes, this._size.hosts),
      bytesPerRunning: perUnit(runningBytes - hostsBytes, this._size.running),
      bytesPerQueued: perUnit(queuedBytes - runningBytes, this._size.queued),
      heapMegabytes: round(heapBytes() / 2 ** 20, 1)
    }
  }
}

function createItem (number: number, isLarge: boolean, nowMs: MonotonicMs, random: IRandom): IWorkItem {
  const cores = isLarge ? pickWeighted(random, [[16, 1], [32, 1], [64, 1]]) : pickWeighted(random, [[8, 2], [12, 1], [16, 1]])
  return taskItem(number, cores, TEAMS, nowMs)
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

function perUnit (bytes: number, units: number): number {
  return units === 0 ? 0 : Math.round(bytes / units)
}

const CANCEL_WAVE_ITEMS = 100_000

/**
 * Cancels half of 100,000 queued items at once, in the order of their arrival. After every 100 cancellations a placement is made;
 * its time is the delay that a caller notices.
 */
export function measureCancelWave (seed: number): void {
  const clock = new VirtualClock()
  const random = new SeededRandom(seed)
  const engine = new DecisionEngine(clock, random, { kind: 'slots' })
  for (const host of hostsOf(30, { cores: 8, memoryBytes: 0, accelerators: 0 })) engine.putHost(host)
  const running: string[] = []
  for (let i = 0; i < CANCEL_WAVE_ITEMS + 240; i++) admitSlot(engine, clock, i)
  applyPlacements(engine, running)
  let worstPauseMs = 0
  const startedMs = performance.now()
  for (let i = 0; i < CANCEL_WAVE_ITEMS / 2; i++) {
    engine.cancel(`item-${i + 240}`)
    if (i % 100 !== 0) continue
    const pauseStartedMs = performance.now()
    engine.recordEnd(running.shift() ?? '', 'succeeded', 100)
    applyPlacements(engine, running)
    worstPauseMs = Math.max(worstPauseMs, performance.now() - pauseStartedMs)
  }
  const tookMs = performance.now() - startedMs
  console.log(JSON.stringify({
    scenario: 'cancel-wave-real-time',
    policy: 'ours',
    queued: CANCEL_WAVE_ITEMS,
    cancelled: CANCEL_WAVE_ITEMS / 2,
    allMs: round(tookMs, 1),
    microsecondsEach: round(tookMs * US_PER_MS / (CANCEL_WAVE_ITEMS / 2), 2),
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

function applyPlacements (engine: DecisionEngine, running: string[]): void {
  for (let decision = engine.next(); decision !== undefined; decision = engine.next()) {
    if (decision.type === 'place') running.push(decision.item.id)
  }
}
