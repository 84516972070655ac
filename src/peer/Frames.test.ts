/**
 * Tests of the frame codec, also with bytes that no codec has encoded.
 */

import test from 'ava'

import fc from 'fast-check'
import { Packr } from 'msgpackr'

import { FailureKind, FrameCodec, FrameKind, frameFields } from './Frames.js'

const SEED = 20261202
const MAX_FRAME_BYTES = 1_000_000
const MEGABYTE = 1_048_576

function newCodec (maxFrameBytes = MAX_FRAME_BYTES): FrameCodec {
  return new FrameCodec(maxFrameBytes)
}

test('frames joined into packets are decoded as they were encoded, in any order of shapes', (t) => {
  const field = fc.oneof(fc.string(), fc.double({ noNaN: true }), fc.boolean(), fc.uint8Array())
  const body = fc.oneof(fc.dictionary(fc.string(), field), fc.array(fc.string()))
  fc.assert(fc.property(fc.array(fc.array(body, { minLength: 1 })), (packets) => {
    const [sender, receiver] = [newCodec(), newCodec()]
    for (const bodies of packets) {
      const frames = bodies.map((request, index) => sender.encode(frameFields.call(index + 1, 'drain', request))._unsafeUnwrap())
      const received = receiver.decode(Buffer.concat(frames))._unsafeUnwrap()
      t.deepEqual(received.map((frame) => frame.kind === FrameKind.Call ? toComparable(frame.request) : undefined), bodies.map(toComparable))
    }
  }), { seed: SEED, numRuns: 200 })
})

/** The content of a value without its prototype and its type of byte array, so that equal content compares equal. */
function toComparable (value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value
  if (value instanceof Uint8Array || Array.isArray(value)) return [...value as Iterable<unknown>].map(toComparable)
  return Object.entries(value).map(([key, item]) => [key, toComparable(item)])
}

test('frames after a frame that was too large can still be decoded', (t) => {
  // A request above the size limit is rejected before it is sent. Its shape was new, so the encoder has recorded it as
  // defined. The peer never received this definition and could not decode any later message of the same shape.
  const [sender, receiver] = [newCodec(200), newCodec(200)]
  t.true(sender.encode(frameFields.call(1, 'cancel', { attemptId: 'x'.repeat(300) })).isErr())
  const frame = sender.encode(frameFields.call(2, 'cancel', { attemptId: 'x' }))._unsafeUnwrap()
  t.deepEqual(receiver.decode(frame)._unsafeUnwrap(), [{ kind: FrameKind.Call, callId: 2, name: 'cancel', request: { attemptId: 'x' } }])
})

test('decoding arbitrary bytes and arbitrary msgpack returns an error or frames and never throws', (t) => {
  const anyMsgpack = fc.anything({ withDate: true, withBigInt: false }).map((value) => new Packr().pack(value))
  const mutated = fc.tuple(fc.nat({ max: 60 }), fc.nat({ max: 255 })).map(([at, byte]) => {
    const frame = new FrameCodec(MAX_FRAME_BYTES).encode(frameFields.failure(1, FailureKind.Refused, 'step', 'peer', 'message'))._unsafeUnwrap()
    frame[at % frame.length] = byte
    return frame
  })
  fc.assert(fc.property(fc.array(fc.oneof(fc.uint8Array({ maxLength: 200 }), anyMsgpack, mutated), { maxLength: 5 }), (packets) => {
    const codec = newCodec()
    for (const packet of packets) codec.decode(packet)
  }), { seed: SEED, numRuns: 3_000 })
  t.pass()
})

test('a few bytes that state a huge length allocate no memory', (t) => {
  // A faulty peer sends the header of an array of thirty million items and nothing more. A decoder that allocates the
  // array takes 240 MB at once, and the process is killed and loses all its links.
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
