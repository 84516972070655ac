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
