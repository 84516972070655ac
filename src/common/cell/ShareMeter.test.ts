/**
 * The share of a workspace over time.
 */

import test from 'ava'
import { ShareMeter } from './ShareMeter.js'

test('a workspace may use the share of a second at once after a pause, but not of a minute', (t) => {
  const meter = new ShareMeter()
  const countWithin = (nowMs: number): number => Array.from({ length: 20 }, () => meter.recordJob('blue', 5, nowMs)).filter(Boolean).length
  t.is(countWithin(0), 5)
  t.is(countWithin(400), 2)
  t.is(countWithin(60_000), 5)
})

test('a workspace without a weight has no share to exceed', (t) => {
  t.true(new ShareMeter().recordJob('', 0, 0))
})
