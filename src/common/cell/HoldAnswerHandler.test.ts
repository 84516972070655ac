/**
 * Which runs an owner takes for gone, on simulated hosts whose lists of runs are late or incomplete.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

const WORK_MS = 1000
/** Longer than two intervals between polls. */
const RECORDING_MS = 450

test('a task whose run is missing from one list, because it ends at that moment, does not start again', async (t) => {
  // On a real host, a run leaves the list of running ones some time before its end is listed.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => WORK_MS } })
  for (const host of cell.hosts) host.listingMs = RECORDING_MS
  const job = cell.submit([{ count: 3 }])
  await cell.run(4 * WORK_MS)
  t.is(cell.hosts.flatMap((host) => host.started).length, 3)
  t.is(job.reportedPhase, 'completed')
})

test('a gang whose runs are missing from one list, because they end at that moment, does not start again', async (t) => {
  // All members end together, so one list may lack them all.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS } })
  for (const host of cell.hosts) host.listingMs = RECORDING_MS
  const job = cell.submit([{ count: 3, gang: true }])
  await cell.run(4 * WORK_MS)
  t.is(cell.hosts.flatMap((host) => host.started).length, 3)
  t.is(job.reportedPhase, 'completed')
})

test('a new owner does not start a task again whose run is missing from the first list because it ends at that moment', async (t) => {
  // The new owner knows the run from its record only, and asks the host just between its exit and its listing.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => WORK_MS } })
  for (const host of cell.hosts) host.listingMs = RECORDING_MS
  const { spec: { jobId } } = cell.submit([{ count: 3 }])
  while (cell.hosts.every((host) => host.running.size === 0)) await cell.run(10)
  await cell.run(WORK_MS + 10)
  t.is(cell.hosts.reduce((sum, { running }) => sum + running.size, 0), 0)
  cell.takeOver()
  await cell.run(4 * WORK_MS)
  t.is(cell.hosts.flatMap((host) => host.started).length, 3)
  t.is(cell.job(jobId).reportedPhase, 'completed')
})

test('a task whose run is missing for good runs again', async (t) => {
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 5 * WORK_MS } })
  const job = cell.submit([{}])
  await cell.run(WORK_MS)
  for (const host of cell.hosts) host.running.clear()
  await cell.run(8 * WORK_MS)
  t.is(cell.hosts.flatMap((host) => host.started).length, 2)
  t.is(job.reportedPhase, 'completed')
})

test('a host that has restarted goes on getting work if an answer to an order of its earlier incarnation arrives late', async (t) => {
  // By the clock in that answer, the host's leases would have ended and its present lists would be outdated.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS } })
  await cell.run(20 * WORK_MS)
  const host = cell.host(0)
  host.startAnswerDelayMs = 600
  cell.submit([{}])
  while (host.running.size === 0) await cell.run(10)
  host.restart()
  await cell.run(5 * WORK_MS)
  const job = cell.submit([{}])
  await cell.run(5 * WORK_MS)
  t.is(host.started.length, 3)
  t.is(job.reportedPhase, 'completed')
})

test('a run that a host has started since its restart is not given up when its owner learns of the restart', async (t) => {
  // A restarted host accepts orders for its id, and the next poll, which shows the restart, may be a second away.
  const cell = new SimulatedCell({ hosts: 1, holdMs: 1000, host: { workMs: () => 3 * WORK_MS } })
  await cell.run(1500)
  cell.host(0).restart()
  const job = cell.submit([{ count: 2 }])
  await cell.run(5 * WORK_MS)
  t.is(job.phase, 'completed')
  t.is(cell.host(0).started.length, 2)
})

test('a run of the earlier incarnation of a host runs again after a restart', async (t) => {
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS } })
  const job = cell.submit([{ count: 2 }])
  while (cell.host(0).running.size === 0) await cell.run(10)
  cell.host(0).restart()
  await cell.run(3 * WORK_MS)
  t.is(job.phase, 'completed')
  t.is(cell.host(0).started.length, 4)
})

test('a run that was recorded for one incarnation of its host is not ordered on the next one', async (t) => {
  // Its record would name the earlier incarnation, and the next owner would take the run for gone while it runs.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS }, saveMs: 500 })
  await cell.run(WORK_MS)
  cell.submit([{}])
  await cell.run(200)
  const host = cell.host(0)
  host.restart()
  await cell.run(2 * WORK_MS)
  t.deepEqual(host.started.map(({ run }) => run), [2])
})

test('a run that the next incarnation of its host has started late is kept by a new owner that learns of the restart from its list', async (t) => {
  // An order may be carried out seconds later. Given up as ended by the restart, its task would start elsewhere while it runs.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 3 * WORK_MS } })
  for (const host of cell.hosts) host.losesStarts = true
  await cell.run(WORK_MS)
  const { spec: { jobId } } = cell.submit([{}])
  await cell.run(100)
  cell.takeOver()
  for (const host of cell.hosts) {
    host.losesStarts = false
    host.restart()
    host.executeLateStarts()
  }
  await cell.run(6 * WORK_MS)
  t.is(cell.maxRunsOfOneTask, 1)
  t.is(cell.hosts.flatMap(({ started }) => started).length, 1)
  t.is(cell.job(jobId).reportedPhase, 'completed')
})

test('a task that is done by a run that had been given up does not start again', async (t) => {
  // The host is silent until its leases have ended, and is back with the end before the task has started elsewhere.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS } })
  const job = cell.submit([{ count: 2 }])
  await cell.run(WORK_MS / 2)
  const host = cell.host(0)
  host.isSilent = true
  await cell.run(9 * WORK_MS)
  host.isSilent = false
  await cell.run(3 * WORK_MS)
  t.is(host.started.length, 2)
  t.is(job.reportedPhase, 'completed')
})

test('a second run is stopped when the first one turns out to be done', async (t) => {
  // Otherwise the task would be done twice, and its job would end later.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: ({ run }) => run === 1 ? WORK_MS : 20 * WORK_MS } })
  const job = cell.submit([{}])
  await cell.run(WORK_MS / 2)
  const host = cell.hosts.find(({ running }) => running.size > 0)
  if (host === undefined) throw new Error('nothing runs')
  host.isSilent = true
  await cell.run(9 * WORK_MS)
  t.is(cell.hosts.flatMap(({ started }) => started).length, 2)
  host.isSilent = false
  await cell.run(2 * WORK_MS)
  t.is(job.reportedPhase, 'completed')
  t.true(cell.hosts.every(({ running }) => running.size === 0))
})

test('a second run that a new owner has not seen yet is stopped when the first one turns out to be done', async (t) => {
  // Otherwise it goes on to its end, and keeps its resources, as long as other tasks of the job aren't done.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: ({ run, index }) => run === 1 && index === 0 ? WORK_MS : 20 * WORK_MS } })
  cell.submit([{ count: 2 }])
  await cell.run(WORK_MS / 2)
  const [first, second] = cell.hosts
  if (first === undefined || second === undefined) throw new Error('no hosts')
  const isOn = (host: typeof first): boolean => [...host.running.values()].some(({ ref }) => ref.index === 0)
  const [lost, other] = isOn(first) ? [first, second] : [second, first]
  lost.isSilent = true
  await cell.run(9 * WORK_MS)
  t.true(isOn(other))
  other.isSilent = true
  cell.takeOver()
  lost.isSilent = false
  await cell.run(WORK_MS)
  other.isSilent = false
  await cell.run(WORK_MS)
  t.deepEqual([...other.running.values()].filter(({ ref }) => ref.index === 0), [])
})

test('runs that a host has started right after its restart, before its next list, are kept', async (t) => {
  // The order reaches the new incarnation under the same id. Given up as ended by the restart, the tasks would start elsewhere while they run.
  const cell = new SimulatedCell({ hosts: 3, host: { workMs: () => 3 * WORK_MS } })
  await cell.run(WORK_MS)
  const job = cell.submit([{ count: 6 }])
  for (const host of cell.hosts) host.restart()
  await cell.run(5 * WORK_MS)
  t.is(cell.maxRunsOfOneTask, 1)
  t.is(cell.hosts.flatMap(({ started }) => started).length, 6)
  t.is(job.reportedPhase, 'completed')
})

test('a run that a host has started right after its restart is gone only if two lists lack it', async (t) => {
  // Its exit comes before its end is listed, like that of any run.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => WORK_MS } })
  for (const host of cell.hosts) host.listingMs = RECORDING_MS
  await cell.run(WORK_MS)
  cell.submit([{ count: 4 }])
  for (const host of cell.hosts) host.restart()
  await cell.run(5 * WORK_MS)
  t.is(cell.hosts.flatMap(({ started }) => started).length, 4)
})

test('a run that a restarted host has started is kept if the answer to its order overtakes a list from before the start', async (t) => {
  // The list that tells of the restart is older than the start, so it says nothing about the run.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => WORK_MS } })
  await cell.run(WORK_MS)
  const host = cell.host(0)
  host.restart()
  const sentAtMs = cell.clock.nowMs()
  const list = host.hold({ fence: 1, acknowledgedSequence: 0, deadlineMs: undefined, waitMs: 0 })
  const job = cell.submit([{}])
  while (host.running.size === 0) await cell.run(10)
  const state = cell.scheduler.hosts.get(host.options.hostId)
  if (state === undefined || list === undefined || list === 'fenced') throw new Error('no list')
  t.is(job.steps[0]?.tasks[0]?.attempt?.phase, 'running')
  cell.scheduler.applyHoldAnswer(state, list, sentAtMs)
  await cell.run(3 * WORK_MS)
  t.is(host.started.length, 1)
  t.is(job.reportedPhase, 'completed')
})
