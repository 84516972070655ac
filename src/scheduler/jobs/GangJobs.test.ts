/**
 * All-at-once jobs on one scheduler and on several, with fakes and a manual clock.
 */

import test from 'ava'

import { checkInvariants, createJob, startJobsCell } from '../../../test/support/JobsCell.js'

const STEP_MS = 2000

test('an all-at-once job waits until several hosts together have room for all its tasks', async (t) => {
  const cell = await startJobsCell(1, 2)
  const owner = cell.scheduler(0).jobs
  await owner.submit(createJob(4, STEP_MS, { jobId: 'first' }))
  await cell.advance(100)
  await owner.submit(createJob(6, 500, { service: 'sector-sweep' }))
  await cell.advance(STEP_MS / 2)
  t.is(cell.workers.running().filter((run) => run.start.jobId === 'job').length, 0)
  await cell.advance(3 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  const starts = new Set(cell.workers.runs().filter((run) => run.start.jobId === 'job').map((run) => run.startedAtMs))
  t.is(starts.size, 1)
  checkInvariants(t, cell)
})

test('when a host of an all-at-once job dies, the other tasks are stopped and all start again together', async (t) => {
  // The tasks of such a job need each other. If the lost tasks started alone elsewhere, or the others continued without
  // them, the job would hold its places without making progress.
  const cell = await startJobsCell(1, 3)
  await cell.scheduler(0).jobs.submit(createJob(8, 10_000, { service: 'sector-sweep' }))
  await cell.advance(STEP_MS)
  const hostId = cell.workers.running()[0]?.hostId ?? ''
  cell.workers.restart(hostId)
  await cell.advance(2 * STEP_MS)
  const running = cell.workers.running()
  t.is(running.length, 8)
  t.is(new Set(running.map((run) => run.start.attempt)).size, 1)
  await cell.advance(8 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
})

test('an all-at-once job that is too large for any one scheduler starts on several of them, or not at all', async (t) => {
  const cell = await startJobsCell(3, 1)
  const owner = cell.scheduler(0).jobs
  await owner.submit(createJob(2, 3000, { jobId: 'first' }))
  await cell.advance(200)
  await owner.submit(createJob(11, 1000, { service: 'sector-sweep' }))
  await cell.advance(1500)
  t.is(cell.workers.running().filter((run) => run.start.jobId === 'job').length, 0)
  await cell.advance(10_000)
  t.is(cell.status(), 'succeeded')
  const starts = new Set(cell.workers.runs().filter((run) => run.start.jobId === 'job').map((run) => run.startedAtMs))
  t.is(starts.size, 1)
  t.is(new Set(cell.workers.runs().map((run) => run.hostId)).size, 3)
  checkInvariants(t, cell)
})

test('two all-at-once jobs that are too large together run one after the other', async (t) => {
  // Each job could hold half of the places and wait for the other half. Neither would ever start, and no other job could
  // use the places.
  const cell = await startJobsCell(3, 1)
  const owner = cell.scheduler(0).jobs
  await Promise.all(['job', 'other'].map(async (jobId) => await owner.submit(createJob(9, 1000, { jobId, service: 'sector-sweep' }))))
  await cell.advance(20_000)
  t.is(cell.status('job'), 'succeeded')
  t.is(cell.status('other'), 'succeeded')
  checkInvariants(t, cell)
})

test('if one of several schedulers does not start its part, the other parts are stopped and all start later', async (t) => {
  // A reservation has expired, or its scheduler was replaced between the reservation and the start. The parts that did
  // start would wait for the missing part for ever and hold their places.
  const cell = await startJobsCell(3, 1)
  cell.scheduler(2).losesReservations = true
  await cell.scheduler(0).jobs.submit(createJob(12, 2000, { service: 'sector-sweep' }))
  await cell.advance(STEP_MS)
  t.true(cell.workers.running().length < 12)
  cell.scheduler(2).losesReservations = false
  await cell.advance(20_000)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().filter((run) => run.end === 'succeeded').length, 12)
  checkInvariants(t, cell)
})

test('an all-at-once job recovers when a scheduler dies during its start', async (t) => {
  // The scheduler has started its part and dies before the others have started theirs. The next owner of its workers must
  // find and stop its tasks, and afterwards all tasks of the job must start together.
  const cell = await startJobsCell(3, 1)
  cell.scheduler(2).losesReservations = true
  await cell.scheduler(0).jobs.submit(createJob(12, 2000, { service: 'sector-sweep' }))
  await cell.advance(30)
  cell.scheduler(1).die()
  await cell.advance(STEP_MS)
  cell.scheduler(2).losesReservations = false
  cell.scheduler(2).acquireShard('workers/r1', 2)
  await cell.advance(30_000)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
})
