/**
 * The mixed load of the path bench: twice the capacity of the runners, a fifth of it urgent, with real processes.
 */

import { build } from 'hdr-histogram-js'

import { CallerClient } from '../test/support/CallerClient.js'
import { SeededRandom } from '../src/common/Random.js'

import type { Histogram } from 'hdr-histogram-js'
import type { Cell } from '../test/support/Cell.js'

const RUN_MS = 400
const DURATION_MS = 20_000
const URGENT_SHARE = 0.2
const OVERLOAD = 2
const TICK_MS = 5
const DEADLINES_MS = { 'chip-lookup': 5000, 'sighting-sweep': 10_000 } as const
const US_PER_MS = 1000

type Service = keyof typeof DEADLINES_MS

class ServiceTally {
  public sent = 0
  public done = 0
  public otherOutcomes: Record<string, number> = {}
  public readonly waitUs: Histogram = build()

  public recordAnswer (outcome: string, reason: string | undefined, waitMs: number | undefined): void {
    if (outcome !== 'done') {
      const name = `${outcome}/${reason ?? ''}`
      this.otherOutcomes[name] = (this.otherOutcomes[name] ?? 0) + 1
      return
    }
    this.done += 1
    this.waitUs.recordValue(Math.round((waitMs ?? 0) * US_PER_MS))
  }

  public toLine (service: Service): Readonly<Record<string, unknown>> {
    const ms = (percentile: number): number => this.waitUs.getValueAtPercentile(percentile) / US_PER_MS
    const waits = { waitP50Ms: ms(50), waitP99Ms: ms(99), waitWorstMs: this.waitUs.maxValue / US_PER_MS }
    return { service, sent: this.sent, done: this.done, ...this.otherOutcomes, ...waits }
  }
}

/** Runs the mixed load and returns one result line for each service. */
export async function measureMixed (cell: Cell): Promise<ReadonlyArray<Readonly<Record<string, unknown>>>> {
  const runners = cell.hosts.filter((host) => host.kind === 'runner')
  await Promise.all(runners.map(async ({ url }) => { await cell.control(url, { services: { '*': { runMs: RUN_MS } } }) }))
  const perSecond = OVERLOAD * runners.reduce((sum, host) => sum + host.slots, 0) * 1000 / RUN_MS
  const random = new SeededRandom(5)
  const clients = cell.gateways().map((gateway) => new CallerClient(gateway.url, 1000))
  const tallies: Record<Service, ServiceTally> = { 'chip-lookup': new ServiceTally(), 'sighting-sweep': new ServiceTally() }
  const pending: Array<Promise<void>> = []
  const startedAtMs = performance.now()
  for (let number = 0; performance.now() - startedAtMs < DURATION_MS;) {
    for (; number < (performance.now() - startedAtMs) / 1000 * perSecond; number++) {
      const service: Service = random.next() < URGENT_SHARE ? 'chip-lookup' : 'sighting-sweep'
      const call = { service, caller: `caller-${number % 20}`, requestId: `mixed-${number}`, deadlineMs: DEADLINES_MS[service], body: 'mixed' }
      const client = clients[number % clients.length] as CallerClient
      tallies[service].sent += 1
      pending.push(client.send(call).then(({ outcome, reason, waitMs }) => { tallies[service].recordAnswer(outcome, reason, waitMs) }))
    }
    await new Promise((resolve) => setTimeout(resolve, TICK_MS))
  }
  await Promise.all(pending)
  await Promise.all(clients.map(async (client) => { await client.close() }))
  return [tallies['chip-lookup'].toLine('chip-lookup'), tallies['sighting-sweep'].toLine('sighting-sweep')]
}
