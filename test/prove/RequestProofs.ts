/**
 * Proofs about the request path: capacity is kept, answers are complete, `notRun` is told truthfully, and requests run at most once.
 */

import { NON_IDEMPOTENT, setRunners, sleep, proofResult, withCell } from './Harness.js'
import { RecordChecker } from './RecordChecker.js'
import { DEFAULT_LOAD, LoadGenerator } from './LoadGenerator.js'

import type { Cell } from '../support/Cell.js'
import type { ILoadOptions } from './LoadGenerator.js'
import type { IProof } from './Types.js'

/** Sends load until `injectFaults` has finished; returns the checker and the requests that never ended. */
async function runUnderLoad (
  cell: Cell, options: Partial<ILoadOptions>, injectFaults: () => Promise<void>
): Promise<{ checker: RecordChecker, open: LoadGenerator['records'] }> {
  const load = new LoadGenerator(cell, { ...DEFAULT_LOAD, ...options })
  await load.start()
  await injectFaults()
  const open = await load.finish()
  const checker = await RecordChecker.collect(cell, load.records)
  return { checker, open: [...open] }
}

/**
 * Kills a scheduler with its queue and its calls in flight, and pauses one for longer than its lease, so that others take its shards
 * over before it resumes. The runners still run what the old owner sent them. If the next owner counted those slots as free,
 * callers would see refused or repeated work.
 */
async function pauseAndKill (cell: Cell, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    const region = cell.options.regions[round % cell.options.regions.length] as string
    const paused = cell.schedulers()[round % cell.schedulers().length]
    paused?.handle.pause()
    await sleep(5000)
    paused?.handle.resume()
    await sleep(500)
    const killed = cell.schedulers().find((scheduler) => scheduler.region === region && scheduler !== paused) ?? paused
    await killed?.handle.kill()
    await sleep(4000)
    if (killed !== undefined) await cell.startDaemon('scheduler', killed.region, killed.processId)
    await sleep(3000)
  }
}

const capacity: IProof = {
  name: 'capacity',
  isTimed: false,
  property: 'no host is sent more than its capacity',
  failure: 'saturation; schedulers killed and paused past their lease',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 2 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 150 } } })
    const { checker, open } = await runUnderLoad(cell, { perSecond: 600, seed: 11 }, async () => { await pauseAndKill(cell, scale) })
    checker.checkCapacity().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWholeAnswers().checkEnded(open, () => false)
    return proofResult(checker, checker.starts.length)
  })
}

const wholeAnswers: IProof = {
  name: 'whole-answers',
  isTimed: false,
  property: 'an answer that is passed on is complete and belongs to its request',
  failure: 'answers out of order, late and cut short; equal request ids of different callers',
  run: async (scale) => await withCell({ runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 20, cutRate: 0.05, hangRate: 0.02 }, 'chip-lookup': { runMs: 3 }, 'pivot-stop': { runMs: 60 } } })
    const { checker, open } = await runUnderLoad(cell, { perSecond: 200, deadlineMs: 1500, seed: 12 }, async () => { await sleep(8000 * scale) })
    checker.checkWholeAnswers().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkCapacity().checkEnded(open, () => false)
    return proofResult(checker, checker.starts.length)
  })
}

const truthfulNotRun: IProof = {
  name: 'not-run',
  isTimed: false,
  property: 'a request is answered notRun or refused only if it has no start',
  failure: 'schedulers and gateways killed at random steps; runners that cut, refuse and hang',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 3 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 40, cutRate: 0.1, failRate: 0.05, hangRate: 0.02 } } })
    const killedGateways = new Set<string>()
    const { checker, open } = await runUnderLoad(cell, { perSecond: 400, deadlineMs: 1500, seed: 13 }, async () => {
      for (let round = 0; round < 3 * scale; round++) {
        const victim = round % 3 === 2 ? cell.gateways()[0] : cell.schedulers()[round % cell.schedulers().length]
        if (victim === undefined) continue
        if (victim.role === 'gateway') killedGateways.add(victim.processId)
        await victim.handle.kill()
        await sleep(2500)
        await cell.startDaemon(victim.role, victim.region, victim.processId)
        await sleep(2500)
      }
    })
    checker.checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWholeAnswers().checkCapacity()
    checker.checkEnded(open, (record) => killedGateways.has(record.gateway))
    return proofResult(checker, checker.starts.length)
  })
}

const atMostOnce: IProof = {
  name: 'at-most-once',
  isTimed: false,
  property: 'a non-idempotent request has at most one start',
  failure: 'ids sent again through other gateways while schedulers die and the store loses answers and goes down',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 50, cutRate: 0.05 } } })
    const options = { perSecond: 200, services: NON_IDEMPOTENT, repeatShare: 0.7, deadlineMs: 2500, seed: 14 }
    const { checker, open } = await runUnderLoad(cell, options, async () => {
      await cell.control(cell.storeControlUrl, { loseAnswers: 0.2, seed: 14 })
      await pauseAndKill(cell, scale)
      await cell.control(cell.storeControlUrl, { outage: 'hang' })
      await sleep(2500)
      await cell.control(cell.storeControlUrl, { outage: 'none', loseAnswers: 0 })
      await sleep(3000)
    })
    checker.checkAtMostOnce(NON_IDEMPOTENT).checkNotRun().checkWholeAnswers().checkEnded(open, () => false)
    return proofResult(checker, checker.starts.length)
  })
}

export const REQUEST_PROOFS: readonly IProof[] = [capacity, wholeAnswers, truthfulNotRun, atMostOnce]
