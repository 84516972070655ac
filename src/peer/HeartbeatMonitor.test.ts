/**
 * Tests that the silence of a peer is distinguished from a pause of this process.
 */

import test from 'ava'

import { AwakeClock } from '../common/AwakeClock.js'
import { ManualClock } from '../common/Clock.js'
import { HeartbeatMonitor } from './HeartbeatMonitor.js'

const PERIOD_MS = 500
const LIMIT_MS = 2_000

function createMonitor (): { readonly clock: ManualClock, readonly awake: AwakeClock, readonly monitor: HeartbeatMonitor } {
  const clock = new ManualClock()
  const awake = new AwakeClock(clock, PERIOD_MS)
  return { clock, awake, monitor: new HeartbeatMonitor(awake, LIMIT_MS) }
}

test('a peer that sends nothing for the time limit is silent, and one that sends part of a message is not', (t) => {
  const { clock, awake, monitor } = createMonitor()
  for (let tick = 0; tick < 10; tick++) {
    clock.advance(PERIOD_MS)
    awake.tick()
    monitor.updateReceived(tick)
  }
  t.false(monitor.isSilent())
  for (let tick = 0; tick < 5; tick++) {
    clock.advance(PERIOD_MS)
    awake.tick()
    monitor.updateReceived(9)
  }
  t.true(monitor.isSilent())
})

test('a pause of this process does not count as silence of the peer', (t) => {
  // The process is stopped for a minute. When it resumes, its timers fire before its sockets are read, and by the clock
  // all peers have been silent. If this counted as silence, the process would lose all its links with each pause.
  const { clock, awake, monitor } = createMonitor()
  clock.advance(60_000)
  awake.tick()
  monitor.updateReceived(0)
  t.false(monitor.isSilent())
})
