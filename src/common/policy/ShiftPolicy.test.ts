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

test('work moves within the region, and to another one only where its profile finds it worth the bytes', (t) => {
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
 * Two schedulers with nearly the same wait each find the other a little better. Work that moves on that sign goes to and fro.
 */
test('work does not move for a small gain, twice, or on old news', (t) => {
  const policy = new ShiftPolicy(new SeededRandom(1))
  policy.putSummary(summary('near', 'west', 4_000))
  t.is(policy.choose(request()), undefined)
  policy.putSummary(summary('near', 'west', 0))
  t.is(policy.choose(request({ hasMoved: true })), undefined)
  t.is(policy.choose(request({ nowMs: 10_000 })), undefined)
})

/*
 * A scheduler says that it is nearly idle, and everybody who hears it sends what waits. A second later it is the one with the longest queue.
 */
test('no more moves to a scheduler than fill a part of what it had free', (t) => {
  const policy = new ShiftPolicy(new SeededRandom(1))
  policy.putSummary(summary('near', 'west', 0, 60))
  const moved = Array.from({ length: 50 }, () => policy.choose(request())).filter((id) => id !== undefined).length
  t.is(moved, 10)
})
