/**
 * Silence of a peer, told apart from a pause of our own.
 */

import test from 'ava'

import { AwakeClock } from '../common/AwakeClock.js'
import { ManualClock } from '../common/Clock.js'
import { HeartbeatMonitor } from './HeartbeatMonitor.js'

const PERIOD_MS = 500
const LIMIT_MS = 2_000

function start (): { readonly clock: ManualClock, readonly awake: AwakeClock, readonly monitor: HeartbeatMonitor } {
  const clock = new ManualClock()
  const awake = new AwakeClock(clock, PERIOD_MS)
  return { clock, awake, monitor: new HeartbeatMonitor(awake, LIMIT_MS) }
}

test('a peer that sends nothing for the limit is silent; part of a message is a sign of life', (t) => {
  const { clock, awake, monitor } = start()
  for (let tick = 0; tick < 10; tick++) {
    clock.advance(PERIOD_MS)
    awake.tick()
    monitor.noteReceived(tick)
  }
  t.false(monitor.isSilent())
  for (let tick = 0; tick < 5; tick++) {
    clock.advance(PERIOD_MS)
    awake.tick()
    monitor.noteReceived(9)
  }
  t.true(monitor.isSilent())
})

test('our own pause is not taken for the silence of the peer', (t) => {
  // The process is stopped for a minute. When it wakes, its timers fire before its sockets are read, and by the clock
  // everybody has been silent. If it believed that, each pause would cost it all its links.
  const { clock, awake, monitor } = start()
  clock.advance(60_000)
  awake.tick()
  monitor.noteReceived(0)
  t.false(monitor.isSilent())
})
