/**
 * Which jobs the owner marks as beyond their workspace's share of the work.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { ADMISSION_UPDATE_MS } from '../common/cell/AdmissionRate.js'
import { URGENT_PRIORITY } from '../common/cell/Placement.js'
import { Job } from '../common/cell/Job.js'
import { NO_RESOURCES } from '../common/cell/Resources.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { QUEUE, STEP, SimulatedCell } from '../../test/support/SimulatedCell.js'
import { JobLimiter } from './JobLimiter.js'

import type { ExecutionContext } from 'ava'

const WORKSPACES = ['hot', 'calm'].map((name) => ({ name, keyDigests: [], weight: 1, maximum: NO_RESOURCES }))

function setUp (t: ExecutionContext, usableCores: number | undefined) {
  const clock = new ManualClock()
  const fixed = { countBacklog: () => ({ tasks: 0, urgentTasks: 0 }), logFields: () => ({}), hosts: () => [], openJobs: () => [] }
  const inputs = { usableCores, freeHeapBytes: Infinity }
  const changing = { usableCores: () => inputs.usableCores, freeHeapBytes: () => inputs.freeHeapBytes }
  const limiter = new JobLimiter({ ...fixed, ...changing }, clock, new SilentLogger())
  const timer = limiter.start()
  t.teardown(() => { timer.dispose() })
  const jobOf = (workspace: string, tasks: number): Job =>
    new Job({ jobId: '', description: '', occurrences: 0, steps: [{ ...STEP, count: tasks }] }, QUEUE, clock.nowMs(), workspace)
  const accept = (workspace: string, tasks: number): Job => {
    const job = jobOf(workspace, tasks)
    limiter.tryAdmit(job, 1)
    return job
  }
  const configure = (): void => {
    limiter.applyWorkspaces(WORKSPACES)
    clock.advance(ADMISSION_UPDATE_MS)
  }
  return { limiter, clock, inputs, configure, jobOf, accept }
}

test('jobs are beyond the share once their workspace has used it up, and only while there is not enough for all', (t) => {
  const { configure, accept } = setUp(t, 10)
  configure()
  t.false(accept('hot', 100).isBeyondWorkShare)
  t.false(accept('calm', 1).isBeyondWorkShare)
  t.false(accept('hot', 100).isBeyondWorkShare, 'there was enough for all')
  t.true(accept('hot', 1).isBeyondWorkShare)
  t.false(accept('calm', 1).isBeyondWorkShare)
})

test('without workspaces no job is beyond a share, so the order stays that by objective', (t) => {
  const { accept } = setUp(t, 10)
  t.false(accept('', 1000).isBeyondWorkShare)
  t.false(accept('', 1000).isBeyondWorkShare)
})

test('an owner that does not know the capacity of the cell takes no job for one beyond the share', (t) => {
  // After a takeover the hosts have not answered yet. If their capacity counted as zero, all jobs would be beyond the shares.
  const { configure, clock, inputs, accept } = setUp(t, undefined)
  configure()
  t.false(accept('hot', 1000).isBeyondWorkShare)
  t.false(accept('hot', 1000).isBeyondWorkShare)
  inputs.usableCores = 10
  clock.advance(ADMISSION_UPDATE_MS)
  t.true(accept('hot', 1).isBeyondWorkShare)
})

test('the work that an earlier owner has accepted counts', (t) => {
  // Otherwise a workspace would have its whole share again after each change of the owner.
  const { limiter, configure, jobOf, accept } = setUp(t, 10)
  configure()
  limiter.restore([jobOf('hot', 1000)])
  t.true(accept('hot', 1).isBeyondWorkShare)
})

test('operators see how long waiting work will take, and a log line only while not all of it can be in time', async (t) => {
  const cell = new SimulatedCell({ hosts: 1 })
  const lines: string[] = []
  const log = Object.assign(new SilentLogger(), { info: (event: string) => { lines.push(event) } })
  const hosts = () => [...cell.scheduler.hosts.values()]
  const backlog = { tasks: 0, urgentTasks: 0 }
  const inputs = { usableCores: () => 8, freeHeapBytes: () => Infinity, countBacklog: () => backlog, logFields: () => ({}), hosts }
  const limiter = new JobLimiter({ ...inputs, openJobs: () => cell.scheduler.openJobs }, cell.clock, log)
  const timer = limiter.start()
  t.teardown(() => { timer.dispose() })
  cell.submit([{ count: 40 }], { stretch: 20 })
  await cell.run(3000)
  t.true((limiter.gauges()['room_forecast_ms{kind="1"}'] ?? 0) > 1000)
  t.deepEqual(lines, [])
  cell.submit([{ count: 400 }], { stretch: 20 })
  await cell.run(3000)
  t.deepEqual([...new Set(lines)], ['room.forecast'])
})

test('an owner whose heap fills up refuses other jobs before urgent ones', (t) => {
  // An owner that accepts jobs until its heap is full ends, and the next owner with the same jobs does too.
  const { limiter, inputs, jobOf } = setUp(t, 10)
  const urgent = new Job({ jobId: '', description: '', occurrences: 0, steps: [STEP] }, { ...QUEUE, priority: URGENT_PRIORITY }, 0, '')
  const accepts = (): readonly boolean[] => [urgent, jobOf('', 1)].map((job) => limiter.hasMemoryFor(job))
  t.deepEqual(accepts(), [true, true])
  inputs.freeHeapBytes = 36 * 1024 * 1024
  t.deepEqual(accepts(), [true, false])
  inputs.freeHeapBytes = 30 * 1024 * 1024
  t.deepEqual(accepts(), [false, false])
})
