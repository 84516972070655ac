/**
 * What an owner still achieves that is short of processor time, so that its scheduling passes are long.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { Job, QueueTerms } from './Job.js'

const HOSTS = 40
const STEP_COST_MS = 1
/** A pass over them takes as long as those that were seen on slow owners. */
const WAITING_JOBS = 300
/** A step that can run has nothing running for at most this long while half of the room is free. */
const START_BOUND_MS = 3000
const URGENT_BOUND_MS = 500
const LONG_MS = 120_000
const BATCH: Partial<QueueTerms> = { name: 'batch', priority: 2, targetMs: 60_000, advice: { baseMs: 130, perHostMs: 1.8, validMs: 1500 } }
const URGENT: Partial<QueueTerms> = { name: 'urgent', priority: 0, targetMs: 500, advice: { baseMs: 7, perHostMs: 0.1, validMs: 1500 } }

/** A cell in which the hosts of one rack are full, with jobs that wait for them, and those of the other are empty. */
async function setUp (): Promise<SimulatedCell> {
  const workMs = new Map<string, number>()
  const cell: SimulatedCell = new SimulatedCell({
    hosts: HOSTS,
    host: { workMs: ({ jobId }) => workMs.get(jobId) ?? 1000 },
    adviceMachines: 40,
    ticketValidMs: 1500,
    adviceMs: ({ jobId, hostIds }) => {
      const { baseMs = 0, perHostMs = 0 } = cell.job(jobId).queue.advice ?? {}
      return baseMs + perHostMs * hostIds.length
    },
    stepCostMs: STEP_COST_MS
  })
  for (let number = 0; number < HOSTS / 2; number += 1) {
    const filler = cell.submit([{ cpuMillicores: 8000, requiredLabel: 'rack-0', estimateMs: LONG_MS }])
    workMs.set(filler.spec.jobId, LONG_MS)
  }
  await cell.run(1000)
  for (let number = 0; number < WAITING_JOBS; number += 1) cell.submit([{ requiredLabel: 'rack-0' }], { targetMs: 1000 })
  await cell.run(5000)
  return cell
}

/** Submits jobs one after the other. Returns for how long each has waited for its start. */
async function waitsOf (cell: SimulatedCell, count: number, submit: () => Job): Promise<readonly number[]> {
  const waitsMs = new Map<Job, number>()
  const jobs: Job[] = []
  while (jobs.some((job) => !waitsMs.has(job)) || jobs.length < count) {
    if (jobs.length < count) jobs.push(submit())
    await cell.run(50)
    for (const job of jobs) {
      const waitMs = cell.clock.nowMs() - job.receivedAtMs
      if ((job.hasStarted || waitMs > START_BOUND_MS * 4) && !waitsMs.has(job)) waitsMs.set(job, waitMs)
    }
  }
  return [...waitsMs.values()]
}

test('a step that could run starts within 3 s on a slow owner while half of the room is free', async (t) => {
  const cell = await setUp()
  const waitsMs = await waitsOf(cell, 60, () => cell.submit([{ count: 2, cpuMillicores: 500, requiredLabel: 'rack-1' }], BATCH))
  t.true(Math.max(...waitsMs) <= START_BOUND_MS, `longest wait ${Math.max(...waitsMs)} ms`)
})

test('an urgent step does not wait for the rest of a long pass on a slow owner', async (t) => {
  const cell = await setUp()
  const waitsMs = await waitsOf(cell, 60, () => cell.submit([{ count: 2, cpuMillicores: 500, requiredLabel: 'rack-1' }], URGENT))
  t.true(Math.max(...waitsMs) <= URGENT_BOUND_MS, `longest wait ${Math.max(...waitsMs)} ms`)
})

test('hundreds of steps that could run start within 3 s after a takeover by a slow owner', async (t) => {
  const cell = await setUp()
  const waiting = Array.from({ length: 300 }, () => cell.submit([{ cpuMillicores: 200, requiredLabel: 'rack-1' }], BATCH))
  cell.takeOver()
  await cell.run(START_BOUND_MS)
  const idle = waiting.filter(({ spec }) => !cell.job(spec.jobId).hasStarted)
  t.is(idle.length, 0)
})

test('the last of many waiting steps is reached while urgent steps that have no room keep arriving', async (t) => {
  const cell = await setUp()
  const submitUrgent = (): Job => cell.submit([{ requiredLabel: 'rack-0' }], { ...URGENT, advice: undefined })
  for (let number = 0; number < 100; number += 1) submitUrgent()
  const waitsMs = await waitsOf(cell, 40, () => {
    submitUrgent()
    return cell.submit([{ count: 2, cpuMillicores: 500, requiredLabel: 'rack-1' }], BATCH)
  })
  t.true(Math.max(...waitsMs) <= START_BOUND_MS, `longest wait ${Math.max(...waitsMs)} ms`)
})

test('steps in a later slice of a pass leave free what an earlier gang has reserved', async (t) => {
  const workMs = ({ jobId }: { jobId: string }): number => 600 + Number.parseInt(jobId, 16) * 137 % 1000
  const cell = new SimulatedCell({ hosts: 2, host: { workMs }, stepCostMs: STEP_COST_MS })
  const narrow = Array.from({ length: WAITING_JOBS }, () => cell.submit([{}], { priority: 2 }))
  await cell.run(1500)
  const gang = cell.submit([{ count: 2, cpuMillicores: 7000, gang: true }])
  await cell.run(START_BOUND_MS + 1000)
  t.true(gang.hasStarted)
  t.true(narrow.filter((job) => !job.hasStarted).length > WAITING_JOBS / 2)
})

test('urgent steps use what is reserved for a less urgent gang while a pass goes on', async (t) => {
  const cell = new SimulatedCell({ hosts: 3, host: { workMs: ({ jobId }) => Number(jobId) === 1 ? LONG_MS : 100 }, stepCostMs: STEP_COST_MS })
  cell.submit([{ cpuMillicores: 8000, estimateMs: 5000 }])
  await cell.run(1000)
  cell.submit([{ count: 3, cpuMillicores: 8000, gang: true }], { targetMs: 60_000 })
  for (let number = 0; number < WAITING_JOBS; number += 1) cell.submit([{ cpuMillicores: 8000 }], { priority: 2 })
  await cell.run(1500)
  const waitsMs = await waitsOf(cell, 40, () => cell.submit([{ cpuMillicores: 500 }], { priority: 0 }))
  t.true(Math.max(...waitsMs) <= URGENT_BOUND_MS / 2, `longest wait ${Math.max(...waitsMs)} ms`)
})
