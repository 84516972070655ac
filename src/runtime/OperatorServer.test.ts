import { createConnection } from 'node:net'
import test from 'ava'
import fc from 'fast-check'
import { Client } from 'undici'
import { OPERATOR_TOKEN as TOKEN, SHORT_TIMEOUT_LIMITS, startOperator as setUp } from '../../test/support/OperatorFixture.js'
import { URGENT_PROFILE } from '../common/config/DefaultProfiles.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { createBroker } from './Broker.js'
import { OperatorServer } from './OperatorServer.js'

const SEED = 20_261_202
/** Longer than the shortest time limit for the headers of a request in these tests, in ms. */
const STARVED_MS = 400

test('refuses a request without the token before it reads the body', async t => {
  const { call } = await setUp(t)
  for (const token of ['', 'wrong', `${TOKEN}x`]) t.is((await call('GET', '/v1/dump', { token })).status, 401)
  t.is((await call('PUT', '/v1/config/profile/urgent', { token: 'wrong', body: 'x'.repeat(1_000_000) })).status, 401)
  t.deepEqual(await call('GET', '/v1/dump?section=links'), { status: 200, json: { query: { section: 'links' } } })
})

test('a profile is put, read, rolled back, deleted and listed over its history', async t => {
  const { call } = await setUp(t)
  const path = '/v1/config/profile/urgent'
  const put = (ifMatch: number, weight: number) => call('PUT', path, { ifMatch, body: JSON.stringify({ ...URGENT_PROFILE, weight }) })
  t.is((await put(0, 1)).json['entry'].revision, 1)
  t.is((await put(1, 2)).status, 200)
  const conflict = await put(1, 3)
  t.is(conflict.status, 409)
  t.is(conflict.json['current'].value.weight, 2)
  t.is((await call('POST', `${path}/rollback`, { ifMatch: 2, body: '{"toRevision":1}' })).json['entry'].value.weight, 1)
  t.like(await call('GET', path), { json: { source: 'store', entry: { revision: 3, writer: 'unnamed' } } })
  t.is((await call('DELETE', path, { ifMatch: 3 })).json['entry'].deleted, true)
  t.is((await call('GET', `${path}/history`)).json['entries'].length, 4)
  t.is((await call('GET', `${path}/everywhere`)).json['places'][0].revision, 1)
})

test('responds to an invalid request with its error', async t => {
  const { call, store } = await setUp(t)
  const path = '/v1/config/profile/urgent'
  t.is((await call('PUT', path, { body: '{}' })).status, 428)
  const invalid = await call('PUT', path, { ifMatch: 0, body: '{"name":"urgent"}' })
  t.is(invalid.status, 400)
  t.is(invalid.json['problems'].length, 12)
  t.is((await call('PUT', path, { ifMatch: 0, body: '{broken' })).status, 400)
  t.is((await call('PUT', path, { ifMatch: 0, body: `"${'x'.repeat(70_000)}"` })).status, 413)
  t.is((await call('GET', '/v1/config/colour/red')).json['error'], 'unknownKind')
  t.is((await call('GET', '/v1/nothing')).json['error'], 'notFound')
  t.is((await call('GET', '/v1/jobs')).json['error'], 'notHere')
  t.is((await call('GET', '/v1/metrics')).json['error'], 'internal')
  store.isDown = true
  t.is((await call('PUT', path, { ifMatch: 0, body: JSON.stringify(URGENT_PROFILE) })).json['error'], 'storeUnavailable')
})

test('any path, query and body gets a JSON response with a status below 500', async t => {
  const { call } = await setUp(t)
  const segment = fc.constantFrom('v1', 'config', 'profile', 'urgent', 'history', 'rollback', '%', '%00', '..', '__proto__', 'constructor', '%2f', '')
  const path = fc.tuple(fc.array(segment, { maxLength: 5 }), fc.constantFrom('', '?section=a&section=b', '?__proto__[x]=1', '?a[b][c]=1', '?%'))
  const method = fc.constantFrom<'GET' | 'PUT' | 'POST' | 'DELETE'>('GET', 'PUT', 'POST', 'DELETE')
  const body = fc.oneof(fc.constant(undefined), fc.json(), fc.string())
  await fc.assert(fc.asyncProperty(method, path, body, fc.option(fc.nat(), { nil: undefined }), async (verb, [segments, query], text, ifMatch) => {
    const options = { ...(text === undefined || verb === 'GET' ? {} : { body: text }), ...(ifMatch === undefined ? {} : { ifMatch }) }
    const { status, json } = await call(verb, `/${segments.join('/')}${query}`, options)
    t.true(status < 500, `${verb} /${segments.join('/')}${query} gave ${status}`)
    t.is(typeof json, 'object')
  }), { seed: SEED, numRuns: 200 })
})

// Clients open connections and send their headers a byte at a time, or not at all. Without a time limit, a few hundred such
// clients would use up the connections, and operators could not connect.
test('the connection of a slow client is closed', async t => {
  const { url } = await setUp(t, {}, SHORT_TIMEOUT_LIMITS)
  const socket = createConnection(Number(new URL(url).port), '127.0.0.1')
  socket.on('error', () => {})
  socket.write('GET /v1/dump HTTP/1.1\r\nauth')
  await new Promise(resolve => { socket.once('close', resolve).resume() })
  t.pass()
})

// A client that gets no processor time between connecting and sending must not be answered 408, without a JSON body.
test('a client that is starved for a moment after it has connected gets its answer', async t => {
  const { url } = await setUp(t)
  const client = new Client(url)
  t.teardown(async () => { await client.close() })
  client.once('connect', () => { Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STARVED_MS) })
  const answer = await client.request({ path: '/', method: 'DELETE', headers: { authorization: `Bearer ${TOKEN}` }, body: '{}' })
  t.is(answer.statusCode, 404)
  t.is(typeof await answer.body.json(), 'object')
})

test('an address that is already in use is reported as an error', async t => {
  const { url } = await setUp(t)
  const logger = new SilentLogger()
  const listen = { ip: '127.0.0.1', port: Number(new URL(url).port) }
  const server = new OperatorServer(createBroker('gateway-2', logger), { listen, token: TOKEN }, SHORT_TIMEOUT_LIMITS, {}, logger)
  t.regex((await server.listen())._unsafeUnwrapErr().message, /EADDRINUSE/)
})
