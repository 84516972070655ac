/**
 * Proofs on what comes and goes: leaving upstreams and planned stops.
 */

import { Judge } from './Judge.js'
import { DEFAULT_LOAD, Load } from './Load.js'
import { submitDuring } from './JobProofs.js'
import { NON_IDEMPOTENT, setRunners, sleep, verdict, withCell } from './Harness.js'

import type { Cell } from '../support/Cell.js'
import type { IHostRecord } from '../../src/runtime/Types.js'
import type { IWorkerRecords } from './JobProofs.js'
import type { IProof } from './Types.js'

/** What the brief's "a few seconds" means here. */
const LEAVING_LIMIT_MS = 3000

interface INotice {
  readonly hostId: string
  readonly at: number
}

async function leaveBoth (cell: Cell, hosts: readonly IHostRecord[]): Promise<readonly INotice[]> {
  const [byList, byItself] = hosts
  if (byList === undefined || byItself === undefined) return []
  const at = Date.now()
  await cell.control(cell.hostListUrl, { state: { [byList.hostId]: 'leaving' } })
  await cell.control(byItself.url, { leaving: true })
  return [{ hostId: byList.hostId, at }, { hostId: byItself.hostId, at }]
}

/**
 * A host is taken out of service: the host list says so, after its lag, or the host says so itself. Work sent to it
 * afterwards dies with it; its callers see it cut off.
 */
const leaving: IProof = {
  name: 'leaving',
  isTimed: true,
  property: 'a host is sent nothing new from 3 s after it began to leave',
  failure: 'one runner leaves by the host list and one by its own word, with the store up and then down',
  run: async (scale) => await withCell({ runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 30 } } })
    const load = new Load(cell, { ...DEFAULT_LOAD, perSecond: 400, services: ['chip-lookup', 'pivot-stop'], seed: 16 })
    await load.start()
    await sleep(1000)
    const first = await leaveBoth(cell, runnersOf(cell))
    await sleep(5000 * scale)
    await cell.control(cell.storeControlUrl, { outage: 'hang' })
    await cell.control(cell.hostListUrl, { state: { [first[0]?.hostId ?? '']: 'live' } })
    await cell.control(cell.hosts.find((host) => host.hostId === first[1]?.hostId)?.url ?? '', { leaving: false })
    await sleep(4000)
    const second = await leaveBoth(cell, runnersOf(cell))
    await sleep(5000 * scale)
    await cell.control(cell.storeControlUrl, { outage: 'none' })
    const open = await load.finish()
    const judge = await Judge.collect(cell, load.records)
    checkLeft(judge, first, second[0]?.at ?? 0)
    checkLeft(judge, second, Infinity)
    judge.checkCapacity().checkNotRun().checkWhole().checkEnded(open, () => false)
    return verdict(judge, judge.starts.length)
  })
}

function checkLeft (judge: Judge, notices: readonly INotice[], untilAt: number): void {
  for (const notice of notices) {
    const backAt = untilAt === Infinity ? Infinity : notice.at + 5000
    const late = judge.starts.filter((start) => start.hostId === notice.hostId &&
      start.startedAt > notice.at + LEAVING_LIMIT_MS && start.startedAt < backAt)
    if (late.length > 0) judge.add(`${notice.hostId} got ${late.length} starts later than ${LEAVING_LIMIT_MS} ms after it left`)
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
 * The same for workers: a task that is started on a host about to be switched off dies with it, and its job waits for
 * another attempt.
 */
const leavingWorkers: IProof = {
  name: 'leaving-workers',
  isTimed: true,
  property: 'a worker is started nothing new on from 3 s after it began to leave',
  failure: 'one worker leaves by the host list and one by its own word, while jobs come',
  run: async (scale) => await withCell({ runnersPerRegion: 1, workersPerRegion: 4 }, async (cell) => {
    let notices: readonly INotice[] = []
    const jobs = await submitDuring(cell, async () => {
      await sleep(4000)
      notices = await leaveBoth(cell, await busiestWorkers(cell))
      await sleep(8000 * scale)
    })
    const starts = (await workersOf(cell)).flatMap(({ host: { hostId }, records }) => records.map(({ startedAt }) => ({ hostId, startedAt })))
    const late = starts.filter((start) => notices.some(({ hostId, at }) => hostId === start.hostId && start.startedAt > at + LEAVING_LIMIT_MS))
    const before = starts.filter((start) => notices.some(({ hostId, at }) => hostId === start.hostId && start.startedAt < at))
    const violations = late.map(({ hostId, startedAt }) => `${hostId} was started a task on at ${startedAt}`)
    return { checked: before.length, violations: violations.slice(0, 10), notes: { jobs: jobs.length, starts: starts.length } }
  })
}

/**
 * Every process is replaced on purpose, one after the other, while callers go on sending. A stop that cuts a request
 * off, or closes its door while the balancer still sends there, shows to callers as a broken connection.
 */
const gracefulStop: IProof = {
  name: 'graceful-stop',
  isTimed: true,
  property: 'SIGTERM breaks no open request',
  failure: 'every gateway and scheduler is stopped by SIGTERM and started again, one after the other, under load',
  run: async (scale) => await withCell({ gatewaysPerRegion: 2, schedulersPerRegion: 2, runnersPerRegion: 4, hostsPerRack: 2 }, async (cell) => {
    // The longest work outlasts the time in which a stopping gateway still takes connections.
    await setRunners(cell, { services: { '*': { runMs: 120 }, 'sector-sweep': { runMs: 1500 } } })
    const load = new Load(cell, { ...DEFAULT_LOAD, perSecond: 120, deadlineMs: 6000, seed: 17 })
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
    const judge = await Judge.collect(cell, load.records)
    for (const end of badEnds) judge.add(end)
    judge.checkEnded(open, () => false).checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWhole().checkCapacity()
    for (const { call, reply } of load.records) {
      if (reply?.outcome === 'unknown') judge.add(`${call.requestId} ended as unknown/${reply.reason}`)
    }
    return verdict(judge, load.records.length)
  })
}

export const LIFECYCLE_PROOFS: readonly IProof[] = [leaving, leavingWorkers, gracefulStop]
