/**
 * Which steps get advice first while all machines that call the advice service are busy.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { QueueTerms } from './Job.js'

const HOSTS = 320
const MACHINES = 6
/** A step that can run has nothing running for at most this long. */
const START_BOUND_MS = 3000
const GANGS: Partial<QueueTerms> = { name: 'gangs', priority: 1, targetMs: 120_000, advice: { baseMs: 340, perHostMs: 4.9, validMs: 1500 } }
const BATCH: Partial<QueueTerms> = { name: 'batch', priority: 2, targetMs: 120_000, advice: { baseMs: 130, perHostMs: 1.8, validMs: 1500 } }
const PATIENT = { targetMs: 120_000 }

/** A cell in which the hosts of one rack are too full for gangs, for longer than the estimates say, and those of the other are empty. */
async function setUp (): Promise<SimulatedCell> {
  const workMs = new Map<string, number>()
  const cell: SimulatedCell = new SimulatedCell({
    hosts: HOSTS,
    host: { workMs: ({ jobId }) => workMs.get(jobId) ?? 1000 },
    adviceMachines: MACHINES,
    isAdviceSerial: true,
    ticketValidMs: 1500,
    adviceMs: ({ jobId, hostIds }) => {
      const { baseMs = 0, perHostMs = 0 } = cell.job(jobId).queue.advice ?? {}
      return baseMs + perHostMs * hostIds.length
    }
  })
  for (let number = 0; number < HOSTS / 2 - 20; number += 1) {
    const filler = cell.submit([{ cpuMillicores: 8000, requiredLabel: 'rack-0' }], PATIENT)
    workMs.set(filler.spec.jobId, 60_000)
  }
  await cell.run(500)
  return cell
}

test('a step starts soon on idle hosts beside many gangs that wait for room', async (t) => {
  // Advice for gangs that can't start yet would occupy the machines that call the service, ahead of less urgent steps that can.
  const cell = await setUp()
  for (let number = 0; number < 40; number += 1) cell.submit([{ count: 30, gang: true, cpuMillicores: 5000, requiredLabel: 'rack-0' }], GANGS)
  await cell.run(8000)
  const submittedAtMs = cell.clock.nowMs()
  const jobs = Array.from({ length: 60 }, () => cell.submit([{ count: 10, cpuMillicores: 500, requiredLabel: 'rack-1' }], BATCH))
  while (jobs.some((job) => !job.hasStarted) && cell.clock.nowMs() - submittedAtMs < 30_000) await cell.run(100)
  const waitedMs = cell.clock.nowMs() - submittedAtMs
  t.true(waitedMs <= START_BOUND_MS, `the last step started after ${waitedMs} ms`)
})
