/**
 * Measures membership: bytes a second, as in the membership bench, and processor time and memory of one process by members.
 */

import { MEMBERSHIP_DEFAULTS } from '../../src/common/membership/Options.js'
import { startCluster } from '../../test/support/MembershipCluster.js'
import { measureMembership } from '../membership.js'
import { heapBytes, processorUsOf } from './Readings.js'
import { printSlope } from './Slope.js'

const MEMBERS = [30, 100, 200]
const REGIONS = 5
const SEED = 17
const SETTLE_ROUNDS = 40
const ROUNDS = 40

export async function measureMembers (): Promise<void> {
  const results = MEMBERS.map((members) => measureMembership(members))
  printSlope({ slope: 'membership: bytes a second of one process, quiet', unit: 'bytes/s', points: results.map((result) => [result.members, result.quietBytesPerSecond]) })
  printSlope({
    slope: 'membership: bytes a second of one process while a region is lost', unit: 'bytes/s', points: results.map((result) => [result.members, result.regionLossBytesPerSecond])
  })
  printSlope({ slope: 'membership: rounds until a death is known to all', unit: 'rounds', points: results.map((result) => [result.members, result.deathRounds]) })
  const time: Array<readonly [number, number]> = []
  const memory: Array<readonly [number, number]> = []
  for (const members of MEMBERS) {
    const beforeBytes = heapBytes()
    const cluster = startCluster(members, REGIONS, SEED)
    const stepRounds = (rounds: number) => (): void => { for (let round = 0; round < rounds; round++) cluster.step() }
    stepRounds(SETTLE_ROUNDS)()
    memory.push([members, (heapBytes() - beforeBytes) / members])
    const seconds = ROUNDS * MEMBERSHIP_DEFAULTS.gossipMs / 1_000
    time.push([members, await processorUsOf(stepRounds(ROUNDS)) / members / seconds])
  }
  printSlope({ slope: 'membership: processor time of one process, quiet, by members', unit: 'us/s', points: time })
  printSlope({ slope: 'membership: memory of one process, by members', unit: 'bytes', points: memory })
}
