/**
 * Tests of the handshake without sockets: which processes it authenticates, and how it treats invalid messages.
 */

import test from 'ava'

import fc from 'fast-check'

import { identity, TEST_KEY } from '../../test/support/PeerHubs.js'
import { Handshake } from './Handshake.js'
import type { HandshakeStep } from './Handshake.js'

const SEED = 20261202

function bytesOf (step: HandshakeStep): Uint8Array {
  if (step.kind === 'failed' || step.bytes === undefined) throw new Error(`no bytes: ${JSON.stringify(step)}`)
  return step.bytes
}

function createPair (listenerKey = TEST_KEY): { readonly dialler: Handshake, readonly listener: Handshake } {
  return { dialler: new Handshake('dialler', identity('a'), TEST_KEY, 'b'), listener: new Handshake('listener', identity('b'), listenerKey) }
}

function parse (bytes: Uint8Array): Record<string, unknown> {
  return JSON.parse(Buffer.from(bytes).toString()) as Record<string, unknown>
}

test('two processes with the same key learn each other\'s identity', (t) => {
  const { dialler, listener } = createPair()
  const challenge = listener.receive(dialler.createHello())
  const answer = dialler.receive(bytesOf(challenge))
  const authenticated = listener.receive(bytesOf(answer))
  t.is(authenticated.kind === 'authenticated' ? authenticated.peer.processId : authenticated.kind, 'a')
  const welcomed = dialler.receive(bytesOf(authenticated))
  t.is(welcomed.kind === 'authenticated' ? welcomed.peer.processId : welcomed.kind, 'b')
  t.is(listener.receive(bytesOf(answer)).kind, 'failed', 'no message may follow')
})

test('a different key, a different version and an unexpected process fail', (t) => {
  const otherKey = createPair('another key of this length')
  t.deepEqual(otherKey.dialler.receive(bytesOf(otherKey.listener.receive(otherKey.dialler.createHello()))), { kind: 'failed', reason: 'wrong key' })

  const { dialler, listener } = createPair()
  const hello = Buffer.from(JSON.stringify({ ...parse(dialler.createHello()), version: 999 }))
  t.deepEqual(listener.receive(hello), { kind: 'failed', reason: 'protocol version 999' })

  const otherListener = new Handshake('listener', identity('c'), TEST_KEY)
  t.deepEqual(dialler.receive(bytesOf(otherListener.receive(dialler.createHello()))), { kind: 'failed', reason: 'c answered' })
})

test('a proof that is replayed or reflected is rejected', (t) => {
  // An attacker who can read the network records a handshake and replays it, or sends the listener's own proof back to
  // it. If the listener accepted such a proof, the key would protect nothing.
  const { dialler, listener } = createPair()
  const hello = dialler.createHello()
  const challenge = bytesOf(listener.receive(hello))
  const answer = bytesOf(dialler.receive(challenge))
  const replayed = new Handshake('listener', identity('b'), TEST_KEY)
  replayed.receive(hello)
  t.is(replayed.receive(answer).kind, 'failed', 'replayed proof')
  const reflected = new Handshake('listener', identity('b'), TEST_KEY)
  const proof = parse(bytesOf(reflected.receive(hello)))['proof']
  t.is(reflected.receive(Buffer.from(JSON.stringify({ proof }))).kind, 'failed', 'reflected proof')
})

test('arbitrary bytes and arbitrary JSON never authenticate and never throw', (t) => {
  const message = fc.oneof(fc.uint8Array({ maxLength: 300 }), fc.json().map((text) => Buffer.from(text)), fc.record({
    version: fc.constantFrom(1, 2, '1'), identity: fc.anything(), nonce: fc.base64String(), proof: fc.base64String()
  }).map((value) => Buffer.from(JSON.stringify(value))))
  fc.assert(fc.property(fc.constantFrom('dialler' as const, 'listener' as const), fc.array(message, { maxLength: 4 }), (role, messages) => {
    const handshake = new Handshake(role, identity('a'), TEST_KEY)
    for (const bytes of messages) if (handshake.receive(bytes).kind === 'authenticated') t.fail('authenticated by arbitrary messages')
  }), { seed: SEED, numRuns: 2_000 })
  t.pass()
})
