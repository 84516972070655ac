/**
 * Releasing a claim whose owner couldn't say whether it stands.
 */

import test from 'ava'
import { ManualClock } from '../../common/Clock.js'
import { advance } from '../../../test/support/advance.js'
import { ClaimClient } from './ClaimClient.js'

import type { IClaimClientContext } from './ClaimClient.js'

const CLAIM = { idShard: 'ids/00', claimKey: 'k', attemptId: 'a1', holder: 's1#1', ageMs: 0 }

/** The owner releases at the given call. */
function setUp (releasedAt: number): { readonly client: ClaimClient, readonly clock: ManualClock, readonly calls: () => number } {
  const clock = new ManualClock()
  let calls = 0
  const local = {
    claim: async () => ({ decision: 'notOwner' as const }),
    release: async () => {
      calls += 1
      return { released: calls >= releasedAt }
    }
  }
  const context = { self: { processId: 's1' }, router: { ownerOf: () => 's1' }, local, clock, timers: clock }
  return { client: new ClaimClient(context as unknown as IClaimClientContext), clock, calls: () => calls }
}

test('a release is repeated until the owner says that it is released', async (t) => {
  // The shard changes hands during the outage in which the claim was in doubt. The owner that was asked first doesn't
  // know of it; the next one finds it in the store.
  const { client, clock, calls } = setUp(3)
  client.releaseLater(CLAIM)
  await advance(clock, 60_000)
  t.is(calls(), 3)
})

test('what was never claimed is asked for a few times only', async (t) => {
  // In an outage each request ends like this. Repeats without end would load the owners with work that has no use.
  const { client, clock, calls } = setUp(Infinity)
  client.releaseLater(CLAIM)
  await advance(clock, 300_000)
  t.is(calls(), 6)
})
