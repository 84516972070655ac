/**
 * Measures idle processes at growing numbers of processes: store calls a second, bytes to peers, processor time and resident
 * memory. The processes run with the default settings.
 */

import { request } from 'undici'

import { SETTINGS_DEFAULTS } from '../../src/runtime/settings/SettingsDefaults.js'
import { Cell, OPERATOR_TOKEN } from '../../test/support/Cell.js'
import { configureExamples } from '../../test/support/Configure.js'
import { processorMs, residentBytes } from '../../test/support/ProcessStats.js'
import { pause } from './Readings.js'
import { printFigures, printSlope, round } from './Slope.js'

import type { ICellProcess } from '../../test/support/Cell.js'

const REGION = 'lakes-west'
/** The number of processes of each role. */
const PROCESSES = [1, 2, 4]
/** A new process gets its shards one by one, from 5 s after its start. */
const SETTLE_MS = 9_000
const IDLE_MS = 7_000
const MIB = 2 ** 20
const { peer, hostList, store: storeSettings } = SETTINGS_DEFAULTS
const SETTINGS = {
  peer: { heartbeatMs: peer.heartbeatMs, silenceMs: peer.silenceMs },
  hostList: { pollMs: hostList.pollMs },
  store: { leaseTtlMs: storeSettings.leaseTtlMs }
}

interface IIdleReading {
  readonly role: ICellProcess['role']
  readonly peerBytes: number
  readonly cores: number
  readonly residentMiB: number
}

interface IStoreDump {
  readonly calls: { readonly reads: number, readonly writes: number }
  readonly waitingWatches: number
}

async function peerBytesPerSecond ({ operatorUrl }: ICellProcess): Promise<number> {
  const answer = await request(`${operatorUrl}/v1/metrics`, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } })
  return (await answer.body.json() as { readonly process: { readonly peerBytesPerSecond: number } }).process.peerBytesPerSecond
}

interface IStoreUse {
  readonly callsPerSecond: number
  readonly waitingWatches: number
}

/** Measures reads and writes while the cell is idle, and the waiting watches. A watch repeats its call every 20 s, which is not counted. */
async function measureStoreUse (cell: Cell, idleMs: number): Promise<IStoreUse> {
  const before = await cell.dump<IStoreDump>(cell.storeUrl)
  await pause(idleMs)
  const { calls, waitingWatches } = await cell.dump<IStoreDump>(cell.storeUrl)
  const count = calls.reads + calls.writes - before.calls.reads - before.calls.writes
  return { callsPerSecond: count / idleMs * 1_000, waitingWatches }
}

async function readIdleCell (cell: Cell): Promise<{ readonly store: IStoreUse, readonly readings: readonly IIdleReading[] }> {
  await pause(cell.schedulers().length > 1 ? SETTLE_MS : SETTLE_MS / 3)
  const before = cell.processes.map(({ handle }) => processorMs(handle.pid))
  const store = await measureStoreUse(cell, IDLE_MS)
  const readings = await Promise.all(cell.processes.map(async (process, index) => {
    const usedMs = processorMs(process.handle.pid) - (before[index] ?? 0)
    const residentMiB = residentBytes(process.handle.pid) / MIB
    return { role: process.role, peerBytes: await peerBytesPerSecond(process), cores: usedMs / IDLE_MS, residentMiB }
  }))
  return { store, readings }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

export async function measureIdle (): Promise<void> {
  const cell = await Cell.start({
    regions: [REGION], gatewaysPerRegion: 1, schedulersPerRegion: 1, runnersPerRegion: 8, workersPerRegion: 8, hostsPerRack: 4, settings: SETTINGS
  })
  const calls: Array<readonly [number, number]> = []
  const watches: Array<readonly [number, number]> = []
  try {
    await configureExamples(cell.storeUrl)
    await cell.waitUntilServed()
    for (const count of PROCESSES) {
      for (let index = cell.schedulers().length; index < count; index++) await cell.startDaemon('scheduler', REGION, `scheduler-${REGION}-${index}`)
      for (let index = cell.gateways().length; index < count; index++) await cell.startDaemon('gateway', REGION, `gateway-${REGION}-${index}`)
      const { store, readings } = await readIdleCell(cell)
      calls.push([count, store.callsPerSecond])
      watches.push([count, store.waitingWatches])
      for (const role of ['gateway', 'scheduler'] as const) {
        const roleReadings = readings.filter((reading) => reading.role === role)
        printFigures({
          figure: `idle ${role}`,
          ofEachRole: count,
          peerBytesPerSecond: round(mean(roleReadings.map((reading) => reading.peerBytes))),
          coreShare: round(mean(roleReadings.map((reading) => reading.cores))),
          residentMiB: round(mean(roleReadings.map((reading) => reading.residentMiB)))
        })
      }
    }
  } finally {
    await cell.dispose()
  }
  printSlope({ slope: 'idle: store reads and writes a second of one gateway and one scheduler more', unit: 'calls/s', points: calls })
  printSlope({ slope: 'idle: watches that wait on the store, of one gateway and one scheduler more', unit: 'watches', points: watches })
}
