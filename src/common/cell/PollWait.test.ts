/**
 * The polls per second of owners with many and with few hosts.
 */

import test from 'ava'
import { PollWait } from './PollWait.js'

const MAX_HOLD_MS = 6000

test('an owner of a thousand idle hosts polls a third of them in a second', (t) => {
  // Polled once a second each, they would take most of its processor time, and callers would be refused while hosts are free.
  const wait = new PollWait(0.675, MAX_HOLD_MS)
  t.is(wait.waitMs(true, 999), MAX_HOLD_MS / 2)
  t.is(wait.waitMs(false, 999), 1000)
})

test('an owner with processor time to spare polls each host once a second', (t) => {
  t.is(new PollWait(0.675, MAX_HOLD_MS).waitMs(true, 33), 1000)
  t.is(new PollWait(1.35, MAX_HOLD_MS).waitMs(true, 378), 1000)
})

test('a lease outlives a poll that has waited and one that failed', (t) => {
  const graceMs = 700
  for (const maxHoldMs of [3000, 6000, 10_000]) t.true(new PollWait(0.01, maxHoldMs).waitMs(true, 5000) + 2 * graceMs < maxHoldMs)
})
