/**
 * Tests that unauthenticated connections and faulty peers do not affect the other links of a hub.
 */

import { connect } from 'node:net'

import test from 'ava'

import fc from 'fast-check'
import { WebSocket } from 'ws'

import type { Socket } from 'node:net'
import { disposeAll, identity, startHub, TEST_KEY } from '../../test/support/PeerHubs.js'
import { until } from '../../test/support/Until.js'
import { UnreachableError } from '../common/Errors.js'
import { FailureKind, FrameCodec, FrameKind, frameFields } from './Frames.js'
import type { Frame } from './Frames.js'
import { Handshake } from './Handshake.js'
import { toBytes } from './PeerSocket.js'
import type { IPeerLink } from './Types.js'

const SEED = 20261202

function rawConnection (url: string): Socket {
  const socket = connect(Number(new URL(url).port), '127.0.0.1')
  socket.on('error', () => {})
  return socket
}

function closed (emitter: { once (event: 'close', listener: () => void): unknown }): Promise<void> {
  return new Promise((resolve) => { emitter.once('close', () => resolve()) })
}

/** A connection that is authenticated as process z, over which a test sends packets of its own. */
async function authenticatedSocket (url: string): Promise<WebSocket> {
  const webSocket = new WebSocket(url)
  const handshake = new Handshake('dialler', identity('z'), TEST_KEY)
  webSocket.on('error', () => {})
  webSocket.once('open', () => webSocket.send(handshake.createHello()))
  await new Promise<void>((resolve) => {
    webSocket.on('message', (data) => {
      const step = handshake.receive(toBytes(data))
      if (step.kind === 'send') webSocket.send(step.bytes)
      if (step.kind === 'authenticated') resolve()
    })
  })
  return webSocket
}

test.after.always(disposeAll)

test('connections that send nothing or half a request are closed, and peers can still connect', async (t) => {
  // A port scanner opens connections and abandons them. If they stayed open, they would use up the sockets of the
  // process until no peer could connect.
  const { hub, url } = await startHub(identity('a'), { handshakeTimeoutMs: 200 })
  const silent = [rawConnection(url), rawConnection(url)]
  silent[1]?.write('GET / HTTP/1.1\r\nHost: x\r\n')
  const upgraded = new WebSocket(url)
  upgraded.on('error', () => {})
  await Promise.all([...silent.map(closed), closed(upgraded)])
  const { hub: peer } = await startHub(identity('b'))
  peer.dial(url, 'a')
  await until(() => hub.link('b') !== undefined)
  t.true(hub.counters.failedHandshakes > 0)
  hub.dispose()
  peer.dispose()
})

test('a connection can send only a few bytes before it is authenticated', async (t) => {
  // An unauthenticated connection sends one endless message. The message may be as large as an authenticated peer's, so
  // the process would buffer megabytes for each such connection.
  const { hub, url } = await startHub(identity('a'), { handshakeTimeoutMs: 60_000 })
  const stranger = new WebSocket(url)
  stranger.on('error', () => {})
  stranger.once('open', () => {
    for (let part = 0; part < 4; part++) stranger.send(Buffer.alloc(6_000), { fin: false })
  })
  await closed(stranger)
  await until(() => hub.counters.failedHandshakes === 1)
  t.is(hub.links().length, 0)
  hub.dispose()
})

test('unauthenticated connections above the limit are closed at once', async (t) => {
  const { hub, url } = await startHub(identity('a'), { maxUnauthenticated: 2, handshakeTimeoutMs: 60_000 })
  const sockets = [1, 2, 3, 4].map(() => rawConnection(url))
  await until(() => hub.counters.crowdedOut === 2)
  for (const socket of sockets) socket.destroy()
  t.is(hub.links().length, 0)
  hub.dispose()
})

test('arbitrary packets on an authenticated link can at most close that link', async (t) => {
  // A peer of another version, or one with faulty memory, sends invalid packets. It may lose its own link, but other
  // links must not be affected.
  const { hub, url } = await startHub(identity('a'))
  await fc.assert(fc.asyncProperty(fc.array(fc.uint8Array({ maxLength: 64 }), { minLength: 1, maxLength: 5 }), async (packets) => {
    const malformed = hub.counters.malformedPackets
    const socket = await authenticatedSocket(url)
    for (const packet of packets) socket.send(packet)
    socket.close()
    await closed(socket)
    await until(() => hub.link('z') === undefined)
    return hub.counters.malformedPackets >= malformed
  }), { seed: SEED, numRuns: 60 })
  const { hub: peer } = await startHub(identity('b'))
  peer.dial(url, 'a')
  await until(() => hub.link('b') !== undefined)
  t.true(hub.counters.malformedPackets > 0)
  hub.dispose()
  peer.dispose()
})

test('messages of the wrong shape are not passed to a handler', async (t) => {
  const { hub: a, url } = await startHub(identity('a'))
  const { hub: b } = await startHub(identity('b'))
  const handled: unknown[] = []
  a.handle('cancel', async (request) => {
    handled.push(request)
    return { cancelled: true }
  })
  a.listen('members', (cast) => handled.push(cast))
  b.dial(url, 'a')
  await until(() => b.link('a') !== undefined)
  const link = b.link('a') as IPeerLink
  link.cast('members', { news: 'none' } as never)
  t.true((await link.call('cancel', { attemptId: 7 } as never, 5_000)).isErr())
  t.is(a.counters.misshapenMessages, 2)
  t.deepEqual(handled, [])
  a.dispose()
  b.dispose()
})

test('the backlog of a peer that does not read is bounded, and calls to this peer fail as not sent', async (t) => {
  // A peer hangs while more requests are sent to it. Without a bound, the unsent data fills the memory until the process
  // dies and loses all its other links.
  const { hub, url } = await startHub(identity('a'), { maxBufferedBytes: 1_000_000, silenceLimitMs: 60_000 })
  const socket = await authenticatedSocket(url)
  await until(() => hub.link('z') !== undefined)
  socket.pause()
  const link = hub.link('z') as IPeerLink
  const request = {
    attemptId: 'x',
    service: 's',
    caller: 'c',
    requestId: 'r',
    idempotent: true,
    remainingMs: 1,
    contentType: 't',
    body: Buffer.alloc(100_000),
    ageMs: 0,
    hops: 0
  }
  let refused: unknown
  for (let sent = 0; sent < 2_000 && refused === undefined; sent++) {
    const call = link.call('submit', request, 60_000)
    await Promise.race([call.mapErr((error) => { refused = error }), new Promise((resolve) => { setImmediate(resolve) })])
  }
  t.true(refused instanceof UnreachableError)
  t.true(hub.counters.refusedCalls > 0)
  link.cast('members', { news: [] })
  t.is(hub.counters.droppedCasts, 1)
  hub.dispose()
  socket.terminate()
})

test('calls above the limit of calls in flight are refused as not sent', async (t) => {
  const { hub: a, url } = await startHub(identity('a'))
  const { hub: b } = await startHub(identity('b'), { maxCallsInFlight: 2 })
  a.handle('cancel', () => new Promise(() => {}))
  b.dial(url, 'a')
  await until(() => b.link('a') !== undefined)
  const link = b.link('a') as IPeerLink
  for (const attemptId of ['1', '2']) link.call('cancel', { attemptId }, 60_000)
  t.true((await link.call('cancel', { attemptId: '3' }, 60_000))._unsafeUnwrapErr() instanceof UnreachableError)
  a.dispose()
  b.dispose()
})

test('a call that crosses the notice of a graceful close is answered as not run', async (t) => {
  // A peer sends a call just before it receives the notice that this hub is closing. Without an answer the peer must
  // assume that the call may have run, and a request that must not run twice would fail.
  const { hub, url } = await startHub(identity('a'))
  let finish: (() => void) | undefined
  hub.handle('cancel', () => new Promise((resolve) => { finish = () => resolve({ cancelled: true }) }))
  const socket = await authenticatedSocket(url)
  const codec = new FrameCodec(10_000)
  const frames: Frame[] = []
  socket.on('message', (data) => frames.push(...codec.decode(toBytes(data))._unsafeUnwrap()))
  const call = (callId: number): void => socket.send(codec.encode(frameFields.call(callId, 'cancel', { attemptId: 'x' }))._unsafeUnwrap())
  call(1)
  await until(() => finish !== undefined)
  const closing = hub.close(60_000)
  call(2)
  await until(() => frames.some((frame) => frame.kind === FrameKind.Failure))
  t.like(frames.find((frame) => frame.kind === FrameKind.Failure), { callId: 2, failure: FailureKind.NotRun })
  finish?.()
  socket.send(codec.encode(frameFields.control(FrameKind.Retire))._unsafeUnwrap())
  await closing
  t.true(frames.some((frame) => frame.kind === FrameKind.Reply && frame.callId === 1))
})
