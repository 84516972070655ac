/**
 * Proposals of owners for random shards, members and present owners.
 */

import test from 'ava'
import fc from 'fast-check'
import { ShardAssignment, createHash32 } from './ShardAssignment.js'

import type { IShardSpec } from './Types.js'

const assignment = new ShardAssignment(await createHash32())
const REGIONS = ['r1', 'r2', 'r3']

function shardsOf (count: number): readonly IShardSpec[] {
  return Array.from({ length: count }, (_, index): IShardSpec => {
    if (index % 3 === 0) return { shardId: `ids/${index}`, kind: 'ids' }
    return { shardId: `workers/${index}`, kind: 'workers', region: REGIONS[index % 2] ?? 'r1' }
  })
}

test('each group is spread evenly, in its region if a member is there, and a proposal that is carried out is proposed again', (t) => {
  const members = fc.uniqueArray(fc.record({ processId: fc.stringMatching(/^p[0-9]{1,2}$/), region: fc.constantFrom(...REGIONS) }), {
    selector: (member) => member.processId, minLength: 1, maxLength: 12
  })
  fc.assert(fc.property(fc.nat(60), members, (count, candidates) => {
    const shards = shardsOf(count)
    const proposal = assignment.propose(shards, candidates, () => undefined)
    t.is(proposal.size, shards.length)
    for (const region of [undefined, ...REGIONS]) {
      const group = shards.filter((shard) => shard.region === region)
      const near = candidates.filter((member) => member.region === region)
      const eligible = near.length > 0 ? near : candidates
      const loads = eligible.map((member) => group.filter((shard) => proposal.get(shard.shardId) === member.processId).length)
      t.is(loads.reduce((sum, load) => sum + load, 0), group.length)
      t.true(Math.max(...loads) - Math.min(...loads) <= 1)
    }
    t.deepEqual(assignment.propose(shards, candidates, (shardId) => proposal.get(shardId)), proposal)
  }), { seed: 7, numRuns: 200 })
})

// One of eight schedulers dies. If all shards were reassigned, every queue in the cell would move because of one death.
test('the death of a member moves its shards only', (t) => {
  const shards = shardsOf(48)
  const candidates = Array.from({ length: 8 }, (_, index) => ({ processId: `p${index}`, region: 'r1' }))
  const before = assignment.propose(shards, candidates, () => undefined)
  const left = candidates.slice(1)
  const after = assignment.propose(shards, left, (shardId) => before.get(shardId) === 'p0' ? undefined : before.get(shardId))
  const moved = shards.filter(({ shardId }) => before.get(shardId) !== 'p0' && before.get(shardId) !== after.get(shardId))
  t.deepEqual(moved, [])
})
