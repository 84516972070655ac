/**
 * Requests of callers to a process that starts, stops, or is cut off from the store.
 */

import test from 'ava'
import { ok } from 'neverthrow'
import { request } from 'undici'
import { SystemClock } from '../common/Clock.js'
import { digestKey } from '../runtime/KeyDigest.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { JobServer } from './JobServer.js'

import type { IJobServerContext } from './JobServer.js'

const NEVER = new Promise<never>(() => {})

const SILENT_ROUTE = { submit: async () => await NEVER, state: async () => await NEVER, cancel: async () => await NEVER }

const CONFIG = { config: { maxBodyBytes: 1000 }, version: 1, ageMs: 0, isCurrent: true, findQueue: () => ({ name: 'queue', pathPrefix: '/queue/', isPublic: true }) }

function setUp (route: Promise<object> = Promise.resolve(SILENT_ROUTE), config: object = CONFIG): JobServer {
  const job = { jobId: 'j', description: '', occurrences: 0, steps: [] }
  return new JobServer({
    wire: { isJobId: () => true, decodeJob: () => ok(job), remainingMs: () => 3000, key: () => 'key', encodePhase: (phase: string) => phase },
    config,
    route,
    clock: new SystemClock(),
    log: new SilentLogger(),
    times: new LatencyTable(20),
    counters: new Counters()
  } as unknown as IJobServerContext)
}

test('a stopping process answers its open requests instead of closing their connections', async (t) => {
  // The owner does not answer before the grace period ends. If the connection were closed, the caller would get neither an answer nor a
  // refusal.
  const entry = setUp()
  const url = await entry.listen('127.0.0.1', 0)
  const answers = ['POST', 'GET', 'DELETE'].map(async (method) =>
    (await request(`${url}/queue/j`, { method: method as 'POST', ...(method === 'POST' ? { body: '{}' } : {}) })).statusCode)
  while (entry.inFlight < answers.length) await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  await entry.close(20)
  t.deepEqual(await Promise.all(answers), [504, 503, 504])
})

test('a request to a starting process is answered once its peers are found', async (t) => {
  // After all processes were killed, a caller whose connections are refused uses up its attempts within a second, before the first process
  // can answer.
  let start = (_: object): void => {}
  const entry = setUp(new Promise<object>((resolve) => { start = resolve }))
  const url = await entry.listen('127.0.0.1', 0)
  const answer = request(`${url}/queue/j`, { method: 'GET' })
  while (entry.inFlight < 1) await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  start({ state: async () => ({ kind: 'unknownJob' }) })
  t.is((await answer).statusCode, 410)
  await entry.close(20)
})

test('a process that can\'t find its peers tells callers to retry', async (t) => {
  // If the request were held until the caller's time is over, the caller could not try a process that works.
  const entry = setUp(NEVER)
  const url = await entry.listen('127.0.0.1', 0)
  const { statusCode, headers } = await request(`${url}/queue/j`, { method: 'POST', body: '{}' })
  t.is(statusCode, 503)
  t.is(headers['retry-after'], '1')
  await entry.close(20)
})

test('a process with an old configuration does not say that a queue does not exist', async (t) => {
  // The queue may have been added seconds ago, so its caller must not be told that it does not exist.
  const entry = setUp(undefined, { ...CONFIG, isCurrent: false, findQueue: () => undefined })
  const url = await entry.listen('127.0.0.1', 0)
  const { statusCode, headers } = await request(`${url}/queue/j`, { method: 'POST', body: '{}' })
  t.is(statusCode, 503)
  t.is(headers['retry-after'], '1')
  await entry.close(20)
})

test('a process with a current configuration says that a queue does not exist', async (t) => {
  const entry = setUp(undefined, { ...CONFIG, findQueue: () => undefined })
  const url = await entry.listen('127.0.0.1', 0)
  t.is((await request(`${url}/queue/j`, { method: 'GET' })).statusCode, 404)
  await entry.close(20)
})

const CLOSED_CONFIG = { ...CONFIG, findQueue: () => ({ name: 'queue', pathPrefix: '/queue/', isPublic: false }), workspaceOf: () => undefined }

test('a caller with an unknown key gets 401, whatever it asks for', async (t) => {
  const entry = setUp(undefined, CLOSED_CONFIG)
  const url = await entry.listen('127.0.0.1', 0)
  for (const [method, path] of [['POST', 'j'], ['GET', 'j'], ['DELETE', 'j'], ['GET', '']] as const) {
    const { statusCode } = await request(`${url}/queue/${path}`, { method, ...(method === 'POST' ? { body: '{}' } : {}) })
    t.is(statusCode, 401, `${method} ${path}`)
  }
  await entry.close(20)
})

test('a process with an old configuration lets the owner decide about a key that it does not know', async (t) => {
  // The key may have been added seconds ago, so this process alone must not refuse it.
  const asked: unknown[] = []
  const state = async (_jobId: string, access: unknown) => {
    asked.push(access)
    return { kind: 'known', phase: 'running' }
  }
  const entry = setUp(Promise.resolve({ ...SILENT_ROUTE, state }), { ...CLOSED_CONFIG, isCurrent: false })
  const url = await entry.listen('127.0.0.1', 0)
  t.is((await request(`${url}/queue/j`, { method: 'GET' })).statusCode, 200)
  t.deepEqual(asked, [{ queue: 'queue', keyDigest: digestKey('key'), configVersion: 1 }])
  await entry.close(20)
})

test('a caller whose key the owner does not know gets 401 from every request', async (t) => {
  const route = {
    submit: async () => ({ kind: 'unauthorized' }),
    state: async () => ({ kind: 'unauthorized' }),
    cancel: async () => 'unauthorized',
    waiting: async () => ({ kind: 'unauthorized' })
  }
  const entry = setUp(Promise.resolve(route), { ...CLOSED_CONFIG, workspaceOf: () => ({ name: 'blue' }) })
  const url = await entry.listen('127.0.0.1', 0)
  for (const [method, path] of [['POST', 'j'], ['GET', 'j'], ['DELETE', 'j'], ['GET', '']] as const) {
    const { statusCode } = await request(`${url}/queue/${path}`, { method, ...(method === 'POST' ? { body: '{}' } : {}) })
    t.is(statusCode, 401, `${method} ${path}`)
  }
  await entry.close(20)
})
