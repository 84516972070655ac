/**
 * The HTTP server for callers over real sockets: any input gets a clear answer or a closed connection, and the server
 * can still serve the next caller.
 */

import { connect } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { request } from 'undici'

import { SystemClock } from '../common/Clock.js'
import { ConfigReplica } from '../common/config/ConfigReplica.js'
import { URGENT_PROFILE } from '../common/config/DefaultProfiles.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { createBroker } from '../runtime/Broker.js'
import { SETTINGS_DEFAULTS } from '../runtime/settings/SettingsDefaults.js'
import { CallerServer } from './CallerServer.js'

import type { IConfigEntry } from '../common/config/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { JobForwarder } from './JobForwarder.js'
import type { RequestForwarder } from './RequestForwarder.js'
import type { IRoutedRequest } from './Types.js'

const MAX_BODY_BYTES = 1024
const HEADERS = { 'x-jackdawreel-caller': 'clinic', 'x-jackdawreel-request-id': 'r' }

function replica (): ConfigReplica {
  const config = new ConfigReplica()
  const common = { revision: 1, deleted: false, writer: 'w', nonce: 'n', changedAt: 0 }
  const service = { name: 'chip-lookup', profile: 'urgent', team: 'team' }
  const entries: readonly IConfigEntry[] = [
    { ...common, kind: 'profile', name: 'urgent', value: URGENT_PROFILE }, { ...common, kind: 'service', name: 'chip-lookup', value: service }
  ]
  config.apply(entries)
  return config
}

interface IStartedServer {
  readonly url: string
  readonly port: number
  readonly stop: () => Promise<void>
}

async function startServer (limits: Partial<typeof SETTINGS_DEFAULTS.limits> = {}): Promise<IStartedServer> {
  const log = new SilentLogger()
  const broker = createBroker('gateway', log)
  const echo = async ({ body, contentType }: IRoutedRequest): Promise<IFinalAnswer> => ({ outcome: 'done', status: 200, body, contentType })
  const server = new CallerServer({
    broker,
    settings: { listen: { ip: '127.0.0.1', port: 0 }, maxBodyBytes: MAX_BODY_BYTES, requestTimeoutMs: 1000 },
    limits: { ...SETTINGS_DEFAULTS.limits, headersTimeoutMs: 200, ...limits },
    requests: { run: echo } as unknown as RequestForwarder,
    jobs: { submit: async () => ({ outcome: 'done' }), status: async () => undefined } as unknown as JobForwarder,
    config: replica(),
    outcomes: { recordOutcome: () => {} },
    clock: new SystemClock(),
    log,
    isReady: () => true
  })
  await broker.start()
  const url = await server.listen()
  const stop = async (): Promise<void> => {
    await server.close(0)
    await broker.stop()
  }
  return { url, port: Number(new URL(url).port), stop }
}

/** Sends raw bytes and returns everything received until the server closes the connection. */
async function sendRaw (port: number, bytes: Uint8Array | string): Promise<string> {
  return await new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1')
    let received = ''
    socket.on('data', (chunk: Buffer) => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => resolve(received))
    socket.end(bytes)
  })
}

test('a body passes unchanged, and invalid input is refused with the name of its field', async (t) => {
  const { url, stop } = await startServer()
  const body = Buffer.from(Array.from({ length: 256 }, (_, byte) => byte))
  const echoed = await request(`${url}/v1/requests/chip-lookup`, { method: 'POST', headers: { ...HEADERS, 'content-type': 'image/x' }, body })
  t.deepEqual(Buffer.from(await echoed.body.arrayBuffer()), body)
  t.is(echoed.headers['content-type'], 'image/x')
  for (const [path, method, sent, status, field] of [
    ['/v1/requests/chip-lookup', 'POST', Buffer.alloc(MAX_BODY_BYTES + 1), 413, 'body'],
    ['/v1/requests/no-such', 'POST', '', 404, 'service'],
    ['/v1/jobs', 'POST', '{', 400, 'body'],
    ['/v1/jobs', 'POST', '{"jobId":"j"}', 400, 'service'],
    ['/v1/jobs/unknown', 'GET', undefined, 404, 'jobId']
  ] as const) {
    const answer = await request(url + path, { method, headers: HEADERS, ...(sent === undefined ? {} : { body: sent }) })
    const { field: namedField } = await answer.body.json() as { readonly field?: string }
    t.deepEqual([path, answer.statusCode, namedField], [path, status, field])
  }
  await stop()
})

test('requests over the bound on bytes in flight are refused before their bodies are read', async (t) => {
  // Without this bound, the bodies of a burst of uploads would fill the gateway's memory.
  const { url, stop } = await startServer({ maxInFlightBytes: 100 as never })
  const answer = await request(`${url}/v1/requests/chip-lookup`, { method: 'POST', headers: HEADERS, body: Buffer.alloc(200) })
  t.is(answer.statusCode, 429)
  t.like(await answer.body.json(), { outcome: 'refused', reason: 'overloaded' })
  t.truthy(answer.headers['retry-after'])
  await stop()
})

test('malformed request lines, oversized headers and slow senders get an error status and a closed connection', async (t) => {
  // Port scanners and broken clients must not keep connections open, since they would exhaust the gateway.
  const { port, stop } = await startServer()
  t.regex(await sendRaw(port, 'NOT HTTP\r\n\r\n'), /^HTTP\/1.1 400/)
  t.regex(await sendRaw(port, `GET /v1/health HTTP/1.1\r\nhost: x\r\nx: ${'y'.repeat(100_000)}\r\n\r\n`), /^HTTP\/1.1 431/)
  const slow = await new Promise<string>((resolve) => {
    const socket = connect(port, '127.0.0.1', () => { socket.write('GET /v1/health HTTP/1.1\r\nhost:') })
    let received = ''
    socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
    socket.on('close', () => resolve(received))
  })
  t.regex(slow, /^HTTP\/1.1 408/)
  await stop()
})

test('after any bytes the server can still serve the next caller', async (t) => {
  const { url, port, stop } = await startServer()
  const start = fc.constantFrom('', 'POST /v1/requests/chip-lookup HTTP/1.1\r\n', 'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n')
  const bytes = fc.tuple(start, fc.uint8Array({ maxLength: 300 })).map(([head, rest]) => Buffer.concat([Buffer.from(head), rest]))
  await fc.assert(fc.asyncProperty(bytes, async (sent) => {
    await sendRaw(port, sent)
    const health = await request(`${url}/v1/health`)
    await health.body.dump()
    return health.statusCode === 200
  }), { seed: 21, numRuns: 150 })
  t.pass()
  await stop()
})
