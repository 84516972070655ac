/**
 * Queues whose estimates are wrong, or whose work has a tail, on hosts of different speed.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { RunTimes } from './RunTimes.js'

import type { Attempt } from './Attempt.js'
import type { Step } from './Job.js'

const ESTIMATE_MS = 1000
const RUNS = 100

/** A run that has just started and hasn't reported progress. */
async function startRun (baseSpeed = 1): Promise<{ readonly attempt: Attempt, readonly step: Step }> {
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => 60_000 } })
  await cell.run(400)
  const [step] = cell.submit([{ estimateMs: ESTIMATE_MS }]).steps
  await cell.run(100)
  const attempt = step?.tasks[0]?.attempt
  if (step === undefined || attempt === undefined) throw new Error('the run has not started')
  attempt.host.baseSpeed = baseSpeed
  return { attempt, step }
}

/** Records runs, of which a share takes seven times as long. */
function recordRuns (times: RunTimes, attempt: Attempt, ratio: number, tailShare = 0, atMs = attempt.startedAtMs): void {
  for (let number = 0; number < RUNS; number += 1) {
    const takesMs = ESTIMATE_MS * ratio * (number < RUNS * tailShare ? 7 : 1)
    const startedAtMs = attempt.startedAtMs
    attempt.startedAtMs = atMs - takesMs
    times.recordDone(attempt, atMs)
    attempt.startedAtMs = startedAtMs
  }
}

function isNear (actual: number | undefined, expected: number): boolean {
  return actual !== undefined && Math.abs(actual - expected) <= expected * 0.12
}

test('a run that has lasted longer than most is taken for a straggler', async (t) => {
  // By a share of its estimate it would always seem to be about to end, and a gang would wait for its capacity.
  const { attempt } = await startRun()
  const times = new RunTimes()
  recordRuns(times, attempt, 1, 0.03)
  const { startedAtMs } = attempt
  t.true(isNear(times.remainingMs(attempt, startedAtMs, 50), 1000))
  t.true(isNear(times.remainingMs(attempt, startedAtMs + 1500, 50), 5500))
  t.true(times.remainingMs(attempt, startedAtMs + 20_000, 50) > 0)
})

test('until 20 runs have ended, the estimate is used', async (t) => {
  const { attempt, step } = await startRun()
  const times = new RunTimes()
  attempt.startedAtMs -= 3000
  for (let number = 0; number < 19; number += 1) times.recordDone(attempt, attempt.startedAtMs + 3000)
  t.is(times.remainingMs(attempt, attempt.startedAtMs, 50), ESTIMATE_MS)
  t.is(times.runMs(step, 50), undefined)
  times.recordDone(attempt, attempt.startedAtMs + 3000)
  t.true(isNear(times.runMs(step, 50), 3000))
})

test('a queue whose tasks become longer is known anew within a minute', async (t) => {
  const { attempt, step } = await startRun()
  const times = new RunTimes()
  recordRuns(times, attempt, 1)
  recordRuns(times, attempt, 3, 0, attempt.startedAtMs + 60_000)
  t.true(isNear(times.runMs(step, 50), 3000))
})

test('run times are corrected by the speed of the host', async (t) => {
  const { attempt, step } = await startRun(0.6)
  const times = new RunTimes()
  recordRuns(times, attempt, 1 / 0.6)
  t.true(isNear(times.runMs(step, 50), ESTIMATE_MS))
  attempt.host.baseSpeed = 1.6
  t.true(isNear(times.remainingMs(attempt, attempt.startedAtMs, 50), ESTIMATE_MS / 1.6))
})

test('gangs whose estimates are too low are in time if they can be, although others can not', async (t) => {
  // Gangs take twice their estimate and come faster than they can run. By the estimates, each starts just before it is too late to
  // be in time by its real run time, and makes the next one late.
  const cell = new SimulatedCell({ hosts: 10, host: { workMs: () => 3000 } })
  const queue = { stretch: 1, targetMs: 5500 }
  const spec = { cpuMillicores: 8000, estimateMs: 1500, gang: true }
  await cell.run(500)
  for (let round = 0; round < 3; round += 1) {
    for (let number = 0; number < 10; number += 1) cell.submit([{ ...spec, count: 1 }], queue)
    await cell.run(3500)
  }
  const jobs = []
  for (let number = 0; number < 20; number += 1) {
    jobs.push(cell.submit([{ ...spec, count: 10 }], queue))
    await cell.run(2400)
  }
  await cell.run(30_000)
  const inTime = jobs.filter((job) => job.finishedAtMs !== undefined && job.finishedAtMs <= job.dueMs).length
  t.true(inTime >= 13, `${inTime} of ${jobs.length} in time`)
})
