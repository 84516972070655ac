/**
 * The codec of a link, and what it does with bytes that no codec has made.
 */

import test from 'ava'

import fc from 'fast-check'
import { Packr } from 'msgpackr'

import { FailureKind, FrameCodec, FrameKind, wire } from './Frames.js'

const SEED = 20261202
const MAX_FRAME_BYTES = 1_000_000
const MEGABYTE = 1_048_576

function newCodec (maxFrameBytes = MAX_FRAME_BYTES): FrameCodec {
  return new FrameCodec(maxFrameBytes)
}

test('frames arrive as they were sent, in any order of shapes, joined into packets', (t) => {
  const field = fc.oneof(fc.string(), fc.double({ noNaN: true }), fc.boolean(), fc.uint8Array())
  const body = fc.oneof(fc.dictionary(fc.string(), field), fc.array(fc.string()))
  fc.assert(fc.property(fc.array(fc.array(body, { minLength: 1 })), (packets) => {
    const [sender, receiver] = [newCodec(), newCodec()]
    for (const bodies of packets) {
      const frames = bodies.map((ask, index) => sender.encode(wire.call(index + 1, 'drain', ask))._unsafeUnwrap())
      const received = receiver.decode(Buffer.concat(frames))._unsafeUnwrap()
      t.deepEqual(received.map((frame) => frame.kind === FrameKind.Call ? plain(frame.ask) : undefined), bodies.map(plain))
    }
  }), { seed: SEED, numRuns: 200 })
})

/** Content without prototypes and kinds of byte array, so that equal content compares equal. */
function plain (value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  if (value instanceof Uint8Array || Array.isArray(value)) return [...value as Iterable<unknown>].map(plain)
  return Object.entries(value).map(([key, item]) => [key, plain(item)])
}

test('after a frame that was too large the next ones can still be read', (t) => {
  // A request above the limit is refused before it is sent. Its fields were the first of their kind, so the encoder
  // takes them for known; if the peer never hears of them, it can read no such message from then on.
  const [sender, receiver] = [newCodec(200), newCodec(200)]
  t.true(sender.encode(wire.call(1, 'cancel', { attemptId: 'x'.repeat(300) })).isErr())
  const frame = sender.encode(wire.call(2, 'cancel', { attemptId: 'x' }))._unsafeUnwrap()
  t.deepEqual(receiver.decode(frame)._unsafeUnwrap(), [{ kind: FrameKind.Call, callId: 2, name: 'cancel', ask: { attemptId: 'x' } }])
})

test('arbitrary bytes and arbitrary msgpack give an error or frames, never an exception', (t) => {
  const anyMsgpack = fc.anything({ withDate: true, withBigInt: false }).map((value) => new Packr().pack(value))
  const mutated = fc.tuple(fc.nat({ max: 60 }), fc.nat({ max: 255 })).map(([at, byte]) => {
    const frame = new FrameCodec(MAX_FRAME_BYTES).encode(wire.failure(1, FailureKind.Refused, 'step', 'peer', 'message'))._unsafeUnwrap()
    frame[at % frame.length] = byte
    return frame
  })
  fc.assert(fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 200 }), anyMsgpack, mutated), { maxLength: 5 }), (packets) => {
    const codec = newCodec()
    for (const packet of packets) codec.decode(packet)
  }), { seed: SEED, numRuns: 3_000 })
  t.pass()
})

test('a few bytes that state a huge length take no memory', (t) => {
  // A faulty peer sends a header of an array of thirty million items and nothing more. A decoder that reserves them
  // takes 240 MB at once, and the process is killed with all its links.
  const codec = newCodec()
  const before = process.memoryUsage().rss
  for (const [type, length] of [[0xdd, 30_000_000], [0xdd, 0xffffffff], [0xdf, 30_000_000], [0xc6, 0xffffffff]] as const) {
    const packet = Buffer.alloc(5, type)
    packet.writeUInt32BE(length, 1)
    t.true(codec.decode(packet).isErr())
  }
  t.true(codec.decode(Buffer.alloc(MEGABYTE, 0x91)).isErr(), 'a million levels of nesting')
  t.true(process.memoryUsage().rss - before < 50 * MEGABYTE)
})
