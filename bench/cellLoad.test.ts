/**
 * The share of each queue's jobs that is done in time in a cell that is four fifths full, half of it with wide all-at-once jobs.
 */

import test from 'ava'
import { readFileSync } from 'node:fs'
import { simulateLoad, withMachines } from './cellLoad.js'

import type { ExecutionContext } from 'ava'
import type { ILoadSet } from './cellLoad.js'

const HOSTS = 200
const DURATION_MS = 20_000
/** The target is nine in ten of each queue's jobs. */
const MIN_IN_TIME_SHARE = 0.9

// Without reserved capacity, wide jobs are late. If capacity is also reserved for jobs that are already late, the jobs behind them are late.
for (const seed of [1, 2, 3]) {
  test.serial(`nine in ten jobs of each queue are done in time in a busy cell (seed ${seed})`, async (t) => { await checkInTime(t, seed) })
}

async function checkInTime (t: ExecutionContext, seed: number): Promise<void> {
  for (const { queue, inTime } of (await simulateLoad({ hosts: HOSTS, seed, durationMs: DURATION_MS })).queues) t.true(inTime >= MIN_IN_TIME_SHARE, `${queue}: ${inTime} in time`)
}

/** So few machines that may call for advice that the calls of wide and batch jobs compete for them. */
const FEW_MACHINES = 16
const ADVISED_HOSTS = 246
const TEST_TIMEOUT_MS = 240_000
const ADVISED_GANGS = JSON.parse(readFileSync(new URL('../../bench/loads/advised-gangs.json', import.meta.url), 'utf8')) as ILoadSet

// Without an order of the calls, the short ones of the batch queue follow each other on all machines, and wide jobs get no advice in time.
test.serial('wide jobs get advice in time while batch jobs call through the same machines', async (t) => {
  t.timeout(TEST_TIMEOUT_MS)
  // Hosts of one speed: a gang is as fast as its slowest member, which has nothing to do with advice.
  const set = { ...withMachines(ADVISED_GANGS, FEW_MACHINES), speeds: [1] }
  const { queues } = await simulateLoad({ hosts: ADVISED_HOSTS, seed: 1, durationMs: DURATION_MS, factor: 1.1, set })
  const inTime = new Map(queues.map((row) => [row.queue, row.inTime]))
  t.log([...inTime])
  t.true((inTime.get('wide') ?? 0) >= 0.65)
  t.true((inTime.get('batch') ?? 0) >= 0.9)
})
