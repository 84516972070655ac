/**
 * The share of each queue's jobs that is done in time in a cell that is four fifths full, half of it with wide all-at-once jobs.
 */

import test from 'ava'
import { simulateLoad } from './cellLoad.js'

import type { ExecutionContext } from 'ava'

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
