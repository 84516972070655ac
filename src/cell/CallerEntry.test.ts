/**
 * Callers of a process that stops.
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

function setUp (): CallerEntry {
  const job = { jobId: 'j', description: '', occurrences: 0, steps: [] }
  return new CallerEntry({
    wire: { isJobId: () => true, decodeJob: () => ok(job), remainingMs: () => 3000 },
    config: { config: { maxBodyBytes: 1000 }, version: 1, find: () => ({ name: 'queue', pathPrefix: '/queue/' }) },
    route: { submit: async () => await NEVER, state: async () => await NEVER, cancel: async () => await NEVER },
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
