/**
 * Tests of how calls end when their link is lost.
 */

import test from 'ava'

import { ManualClock } from '../common/Clock.js'
import { AmbiguousError, UnreachableError } from '../common/Errors.js'
import { CallTable } from './CallTable.js'
import type { CallResult } from './CallTable.js'
import { PeerCounters } from './PeerCounters.js'

test('when the link is lost, only calls that were never handed to the socket end as not run', (t) => {
  // A link breaks with two calls on it: one has been sent, the other is still queued for the packet of this turn. The
  // first may have run, and a retry could run it twice. The second can be sent to another peer at once.
  const clock = new ManualClock()
  const table = new CallTable('b', clock, new PeerCounters())
  const results: CallResult[] = []
  table.add('cancel', 1_000, (result) => results.push(result))
  table.markAllSent()
  table.add('cancel', 1_000, (result) => results.push(result))
  table.failAll('cut')
  t.true(results[0]?._unsafeUnwrapErr() instanceof AmbiguousError)
  t.true(results[1]?._unsafeUnwrapErr() instanceof UnreachableError)
  clock.advance(5_000)
  t.is(results.length, 2, 'each call ends once')
})
