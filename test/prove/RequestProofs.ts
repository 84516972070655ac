/**
 * Proofs on the request path: capacity, whole answers, truthful "not run", at most once.
 */

import { NON_IDEMPOTENT, setRunners, sleep, verdict, withCell } from './Harness.js'
import { Judge } from './Judge.js'
import { DEFAULT_LOAD, Load } from './Load.js'

import type { Cell } from '../support/Cell.js'
import type { ILoadOptions } from './Load.js'
import type { IProof } from './Types.js'

/** Runs load while `harm` does its work; gives the judge and the requests that never ended. */
async function underLoad (cell: Cell, options: Partial<ILoadOptions>, harm: () => Promise<void>): Promise<{ judge: Judge, open: Load['records'] }> {
  const load = new Load(cell, { ...DEFAULT_LOAD, ...options })
  await load.start()
  await harm()
  const open = await load.finish()
  const judge = await Judge.collect(cell, load.records)
  return { judge, open: [...open] }
}

/**
 * A scheduler dies with its queue and its calls in flight, or stands still for longer than its lease while others take
 * its shards over, and then goes on as if nothing had been. Its runners still work on what it sent them. Callers notice
 * refused or doubled work when the next owner counts their slots as free.
 */
async function killAndPause (cell: Cell, rounds: number): Promise<void> {
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
    const { judge, open } = await underLoad(cell, { perSecond: 600, seed: 11 }, async () => { await killAndPause(cell, scale) })
    judge.checkCapacity().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWhole().checkEnded(open, () => false)
    return verdict(judge, judge.starts.length)
  })
}

const wholeAnswers: IProof = {
  name: 'whole-answers',
  isTimed: false,
  property: 'an answer that is passed on is complete and belongs to its request',
  failure: 'answers out of order, late and cut short; equal request ids of different callers',
  run: async (scale) => await withCell({ runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 20, cutRate: 0.05, hangRate: 0.02 }, 'chip-lookup': { runMs: 3 }, 'pivot-stop': { runMs: 60 } } })
    const { judge, open } = await underLoad(cell, { perSecond: 200, deadlineMs: 1500, seed: 12 }, async () => { await sleep(8000 * scale) })
    judge.checkWhole().checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkCapacity().checkEnded(open, () => false)
    return verdict(judge, judge.starts.length)
  })
}

const truthfulNotRun: IProof = {
  name: 'not-run',
  isTimed: false,
  property: 'notRun and refused are told only of work without a start',
  failure: 'schedulers and gateways killed at random steps; runners that cut, refuse and hang',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 3 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 40, cutRate: 0.1, failRate: 0.05, hangRate: 0.02 } } })
    const killedGateways = new Set<string>()
    const { judge, open } = await underLoad(cell, { perSecond: 400, deadlineMs: 1500, seed: 13 }, async () => {
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
    judge.checkNotRun().checkAtMostOnce(NON_IDEMPOTENT).checkWhole().checkCapacity()
    judge.checkEnded(open, (record) => killedGateways.has(record.gateway))
    return verdict(judge, judge.starts.length)
  })
}

const atMostOnce: IProof = {
  name: 'at-most-once',
  isTimed: false,
  property: 'a non-idempotent request has at most one start',
  failure: 'the same ids again through other gateways while schedulers die and the store loses answers and goes down',
  run: async (scale) => await withCell({ schedulersPerRegion: 2, runnersPerRegion: 4 }, async (cell) => {
    await setRunners(cell, { services: { '*': { runMs: 50, cutRate: 0.05 } } })
    const options = { perSecond: 200, services: NON_IDEMPOTENT, repeatShare: 0.7, deadlineMs: 2500, seed: 14 }
    const { judge, open } = await underLoad(cell, options, async () => {
      await cell.control(cell.storeControlUrl, { loseAnswers: 0.2, seed: 14 })
      await killAndPause(cell, scale)
      await cell.control(cell.storeControlUrl, { outage: 'hang' })
      await sleep(2500)
      await cell.control(cell.storeControlUrl, { outage: 'none', loseAnswers: 0 })
      await sleep(3000)
    })
    judge.checkAtMostOnce(NON_IDEMPOTENT).checkNotRun().checkWhole().checkEnded(open, () => false)
    return verdict(judge, judge.starts.length)
  })
}

export const REQUEST_PROOFS: readonly IProof[] = [capacity, wholeAnswers, truthfulNotRun, atMostOnce]
