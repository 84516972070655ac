/**
 * Bodies that arrive in chunks of any size.
 */

import test from 'ava'
import { BodyBuffer } from './BodyBuffer.js'

const MAX_BYTES = 10_000

for (const chunkBytes of [1, 7, 1000, MAX_BYTES]) {
  test(`a body in chunks of ${chunkBytes} bytes is collected in at most twice its size`, (t) => {
    const body = Buffer.from(Array.from({ length: MAX_BYTES }, (_, index) => index % 251))
    const buffer = new BodyBuffer(MAX_BYTES)
    for (let offset = 0; offset < MAX_BYTES; offset += chunkBytes) {
      t.true(buffer.add(body.subarray(offset, offset + chunkBytes)))
      t.true(buffer.capacityBytes <= Math.max(2 * buffer.bytes.byteLength, 1024))
    }
    t.deepEqual(Buffer.from(buffer.bytes), body)
    t.is(buffer.capacityBytes, MAX_BYTES)
    t.false(buffer.add(Buffer.from('x')))
  })
}

test('a body does not keep the memory of the chunk that it arrived in', (t) => {
  const chunk = Buffer.alloc(65_536).subarray(0, 10)
  const buffer = new BodyBuffer(MAX_BYTES)
  buffer.add(chunk)
  t.not(buffer.bytes.buffer, chunk.buffer)
})
