/**
 * Owners of different speed that have just taken over with many waiting steps, and get advice for them.
 */

import test from 'ava'
import { setImmediate } from 'node:timers/promises'
import { ManualClock } from '../Clock.js'
import { AdviceDispatcher } from './AdviceDispatcher.js'
import { AdviceLimit } from './AdviceLimit.js'

import type { AdviceOutcome } from './Types.js'

const STEPS = 120
const MACHINES = Array.from({ length: 20 }, (_, number) => ({ name: `machine-${number}`, isNear: true }))
const EXPECTED_MS = 100
const RETRY_MS = 300
const TICK_MS = 5

interface IResult {
  readonly calls: number
  readonly failed: number
  readonly advisedAfterMs: number
  /** The longest time for which the processor had something to do. */
  readonly maxBusyMs: number
}

/** Asks for all steps at once, again after a failure. The owner handles requests and answers one after the other. */
async function askForAll (costMs: number, untilMs: number): Promise<IResult> {
  const clock = new ManualClock()
  const result = { calls: 0, failed: 0, advisedAfterMs: Infinity, maxBusyMs: 0 }
  let busyUntilMs = 0
  let advised = 0
  const work = (): number => {
    busyUntilMs = Math.max(busyUntilMs, clock.nowMs()) + costMs
    result.maxBusyMs = Math.max(result.maxBusyMs, busyUntilMs - clock.nowMs())
    return busyUntilMs - clock.nowMs()
  }
  const send = async (timeoutMs: number): Promise<AdviceOutcome> => await new Promise((resolve) => {
    result.calls += 1
    clock.after(work() + EXPECTED_MS, () => { clock.after(work(), () => { resolve({ kind: 'advised', allowed: [] }) }) })
    clock.after(timeoutMs, () => { resolve({ kind: 'failed', reason: 'timeout' }) })
  })
  // Timers wait for the processor as well.
  const ownerClock = {
    nowMs: () => clock.nowMs(),
    wallMs: () => clock.wallMs(),
    every: (periodMs: number, callback: () => void) => clock.every(periodMs, callback),
    after: (delayMs: number, callback: () => void) => clock.after(delayMs, () => { clock.after(Math.max(0, busyUntilMs - clock.nowMs()), callback) })
  }
  const dispatcher = new AdviceDispatcher({ machines: () => MACHINES, send: async (_machine, _ask, timeoutMs) => await send(timeoutMs) }, ownerClock)
  const ask = (step: number): void => {
    dispatcher.dispatch({
      jobId: 'job',
      step,
      hostIds: [],
      priority: 0,
      isForLater: false,
      holdsCapacity: false,
      dueMs: 0,
      expectedMs: EXPECTED_MS,
      isLate: () => false,
      isWanted: () => true,
      onSent: () => {},
      settle: ({ kind }) => {
        if (kind === 'advised') advised += 1
        else {
          result.failed += 1
          clock.after(RETRY_MS, () => { ask(step) })
        }
        if (advised === STEPS) result.advisedAfterMs = Math.min(result.advisedAfterMs, clock.nowMs())
      }
    })
  }
  for (let step = 0; step < STEPS; step += 1) ask(step)
  for (let nowMs = 0; nowMs < untilMs && result.advisedAfterMs === Infinity; nowMs += TICK_MS) {
    clock.advance(TICK_MS)
    await setImmediate()
  }
  return result
}

test('a slow owner with many waiting steps processes the answers before their timeouts', async (t) => {
  // If all steps ask at once, the answers are processed after their timeouts and asked for again, and the lease isn't renewed in time.
  const costMs = 40
  const { calls, failed, advisedAfterMs, maxBusyMs } = await askForAll(costMs, 20_000)
  t.true(advisedAfterMs < STEPS * 2 * costMs * 1.2, `advised after ${advisedAfterMs} ms`)
  t.true(failed < STEPS * 0.05, `${failed} of ${calls} calls failed`)
  t.true(maxBusyMs < 750, `busy for ${maxBusyMs} ms on end`)
})

test('an owner with processor time to spare soon uses all machines', async (t) => {
  const { failed, advisedAfterMs } = await askForAll(0.2, 20_000)
  t.is(failed, 0)
  const unlimitedMs = STEPS / (MACHINES.length * 2) * EXPECTED_MS
  t.true(advisedAfterMs < unlimitedMs + 350, `advised after ${advisedAfterMs} ms`)
})

/** Ends a call; `isNoticedInTime`: whether the owner noticed punctually that its answer was late. */
function endCall (limit: AdviceLimit, sentAtMs: number, endedAtMs: number, isAnswered = true, isNoticedInTime = false): void {
  const call = { sentAtMs, expectedMs: EXPECTED_MS, isNoticedInTime }
  limit.recordSent(call)
  limit.recordEnd(call, endedAtMs, isAnswered, true)
}

test('calls that end late on some machines do not lower the limit of an owner with processor time to spare', (t) => {
  // Otherwise an owner would hardly ask any more after machines have gone, just when the steps of their lost runs need advice.
  const limit = new AdviceLimit()
  for (let number = 0; number < 300; number += 1) {
    const isLate = number % 4 === 0 && number > 100
    endCall(limit, 0, EXPECTED_MS + (isLate ? 700 : 40), !isLate)
  }
  t.true(limit.calls >= 40, `${limit.calls} calls`)
})

test('a network that delays every answer does not lower the limit of an owner with processor time to spare', (t) => {
  // With lossy links, it would ask for less and less although it could process every answer, and nothing would start.
  const limit = new AdviceLimit()
  for (let number = 0; number < 100; number += 1) endCall(limit, 0, EXPECTED_MS + 40)
  const before = limit.calls
  for (let number = 0; number < 300; number += 1) endCall(limit, 1000, 1000 + EXPECTED_MS + 500, true, true)
  t.is(limit.calls, before)
})

test('many late answers at once lower the limit once, and it is approached in small steps then', (t) => {
  // If each of them lowered it, one pause of the owner would leave hardly any call; if it doubled again, the next pause would follow soon.
  const limit = new AdviceLimit()
  for (let number = 0; number < 6 + 12 + 24; number += 1) endCall(limit, 0, EXPECTED_MS)
  t.is(limit.calls, 48)
  for (let number = 0; number < 100; number += 1) endCall(limit, 0, 1000)
  t.is(limit.calls, 24)
  for (let number = 0; number < 24; number += 1) endCall(limit, 1000, 1000 + EXPECTED_MS)
  t.is(limit.calls, 26)
})
