/**
 * What a scheduler asks of the owner of a claim.
 */

import test from 'ava'
import { ManualClock } from '../../common/Clock.js'
import { IdHasher } from '../../common/requests/AttemptIds.js'
import { testConfig } from '../../../test/support/JobsCell.js'
import { RequestService } from './RequestService.js'

import type { ClaimReply, IClaimRequest, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IRequestContext } from './Types.js'

const ASK: ISubmitRequest = {
  attemptId: 'a1',
  service: 'season-budget',
  caller: 'farm',
  requestId: 'r1',
  idempotent: false,
  remainingMs: 1000,
  ageMs: 4321,
  contentType: 'text/plain',
  body: new Uint8Array(),
  hops: 0
}

function setUp (reply: ClaimReply): { readonly service: RequestService, readonly claimed: IClaimRequest[], readonly released: IClaimRequest[] } {
  const clock = new ManualClock()
  const claimed: IClaimRequest[] = []
  const released: IClaimRequest[] = []
  const claims = {
    claim: async (ask: IClaimRequest) => {
      claimed.push(ask)
      return reply
    },
    release: async () => {},
    releaseLater: (ask: IClaimRequest) => { released.push(ask) },
    outcomeOf: async () => ({ outcome: 'unknown' as const })
  }
  const self = { processId: 's1', incarnation: 7, region: 'lakes-west', failureDomain: 'lakes-west-a' }
  const hasher = new IdHasher(() => 'k', () => 1, 8)
  const bounds = { maxInFlight: 10, maxInFlightBytes: 1000 }
  const context = { self, claims, bounds, config: testConfig(), hasher, clock, timers: clock, runners: { onChange: () => {} } }
  return { service: new RequestService(context as unknown as IRequestContext), claimed, released }
}

test('a claim tells how old its request is', async (t) => {
  // Claims are kept for a limited time. A request that has waited longer could claim an id that has run already; only
  // its age shows that, and nobody could refuse it.
  const { service, claimed } = setUp({ decision: 'blocked' })
  t.like(await service.submit(ASK), { outcome: 'notRun' })
  t.like(claimed[0], { attemptId: 'a1', holder: 's1#7', ageMs: 4321 })
})

test('a claim that could not be stored is released', async (t) => {
  // The store's answer was lost and the claim stands after all. The caller was told that nothing ran, and every repeat
  // would be told of an attempt that never runs, until claims are forgotten.
  const { service, claimed, released } = setUp({ decision: 'unavailable', retryAfterMs: 100 })
  t.like(await service.submit(ASK), { outcome: 'refused', reason: 'storeUnavailable' })
  t.deepEqual(released, claimed)
})

test('a claim that another attempt holds is not released', async (t) => {
  const { service, released } = setUp({ decision: 'duplicate', attemptId: 'a0', holder: 's2#1' })
  await service.submit(ASK)
  t.deepEqual(released, [])
})
