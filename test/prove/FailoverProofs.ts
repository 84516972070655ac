/**
 * Proofs about failover: service resumes after a scheduler was killed, and cut links cause no lost or repeated requests.
 */

import { RecordChecker } from './RecordChecker.js'
import { DEFAULT_LOAD, LoadGenerator } from './LoadGenerator.js'
import { NON_IDEMPOTENT, setRunners, sleep, proofResult, withCell } from './Harness.js'

import type { Cell, ICellProcess } from '../support/Cell.js'
import type { Direction } from '../support/TcpForwarder.js'
import type { IProof } from './Types.js'

const RESUME_LIMIT_MS = 5000
const AFTER_KILL_MS = 8000
/** Requests that were sent to a runner before the kill have arrived after this time, in ms. */
const IN_TRANSIT_MS = 100

interface IKill {
  readonly at: number
  readonly hostIds: readonly string[]
}

/** The ids of the hosts in the racks that a scheduler owns, by the records in the store. */
async function hostsOf (cell: Cell, scheduler: ICellProcess): Promise<readonly string[]> {
  const { records } = await cell.dump<{ readonly records: ReadonlyArray<{ readonly key: string, readonly value: string }> }>(cell.storeUrl)
  const owned = new Set(records.filter(({ key, value }) => key.startsWith('shards/runners/') &&
    (JSON.parse(value) as { readonly owner: string }).owner === scheduler.processId).map(({ key }) => key.slice('shards/'.length)))
  return cell.hosts.filter((host) => owned.has(`${host.kind}s/${host.rack}`)).map((host) => host.hostId)
}

async function killInTurn (cell: Cell, rounds: number): Promise<readonly IKill[]> {
  const kills: IKill[] = []
  for (let round = 0; round < rounds; round++) {
    const victim = cell.schedulers()[round % cell.schedulers().length]
    if (victim === undefined) break
    const hostIds = await hostsOf(cell, victim)
    await victim.handle.kill()
    kills.push({ at: Date.now(), hostIds })
    await sleep(AFTER_KILL_MS)
    await cell.startDaemon('scheduler', victim.region, victim.processId)
    await cell.waitUntilSpread()
  }
  return kills
}

function checkResumed (checker: RecordChecker, kills: readonly IKill[]): number {
  const tookMs = kills.flatMap(({ at, hostIds }) => hostIds.map((hostId) => {
    const later = checker.starts.filter((start) => start.hostId === hostId && start.startedAt > at + IN_TRANSIT_MS)
    const first = Math.min(...later.map((start) => start.startedAt))
    if (first - at > RESUME_LIMIT_MS) checker.addViolation(`${hostId} got its next request ${first - at} ms after its scheduler was killed`)
    return first - at
  }))
  return Math.max(...tookMs)
}

/**
 * A scheduler is killed while callers send requests. Its racks are idle until another scheduler has taken them over, and callers
 * in a region whose racks are all idle are refused until then.
 */
const takeover: IProof = {
  name: 'takeover',
  isTimed: true,
  property: 'service resumes within 5 s of a kill',
  failure: 'schedulers killed one after the other under load, with the store up',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 4, hostsPerRack: 2 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 20 } } })
    const load = new LoadGenerator(cell, { ...DEFAULT_LOAD, perSecond: 600, seed: 19 })
    await load.start()
    const kills = await killInTurn(cell, 2 * scale)
    const open = await load.finish()
    const checker = await RecordChecker.collect(cell, load.records)
    const worstMs = checkResumed(checker, kills)
    checker.checkCapacity().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWholeAnswers().checkEnded(open, () => false)
    const result = proofResult(checker, kills.length)
    return { ...result, notes: { ...result.notes, worstMs } }
  })
}

/**
 * A network switch fails so that packets pass in one direction only, or in none, while every process lives and reaches the store.
 * Gateways and schedulers receive nothing from each other. The guarded failures are requests that hang, and requests that run twice
 * because a process takes the silence of another for its death.
 */
const cutLinks: IProof = {
  name: 'cut-links',
  isTimed: false,
  property: 'no request hangs, runs twice or is answered "not run" although it ran',
  failure: 'links between processes cut in one direction, the other, and both',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 4, hostsPerRack: 2, forwardsPeers: true }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 60 } } })
    const load = new LoadGenerator(cell, { ...DEFAULT_LOAD, perSecond: 300, repeatShare: 0.3, seed: 20 })
    await load.start()
    const cuts: ReadonlyArray<readonly Direction[]> = [['toTarget'], ['toClient'], ['toTarget', 'toClient']]
    for (let round = 0; round < 3 * scale; round++) {
      const forwarder = [...cell.forwarders.values()][round % cell.forwarders.size]
      await sleep(1000)
      forwarder?.cut(...cuts[round % cuts.length] ?? [])
      await sleep(5000)
      forwarder?.heal()
      await sleep(2000)
    }
    const open = await load.finish()
    const checker = await RecordChecker.collect(cell, load.records)
    checker.checkCapacity().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWholeAnswers().checkEnded(open, () => false)
    return proofResult(checker, checker.starts.length)
  })
}

export const FAILOVER_PROOFS: readonly IProof[] = [takeover, cutLinks]
