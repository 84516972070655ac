/**
 * What strangers and faulty peers can do to a hub: nothing that others notice.
 */

import { connect } from 'node:net'

import test from 'ava'

import fc from 'fast-check'
import { WebSocket } from 'ws'

import type { Socket } from 'node:net'
import { disposeAll, identity, startHub, TEST_KEY } from '../../test/support/PeerHubs.js'
import { until } from '../../test/support/Until.js'
import { UnreachableError } from '../common/Errors.js'
import { FailureKind, FrameCodec, FrameKind, wire } from './Frames.js'
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

/** A connection that has proved itself as process z and then sends what the test wants. */
async function provenSocket (url: string): Promise<WebSocket> {
  const webSocket = new WebSocket(url)
  const handshake = new Handshake('dialler', identity('z'), TEST_KEY)
  webSocket.on('error', () => {})
  webSocket.once('open', () => webSocket.send(handshake.hello()))
  await new Promise<void>((resolve) => {
    webSocket.on('message', (data) => {
      const step = handshake.receive(toBytes(data))
      if (step.kind === 'send') webSocket.send(step.bytes)
      if (step.kind === 'proven') resolve()
    })
  })
  return webSocket
}

test.after.always(disposeAll)

test('connections that say nothing or half of something are closed, and peers still get in', async (t) => {
  // A scanner opens connections and leaves them. If they stayed, they would use up the sockets of the process, and
  // one day no peer could connect.
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

test('a stranger can send little before it must prove itself', async (t) => {
  // A stranger starts one endless message. Its frame may be as large as a peer's, so the process would collect
  // megabytes for each such connection.
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

test('more unproven connections than allowed are closed on sight', async (t) => {
  const { hub, url } = await startHub(identity('a'), { maxUnproven: 2, handshakeTimeoutMs: 60_000 })
  const sockets = [1, 2, 3, 4].map(() => rawConnection(url))
  await until(() => hub.counters.crowdedOut === 2)
  for (const socket of sockets) socket.destroy()
  t.is(hub.links().length, 0)
  hub.dispose()
})

test('arbitrary packets on a proven link close it at most, and the hub goes on', async (t) => {
  // A peer of another build, or one with broken memory, sends rubbish. It may lose its link over it; everybody else
  // must not even notice.
  const { hub, url } = await startHub(identity('a'))
  await fc.assert(fc.asyncProperty(fc.array(fc.uint8Array({ maxLength: 64 }), { minLength: 1, maxLength: 5 }), async (packets) => {
    const malformed = hub.counters.malformedPackets
    const socket = await provenSocket(url)
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

test('messages of the wrong shape reach no handler', async (t) => {
  const { hub: a, url } = await startHub(identity('a'))
  const { hub: b } = await startHub(identity('b'))
  const handled: unknown[] = []
  a.handle('cancel', async (ask) => {
    handled.push(ask)
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

test('a peer that does not read gets a bounded backlog, and calls to it fail as not sent', async (t) => {
  // A peer hangs while requests for it keep coming. Without a bound, what is meant for it fills our memory until the
  // process dies, and all its other links with it.
  const { hub, url } = await startHub(identity('a'), { maxBufferedBytes: 1_000_000, silenceLimitMs: 60_000 })
  const socket = await provenSocket(url)
  await until(() => hub.link('z') !== undefined)
  socket.pause()
  const link = hub.link('z') as IPeerLink
  const ask = { attemptId: 'x', service: 's', caller: 'c', requestId: 'r', idempotent: true, remainingMs: 1, contentType: 't', body: Buffer.alloc(100_000), ageMs: 0, hops: 0 }
  let refused: unknown
  for (let sent = 0; sent < 2_000 && refused === undefined; sent++) {
    const call = link.call('submit', ask, 60_000)
    await Promise.race([call.mapErr((error) => { refused = error }), new Promise((resolve) => { setImmediate(resolve) })])
  }
  t.true(refused instanceof UnreachableError)
  t.true(hub.counters.refusedCalls > 0)
  link.cast('members', { news: [] })
  t.is(hub.counters.droppedCasts, 1)
  hub.dispose()
  socket.terminate()
})

test('calls beyond the number allowed in flight are refused as not sent', async (t) => {
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

test('a call that crosses the news of a graceful close is answered as not run', async (t) => {
  // A peer sends a call just before it hears that we close. Without an answer it must assume that it may have run,
  // and for work that must not run twice that is the end of the request.
  const { hub, url } = await startHub(identity('a'))
  let finish: (() => void) | undefined
  hub.handle('cancel', () => new Promise((resolve) => { finish = () => resolve({ cancelled: true }) }))
  const socket = await provenSocket(url)
  const codec = new FrameCodec(10_000)
  const frames: Frame[] = []
  socket.on('message', (data) => frames.push(...codec.decode(toBytes(data))._unsafeUnwrap()))
  const call = (callId: number): void => socket.send(codec.encode(wire.call(callId, 'cancel', { attemptId: 'x' }))._unsafeUnwrap())
  call(1)
  await until(() => finish !== undefined)
  const closing = hub.close(60_000)
  call(2)
  await until(() => frames.some((frame) => frame.kind === FrameKind.Failure))
  t.like(frames.find((frame) => frame.kind === FrameKind.Failure), { callId: 2, failure: FailureKind.NotRun })
  finish?.()
  socket.send(codec.encode(wire.bare(FrameKind.Retire))._unsafeUnwrap())
  await closing
  t.true(frames.some((frame) => frame.kind === FrameKind.Reply && frame.callId === 1))
})
