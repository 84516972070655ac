/**
 * The calls that wait for replies, when their link goes.
 */

import test from 'ava'

import { ManualClock } from '../common/Clock.js'
import { AmbiguousError, UnreachableError } from '../common/Errors.js'
import { CallTable } from './CallTable.js'
import type { CallResult } from './CallTable.js'
import { PeerCounters } from './PeerCounters.js'

test('when the link goes, only calls that were never handed to the socket count as not run', (t) => {
  // A link breaks with two calls on it: one has been sent, one still waits for the packet of this turn. The first may
  // have run, and to send it again could run it twice; the second can go to another peer at once.
  const clock = new ManualClock()
  const table = new CallTable('b', clock, new PeerCounters())
  const results: CallResult[] = []
  table.add('cancel', 1_000, (result) => results.push(result))
  table.noteSent()
  table.add('cancel', 1_000, (result) => results.push(result))
  table.loseAll('cut')
  t.true(results[0]?._unsafeUnwrapErr() instanceof AmbiguousError)
  t.true(results[1]?._unsafeUnwrapErr() instanceof UnreachableError)
  clock.advance(5_000)
  t.is(results.length, 2, 'each call ends once')
})
