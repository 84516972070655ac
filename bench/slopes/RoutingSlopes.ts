/**
 * Measures load summaries: bytes per shard on a link, and the cost for a router to store them and to choose a scheduler from them.
 */

import { Packr } from 'msgpackr'

import { SeededRandom } from '../../src/common/Random.js'
import { SchedulerRouter } from '../../src/common/routing/SchedulerRouter.js'
import { profileOf } from '../decisions/Arrivals.js'
import { heapBytes, processorUsOf } from './Readings.js'
import { printSlope } from './Slope.js'

import type { ILoadSummary } from '../../src/common/protocol/Types.js'

const SHARDS = [10, 40, 160]
const SCHEDULERS = [30, 120, 480]
const SHARDS_PER_SCHEDULER = 20
const REPETITIONS = 5_000
const REGIONS = 5
const SUMMARY_ROUNDS = 20
const EXCLUDED = new Set<string>()

type Points = Array<readonly [number, number]>

function summaryOf (index: number, shards: number, queued: number): ILoadSummary {
  const resources = (cores: number): ILoadSummary['shards'][number]['free'] => ({ cores, memoryBytes: cores * 2 ** 30, accelerators: 0 })
  return {
    processId: `scheduler-${index}`,
    incarnation: 1.7e12,
    region: `region-${index % REGIONS}`,
    failureDomain: `region-${index % REGIONS}-a`,
    draining: false,
    storeReachable: true,
    shards: Array.from({ length: shards }, (_, shard) => ({
      shardId: `${shard % 2 === 0 ? 'runners' : 'workers'}/rack-${index}-${shard}`,
      kind: shard % 2 === 0 ? 'runners' : 'workers',
      epoch: 12,
      freeSlots: shard === 0 ? 40 : 0,
      totalSlots: shard === 0 ? 64 : 0,
      free: resources(shard === 1 ? 100 : 0),
      largestFree: resources(shard === 1 ? 60 : 0)
    })),
    expectedWaitMs: { urgent: 0, normal: 0, patient: 1.5 },
    queued
  }
}

function bytesOnLink (): Points {
  return SHARDS.map((shards) => {
    const encoder = new Packr({ sequential: true })
    encoder.pack([3, 'loadSummary', summaryOf(1, shards, 1)])
    return [shards, encoder.pack([3, 'loadSummary', summaryOf(1, shards, 2)]).length]
  })
}

function filledRouter (schedulers: number): SchedulerRouter {
  const router = new SchedulerRouter('region-0', new SeededRandom(1))
  for (let index = 0; index < schedulers; index++) router.updateSummary(summaryOf(index, SHARDS_PER_SCHEDULER, 0))
  return router
}

async function timePerSummary (): Promise<Points> {
  const points: Points = []
  for (const shards of SHARDS) {
    const writer = new Packr({ sequential: true })
    const reader = new Packr({ sequential: true })
    const router = new SchedulerRouter('region-0', new SeededRandom(1))
    const applySummaries = (): void => {
      for (let index = 0; index < REPETITIONS / SUMMARY_ROUNDS; index++) {
        router.updateSummary(reader.unpack(writer.pack(summaryOf(index, shards, 0))) as ILoadSummary)
      }
    }
    applySummaries()
    const usedUs = await processorUsOf(() => { for (let round = 0; round < SUMMARY_ROUNDS; round++) applySummaries() })
    points.push([shards, usedUs / REPETITIONS])
  }
  return points
}

export async function measureRouting (): Promise<void> {
  printSlope({ slope: 'load summary: bytes per shard', unit: 'bytes', points: bytesOnLink() })
  printSlope({ slope: 'load summary: time to encode, decode and note, per shard', unit: 'us', points: await timePerSummary() })
  const routers: SchedulerRouter[] = []
  const memory: Points = []
  const choice: Points = []
  const owner: Points = []
  const profile = profileOf({})
  for (const schedulers of SCHEDULERS) {
    const beforeBytes = heapBytes()
    const router = filledRouter(schedulers)
    routers.push(router)
    memory.push([schedulers, heapBytes() - beforeBytes])
    const choose = (): void => { for (let done = 0; done < REPETITIONS; done++) router.choose({ profile, excluded: EXCLUDED }) }
    choose()
    choice.push([schedulers, await processorUsOf(choose) / REPETITIONS])
    const find = (): void => { for (let done = 0; done < REPETITIONS / 10; done++) router.ownerOf('workers/rack-7-19') }
    find()
    owner.push([schedulers, await processorUsOf(find) / (REPETITIONS / 10)])
  }
  printSlope({ slope: `router: memory per scheduler of ${SHARDS_PER_SCHEDULER} shards`, unit: 'bytes', points: memory })
  printSlope({ slope: 'router: time per choice, by schedulers', unit: 'us', points: choice })
  printSlope({ slope: `router: time to find a shard's owner, by schedulers of ${SHARDS_PER_SCHEDULER} shards`, unit: 'us', points: owner })
}
