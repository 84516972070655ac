/**
 * How a gateway chooses a scheduler.
 */

import test from 'ava'

import { SeededRandom } from '../Random.js'
import { SchedulerRouter } from './SchedulerRouter.js'

import type { IProfile } from '../config/Types.js'
import type { ILoadSummary, IShardLoad } from '../protocol/Types.js'

const NO_RESOURCES = { cores: 0, memoryBytes: 0, accelerators: 0 }

const PROFILE: IProfile = {
  name: 'urgent',
  priorityClass: 'urgent',
  deadlineMs: 1000,
  floorShare: 0,
  weight: 1,
  maxRunning: 1000,
  allAtOnce: false,
  spread: 'none',
  crossRegion: 'whenWorthIt',
  crossRegionGainMs: 100,
  maxRetries: 1,
  preemptible: false,
  idempotentDefault: true
}

function shard (shardId: string, kind: IShardLoad['kind'], epoch: number, freeSlots: number): IShardLoad {
  return { shardId, kind, epoch, freeSlots, totalSlots: 8, free: NO_RESOURCES, largestFree: NO_RESOURCES }
}

function summary (processId: string, region: string, freeSlots: number, waitMs = 0, overrides: Partial<ILoadSummary> = {}): ILoadSummary {
  return {
    processId,
    incarnation: 1,
    region,
    failureDomain: region,
    draining: false,
    storeReachable: true,
    shards: [shard(`runners/${processId}`, 'runners', 1, freeSlots)],
    expectedWaitMs: { urgent: waitMs, normal: waitMs, patient: waitMs },
    queued: 0,
    ...overrides
  }
}

function chooseRepeatedly (
  summaries: readonly ILoadSummary[], profile = PROFILE, excluded: readonly string[] = []): ReadonlyArray<string | undefined> {
  const router = new SchedulerRouter('west', new SeededRandom(7))
  for (const each of summaries) router.updateSummary(each)
  const chosen = new Set<string | undefined>()
  for (let draw = 0; draw < 50; draw++) chosen.add(router.choose({ profile, excluded: new Set(excluded) }))
  return [...chosen].sort()
}

test('free slots in the same region are used before anything else, in proportion', (t) => {
  t.deepEqual(chooseRepeatedly([summary('a', 'west', 4), summary('b', 'west', 4), summary('c', 'east', 400)]), ['a', 'b'])
})

test('work goes to another region only if the saved wait is worth the traffic and the profile allows it', (t) => {
  const busy = summary('a', 'west', 0, 250)
  const idle = summary('c', 'east', 4)
  t.deepEqual(chooseRepeatedly([busy, idle]), ['c'])
  t.deepEqual(chooseRepeatedly([busy, idle], { ...PROFILE, crossRegionGainMs: 300 }), ['a'])
  t.deepEqual(chooseRepeatedly([busy, idle], { ...PROFILE, crossRegion: 'never' }), ['a'])
})

test('a scheduler that is draining, was already tried or has no runners gets no requests', (t) => {
  const drainingScheduler = summary('a', 'west', 4, 0, { draining: true })
  const withoutRunners = summary('b', 'west', 0, 0, { shards: [shard('ids/00', 'ids', 1, 0)] })
  t.deepEqual(chooseRepeatedly([drainingScheduler, withoutRunners, summary('c', 'west', 4)], PROFILE, ['c']), [undefined])
})

test('requests sent since the last summary count, so that a burst does not all go to one scheduler', (t) => {
  const router = new SchedulerRouter('west', new SeededRandom(7))
  router.updateSummary(summary('a', 'west', 8))
  router.updateSummary(summary('b', 'west', 8))
  const sent = { a: 0, b: 0 }
  for (let request = 0; request < 16; request++) {
    const chosen = router.choose({ profile: PROFILE, excluded: new Set() }) as 'a' | 'b'
    router.recordSent(chosen)
    sent[chosen] += 1
  }
  t.deepEqual(sent, { a: 8, b: 8 })
})

test('when no slot is free, a small scheduler gets no more than its share', (t) => {
  // At saturation all schedulers report the same wait for urgent work, zero. Drawn with equal chances, a scheduler with
  // two runners would get as much as one with eight, and urgent work would queue there although it needs only a small
  // part of the cell.
  const router = new SchedulerRouter('west', new SeededRandom(7))
  const summaryWithSlots = (id: string, totalSlots: number): ILoadSummary =>
    summary(id, 'west', 0, 0, { shards: [{ ...shard(id, 'runners', 1, 0), totalSlots }] })
  router.updateSummary(summaryWithSlots('small', 16))
  router.updateSummary(summaryWithSlots('large', 64))
  let small = 0
  for (let draw = 0; draw < 1000; draw++) small += Number(router.choose({ profile: PROFILE, excluded: new Set() }) === 'small')
  t.true(small > 150 && small < 250, `${small} of 1000`)
})

test('if two processes claim a shard, the one with the higher epoch owns it', (t) => {
  // An owner that resumes after a pause still reports that it owns the shard, until its hosts refuse it. All requests
  // that were sent to it because of that report would be refused.
  const router = new SchedulerRouter('west', new SeededRandom(7))
  router.updateSummary(summary('new', 'west', 1, 0, { shards: [shard('ids/00', 'ids', 5, 0)] }))
  router.updateSummary(summary('old', 'west', 1, 0, { shards: [shard('ids/00', 'ids', 4, 0)] }))
  t.is(router.ownerOf('ids/00'), 'new')
  router.removeScheduler('new')
  t.is(router.ownerOf('ids/00'), 'old')
})
