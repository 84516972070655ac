/**
 * Hosts that differ in speed, become slow and recover, under a load of short urgent work.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { Job } from './Job.js'

const EVERY_MS = 100

/** Submits short jobs at a constant rate. */
async function load (cell: SimulatedCell, forMs: number, estimateMs = 1000, count = 3): Promise<readonly Job[]> {
  const jobs: Job[] = []
  for (let passedMs = 0; passedMs < forMs; passedMs += EVERY_MS) {
    jobs.push(cell.submit([{ count, estimateMs }], { priority: 0, stretch: 1.5, targetMs: 500 }))
    await cell.run(EVERY_MS)
  }
  return jobs
}

function startedSince (cell: SimulatedCell, host: number, before: number): number {
  return cell.host(host).started.length - before
}

test('a host that becomes slow soon gets no more work, and is used again once it has recovered', async (t) => {
  // One host of six becomes six times slower for some seconds while it answers as usual. Urgent jobs placed there would be late
  // although other hosts have room.
  const cell = new SimulatedCell({ hosts: 6 })
  await load(cell, 3000, 1000, 4)
  Object.assign(cell.host(0).options, { workMs: () => 6500 })
  await load(cell, 1500, 1000, 4)
  const startedBefore = cell.host(0).started.length
  await load(cell, 6000, 1000, 4)
  t.is(startedSince(cell, 0, startedBefore), 0)
  Object.assign(cell.host(0).options, { workMs: () => 1000 })
  await load(cell, 10_000, 1000, 2)
  cell.submit([{ count: 40 }], { priority: 0 })
  await cell.run(300)
  t.true(cell.host(0).running.size >= 6, `${cell.host(0).running.size} runs on the recovered host`)
})

test('estimates that are wrong everywhere exclude no host', async (t) => {
  // Callers estimate a fifth of the real run time. If all hosts counted as slow, no host would get work.
  const cell = new SimulatedCell({ hosts: 6 })
  const jobs = await load(cell, 6000, 200)
  await cell.run(1500)
  t.is(jobs.filter((job) => job.reportedPhase === 'completed').length, jobs.length)
  t.true(cell.hosts.every((host) => host.started.length > 5))
})

test('a host on which every run stalls gets no more work within a second and a half', async (t) => {
  const cell = new SimulatedCell({ hosts: 6 })
  await load(cell, 3000)
  await load(cell, 500, 1000, 4)
  cell.host(0).isStuck = true
  await load(cell, 1500, 1000, 4)
  const startedBefore = cell.host(0).started.length
  await load(cell, 4000, 1000, 4)
  t.is(startedSince(cell, 0, startedBefore), 0)
})

test('the faster of two hosts is used first', async (t) => {
  const cell = new SimulatedCell({ hosts: 2 })
  Object.assign(cell.host(0).options, { workMs: () => 1250 })
  Object.assign(cell.host(1).options, { workMs: () => 800 })
  await load(cell, 4000, 1000, 1)
  await cell.run(3000)
  cell.submit([{ count: 4 }], { priority: 0 })
  await cell.run(300)
  t.is(cell.host(1).running.size, 4)
})

test('a host that is always slow is not excluded', async (t) => {
  // It is as useful as it has always been. Without it, capacity would be lost in a full cell.
  const cell = new SimulatedCell({ hosts: 6 })
  cell.host(0).speed = 0.22
  await load(cell, 30_000, 1000, 5)
  const startedBefore = cell.host(0).started.length
  await load(cell, 10_000, 1000, 5)
  // With 8 places and 4.5 s for each task it can take 17 in this time.
  t.true(startedSince(cell, 0, startedBefore) >= 14, `${startedSince(cell, 0, startedBefore)} runs`)
})

test('the fast hosts are known after a time without load', async (t) => {
  // Urgent jobs come in bursts. The first ones of a burst would be placed on slow hosts that are a little fuller, and be late.
  const cell = new SimulatedCell({ hosts: 6 })
  cell.hosts.forEach((host, number) => { host.speed = number % 2 === 0 ? 0.6 : 1.6 })
  await load(cell, 8000, 1000, 4)
  cell.submit([{ count: 12, estimateMs: 120_000, requiredLabel: 'rack-0', longRunning: true }])
  await cell.run(40_000)
  const before = cell.hosts.map(({ started }) => started.length)
  await load(cell, 500, 1000, 3)
  const started = cell.hosts.map((host, number) => ({ speed: host.speed, count: host.started.length - (before[number] ?? 0) }))
  t.deepEqual(started.filter(({ speed, count }) => speed < 1 && count > 0), [])
})
