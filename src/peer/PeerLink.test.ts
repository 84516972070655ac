/**
 * Tests of one link over a fake socket that only collects packets.
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

test('a link sends one heartbeat per period if it sends nothing else, and none in a period with other messages', async (t) => {
  // With too few heartbeats a healthy peer counts as silent. With too many, hundreds of links cost more than the work.
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
    awakeClock: new AwakeClock(clock, PEER_HUB_DEFAULTS.heartbeatMs),
    onLinkClosed: () => {}
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
