/**
 * Callers of a process that starts, stops, or is cut off from the store.
 */

import test from 'ava'
import { ok } from 'neverthrow'
import { request } from 'undici'
import { SystemClock } from '../common/Clock.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { CallerEntry } from './CallerEntry.js'

import type { ICallerEntryContext } from './CallerEntry.js'

const NEVER = new Promise<never>(() => {})

const SILENT_ROUTE = { submit: async () => await NEVER, state: async () => await NEVER, cancel: async () => await NEVER }

const CONFIG = { config: { maxBodyBytes: 1000 }, version: 1, ageMs: 0, isCurrent: true, find: () => ({ name: 'queue', pathPrefix: '/queue/' }) }

function setUp (route: Promise<object> = Promise.resolve(SILENT_ROUTE), config: object = CONFIG): CallerEntry {
  const job = { jobId: 'j', description: '', occurrences: 0, steps: [] }
  return new CallerEntry({
    wire: { isJobId: () => true, decodeJob: () => ok(job), remainingMs: () => 3000 },
    config,
    route,
    clock: new SystemClock(),
    log: new SilentLogger(),
    times: new LatencyTable(20),
    counters: new Counters()
  } as unknown as ICallerEntryContext)
}

test('a process that stops answers what it has not finished, instead of cutting it off', async (t) => {
  // The owner has not answered by the end of the time to stop. Its connection was cut: the caller saw neither an answer nor a refusal.
  const entry = setUp()
  const url = await entry.listen('127.0.0.1', 0)
  const answers = ['POST', 'GET', 'DELETE'].map(async (method) =>
    (await request(`${url}/queue/j`, { method: method as 'POST', ...(method === 'POST' ? { body: '{}' } : {}) })).statusCode)
  while (entry.inFlight < answers.length) await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  await entry.close(20)
  t.deepEqual(await Promise.all(answers), [504, 503, 504])
})

test('a caller that comes while the process starts is answered once its peers are found', async (t) => {
  // All processes were killed. Refused connections use up a caller's tries within a second, before the first process can answer.
  let start = (_: object): void => {}
  const entry = setUp(new Promise<object>((resolve) => { start = resolve }))
  const url = await entry.listen('127.0.0.1', 0)
  const answer = request(`${url}/queue/j`, { method: 'GET' })
  while (entry.inFlight < 1) await new Promise<void>((resolve) => { setTimeout(resolve, 5) })
  start({ state: async () => ({ kind: 'unknownJob' }) })
  t.is((await answer).statusCode, 410)
  await entry.close(20)
})

test('a caller is sent on by a process that can\'t find its peers', async (t) => {
  // Held until its time was over, it couldn't try a process that had been there all along.
  const entry = setUp(NEVER)
  const url = await entry.listen('127.0.0.1', 0)
  const { statusCode, headers } = await request(`${url}/queue/j`, { method: 'POST', body: '{}' })
  t.is(statusCode, 503)
  t.is(headers['retry-after'], '1')
  await entry.close(20)
})

test('a queue that an old configuration does not have may exist', async (t) => {
  // Its caller was told that there is no such queue, seconds after the queue had been added.
  const entry = setUp(undefined, { ...CONFIG, isCurrent: false, find: () => undefined })
  const url = await entry.listen('127.0.0.1', 0)
  const { statusCode, headers } = await request(`${url}/queue/j`, { method: 'POST', body: '{}' })
  t.is(statusCode, 503)
  t.is(headers['retry-after'], '1')
  await entry.close(20)
})

test('a queue that the newest configuration does not have does not exist', async (t) => {
  const entry = setUp(undefined, { ...CONFIG, find: () => undefined })
  const url = await entry.listen('127.0.0.1', 0)
  t.is((await request(`${url}/queue/j`, { method: 'GET' })).statusCode, 404)
  await entry.close(20)
})
