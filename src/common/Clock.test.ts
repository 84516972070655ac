/**
 * The manual clock for tests.
 */

import test from 'ava'

import { ManualClock } from './Clock.js'

test('timers fire in the order of their due times and see the time at which they were due', (t) => {
  const clock = new ManualClock()
  const seen: number[] = []
  clock.after(30, () => seen.push(clock.nowMs()))
  const every = clock.every(20, () => seen.push(clock.nowMs()))
  clock.advance(45)
  every.dispose()
  clock.advance(100)
  t.deepEqual(seen, [20, 30, 40])
})
