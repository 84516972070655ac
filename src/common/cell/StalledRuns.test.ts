/**
 * Stragglers, runs that really stall, and hosts that hang for some seconds under a load of gangs and single tasks.
 */

import test from 'ava'
import { GangRates } from '../../../test/support/GangRates.js'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { Job } from './Job.js'
import type { IRunRef } from './Types.js'

const HANG_MS = 4700
const POLL_MS = 1000
const MAX_TICKS = 1500
const TICK_MS = 200

interface IOptions {
  readonly holdMs?: number
  rateOf? (ref: IRunRef, hostRate: number): number
}

/** A cell in which the members of gangs wait for each other, with polls as long as those of the product. */
function createCell (hosts: number, workMs: number, { holdMs = POLL_MS, rateOf = (_ref, rate) => rate }: IOptions = {}): SimulatedCell {
  const gangRates = new GangRates()
  const cell = new SimulatedCell({
    hosts,
    holdMs,
    host: { workMs: () => workMs, rateOf: (ref, hostRate) => gangRates.rateOf(ref, rateOf(ref, hostRate)) }
  })
  gangRates.attach(cell)
  return cell
}

function countStarts (cell: SimulatedCell): number {
  return cell.hosts.reduce((sum, { started }) => sum + started.length, 0)
}

for (const isSilent of [false, true]) {
  test(`a hang of some seconds of ${isSilent ? 'silent' : 'answering'} hosts costs gangs no work`, async (t) => {
    // A fourteenth of the hosts hang, and most gangs have a member there. If these gangs were stopped, the work of all members would be
    // lost, and the gangs would wait for capacity again.
    // The simulated host renews its leases when it answers a poll, a real one when it receives it.
    const cell = createCell(28, 4000, { holdMs: isSilent ? 0 : POLL_MS })
    await cell.run(1000)
    const gangs: Job[] = []
    for (let number = 0; number < 14; number += 1) {
      gangs.push(cell.submit([{ count: 14, maxPerHost: 1, cpuMillicores: 500, estimateMs: 4000, gang: true }], { stretch: 2.2, targetMs: 1200 }))
      cell.submit([{ count: 28, maxPerHost: 1, cpuMillicores: 100, estimateMs: 4000 }], { priority: 2 })
      await cell.run(TICK_MS)
    }
    for (const host of cell.hosts.slice(0, 2)) Object.assign(host, { isHanging: true, isSilent })
    await cell.run(HANG_MS)
    for (const host of cell.hosts) Object.assign(host, { isHanging: false, isSilent: false })
    await cell.run(6000)
    t.is(gangs.filter((job) => job.reportedPhase === 'completed' && (job.finishedAtMs ?? Infinity) <= job.dueMs).length, gangs.length)
    t.is(cell.hosts.flatMap(({ discarded }) => discarded).filter(({ ref }) => gangs.some(({ spec }) => spec.jobId === ref.jobId)).length, 0)
  })
}

test('a straggler on a slow host is not stopped between two percents', async (t) => {
  // It takes seven times its estimate on a slow host that becomes nearly seven times slower: it needs 3.1 s for each percent.
  const cell = createCell(1, 28_000, { holdMs: 0 })
  cell.host(0).speed = 0.6
  const job = cell.submit([{ count: 1, estimateMs: 4000 }])
  await cell.run(7000)
  cell.host(0).speed = 0.09
  for (let tick = 0; tick < MAX_TICKS && job.reportedPhase !== 'completed'; tick += 1) await cell.run(TICK_MS)
  t.is(job.reportedPhase, 'completed')
  t.is(countStarts(cell), 1)
})

test('a straggler on a slow host is not stopped before its first percent', async (t) => {
  const cell = createCell(1, 28_000, { holdMs: 0 })
  cell.host(0).speed = 0.1
  const job = cell.submit([{ count: 1, estimateMs: 4000 }])
  await cell.run(12_000)
  t.is(countStarts(cell), 1)
  t.true((job.steps[0]?.tasks[0]?.attempt?.percent ?? 0) > 0)
})

test('a run that stalls on a host where others progress is soon started elsewhere', async (t) => {
  // One task makes no progress although its host is healthy. Its caller would wait for it as long as for a host that hangs.
  const cell = createCell(2, 4000, { rateOf: ({ jobId, run }, rate) => jobId.endsWith('7') && run === 1 ? 0 : rate })
  await cell.run(1500)
  for (let number = 0; number < 6; number += 1) cell.submit([{ count: 2, maxPerHost: 1, estimateMs: 4000 }])
  const job = cell.submit([{ count: 1, estimateMs: 4000 }], { priority: 2 })
  await cell.run(4500)
  t.is(job.steps[0]?.tasks[0]?.lastRun, 2)
  await cell.run(6500)
  t.is(job.reportedPhase, 'completed')
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a host that hangs for good loses its runs', async (t) => {
  const cell = createCell(4, 4000)
  const gang = cell.submit([{ count: 3, maxPerHost: 1, cpuMillicores: 3000, estimateMs: 4000, gang: true }])
  const batch = cell.submit([{ count: 4, maxPerHost: 1, estimateMs: 4000 }], { priority: 2 })
  await cell.run(2000)
  cell.host(0).isHanging = true
  await cell.run(20_000)
  t.is(gang.reportedPhase, 'completed')
  t.is(batch.reportedPhase, 'completed')
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a host that hangs gets no new work, but hosts whose gangs wait for it do', async (t) => {
  const cell = createCell(3, 6000)
  cell.submit([{ count: 3, maxPerHost: 1, estimateMs: 6000, gang: true }])
  cell.submit([{ count: 1, estimateMs: 6000 }])
  await cell.run(1500)
  const hangs = cell.hosts.findIndex((host) => host.running.size === 2)
  cell.host(hangs).isHanging = true
  await cell.run(3000)
  const before = cell.hosts.map(({ started }) => started.length)
  cell.submit([{ count: 9 }])
  await cell.run(600)
  t.deepEqual(cell.hosts.map(({ started }, number) => started.length > (before[number] ?? 0)), cell.hosts.map((_, number) => number !== hangs))
})

test('a host that reports wrong percentages keeps its runs', async (t) => {
  // A percentage that is too high or falls would count as a stall.
  const cell = createCell(1, 20_000)
  await cell.run(1500)
  const job = cell.submit([{ count: 1, estimateMs: 20_000 }])
  await cell.run(2500)
  const attempt = job.steps[0]?.tasks[0]?.attempt
  const before = attempt?.percent
  for (const percent of [120, 5, 0, 120, 120, 120]) attempt?.updatePercent(percent, cell.clock.nowMs() + 60_000)
  t.is(attempt?.percent, before)
  t.is(attempt?.stillMs, 0)
})

test('a run with a recent checkpoint leaves a host that hangs sooner', async (t) => {
  // A restart costs it little. Without a checkpoint, the work of five seconds would be lost.
  const cell = createCell(2, 20_000)
  await cell.run(1500)
  const submit = (checkpointing: boolean): Job => cell.submit([{ count: 2, maxPerHost: 1, estimateMs: 6000, checkpointing }], { priority: 2 })
  const jobs = [submit(false), submit(true)]
  await cell.run(5500)
  cell.host(0).isHanging = true
  for (const { attempt } of jobs[1]?.steps[0]?.tasks ?? []) if (attempt !== undefined) attempt.checkpointAtMs = attempt.percentAtMs
  await cell.run(6500)
  const stopped = cell.host(0).discarded.map(({ ref }) => ref.jobId)
  t.deepEqual(stopped, [jobs[1]?.spec.jobId])
})
