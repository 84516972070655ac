/**
 * Proofs on what comes and goes: leaving upstreams and planned stops.
 */

import { Judge } from './Judge.js'
import { DEFAULT_LOAD, Load } from './Load.js'
import { NON_IDEMPOTENT, setRunners, sleep, verdict, withCell } from './Harness.js'

import type { Cell } from '../support/Cell.js'
import type { IProof } from './Types.js'

/** What the brief's "a few seconds" means here. */
const LEAVING_LIMIT_MS = 3000

interface INotice {
  readonly hostId: string
  readonly at: number
}

async function leaveBoth (cell: Cell): Promise<readonly INotice[]> {
  const runners = cell.hosts.filter((host) => host.kind === 'runner')
  const byList = runners[0]
  const byItself = runners[1]
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
    const first = await leaveBoth(cell)
    await sleep(5000 * scale)
    await cell.control(cell.storeControlUrl, { outage: 'hang' })
    await cell.control(cell.hostListUrl, { state: { [first[0]?.hostId ?? '']: 'live' } })
    await cell.control(cell.hosts.find((host) => host.hostId === first[1]?.hostId)?.url ?? '', { leaving: false })
    await sleep(4000)
    const second = await leaveBoth(cell)
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

export const LIFECYCLE_PROOFS: readonly IProof[] = [leaving, gracefulStop]
