/**
 * Decides when the next attempt of a task may start.
 */

import test from 'ava'
import { TaskLeases } from './TaskLeases.js'

const OPTIONS = { leaseMs: 1_000, maxDrift: 0.01 }

function at (hostMs: number, localMs: number): { hostMs: number, sentAtMs: number, receivedAtMs: number } {
  return { hostMs, sentAtMs: localMs, receivedAtMs: localMs }
}

test('an attempt that the host has not listed under this owner\'s epoch has ended; one that it lists has not', (t) => {
  const leases = new TaskLeases(OPTIONS)
  t.is(leases.decideNextAttempt('t', 1, 0), 'unfenced')
  leases.recordFence(at(5_000, 0), [{ taskId: 'u', attempt: 2, running: true }])
  t.is(leases.decideNextAttempt('t', 1, 0), 'ended')
  t.is(leases.decideNextAttempt('u', 2, 0), 'leased')
  t.is(leases.decideNextAttempt('u', 1, 0), 'leased')
  leases.recordList(at(5_100, 100), [{ taskId: 'u', attempt: 2, running: false }])
  t.is(leases.decideNextAttempt('u', 2, 100), 'ended')
})

// A host becomes silent while a renewal may still be in flight. If the lease were counted from the last answer, the task would
// start again elsewhere while the late renewal keeps the first attempt alive.
test('a lease lapses after the latest expiry ever sent plus the drift, once the store has confirmed', (t) => {
  const leases = new TaskLeases(OPTIONS)
  leases.recordFence(at(5_000, 0), [])
  leases.recordSent('t', 1, leases.expiryFor(0) ?? 0)
  leases.recordSent('t', 1, leases.expiryFor(500) ?? 0)
  t.is(leases.decideNextAttempt('t', 1, 1_100), 'leased')
  t.is(leases.decideNextAttempt('t', 1, 1_500), 'leased')
  t.is(leases.decideNextAttempt('t', 1, 1_600), 'unconfirmed')
  leases.recordConfirmation(1_200)
  t.is(leases.decideNextAttempt('t', 1, 1_600), 'unconfirmed')
  leases.recordConfirmation(1_600)
  t.is(leases.decideNextAttempt('t', 1, 1_600), 'lapsed')
})

// The earlier owner renewed a task just before the host was fenced; its renewal is valid for a whole lease after the fence.
test('an inherited lease lasts a whole lease after the fence', (t) => {
  const leases = new TaskLeases(OPTIONS)
  leases.recordFence(at(5_000, 0), [{ taskId: 't', attempt: 1, running: true }])
  leases.recordConfirmation(2_000)
  t.is(leases.decideNextAttempt('t', 1, 1_005), 'leased')
  t.is(leases.decideNextAttempt('t', 1, 2_000), 'lapsed')
})
