/**
 * Tickets of a batch step in a full cell whose hosts become free one after the other.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

const HOSTS = 16
const CALL_MS = 130
const VALID_MS = 1500
const FIRST_END_MS = 2500
const END_INTERVAL_MS = 60

async function runBatch (): Promise<{ readonly calls: number, readonly staleTickets: number, readonly isCompleted: boolean }> {
  let calls = 0
  const cell = new SimulatedCell({
    hosts: HOSTS,
    host: { workMs: ({ jobId }) => workOf.get(jobId) ?? 1000 },
    adviceMs: ({ hostIds }) => {
      calls += 1
      return CALL_MS + hostIds.length
    },
    ticketValidMs: VALID_MS
  })
  const workOf = new Map<string, number>()
  await cell.run(600)
  for (let number = 0; number < HOSTS; number += 1) {
    const estimateMs = FIRST_END_MS + number * END_INTERVAL_MS
    const filler = cell.submit([{ cpuMillicores: 8000, estimateMs }], { priority: 0 })
    workOf.set(filler.spec.jobId, estimateMs)
  }
  await cell.run(200)
  const advice = { baseMs: CALL_MS, perHostMs: 1, validMs: VALID_MS }
  const batch = cell.submit([{ count: HOSTS, cpuMillicores: 7000, estimateMs: 1000 }], { priority: 2, advice })
  await cell.run(8000)
  return { calls, staleTickets: cell.staleTicketCount, isCompleted: batch.storedPhase === 'completed' }
}

test('a batch step does not make a call for each host that becomes free', async (t) => {
  // Each of these calls keeps a machine busy and the capacity idle, and other steps wait for their advice meanwhile.
  const { calls, staleTickets, isCompleted } = await runBatch()
  t.log(`${calls} calls`)
  t.true(isCompleted)
  t.is(staleTickets, 0)
  t.true(calls <= 4, `${calls} calls`)
})

const HOSTS_TO_NAME_FIRST = 40
const ALLOWED_HOSTS = ['host-0', 'host-1']
/** The service takes so long to answer about further hosts that the allowed ones become free meanwhile. */
const FURTHER_CALL_MS = 20_000
const OCCUPIED_MS = 5000

/** Runs a step whose allowed hosts become free while a call about further hosts is in flight. Returns how long it waited after that. */
async function waitBesideCallForHosts (gang: boolean): Promise<Readonly<Record<'waitMs' | 'furtherCalls' | 'ticketCalls', number>>> {
  const calls = { further: 0, known: 0 }
  const workOf = new Map<string, number>()
  const cell = new SimulatedCell({
    hosts: HOSTS_TO_NAME_FIRST * 2,
    host: { workMs: ({ jobId }) => workOf.get(jobId) ?? 1000 },
    allows: (hostId) => ALLOWED_HOSTS.includes(hostId),
    adviceMs: ({ hostIds }) => {
      const isKnown = hostIds.includes(ALLOWED_HOSTS[0] ?? '')
      calls[isKnown ? 'known' : 'further'] += 1
      return isKnown ? CALL_MS : FURTHER_CALL_MS
    },
    ticketValidMs: VALID_MS
  })
  for (let number = 0; number < cell.hosts.length; number += 1) {
    const filler = cell.submit([{ cpuMillicores: 7000, estimateMs: OCCUPIED_MS }], { priority: 0 })
    workOf.set(filler.spec.jobId, OCCUPIED_MS)
  }
  await cell.run(200)
  const advice = { baseMs: CALL_MS, perHostMs: 0, validMs: VALID_MS }
  const job = cell.submit([{ count: 2, gang, cpuMillicores: 4000, maxPerHost: 1 }], { priority: 1, targetMs: 120_000, advice })
  await cell.run(OCCUPIED_MS)
  const freeAtMs = cell.clock.nowMs()
  while (!job.hasStarted && cell.clock.nowMs() - freeAtMs < FURTHER_CALL_MS) await cell.run(10)
  return { waitMs: cell.clock.nowMs() - freeAtMs, furtherCalls: calls.further, ticketCalls: calls.known - 1 }
}

for (const gang of [false, true]) {
  test(`a ${gang ? 'gang' : 'batch step'} starts on the hosts that it knows while a call for further hosts is in flight`, async (t) => {
    // The step would wait for an answer that it doesn't need, while its hosts are idle.
    const { waitMs, furtherCalls, ticketCalls } = await waitBesideCallForHosts(gang)
    t.true(furtherCalls > 0)
    t.true(waitMs <= 1000, `started after ${waitMs} ms`)
    t.true(ticketCalls <= 8, `${ticketCalls} calls for tickets`)
  })
}
