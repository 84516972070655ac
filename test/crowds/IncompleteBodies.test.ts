/**
 * Many clients send bodies in chunks, most of them stop just short of the end, and leave their connections open.
 */

import { Readable } from 'node:stream'
import test from 'ava'
import { request } from 'undici'
import { CALLER_HOST, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'
import { CrowdedCell } from './CrowdedCell.js'
import { crowdTest } from './CrowdTest.js'
import { LARGE_CHUNK_BYTES, largestBody } from './Sizes.js'

crowdTest('incomplete bodies in chunks of one byte do not end a process', 'bodiesInChunksOfOneByte')
crowdTest('incomplete bodies in large chunks do not exceed the memory of the machine', 'bodiesInLargeChunks')
crowdTest('incomplete bodies of a declared length do not exceed the memory of the machine', 'bodiesOfDeclaredLength')

for (const chunkBytes of [1, 1000, LARGE_CHUNK_BYTES]) {
  test.serial(`a single job as large as a body may be is accepted in chunks of ${chunkBytes} bytes`, async (t) => {
    const cell = await CrowdedCell.start(t)
    const body = largestBody()
    const chunks = Array.from({ length: Math.ceil(body.byteLength / chunkBytes) }, (_, number) =>
      body.subarray(number * chunkBytes, (number + 1) * chunkBytes))
    const url = `${cell.url('callers')}${QUEUE_PREFIXES.urgent}${cell.newJobId()}`
    const answer = await request(url, { method: 'POST', headers: { host: CALLER_HOST }, body: Readable.from(chunks) })
    t.is(answer.statusCode, 200)
    await answer.body.dump()
  })
}
