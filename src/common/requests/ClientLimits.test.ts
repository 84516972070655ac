/**
 * What clients may occupy, and what makes room for a newcomer at a limit.
 */

import test from 'ava'
import { ClientLimits, clientBounds, SMALL_BODY_BYTES } from './ClientLimits.js'

const BOUNDS = { maxConnections: 3, maxInFlight: 4, maxInFlightPerConnection: 3, maxBodyBytes: 100_000 }
const BODY_BYTES = 40_000

function withConnections (names: readonly string[], bounds = BOUNDS): ClientLimits<string, string> {
  const limits = new ClientLimits<string, string>(bounds)
  for (const name of names) limits.openConnection(name)
  return limits
}

test('a new connection replaces one that never sent a request, then the one that has been idle longest', (t) => {
  const limits = withConnections(['served', 'later', 'silent'])
  limits.admit('served').release()
  limits.admit('later').release()
  t.is(limits.openConnection('new'), 'silent')
  limits.admit('new').release()
  t.is(limits.openConnection('newest'), 'served')
})

test('a new connection is closed if all others have requests in flight', (t) => {
  const limits = withConnections(['a', 'b', 'c'])
  for (const name of ['a', 'b', 'c']) t.is(limits.admit(name).admission, 'serve')
  t.is(limits.openConnection('new'), 'new')
})

test('a connection that sends too many requests ahead is closed', (t) => {
  const limits = withConnections(['a'], { ...BOUNDS, maxInFlight: 100 })
  const first = limits.admit('a')
  limits.admit('a')
  limits.admit('a')
  t.is(limits.admit('a').admission, 'close')
  first.release()
  t.is(limits.admit('a').admission, 'serve')
})

test('requests sent ahead leave room for the first request of another connection', (t) => {
  const limits = withConnections(['a', 'b', 'c'], { ...BOUNDS, maxInFlight: 6 })
  const admissions = ['a', 'a', 'a', 'b', 'b', 'b'].map((name) => limits.admit(name).admission)
  t.deepEqual(admissions, ['serve', 'serve', 'serve', 'serve', 'serve', 'refuse'])
  t.is(limits.admit('c').admission, 'serve')
})

test('a refused request makes no room when it ends', (t) => {
  const limits = withConnections(['a', 'b', 'c'], { ...BOUNDS, maxInFlight: 1 })
  const served = limits.admit('a')
  const refused = limits.admit('b')
  t.is(refused.admission, 'refuse')
  refused.release()
  t.is(limits.admit('c').admission, 'refuse')
  served.release()
  t.is(limits.admit('c').admission, 'serve')
})

test('the oldest incomplete body is given up for a new one', (t) => {
  const limits = withConnections([])
  t.deepEqual(limits.growBody('old', BODY_BYTES), [])
  t.deepEqual(limits.growBody('young', BODY_BYTES), [])
  t.deepEqual(limits.growBody('new', BODY_BYTES), ['old'])
  t.is(limits.bodyBytes, 2 * BODY_BYTES)
  t.deepEqual(limits.growBody('new', 2 * BODY_BYTES), ['young'])
})

test('a single body inside its own limit is read whatever the limit of all bodies is', (t) => {
  const limits = withConnections([])
  t.deepEqual(limits.growBody('large', 2 * BOUNDS.maxBodyBytes), [])
  t.true(limits.completeBody('large', 2 * BOUNDS.maxBodyBytes))
  t.deepEqual(limits.growBody('next', BODY_BYTES), [])
})

test('complete bodies are refused beyond their own share, whatever is incomplete', (t) => {
  const limits = withConnections([])
  for (const name of ['a', 'b']) {
    limits.growBody(name, BODY_BYTES)
    t.true(limits.completeBody(name, BODY_BYTES))
  }
  t.deepEqual(limits.growBody('c', BODY_BYTES), [])
  t.false(limits.completeBody('c', BODY_BYTES))
  limits.endBody('a')
  limits.growBody('c', BODY_BYTES)
  t.true(limits.completeBody('c', BODY_BYTES))
})

test('small bodies are neither given up nor refused', (t) => {
  const limits = withConnections([])
  t.deepEqual(limits.growBody('small', SMALL_BODY_BYTES), [])
  t.deepEqual(limits.growBody('large', BOUNDS.maxBodyBytes), [])
  t.true(limits.completeBody('large', BOUNDS.maxBodyBytes))
  t.true(limits.completeBody('small', SMALL_BODY_BYTES))
  limits.endBody('large')
  t.is(limits.bodyBytes, 0)
})

test('limits grow with the memory of the machine and leave room for each connection\'s first request', (t) => {
  for (const memoryMb of [undefined, 210, 350, 602]) {
    const bounds = clientBounds(memoryMb)
    t.true(bounds.maxConnections < bounds.maxInFlight / 2)
  }
  t.true(clientBounds(602).maxBodyBytes > clientBounds(210).maxBodyBytes)
})
