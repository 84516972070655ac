/**
 * The crowds: what their clients send, how many there are, and to which port of a controller they connect.
 */

import { CALLER_HOST, QUEUE_PREFIXES } from '../../platform/standins/PlatformStandIn.js'
import { encodeChunks, readingAnswers, sendForever, sendOnce } from './Crowd.js'
import { LARGE_CHUNK_BYTES, MAX_DESCRIPTORS, largestBody, smallJob } from './Sizes.js'

import type { ClientScript } from './Crowd.js'

export type ControllerPort = 'callers' | 'readiness' | 'metrics' | 'peer'

export interface ICrowd {
  readonly port: ControllerPort
  readonly clients: number
  readonly script: ClientScript
}

/** One in this many clients completes its body. */
const COMPLETE_EVERY = 8
const LAST_CHUNK = Buffer.from('0\r\n\r\n')
const REQUESTS_PER_WRITE = 500
const JOBS_PER_WRITE = 20
const SPEC_BYTES = 3000
const HEADER_LINE = 'x-line: value\r\n'
const HEADER_LINES = Buffer.from(HEADER_LINE.repeat(1000))
/** More connections than the machine has descriptors. */
const IDLE_CLIENTS = MAX_DESCRIPTORS + 100

let nextJob = 0

/** An id that no other job has had; ids of ordinary jobs begin with 0. */
function newJobId (): string {
  nextJob += 1
  return `c${nextJob.toString(16).padStart(15, '0')}`
}

function postHead (header: string): string {
  return `POST ${QUEUE_PREFIXES.night}${newJobId()} HTTP/1.1\r\nhost: ${CALLER_HOST}\r\n${header}\r\n\r\n`
}

function getHead (headers = `host: ${CALLER_HOST}\r\n`): string {
  return `GET ${QUEUE_PREFIXES.batch}${newJobId()} HTTP/1.1\r\n${headers}`
}

function incompleteBodies (chunkBytes: number): ClientScript {
  const chunks = encodeChunks(largestBody(), chunkBytes)
  return readingAnswers((socket, client) => {
    const end = client % COMPLETE_EVERY === 0 ? LAST_CHUNK : Buffer.alloc(0)
    sendOnce(Buffer.concat([Buffer.from(postHead('transfer-encoding: chunked')), chunks, end]))(socket, client)
  })
}

function incompleteDeclaredBodies (): ClientScript {
  const body = largestBody()
  return readingAnswers((socket, client) => {
    sendOnce(Buffer.concat([Buffer.from(postHead(`content-length: ${body.byteLength}`)), body.subarray(0, -1)]))(socket, client)
  })
}

function requestsAhead (request: string): ClientScript {
  const requests = Buffer.from(request.repeat(REQUESTS_PER_WRITE))
  return sendForever(() => requests)
}

function jobsAhead (): ClientScript {
  const body = smallJob(SPEC_BYTES)
  return sendForever(() => Buffer.from(Array.from({ length: JOBS_PER_WRITE }, () => postHead(`content-length: ${body.length}`) + body).join('')))
}

function endlessHeaders (): ClientScript {
  return readingAnswers((socket, client) => {
    socket.write(getHead())
    sendForever(() => HEADER_LINES)(socket, client)
  })
}

function endlessTrailers (): ClientScript {
  const body = encodeChunks(Buffer.from(smallJob()), LARGE_CHUNK_BYTES)
  return readingAnswers((socket, client) => {
    socket.write(Buffer.concat([Buffer.from(postHead('transfer-encoding: chunked')), body, Buffer.from('0\r\n')]))
    sendForever(() => HEADER_LINES)(socket, client)
  })
}

function idle (port: ControllerPort): ICrowd {
  return { port, clients: IDLE_CLIENTS, script: readingAnswers(() => {}) }
}

export const CROWDS = {
  bodiesInChunksOfOneByte: { port: 'callers', clients: 20, script: incompleteBodies(1) },
  bodiesInLargeChunks: { port: 'callers', clients: 800, script: incompleteBodies(LARGE_CHUNK_BYTES) },
  bodiesOfDeclaredLength: { port: 'callers', clients: 800, script: incompleteDeclaredBodies() },
  requestsAhead: { port: 'callers', clients: 40, script: requestsAhead(`${getHead()}\r\n`) },
  jobsAhead: { port: 'callers', clients: 40, script: jobsAhead() },
  requestsWithoutHost: { port: 'callers', clients: 40, script: requestsAhead(`${getHead('')}\r\n`) },
  readinessAhead: { port: 'readiness', clients: 40, script: requestsAhead('GET /readiness HTTP/1.1\r\nhost: a\r\n\r\n') },
  metricsAhead: { port: 'metrics', clients: 40, script: requestsAhead('GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n') },
  peerAhead: { port: 'peer', clients: 40, script: requestsAhead('GET / HTTP/1.1\r\nhost: a\r\n\r\n') },
  endlessHeaders: { port: 'callers', clients: 300, script: endlessHeaders() },
  unfinishedHeaders: { port: 'callers', clients: 600, script: readingAnswers(sendOnce(Buffer.from(getHead() + HEADER_LINE.repeat(1000)))) },
  endlessTrailers: { port: 'callers', clients: 300, script: endlessTrailers() },
  idleCallers: idle('callers'),
  idleReadiness: idle('readiness'),
  idleMetrics: idle('metrics'),
  idlePeers: idle('peer')
} as const satisfies Readonly<Record<string, ICrowd>>

export type CrowdName = keyof typeof CROWDS
