/**
 * For how long work may run that uses what is reserved for a job.
 */

import test from 'ava'
import { Backfill } from './Backfill.js'

test('a job starts although runs that use what it reserves last for long: the time in which none of them may begin grows', (t) => {
  const backfill = new Backfill(0)
  const lentAtMs: number[] = [21_000]
  for (let nowMs = 21_500; nowMs < 200_000; nowMs += 500) {
    const isReturning = (lentAtMs.at(-1) ?? 0) > backfill.runsBeforeMs
    if (backfill.maxRunMs(1000, isReturning, nowMs) > 0) lentAtMs.push(nowMs)
  }
  t.deepEqual(lentAtMs, [21_000, 24_000, 31_000, 50_000, 105_000])
})
