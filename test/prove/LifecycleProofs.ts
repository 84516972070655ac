/**
 * Proofs about planned changes: hosts that leave, and processes that are stopped.
 */

import { RecordChecker } from './RecordChecker.js'
import { DEFAULT_LOAD, LoadGenerator } from './LoadGenerator.js'
import { submitDuring } from './JobProofs.js'
import { NON_IDEMPOTENT, setRunners, sleep, proofResult, withCell } from './Harness.js'

import type { Cell } from '../support/Cell.js'
import type { IHostRecord } from '../../src/runtime/Types.js'
import type { IWorkerRecords } from './JobProofs.js'
import type { IProof } from './Types.js'

/** A leaving host must get nothing new after this time, in ms: the requirement says "a few seconds". */
const LEAVING_LIMIT_MS = 3000

interface IDeparture {
  readonly hostId: string
  readonly at: number
}

async function startLeaving (cell: Cell, hosts: readonly IHostRecord[]): Promise<readonly IDeparture[]> {
  const [byHostList, byOwnReport] = hosts
  if (byHostList === undefined || byOwnReport === undefined) return []
  const at = Date.now()
  await cell.control(cell.hostListUrl, { state: { [byHostList.hostId]: 'leaving' } })
  await cell.control(byOwnReport.url, { leaving: true })
  return [{ hostId: byHostList.hostId, at }, { hostId: byOwnReport.hostId, at }]
}

/**
 * A host is taken out of service: the host list reports it, after its lag, or the host reports it itself. Requests that are sent to
 * it afterwards are cut off when it goes down.
 */
const leaving: IProof = {
  name: 'leaving',
  isTimed: true,
  property: 'a host is sent nothing new from 3 s after it began to leave',
  failure: 'one runner leaves by the host list and one by its own report, with the store up and then down',
  run: async (scale) => await withCell({ runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 30 } } })
    const load = new LoadGenerator(cell, { ...DEFAULT_LOAD, perSecond: 400, services: ['chip-lookup', 'pivot-stop'], seed: 16 })
    await load.start()
    await sleep(1000)
    const first = await startLeaving(cell, runnersOf(cell))
    await sleep(5000 * scale)
    await cell.control(cell.storeControlUrl, { outage: 'hang' })
    await cell.control(cell.hostListUrl, { state: { [first[0]?.hostId ?? '']: 'live' } })
    await cell.control(cell.hosts.find((host) => host.hostId === first[1]?.hostId)?.url ?? '', { leaving: false })
    await sleep(4000)
    const second = await startLeaving(cell, runnersOf(cell))
    await sleep(5000 * scale)
    await cell.control(cell.storeControlUrl, { outage: 'none' })
    const open = await load.finish()
    const checker = await RecordChecker.collect(cell, load.records)
    checkNoLateStarts(checker, first, second[0]?.at ?? 0)
    checkNoLateStarts(checker, second, Infinity)
    checker.checkCapacity().checkNotRun().checkWholeAnswers().checkEnded(open, () => false)
    return proofResult(checker, checker.starts.length)
  })
}

function checkNoLateStarts (checker: RecordChecker, departures: readonly IDeparture[], untilAt: number): void {
  for (const departure of departures) {
    const backAt = untilAt === Infinity ? Infinity : departure.at + 5000
    const late = checker.starts.filter((start) => start.hostId === departure.hostId &&
      start.startedAt > departure.at + LEAVING_LIMIT_MS && start.startedAt < backAt)
    if (late.length > 0) checker.addViolation(`${departure.hostId} got ${late.length} starts later than ${LEAVING_LIMIT_MS} ms after it left`)
  }
}

function runnersOf (cell: Cell): readonly IHostRecord[] {
  return cell.hosts.filter((host) => host.kind === 'runner')
}

async function workersOf (cell: Cell): Promise<ReadonlyArray<{ readonly host: IHostRecord, readonly records: IWorkerRecords['records'] }>> {
  const hosts = cell.hosts.filter((host) => host.kind === 'worker')
  return await Promise.all(hosts.map(async (host) => ({ host, records: (await cell.dump<IWorkerRecords>(host.url)).records })))
}

async function busiestWorkers (cell: Cell): Promise<readonly IHostRecord[]> {
  return [...await workersOf(cell)].sort((a, b) => b.records.length - a.records.length).map(({ host }) => host)
}

/**
 * The same for workers: a task that is started on a host about to be switched off is lost with it, and its job has to wait for
 * another attempt.
 */
const leavingWorkers: IProof = {
  name: 'leaving-workers',
  isTimed: true,
  property: 'no new task is started on a worker from 3 s after it began to leave',
  failure: 'one worker leaves by the host list and one by its own report, while jobs are submitted',
  run: async (scale) => await withCell({ runnersPerRegion: 1, workersPerRegion: 4 }, async (cell) => {
    let departures: readonly IDeparture[] = []
    const jobs = await submitDuring(cell, async () => {
      await sleep(4000)
      departures = await startLeaving(cell, await busiestWorkers(cell))
      await sleep(8000 * scale)
    })
    const starts = (await workersOf(cell)).flatMap(({ host: { hostId }, records }) => records.map(({ startedAt }) => ({ hostId, startedAt })))
    const late = starts.filter((start) => departures.some(({ hostId, at }) => hostId === start.hostId && start.startedAt > at + LEAVING_LIMIT_MS))
    const before = starts.filter((start) => departures.some(({ hostId, at }) => hostId === start.hostId && start.startedAt < at))
    const violations = late.map(({ hostId, startedAt }) => `${hostId} started a new task at ${startedAt}`)
    return { checked: before.length, violations: violations.slice(0, 10), notes: { jobs: jobs.length, starts: starts.length } }
  })
}

/**
 * Every process is restarted, one after the other, while callers go on sending. If a stop cut off a request, or closed the listener
 * while the load balancer still sends there, callers would see a broken connection.
 */
const gracefulStop: IProof = {
  name: 'graceful-stop',
  isTimed: true,
  property: 'SIGTERM breaks no open request',
  failure: 'every gateway and scheduler is stopped by SIGTERM and started again, one after the other, under load',
  run: async (scale) => await withCell({ gatewaysPerRegion: 2, schedulersPerRegion: 2, runnersPerRegion: 4, hostsPerRack: 2 }, async (cell) => {
    // The longest requests run for longer than a stopping gateway still accepts connections.
    await setRunners(cell, { services: { '*': { runMs: 120 }, 'sector-sweep': { runMs: 1500 } } })
    const load = new LoadGenerator(cell, { ...DEFAULT_LOAD, perSecond: 120, deadlineMs: 6000, seed: 17 })
    await load.start()
    const badEnds: string[] = []
    for (let round = 0; round < scale; round++) {
      for (const { processId, role, region, handle } of [...cell.processes]) {
        const end = await handle.stop()
        if (end !== 0) badEnds.push(`${processId} ended with ${end}`)
        await cell.startDaemon(role, region, processId)
        await sleep(500)
      }
    }
    const open = await load.finish()
    const checker = await RecordChecker.collect(cell, load.records)
    for (const end of badEnds) checker.addViolation(end)
    checker.checkEnded(open, () => false).checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWholeAnswers().checkCapacity()
    for (const { call, reply } of load.records) {
      if (reply?.outcome === 'unknown') checker.addViolation(`${call.requestId} ended as unknown/${reply.reason}`)
    }
    return proofResult(checker, load.records.length)
  })
}

export const LIFECYCLE_PROOFS: readonly IProof[] = [leaving, leavingWorkers, gracefulStop]
