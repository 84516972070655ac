/**
 * A long run at twice saturation in which each request has a new caller: measures how many requests are given up, and whether
 * memory grows.
 */

import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { SeededRandom } from '../../src/common/Random.js'
import { hostsOf, profileOf, SLOT } from './Arrivals.js'
import { round } from './Outcomes.js'
import { VirtualClock } from './VirtualRun.js'

const REQUESTS = 1_000_000
const SAMPLES = 4

/** 240 slots at 200 ms serve 1,200 requests a second. One request each 0.4 ms is twice that rate. */
const INTERVAL_MS = 0.4
const RUN_MS = 200

const PROFILES = [
  profileOf({ name: 'urgent', priorityClass: 'urgent', deadlineMs: 2_000 }),
  profileOf({ name: 'normal', deadlineMs: 10_000 }),
  profileOf({ name: 'patient', priorityClass: 'patient', deadlineMs: 60_000, floorShare: 0.1 })
]

export function measureManyCallers (seed: number): void {
  const clock = new VirtualClock()
  const engine = new DecisionEngine(clock, new SeededRandom(seed), { kind: 'slots' })
  for (const host of hostsOf(30, { cores: 8, memoryBytes: 0, accelerators: 0 })) engine.putHost(host)
  const running: string[] = []
  const heapMegabytes: number[] = []
  const counts = { placed: 0, refused: 0, gaveUp: 0 }
  for (let i = 1; i <= REQUESTS; i++) {
    clock.atMs += INTERVAL_MS
    const profile = PROFILES[i % PROFILES.length] ?? profileOf({})
    const decision = engine.admit({
      id: `request-${i}`,
      caller: `caller-${i}`,
      service: `service-${i % 20_000}`,
      team: `team-${i % 10}`,
      profile,
      resources: SLOT,
      arrivedAtMs: clock.atMs,
      deadlineAtMs: clock.atMs + profile.deadlineMs,
      idempotent: true
    })
    if (!decision.admitted) counts.refused += 1
    if (i % 2 === 0) engine.recordEnd(running.shift() ?? '', 'succeeded', RUN_MS)
    applyDecisions(engine, running, counts)
    if (i % (REQUESTS / SAMPLES) === 0) heapMegabytes.push(heapInUse())
  }
  console.log(JSON.stringify({ scenario: 'many-callers', policy: 'ours', requests: REQUESTS, ...counts, heapMegabytes }))
}

function applyDecisions (engine: DecisionEngine, running: string[], counts: { placed: number, gaveUp: number }): void {
  for (let decision = engine.next(); decision !== undefined; decision = engine.next()) {
    if (decision.type === 'place') {
      running.push(decision.item.id)
      counts.placed += 1
    } else if (decision.type === 'giveUp') counts.gaveUp += 1
  }
}

function heapInUse (): number {
  globalThis.gc?.()
  return round(process.memoryUsage().heapUsed / 2 ** 20, 1)
}
