/**
 * Whole processes that idle: store calls a second, bytes to peers, processor time and resident memory, by the number of
 * processes. The settings are those of the product.
 */

import { request } from 'undici'

import { SETTINGS_DEFAULTS } from '../../src/platform/settings/SettingsDefaults.js'
import { Cell, OPERATOR_TOKEN } from '../../test/support/Cell.js'
import { configureExamples } from '../../test/support/Configure.js'
import { processorMs, residentBytes } from '../../test/support/ProcessStats.js'
import { pause } from './Readings.js'
import { printFigures, printSlope, round } from './Slope.js'

import type { ICellProcess } from '../../test/support/Cell.js'

const REGION = 'lakes-west'
/** Of each role. */
const PROCESSES = [1, 2, 4]
const SETTLE_MS = 3_000
const IDLE_MS = 8_000
const MIB = 2 ** 20
const { peer, hostList, store } = SETTINGS_DEFAULTS
const SETTINGS = {
  peer: { heartbeatMs: peer.heartbeatMs, silenceMs: peer.silenceMs }, hostList: { pollMs: hostList.pollMs }, store: { leaseTtlMs: store.leaseTtlMs }
}

interface IIdle {
  readonly role: ICellProcess['role']
  readonly storeCalls: number
  readonly peerBytes: number
  readonly cores: number
  readonly residentMiB: number
}

interface ITotals {
  readonly process: { readonly storeCallsPerSecond: number, readonly peerBytesPerSecond: number }
}

async function totalsOf ({ operatorUrl }: ICellProcess): Promise<ITotals['process']> {
  const answer = await request(`${operatorUrl}/v1/metrics`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })
  return (await answer.body.json() as ITotals).process
}

async function idle (cell: Cell): Promise<readonly IIdle[]> {
  await pause(SETTLE_MS)
  const before = cell.processes.map(({ handle }) => processorMs(handle.pid))
  await pause(IDLE_MS)
  return await Promise.all(cell.processes.map(async (process, index) => {
    const usedMs = processorMs(process.handle.pid) - (before[index] ?? 0)
    const { storeCallsPerSecond, peerBytesPerSecond } = await totalsOf(process)
    const residentMiB = residentBytes(process.handle.pid) / MIB
    return { role: process.role, storeCalls: storeCallsPerSecond, peerBytes: peerBytesPerSecond, cores: usedMs / IDLE_MS, residentMiB }
  }))
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export async function measureIdle (): Promise<void> {
  const cell = await Cell.start({
    regions: [REGION], gatewaysPerRegion: 1, schedulersPerRegion: 1, runnersPerRegion: 8, workersPerRegion: 8, hostsPerRack: 4, settings: SETTINGS
  })
  const calls: Array<readonly [number, number]> = []
  try {
    await configureExamples(cell.storeUrl)
    await cell.untilServed()
    for (const count of PROCESSES) {
      for (let index = cell.schedulers().length; index < count; index++) await cell.startDaemon('scheduler', REGION, `scheduler-${REGION}-${index}`)
      for (let index = cell.gateways().length; index < count; index++) await cell.startDaemon('gateway', REGION, `gateway-${REGION}-${index}`)
      const readings = await idle(cell)
      calls.push([count, readings.reduce((sum, reading) => sum + reading.storeCalls, 0)])
      for (const role of ['gateway', 'scheduler'] as const) {
        const own = readings.filter((reading) => reading.role === role)
        printFigures({
          figure: `idle ${role}`,
          ofEachRole: count,
          storeCallsPerSecond: round(mean(own.map((reading) => reading.storeCalls))),
          peerBytesPerSecond: round(mean(own.map((reading) => reading.peerBytes))),
          coreShare: round(mean(own.map((reading) => reading.cores))),
          residentMiB: round(mean(own.map((reading) => reading.residentMiB)))
        })
      }
    }
  } finally {
    await cell.dispose()
  }
  printSlope({ slope: 'idle: store calls a second of one gateway and one scheduler more', unit: 'calls/s', points: calls })
}
