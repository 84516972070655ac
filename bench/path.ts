/**
 * `npm run bench -- path`: measures the cost of the path through gateway and scheduler against a direct call to the same
 * runner, and the resources that the processes use. All figures come from one run with real processes.
 */

import { build } from 'hdr-histogram-js'
import { Pool, request } from 'undici'

import { CallerClient } from '../test/support/CallerClient.js'
import { Cell } from '../test/support/Cell.js'
import { OPERATOR_TOKEN } from '../test/support/Cell.js'
import { SETTINGS_DEFAULTS } from '../src/runtime/settings/SettingsDefaults.js'
import { configureExamples } from '../test/support/Configure.js'
import { measureMixed } from './pathMixed.js'
import { processorMs, residentBytes } from '../test/support/ProcessStats.js'

import type { Histogram } from 'hdr-histogram-js'

const BODY = Buffer.alloc(1024, 7)
const MEASURE_MS = 5000
const WARM_UP_MS = 2000
const IDLE_MS = 15_000
const CONCURRENCY = 128
const MIB = 2 ** 20
const US_PER_MS = 1000

type Send = (number: number) => Promise<boolean>

interface ILoadResult {
  readonly perSecond: number
  readonly failed: number
  readonly latencyUs: Histogram
}

/** Closed loop: each of `concurrency` callers sends its next request when it has the answer to the previous one. */
async function runClosedLoop (send: Send, concurrency: number, durationMs: number): Promise<ILoadResult> {
  const latencyUs = build()
  const untilMs = performance.now() + durationMs
  const startedAtMs = performance.now()
  let number = 0
  let failed = 0
  const caller = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      const sentAtMs = performance.now()
      if (!await send(number++)) failed += 1
      latencyUs.recordValue(Math.round((performance.now() - sentAtMs) * US_PER_MS))
    }
  }
  await Promise.all(Array.from({ length: concurrency }, caller))
  return { perSecond: latencyUs.totalCount / (performance.now() - startedAtMs) * 1000, failed, latencyUs }
}

/** Open loop at a fixed rate. Latency counts from the time at which a request was due, so that stalls are visible. */
async function runOpenLoop (send: Send, perSecond: number, durationMs: number): Promise<ILoadResult> {
  const latencyUs = build()
  const startedAtMs = performance.now()
  const pending: Array<Promise<void>> = []
  const total = Math.round(perSecond * durationMs / 1000)
  let failed = 0
  for (let number = 0; number < total;) {
    const dueUntil = Math.min(total, (performance.now() - startedAtMs) / 1000 * perSecond)
    for (; number < dueUntil; number++) {
      const dueAtMs = startedAtMs + number / perSecond * 1000
      pending.push(send(number).then((isDone) => {
        if (!isDone) failed += 1
        latencyUs.recordValue(Math.max(1, Math.round((performance.now() - dueAtMs) * US_PER_MS)))
      }))
    }
    await new Promise((resolve) => setTimeout(resolve, 1))
  }
  await Promise.all(pending)
  return { perSecond: total / (performance.now() - startedAtMs) * 1000, failed, latencyUs }
}

function createDirectSender (url: string, connections: number): { readonly send: Send, readonly close: () => Promise<void> } {
  const pool = new Pool(url, { connections, pipelining: 1 })
  const send: Send = async (number) => {
    const answer = await pool.request({
      method: 'POST',
      path: '/run/chip-lookup',
      body: BODY,
      headers: { 'x-shard-id': 'direct', 'x-epoch': '1', 'x-attempt-id': `direct-${number}`, 'x-request-id': `${number}`, 'x-caller': 'bench' }
    })
    await answer.body.arrayBuffer()
    return answer.statusCode === 200
  }
  return { send, close: async () => { await pool.close() } }
}

function print (line: Readonly<Record<string, unknown>>): void {
  process.stdout.write(JSON.stringify(line) + '\n')
}

function percentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS
}

async function measureIdle (cell: Cell): Promise<void> {
  const before = cell.processes.map(({ handle }) => processorMs(handle.pid))
  await new Promise((resolve) => setTimeout(resolve, IDLE_MS))
  for (const [index, { processId, role, handle, operatorUrl }] of cell.processes.entries()) {
    const processorShare = (processorMs(handle.pid) - (before[index] ?? 0)) / IDLE_MS
    const control = await controlCost(operatorUrl)
    print({ bench: 'path', measure: 'idle', role, processId, processorShare, residentMiB: residentBytes(handle.pid) / MIB, ...control })
  }
}

interface IControlCost {
  readonly peerBytesPerSecond: number
  readonly crossRegionBytesPerSecond: number
  readonly storeCallsPerSecond: number
}

async function controlCost (operatorUrl: string): Promise<IControlCost> {
  const answer = await request(`${operatorUrl}/v1/metrics`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })
  const { process: { peerBytesPerSecond, crossRegionBytesPerSecond, storeCallsPerSecond } } = await answer.body.json() as { process: IControlCost }
  return { peerBytesPerSecond, crossRegionBytesPerSecond, storeCallsPerSecond }
}

async function measureSpeed (cell: Cell): Promise<void> {
  const runner = cell.hosts[0]
  const client = new CallerClient(cell.gateways()[0]?.url ?? '', CONCURRENCY)
  const direct = createDirectSender(runner?.url ?? '', runner?.slots ?? 1)
  const viaCell: Send = async (number) => {
    const reply = await client.send({ service: 'chip-lookup', caller: `bench-${number % 8}`, requestId: `${number}`, body: BODY })
    return reply.outcome === 'done'
  }
  await runClosedLoop(viaCell, CONCURRENCY, WARM_UP_MS)
  await runClosedLoop(direct.send, runner?.slots ?? 1, WARM_UP_MS)
  const directSaturated = await runClosedLoop(direct.send, runner?.slots ?? 1, MEASURE_MS)
  const before = cell.processes.map(({ handle }) => processorMs(handle.pid))
  const saturated = await runClosedLoop(viaCell, CONCURRENCY, MEASURE_MS)
  print({
    bench: 'path',
    measure: 'saturation',
    perSecond: saturated.perSecond,
    failed: saturated.failed,
    directPerSecond: directSaturated.perSecond,
    ratio: saturated.perSecond / directSaturated.perSecond,
    cores: Object.fromEntries(cell.processes.map(({ processId, handle }, index) =>
      [processId, (processorMs(handle.pid) - (before[index] ?? 0)) / MEASURE_MS])),
    residentMiB: Object.fromEntries(cell.processes.map(({ processId, handle }) => [processId, residentBytes(handle.pid) / MIB]))
  })
  await measureHalfLoad(viaCell, direct.send, saturated.perSecond / 2)
  await direct.close()
  await client.close()
}

async function measureHalfLoad (viaCell: Send, direct: Send, perSecond: number): Promise<void> {
  const directHalf = await runOpenLoop(direct, perSecond, MEASURE_MS)
  const half = await runOpenLoop(viaCell, perSecond, MEASURE_MS)
  const addedMs = (percentile: number): number => percentileMs(half.latencyUs, percentile) - percentileMs(directHalf.latencyUs, percentile)
  print({
    bench: 'path',
    measure: 'half load',
    perSecond: half.perSecond,
    failed: half.failed,
    p50Ms: percentileMs(half.latencyUs, 50),
    p99Ms: percentileMs(half.latencyUs, 99),
    directP50Ms: percentileMs(directHalf.latencyUs, 50),
    directP99Ms: percentileMs(directHalf.latencyUs, 99),
    addedP50Ms: addedMs(50),
    addedP99Ms: addedMs(99),
    ratioP50: percentileMs(half.latencyUs, 50) / percentileMs(directHalf.latencyUs, 50),
    ratioP99: percentileMs(half.latencyUs, 99) / percentileMs(directHalf.latencyUs, 99)
  })
}

/** The default settings, in place of the shorter intervals that the tests use. */
const DEFAULT_SETTINGS = {
  peer: { heartbeatMs: SETTINGS_DEFAULTS.peer.heartbeatMs, silenceMs: SETTINGS_DEFAULTS.peer.silenceMs },
  hostList: { pollMs: SETTINGS_DEFAULTS.hostList.pollMs },
  store: { leaseTtlMs: SETTINGS_DEFAULTS.store.leaseTtlMs }
}

/**
 * Measures speed with one gateway, one scheduler and thirty runners; then the idle cost and a mixed load in a cell of today's size.
 *
 * @param args Node.js options for the daemons, for example `--max-semi-space-size=2`
 */
export async function run (args: readonly string[]): Promise<void> {
  const common = { settings: DEFAULT_SETTINGS, ...(args.length > 0 ? { nodeArgs: args } : {}) }
  const speedCell = await Cell.start({
    ...common, regions: ['lakes-west'], runnersPerRegion: 30, workersPerRegion: 0, hostsPerRack: 30, runnerProcesses: 5
  })
  try {
    await configureExamples(speedCell.storeUrl)
    await speedCell.waitUntilServed()
    await measureSpeed(speedCell)
  } finally {
    await speedCell.dispose()
  }
  const sizes = { gatewaysPerRegion: 3, schedulersPerRegion: 3, runnersPerRegion: 10, workersPerRegion: 10, hostsPerRack: 8 }
  const fullCell = await Cell.start({ ...common, ...sizes })
  try {
    await configureExamples(fullCell.storeUrl)
    await fullCell.waitUntilServed()
    await fullCell.waitUntilSpread()
    await measureIdle(fullCell)
    for (const line of await measureMixed(fullCell)) print({ bench: 'path', measure: 'mixed', ...line })
  } finally {
    await fullCell.dispose()
  }
}
