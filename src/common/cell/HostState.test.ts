/**
 * What an owner concludes about a host's clock.
 */

import test from 'ava'
import { SimulatedHost } from '../../../test/support/SimulatedHost.js'
import { ManualClock } from '../Clock.js'
import { HostFence } from './HostFence.js'
import { HostState } from './HostState.js'
import { WorkspaceUsage } from './WorkspaceUsage.js'

const LATENCY_MS = 40
const SLOW_RATE = 0.98

function createHost (): HostState {
  const { entry } = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: 1, workMs: () => 1, endOf: () => 'done'
  }, new ManualClock())
  return new HostState(entry, { maxHoldMs: 1, inheritedUntilMs: 0 }, new HostFence(1), new WorkspaceUsage())
}

test('a value of a host\'s clock is never taken for a later time than it was', (t) => {
  // An entry would look younger than it is, and a host that is cut off would count as having left.
  for (const rate of [SLOW_RATE, 1]) {
    for (let readAtMs = 0; readAtMs < 20_000; readAtMs += 700) {
      const host = createHost()
      for (let requestedAtMs = 0; requestedAtMs <= 20_000; requestedAtMs += 1000) {
        host.updateClock((requestedAtMs + LATENCY_MS / 2) * rate, requestedAtMs, requestedAtMs + LATENCY_MS)
        const nowMs = requestedAtMs + LATENCY_MS
        if (nowMs >= readAtMs) t.true(host.earliestTimeOf(readAtMs * rate, nowMs) <= readAtMs)
      }
    }
  }
})

test('a value that the clock can not have reached, or of a host that never answered, tells nothing', (t) => {
  const host = createHost()
  t.is(host.earliestTimeOf(0, 1000), -Infinity)
  host.updateClock(500, 1000, 1000 + LATENCY_MS)
  t.is(host.earliestTimeOf(5000, 2000), -Infinity)
  t.true(host.earliestTimeOf(400, 2000) > 0)
})
