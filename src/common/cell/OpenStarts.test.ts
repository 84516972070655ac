/**
 * Starts without a ticket that have no answer, and owners that take turns meanwhile: a later incarnation of the host may still carry them out.
 */

import test from 'ava'
import { QUEUE, SimulatedCell, STEP } from '../../../test/support/SimulatedCell.js'
import { Job } from './Job.js'
import { applyProgress } from './JobRecord.js'
import { MAX_CALL_DELAY_MS, UNSENT_OPEN_MS } from './OpenStarts.js'

import type { SimulatedHost } from '../../../test/support/SimulatedHost.js'
import type { Attempt } from './Attempt.js'
import type { QueueTerms } from './Job.js'
import type { IStepSpec } from './Types.js'

/** Longer than a start can be open. */
const LONG_MS = 30_000
const SHORT_MS = 1000
const LONG_STEP: Partial<IStepSpec> = { estimateMs: LONG_MS }
/** A task has to have a run again within this time, in ms. */
const MAX_IDLE_MS = 3000
/** The longest delay of an order, and the time in which an owner may still send one that it has recorded, in ms. */
const MAX_OPEN_MS = 14_500

interface ICell { readonly cell: SimulatedCell, readonly host: SimulatedHost, readonly other: SimulatedHost }

/** A cell of which only the first host takes work. */
async function createCell (workMs: number, holdMs = 0): Promise<ICell> {
  const cell = new SimulatedCell({ hosts: 2, startTimeoutMs: 1000, holdMs, host: { workMs: () => workMs } })
  const [host, other] = [cell.host(0), cell.host(1)]
  other.isDraining = true
  await cell.run(20_000)
  return { cell, host, other }
}

/** Runs until the condition holds; returns how long that took, in ms. */
async function runUntil (cell: SimulatedCell, isMet: () => boolean, limitMs: number): Promise<number> {
  const startedAtMs = cell.clock.nowMs()
  while (!isMet() && cell.clock.nowMs() - startedAtMs < limitMs) await cell.run(10)
  return cell.clock.nowMs() - startedAtMs
}

/** The row of the first run in a stored progress record. */
function readRow (record: string): readonly unknown[] {
  return (JSON.parse(record) as { readonly tasks: readonly (readonly unknown[])[] }).tasks[0] ?? []
}

async function changeOwner (cell: SimulatedCell, times: number, gapMs: number): Promise<void> {
  for (let change = 0; change < times; change += 1) {
    cell.takeOver()
    await cell.run(gapMs)
  }
}

for (const changes of [0, 1, 2]) {
  for (const openMs of [100, 1500]) {
    test(`a start that a host carries out late after a restart, ${changes} changes of the owner ${openMs} ms after it, runs beside no other run`, async (t) => {
      const { cell, host, other } = await createCell(LONG_MS)
      host.losesStarts = true
      cell.submit([LONG_STEP])
      await cell.run(openMs)
      host.losesStarts = false
      other.isDraining = false
      // Otherwise the tasks could start again on the same host.
      host.refusesStarts = true
      await changeOwner(cell, changes, 1000)
      await cell.run(1000)
      host.refusesStarts = false
      await cell.run(1000)
      host.isSilent = true
      host.restart(false)
      await cell.run(3000)
      host.executeLateStarts()
      await cell.run(1000)
      host.isSilent = false
      host.renewEntry()
      await cell.run(LONG_MS)
      t.is(cell.maxRunsOfOneTask, 1)
      t.true(cell.hosts.some(({ started }) => started.length > 0))
    })
  }

  for (const longRunning of [false, true]) {
    test(`a ${longRunning ? 'task that lasts' : 'long task'} whose start was lost runs again soon on its host, ${changes} changes of the owner later`, async (t) => {
      const { cell, host } = await createCell(LONG_MS)
      host.losesStarts = true
      cell.submit([longRunning ? { longRunning } : LONG_STEP])
      await cell.run(100)
      host.losesStarts = false
      await changeOwner(cell, changes, 200)
      t.true(await runUntil(cell, () => host.running.size === 1, LONG_MS) < MAX_IDLE_MS)
    })
  }

  test(`a short task whose start is open does not run elsewhere, nor does its wait begin anew with ${changes} changes of the owner`, async (t) => {
    const { cell, host, other } = await createCell(SHORT_MS)
    host.losesStarts = true
    const job = cell.submit([{}])
    await cell.run(2000)
    host.losesStarts = false
    other.isDraining = false
    await changeOwner(cell, changes, 2500)
    const started = (): boolean => cell.hosts.some((each) => each.started.length > 0)
    const waitedMs = 2000 + changes * 2500 + await runUntil(cell, started, LONG_MS)
    t.true(waitedMs <= MAX_OPEN_MS + 1000, `${waitedMs}`)
    await cell.run(500)
    host.restart()
    host.executeLateStarts()
    await cell.run(3000)
    t.true(cell.job(job.spec.jobId).isDone)
    t.is(cell.maxRunsOfOneTask, 1)
    t.deepEqual(cell.startsAfterDone(), [])
  })
}

test('a run that was ordered twice runs again soon on its host after that has restarted', async (t) => {
  const { cell, host } = await createCell(LONG_MS)
  host.losesStarts = true
  cell.submit([{ longRunning: true }])
  await cell.run(500)
  host.losesStarts = false
  await cell.run(2500)
  t.is(host.running.size, 1)
  host.restart()
  t.true(await runUntil(cell, () => host.running.size === 1, LONG_MS) < MAX_IDLE_MS)
  host.executeLateStarts()
  await cell.run(3000)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('the wait for a start on a host that drains does not begin anew with each of five owners', async (t) => {
  const { cell, host, other } = await createCell(LONG_MS)
  host.losesStarts = true
  cell.submit([LONG_STEP])
  await cell.run(100)
  host.isDraining = true
  other.isDraining = false
  await changeOwner(cell, 5, 3000)
  t.true(15_000 + await runUntil(cell, () => other.running.size === 1, LONG_MS) <= MAX_OPEN_MS + 6000)
})

test('a short task that an owner has recorded and not ordered runs soon after a change of the owner', async (t) => {
  // The next owner can't tell it from one whose order is on its way.
  const { cell, host } = await createCell(SHORT_MS)
  cell.orderDelayMs = 1e6
  cell.submit([{}])
  await cell.run(100)
  cell.orderDelayMs = 0
  cell.takeOver()
  t.true(await runUntil(cell, () => host.running.size === 1, LONG_MS) < MAX_IDLE_MS)
})

test('the runs of a host that falls silent at a change of the owner are not waited for longer once the record says that their starts are done', async (t) => {
  const { cell, host, other } = await createCell(LONG_MS)
  cell.submit([LONG_STEP])
  await cell.run(2000)
  host.isSilent = true
  host.restart()
  other.isDraining = false
  cell.takeOver()
  // That is how long the leases of an earlier owner last.
  t.true(await runUntil(cell, () => other.running.size === 1, LONG_MS) < 10_000)
})

for (const [change, next] of [['is too small for all its runs', { cpuMillicores: 5000 }], ['has another label', { labels: [] }]] as const) {
  test(`a run is not ordered again on a host whose next incarnation ${change}`, async (t) => {
    const { cell, host } = await createCell(LONG_MS)
    Object.assign(host.options, { labels: ['fast'] })
    await cell.run(500)
    host.losesStarts = true
    cell.submit([{ ...LONG_STEP, count: 2, cpuMillicores: 3000, requiredLabel: 'fast' }])
    await cell.run(500)
    host.losesStarts = false
    Object.assign(host.options, next)
    host.restart()
    await cell.run(8000)
    t.is(host.started.length, 0)
  })
}

test('a member of a gang of which another one has failed is not ordered again', async (t) => {
  // It would wait for the others until it ends as alone.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => 500, endOf: () => 'failed' } })
  await cell.run(1000)
  cell.host(0).lostStarts = 1
  cell.submit([{ ...LONG_STEP, count: 2, gang: true }])
  await cell.run(100)
  t.is(cell.host(0).running.size, 1)
  cell.takeOver()
  await cell.run(3000)
  t.is(cell.host(0).started.length, 1)
})

test('the next run of a task that has failed does not start elsewhere while an earlier order of it may still be carried out', async (t) => {
  const cell = new SimulatedCell({ hosts: 2, startTimeoutMs: 1000, host: { workMs: () => LONG_MS, endOf: () => 'failed' } })
  const [host, other] = [cell.host(0), cell.host(1)]
  other.isDraining = true
  await cell.run(20_000)
  host.losesStarts = true
  cell.submit([LONG_STEP])
  await cell.run(1200)
  host.losesStarts = false
  await cell.run(2000)
  t.is(host.running.size, 1)
  other.isDraining = false
  host.options.workMs = () => SHORT_MS
  for (const run of host.running.values()) run.doneMs = LONG_MS
  await cell.run(500)
  host.restart()
  host.executeLateStarts()
  await cell.run(2000)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('the record of an owner of an earlier version does not hide that a start without a ticket may be open', (t) => {
  const openMs = (queue: Partial<QueueTerms>): number | undefined => {
    const job = new Job({ jobId: '1', description: '', occurrences: 0, steps: [STEP] }, { ...QUEUE, ...queue }, 0)
    const row = [0, 0, 1, 0, 0, '', 'host-0', 5]
    return applyProgress(job, JSON.stringify({ phase: 'queued', started: false, steps: [], tasks: [row] }))[0]?.openMs
  }
  t.is(openMs({}), UNSENT_OPEN_MS)
  t.is(openMs({ advice: { baseMs: 1, perHostMs: 1, validMs: 1 } }), 0)
})

test('the record of a run says for how long its start may still be carried out, and nothing else than in earlier versions', async (t) => {
  const { cell, host } = await createCell(LONG_MS)
  const rowOf = (jobId: string): readonly unknown[] => readRow(cell.stored.get(jobId) ?? '')
  const answered = cell.submit([LONG_STEP])
  await cell.run(100)
  host.losesStarts = true
  const unanswered = cell.submit([{}])
  await cell.run(50)
  t.deepEqual(rowOf(unanswered.spec.jobId), [0, 0, 1, 0, 0, '', 'host-0', host.bornMs, UNSENT_OPEN_MS])
  await cell.run(3000)
  t.deepEqual(rowOf(answered.spec.jobId), [0, 0, 1, 0, 0, '', 'host-0', host.bornMs, 0])
  const [, , , , , , , , openMs] = rowOf(unanswered.spec.jobId)
  t.true(Number(openMs) < MAX_CALL_DELAY_MS && Number(openMs) > MAX_CALL_DELAY_MS - 3150, `${String(openMs)}`)
})

test('the record of a run never says less than for how long its orders may be carried out, however often it is ordered again', async (t) => {
  // An owner that takes over would start the task elsewhere beside the last order.
  const { cell, host } = await createCell(LONG_MS, 1000)
  host.losesStarts = true
  const job = cell.submit([{ longRunning: true }])
  const attempt = (): Attempt | undefined => job.steps[0]?.tasks[0]?.attempt
  let orders = 0
  for (let ms = 0; ms < MAX_OPEN_MS; ms += 10) {
    const orderedAtMs = attempt()?.startedAtMs
    await cell.run(10)
    if (attempt()?.startedAtMs !== orderedAtMs) orders += 1
    const openUntilMs = attempt()?.orderOpenUntilMs ?? -Infinity
    // The next owner counts from when it reads the record.
    if (openUntilMs > -Infinity) t.true(Number(readRow(cell.stored.get(job.spec.jobId) ?? '')[8]) >= openUntilMs - cell.clock.nowMs(), `${ms}`)
  }
  t.true(orders > 3)
})

test('a host is not polled without a pause while a run waits for its record because the store is away', async (t) => {
  const { cell, host } = await createCell(LONG_MS, 1000)
  host.losesStarts = true
  const job = cell.submit([{ longRunning: true }])
  await cell.run(500)
  await runUntil(cell, () => (job.steps[0]?.tasks[0]?.attempt?.recordedOpenMs ?? 0) < MAX_CALL_DELAY_MS, LONG_MS)
  cell.isStoreDown = true
  for (let ms = 0; ms < 5000; ms += 10) {
    await cell.run(10)
    t.true((cell.scheduler.hosts.get('host-0')?.absenceConfirmableAtMs ?? 0) >= cell.clock.nowMs(), `${ms}`)
  }
})

test('a short task whose start broke off just before a change of the owner is not ordered again while that start is open', async (t) => {
  // A later incarnation of the host would carry out the first order after the run was done.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => SHORT_MS } })
  await cell.run(1000)
  cell.host(0).losesStarts = true
  cell.submit([{}])
  await cell.run(80)
  cell.host(0).losesStarts = false
  cell.takeOver()
  await cell.run(5000)
  t.is(cell.host(0).started.length, 0)
})
