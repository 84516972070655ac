/**
 * The claims and releases that a scheduler requests for non-idempotent requests.
 */

import test from 'ava'
import { ManualClock } from '../../common/Clock.js'
import { IdHasher } from '../../common/requests/AttemptIds.js'
import { testConfig } from '../../../test/support/JobsCell.js'
import { RequestService } from './RequestService.js'

import type { ClaimReply, IClaimRequest, ISubmitRequest } from '../../common/protocol/Types.js'
import type { IRequestContext } from './Types.js'

const REQUEST: ISubmitRequest = {
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

function createService (
  reply: ClaimReply
): { readonly service: RequestService, readonly claimed: IClaimRequest[], readonly released: IClaimRequest[] } {
  const clock = new ManualClock()
  const claimed: IClaimRequest[] = []
  const released: IClaimRequest[] = []
  const claims = {
    claim: async (request: IClaimRequest) => {
      claimed.push(request)
      return reply
    },
    release: async () => {},
    releaseLater: (request: IClaimRequest) => { released.push(request) },
    outcomeOf: async () => ({ outcome: 'unknown' as const })
  }
  const self = { processId: 's1', incarnation: 7, region: 'lakes-west', failureDomain: 'lakes-west-a' }
  const hasher = new IdHasher(() => 'k', () => 1, 8)
  const bounds = { maxInFlight: 10, maxInFlightBytes: 1000 }
  const context = { self, claims, bounds, config: testConfig(), hasher, clock, timers: clock, runners: { onChange: () => {} } }
  return { service: new RequestService(context as unknown as IRequestContext), claimed, released }
}

test('a claim request carries the age of its request', async (t) => {
  // Claims are kept for a limited time. A request that has waited longer could claim an id that has already run. The owner
  // can refuse such a claim only by the age of its request.
  const { service, claimed } = createService({ decision: 'blocked' })
  t.like(await service.submit(REQUEST), { outcome: 'notRun' })
  t.like(claimed[0], { attemptId: 'a1', holder: 's1#7', ageMs: 4321 })
})

test('a claim that could not be stored is released', async (t) => {
  // The store's answer was lost, but the claim is durable. The caller was told that nothing ran, and until the claim
  // expires, every repeat would be referred to an attempt that never runs.
  const { service, claimed, released } = createService({ decision: 'unavailable', retryAfterMs: 100 })
  t.like(await service.submit(REQUEST), { outcome: 'refused', reason: 'storeUnavailable' })
  t.deepEqual(released, claimed)
})

test('a claim that another attempt holds is not released', async (t) => {
  const { service, released } = createService({ decision: 'duplicate', attemptId: 'a0', holder: 's2#1' })
  await service.submit(REQUEST)
  t.deepEqual(released, [])
})
