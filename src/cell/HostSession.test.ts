/**
 * The polls of one host whose answers the test gives.
 */

import test from 'ava'
import { SimulatedHost } from '../../test/support/SimulatedHost.js'
import { advance } from '../../test/support/advance.js'
import { HostFence } from '../common/cell/HostFence.js'
import { HostState } from '../common/cell/HostState.js'
import { WorkspaceUsage } from '../common/cell/WorkspaceUsage.js'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { HostSession } from './HostSession.js'

import type { HoldOutcome, IHoldOrder } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'

const MAX_HOLD_MS = 10_000
const LONG_WAIT_MS = 4000
const TERMS = { maxHoldMs: MAX_HOLD_MS, inheritedUntilMs: 0 }

test('an idle host that crashes during a long poll gets no work 2.5 s after its last answer', async (t) => {
  // Its poll breaks at once, but by the wait of that poll it would count as in contact for seconds, and its free room would attract tasks.
  const clock = new ManualClock()
  const { entry } = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => 1, endOf: () => 'done'
  }, clock)
  const host = new HostState(entry, TERMS, new HostFence(1), new WorkspaceUsage())
  let isCrashed = false
  const hold = async (): Promise<HoldOutcome> => {
    if (isCrashed) return { kind: 'failed', reason: 'refused' }
    if (host.hasClock && clock.nowMs() > 0) await new Promise<void>((resolve) => { clock.after(LONG_WAIT_MS / 4, resolve) })
    if (isCrashed) return { kind: 'failed', reason: 'reset' }
    return { kind: 'held', answer: { clockMs: clock.nowMs(), bornMs: entry.bornMs, running: [], ended: [], moreEnds: false, unreadableRows: 0 } }
  }
  const session = new HostSession(host, {
    hold,
    holdUntilMs: () => Infinity,
    onHeld: (held, { clockMs }, sentAtMs) => {
      held.confirmFence(clockMs)
      held.updateClock(clockMs, sentAtMs, clock.nowMs())
    },
    onFenced: () => {},
    onFenceExhausted: () => {},
    onRegained: () => {},
    onFailure: () => {},
    pollWaitMs: () => LONG_WAIT_MS
  }, MAX_HOLD_MS, clock, new SilentLogger())
  t.teardown(() => { session.dispose() })
  clock.advance(1)
  session.start()
  await advance(clock, 1500)
  t.true(host.isPlaceable(clock.nowMs()))
  isCrashed = true
  await advance(clock, 2500)
  t.false(host.isPlaceable(clock.nowMs()))
})

test('a poll after one without an answer acknowledges nothing', async (t) => {
  // The host may have restarted, and would forget ends of its new incarnation that have the same numbers and that nobody has seen.
  const clock = new ManualClock()
  const { entry } = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => 1, endOf: () => 'done'
  }, clock)
  const host = new HostState(entry, TERMS, new HostFence(1), new WorkspaceUsage())
  host.storedSequence = 57
  host.appliedSequence = 57
  const acknowledged: number[] = []
  const session = new HostSession(host, {
    hold: async (_entry, { acknowledgedSequence }) => {
      await new Promise<void>((resolve) => { clock.after(100, resolve) })
      acknowledged.push(acknowledgedSequence)
      if (acknowledged.length === 2) return { kind: 'failed', reason: 'reset' }
      return { kind: 'held', answer: { clockMs: clock.nowMs(), bornMs: entry.bornMs, running: [], ended: [], moreEnds: false, unreadableRows: 0 } }
    },
    holdUntilMs: () => Infinity,
    onHeld: (held, { clockMs }, sentAtMs) => {
      held.confirmFence(clockMs)
      held.updateClock(clockMs, sentAtMs, clock.nowMs())
    },
    onFenced: () => {},
    onFenceExhausted: () => {},
    onRegained: () => {},
    onFailure: () => {},
    pollWaitMs: () => LONG_WAIT_MS
  }, MAX_HOLD_MS, clock, new SilentLogger())
  t.teardown(() => { session.dispose() })
  session.start()
  await advance(clock, 800)
  t.deepEqual(acknowledged.slice(1, 4), [57, 0, 57])
})

test('a poll that was lost and is carried out by the next incarnation of its host does not make it forget ends there', async (t) => {
  // Their sequence numbers start again. The owner would take the runs for gone that have ended as done, and start them again.
  const clock = new ManualClock()
  const simulated = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 8000, memoryMb: 1000, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => 1, endOf: () => 'done'
  }, clock)
  const host = new HostState(simulated.entry, TERMS, new HostFence(1), new WorkspaceUsage())
  const lost: IHoldOrder[] = []
  let isCut = false
  const session = new HostSession(host, {
    hold: async (_entry, order) => {
      await new Promise<void>((resolve) => { clock.after(LONG_WAIT_MS / 20, resolve) })
      if (isCut) lost.push(order)
      const answer = isCut ? undefined : simulated.hold(order)
      return answer === undefined || answer === 'fenced' ? { kind: 'failed', reason: 'silent' } : { kind: 'held', answer }
    },
    holdUntilMs: () => Infinity,
    onHeld: (held, { clockMs, ended }, sentAtMs) => {
      held.updateClock(clockMs, sentAtMs, clock.nowMs())
      held.appliedSequence = Math.max(held.appliedSequence, ...ended.map(({ sequence }) => sequence))
      held.storedSequence = held.appliedSequence
    },
    onFenced: () => {},
    onFenceExhausted: () => {},
    onRegained: () => {},
    onFailure: () => {},
    pollWaitMs: () => LONG_WAIT_MS
  }, MAX_HOLD_MS, clock, new SilentLogger())
  t.teardown(() => { session.dispose() })
  const endRuns = (): void => {
    for (const index of [0, 1]) {
      const ref = { jobId: '1', step: 0, index, run: 1 }
      simulated.start({ ref, description: '', checkpoint: '', ticket: '', deadlineMs: simulated.clockMs + MAX_HOLD_MS, fence: 1 })
    }
    clock.advance(1)
    simulated.tick()
  }
  clock.advance(1)
  session.start()
  endRuns()
  await advance(clock, 2000)
  t.is(host.storedSequence, 2)
  t.deepEqual(simulated.hold({ fence: host.fence, acknowledgedSequence: 0, deadlineMs: undefined, waitMs: 0 }), {
    clockMs: simulated.clockMs, bornMs: simulated.bornMs, running: [], ended: [], moreEnds: false, unreadableRows: 0
  })
  isCut = true
  await advance(clock, 2000)
  simulated.restart()
  endRuns()
  for (const order of lost) simulated.hold(order)
  const answer = simulated.hold({ fence: host.fence, acknowledgedSequence: 0, deadlineMs: undefined, waitMs: 0 })
  t.is(answer === undefined || answer === 'fenced' ? 0 : answer.ended.length, 2)
})

test('orders to a host use new connections once it is back after a silence or a restart', async (t) => {
  // Orders on connections that have broken meanwhile would fail, while others reach the host, and gangs would start in part.
  const clock = new ManualClock()
  const simulated = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => 1, endOf: () => 'done'
  }, clock)
  const host = new HostState(simulated.entry, TERMS, new HostFence(1), new WorkspaceUsage())
  let reconnections = 0
  const session = new HostSession(host, {
    hold: async (_entry, order) => {
      await new Promise<void>((resolve) => { clock.after(100, resolve) })
      const answer = simulated.hold(order)
      return answer === undefined || answer === 'fenced' ? { kind: 'failed', reason: 'silent' } : { kind: 'held', answer }
    },
    holdUntilMs: () => Infinity,
    onHeld: (held, { clockMs, bornMs }, sentAtMs) => {
      if (bornMs === held.bornMs) held.confirmFence(clockMs)
      else held.resetAfterRestart(bornMs, clock.nowMs())
      held.updateClock(clockMs, sentAtMs, clock.nowMs())
    },
    onFenced: () => {},
    onFenceExhausted: () => {},
    onRegained: () => { reconnections += 1 },
    onFailure: () => {},
    pollWaitMs: () => LONG_WAIT_MS
  }, MAX_HOLD_MS, clock, new SilentLogger())
  t.teardown(() => { session.dispose() })
  clock.advance(1)
  session.start()
  await advance(clock, 1000)
  t.is(reconnections, 0)
  simulated.isSilent = true
  await advance(clock, 1000)
  simulated.isSilent = false
  await advance(clock, 1000)
  t.is(reconnections, 1)
  simulated.restart()
  await advance(clock, 1000)
  t.is(reconnections, 2)
  t.is(host.bornMs, simulated.bornMs)
  t.true(host.isFenced)
})

test('a host is polled again after a poll that has thrown an error', async (t) => {
  // The session ended for good, and a sound host that registered later under the same id got no work.
  const clock = new ManualClock()
  const { entry } = new SimulatedHost({
    hostId: 'host-0', cpuMillicores: 1, memoryMb: 1, rack: 'rack', maxHoldMs: MAX_HOLD_MS, workMs: () => 1, endOf: () => 'done'
  }, clock)
  const host = new HostState(entry, TERMS, new HostFence(1), new WorkspaceUsage())
  const errors: string[] = []
  const log: ILogger = { debug: () => {}, info: () => {}, warn: () => {}, error: (event) => { errors.push(event) } }
  let polls = 0
  let isMalformed = true
  const session = new HostSession(host, {
    hold: async () => {
      polls += 1
      if (isMalformed) throw new TypeError('Invalid URL')
      await new Promise<void>((resolve) => { clock.after(100, resolve) })
      return { kind: 'held', answer: { clockMs: clock.nowMs(), bornMs: entry.bornMs, running: [], ended: [], moreEnds: false, unreadableRows: 0 } }
    },
    holdUntilMs: () => Infinity,
    onHeld: (held, { clockMs }, sentAtMs) => {
      held.confirmFence(clockMs)
      held.updateClock(clockMs, sentAtMs, clock.nowMs())
    },
    onFenced: () => {},
    onFenceExhausted: () => {},
    onRegained: () => {},
    onFailure: () => {},
    pollWaitMs: () => LONG_WAIT_MS
  }, MAX_HOLD_MS, clock, log)
  t.teardown(() => { session.dispose() })
  session.start()
  await advance(clock, 3000)
  t.true(polls > 1)
  t.deepEqual(errors, ['host.sessionFailed'])
  isMalformed = false
  await advance(clock, 1000)
  t.true(host.isPlaceable(clock.nowMs()))
})
