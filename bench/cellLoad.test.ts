/**
 * What callers of each queue get in a cell that is four fifths full, half of it wide all-at-once work.
 */

import test from 'ava'
import { play } from './cellLoad.js'

import type { ExecutionContext } from 'ava'

const HOSTS = 200
const FOR_MS = 20_000
/** Nine in ten of each queue's jobs. */
const AIM = 0.9

// Without room held the wide jobs are late; with room held for those that are late already, the work behind them is.
for (const seed of [1, 2, 3]) {
  test.serial(`nine in ten jobs of each queue are done in time in a busy cell (seed ${seed})`, async (t) => { await inTime(t, seed) })
}

async function inTime (t: ExecutionContext, seed: number): Promise<void> {
  for (const { queue, inTime } of await play(HOSTS, seed, FOR_MS)) t.true(inTime >= AIM, `${queue}: ${inTime} in time`)
}
