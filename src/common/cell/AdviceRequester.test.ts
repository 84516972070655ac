/**
 * Which steps get advice first while all machines that call the advice service are busy.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { Job, QueueTerms } from './Job.js'

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

/** Callers ask for a job some seconds after the last one was sent. The job of a step that waits for longer, in ms, may not be done by then. */
const LATE_BOUND_MS = 20_000

test('a late step that the limit of waiting calls turns away gets advice although more urgent jobs keep coming', async (t) => {
  // It would have nothing running for as long as other jobs come, although its hosts are idle.
  const cell = new SimulatedCell({ hosts: 40, adviceMachines: 2, isAdviceSerial: true, adviceMs: () => 150, host: { workMs: () => 200 } })
  const advice = { baseMs: 150, perHostMs: 0, validMs: 1500 }
  cell.adviceDelayMs = 400
  const late: Job[] = []
  for (let passedMs = 0; passedMs < LATE_BOUND_MS * 2; passedMs += 100) {
    cell.submit([{ cpuMillicores: 500, estimateMs: 200 }], { ...PATIENT, name: 'soon', priority: 1, advice })
    if (passedMs === LATE_BOUND_MS) late.push(...[0, 1, 2].map(() => cell.submit([{ cpuMillicores: 500 }], { name: 'batch', priority: 2, targetMs: 1, advice })))
    await cell.run(100)
  }
  t.deepEqual(late.map((job) => job.hasStarted), [true, true, true])
})
