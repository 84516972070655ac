/**
 * The deadline that a routed request gets.
 */

import test from 'ava'
import { MAX_ATTEMPT_AGE_MS } from '../common/state/ClaimTable.js'
import { testConfig } from '../../test/support/JobsCell.js'
import { routeRequest } from './RouteRequest.js'

const HEAD = { service: 'season-budget', caller: 'farm', requestId: 'r1', contentType: 'text/plain', deadlineMs: 3_600_000 }
const BODY = new Uint8Array()

test('a non-idempotent request gets no deadline beyond the age at which it may still claim', (t) => {
  // A pivot start waits in a queue for longer than the first claim of its id is kept. If it were dispatched then, it
  // would run a second time if a repeat of it had run in the meantime.
  const routed = routeRequest({ ...HEAD, idempotent: false }, BODY, testConfig(), 1000)._unsafeUnwrap()
  t.is(routed.deadlineAtMs, 1000 + MAX_ATTEMPT_AGE_MS)
  const short = routeRequest({ ...HEAD, idempotent: false, deadlineMs: 50 }, BODY, testConfig(), 1000)._unsafeUnwrap()
  t.is(short.deadlineAtMs, 1050)
})

test('an idempotent request keeps its deadline', (t) => {
  const routed = routeRequest({ ...HEAD, idempotent: true }, BODY, testConfig(), 1000)._unsafeUnwrap()
  t.is(routed.deadlineAtMs, 1000 + HEAD.deadlineMs)
})
