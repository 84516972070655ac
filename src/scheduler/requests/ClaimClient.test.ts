/**
 * How a scheduler finds the owner of a claim while owners change.
 */

import test from 'ava'

import { ManualClock } from '../../common/Clock.js'
import { settle } from '../../../test/support/advance.js'
import { ClaimClient } from './ClaimClient.js'

import type { ClaimReply } from '../../common/protocol/Types.js'
import type { IClaimClientContext } from './ClaimClient.js'

const CLAIM_REQUEST = { idShard: 'ids/00', claimKey: 'k', attemptId: 'a', holder: 's1#1', ageMs: 0 }

function createClient (storeReachable: boolean, replies: readonly ClaimReply[]): { readonly client: ClaimClient, readonly clock: ManualClock } {
  const clock = new ManualClock()
  const remaining = [...replies]
  const context = {
    self: { processId: 's1', incarnation: 1, region: 'west', failureDomain: 'west' },
    router: { ownerOf: () => remaining.length > 0 ? 's1' : undefined },
    local: { claim: async () => remaining.shift(), release: async () => ({ released: true }) },
    storeReachable: () => storeReachable,
    clock,
    timers: clock
  }
  return { client: new ClaimClient(context as unknown as IClaimClientContext), clock }
}

test('while the store is unavailable and the shard has no owner, the answer comes immediately', async (t) => {
  // The owner of an id shard dies during a store outage. No process can take the shard over before the outage ends, so it
  // is useless to let the caller wait.
  const { client } = createClient(false, [])
  t.like(await client.claim(CLAIM_REQUEST, 3000), { decision: 'unavailable' })
})

test('a claim waits for a change of owner while the store can be reached', async (t) => {
  const { client, clock } = createClient(true, [{ decision: 'notOwner' }, { decision: 'granted' }])
  const reply = client.claim(CLAIM_REQUEST, 3000)
  await settle()
  clock.advance(100)
  t.deepEqual(await reply, { decision: 'granted' })
})
