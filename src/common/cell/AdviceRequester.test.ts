/**
 * Which steps get advice first while all machines that call the advice service are busy.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { ManualClock } from '../Clock.js'
import { SilentLogger } from '../observability/SilentLogger.js'
import { AdviceRequester } from './AdviceRequester.js'

import type { Job, QueueTerms, Step } from './Job.js'
import type { IStepSpec } from './Types.js'

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

test('a step that was turned away is not behind gangs of its priority whose calls for later wait already', async (t) => {
  const cell = new SimulatedCell({ hosts: 4 })
  await cell.run(500)
  const clock = new ManualClock()
  const requester = new AdviceRequester(cell.scheduler.hosts, { isBlocked: () => false }, {
    machines: () => [{ name: 'machine', isNear: true }],
    send: async () => await new Promise(() => {}),
    requestPass: () => {},
    recordDuration: () => {},
    count: () => {}
  }, clock, new SilentLogger())
  const stepOf = (spec: Partial<IStepSpec>, priority: number): Step | undefined => cell.createJob([spec], { ...GANGS, priority }).steps[0]
  const gangs = Array.from({ length: 5 }, () => stepOf({ count: 40, gang: true, cpuMillicores: 4000 }, 1))
  const urgent = Array.from({ length: 40 }, () => stepOf({}, 0))
  const step = stepOf({}, 1)
  for (let passedMs = 0; passedMs < 6000; passedMs += 100) {
    for (const each of [...gangs, ...urgent, ...passedMs === 0 ? [] : [step]]) if (each !== undefined) requester.ensureAdvice(each)
    clock.advance(100)
  }
  t.true(step?.advice?.hasCalls)
})
