import test from 'ava'

import { cores, profile, work } from '../../../test/policy/TestWork.js'
import { SeededRandom } from '../Random.js'
import { ShiftPolicy } from './ShiftPolicy.js'

import type { IShiftRequest, ISchedulerSummary } from './ShiftPolicy.js'

function summary (schedulerId: string, region: string, waitMs: number, usedCores = 0): ISchedulerSummary {
  const expectedWaitMs = { urgent: waitMs, normal: waitMs, patient: waitMs }
  const load = { queued: 0, running: 0, capacity: cores(100), used: cores(usedCores), largestFree: cores(8), expectedWaitMs }
  return { schedulerId, region, seenAtMs: 0, load }
}

function request (changes: Partial<IShiftRequest> = {}): IShiftRequest {
  return { item: work('a'), ownRegion: 'west', ownWaitMs: 5_000, hasMoved: false, nowMs: 0, ...changes }
}

test('work moves within the region, and to another one only if its profile allows it and the gain is large enough', (t) => {
  const policy = new ShiftPolicy(new SeededRandom(1))
  policy.putSummary(summary('far', 'east', 0))
  t.is(policy.choose(request()), undefined)
  const worthIt = work('a', { profile: profile({ crossRegion: 'whenWorthIt', crossRegionGainMs: 4_000 }) })
  t.is(policy.choose(request({ item: worthIt })), 'far')
  t.is(policy.choose(request({ item: worthIt, ownWaitMs: 3_000 })), undefined)
  policy.putSummary(summary('near', 'west', 100))
  t.is(policy.choose(request({ item: worthIt })), 'near')
})

/*
 * Two schedulers have nearly the same wait, and each sees a slightly shorter wait at the other. Work that moves for
 * such a small difference would move back and forth.
 */
test('work does not move for a small gain, twice or on an old summary', (t) => {
  const policy = new ShiftPolicy(new SeededRandom(1))
  policy.putSummary(summary('near', 'west', 4_000))
  t.is(policy.choose(request()), undefined)
  policy.putSummary(summary('near', 'west', 0))
  t.is(policy.choose(request({ hasMoved: true })), undefined)
  t.is(policy.choose(request({ nowMs: 10_000 })), undefined)
})

/*
 * A scheduler reports that it is nearly idle, and all others move their queued work to it. A second later it has the
 * longest queue.
 */
test('the work moved to a scheduler fills only a part of its free capacity', (t) => {
  const policy = new ShiftPolicy(new SeededRandom(1))
  policy.putSummary(summary('near', 'west', 0, 60))
  const moved = Array.from({ length: 50 }, () => policy.choose(request())).filter((id) => id !== undefined).length
  t.is(moved, 10)
})
