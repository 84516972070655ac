/**
 * One link over a socket that only counts.
 */

import { setImmediate } from 'node:timers/promises'

import test from 'ava'

import { identity, TEST_KEY } from '../../test/support/PeerHubs.js'
import { AwakeClock } from '../common/AwakeClock.js'
import { ManualClock } from '../common/Clock.js'
import { SeededRandom } from '../common/Random.js'
import { HandlerTable } from './HandlerTable.js'
import { PeerCounters } from './PeerCounters.js'
import { PEER_HUB_DEFAULTS } from './PeerHubOptions.js'
import { PeerLink } from './PeerLink.js'

test('a link on which nothing else is sent carries one heartbeat per period, and none beside other messages', async (t) => {
  // Too few heartbeats and a healthy peer is taken for silent; too many and hundreds of links cost more than the work.
  const clock = new ManualClock()
  const packets: Uint8Array[] = []
  const socket = {
    sentBytes: 0,
    receivedBytes: 0,
    bufferedBytes: 0,
    listen: () => {},
    close: () => {},
    dispose: () => {},
    send: (packet: Uint8Array) => packets.push(packet)
  }
  const link = new PeerLink(identity('b'), true, socket, {
    selfId: 'a',
    options: { ...PEER_HUB_DEFAULTS, sharedKey: TEST_KEY },
    environment: { clock, timers: clock, random: new SeededRandom(1) },
    counters: new PeerCounters(),
    handlers: new HandlerTable(),
    awake: new AwakeClock(clock, PEER_HUB_DEFAULTS.heartbeatMs),
    onGone: () => {}
  })
  for (let period = 1; period <= 4; period++) {
    link.tick()
    await setImmediate()
    t.is(packets.length, period)
  }
  link.cast('members', { news: [] })
  link.tick()
  await setImmediate()
  t.is(packets.length, 5)
})
