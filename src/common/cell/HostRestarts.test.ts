/**
 * Hosts that start again under their ids and are cut off soon after: what was sent for the earlier incarnation is carried out by the next one.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { SimulatedHost } from '../../../test/support/SimulatedHost.js'

/** Longer than any lease of a host. */
const LONG_MS = 30_000
const SHORT_MS = 300
/** The leases of a host that is cut off have ended for its owner by then. */
const LEASES_END_MS = 12_000
/** The owner has given up a start without an answer by then. */
const GIVEN_UP_MS = 15_000
const ADVICE = { baseMs: 10, perHostMs: 0, validMs: 60_000 }

interface ICell { readonly cell: SimulatedCell, readonly host: SimulatedHost, readonly other: SimulatedHost }

/** A cell with two hosts that know their owner, of which only the first one takes work. */
async function createCell (workMs = LONG_MS, holdMs = 0): Promise<ICell> {
  const cell = new SimulatedCell({ hosts: 2, holdMs, host: { workMs: () => workMs } })
  const [host, other] = [cell.host(0), cell.host(1)]
  other.isDraining = true
  // An order for a host that has served for long has a deadline far ahead of the clock of the next incarnation.
  await cell.run(20_000)
  return { cell, host, other }
}

test('a task that a host took between a restart and a cut does not run elsewhere before its lease has ended', async (t) => {
  const { cell, host, other } = await createCell(LONG_MS, 800)
  while (cell.scheduler.hosts.get('host-0')?.contactAtMs !== cell.clock.nowMs()) await cell.run(10)
  host.losesPolls = true
  await cell.run(1700)
  host.restart(false)
  await cell.run(600)
  cell.submit([{}])
  await cell.run(100)
  t.is(host.running.size, 1)
  host.isSilent = true
  other.isDraining = false
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a task does not run elsewhere while a late poll for an earlier incarnation prolongs its lease on a host that is cut off', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesPolls = true
  await cell.run(200)
  host.losesPolls = false
  host.restart()
  cell.submit([{}])
  await cell.run(600)
  t.is(host.running.size, 1)
  host.isSilent = true
  other.isDraining = false
  await cell.run(4000)
  host.executeLatePolls()
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a task does not run elsewhere while a late start for an earlier incarnation prolongs its lease on a host that is cut off', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesStarts = true
  cell.submit([{}])
  await cell.run(100)
  host.losesStarts = false
  host.restart()
  cell.submit([{}])
  await cell.run(600)
  t.true(host.running.size > 0)
  host.isSilent = true
  other.isDraining = false
  await cell.run(4000)
  host.executeLateStarts()
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a task does not run elsewhere while a late poll prolongs its lease on a host that restarted and was cut off before any answer', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesPolls = true
  await cell.run(200)
  host.restart(false)
  cell.submit([{}])
  await cell.run(100)
  t.is(host.running.size, 1)
  host.isSilent = true
  other.isDraining = false
  await cell.run(4000)
  host.executeLatePolls()
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a late poll for an earlier incarnation of a host does not make it forget ends that its owner has not seen', async (t) => {
  const { cell, host } = await createCell(SHORT_MS)
  cell.submit([{ count: 3 }])
  while (cell.scheduler.hosts.get('host-0')?.storedSequence !== 3) await cell.run(10)
  host.losesPolls = true
  await cell.run(200)
  host.restart()
  const job = cell.submit([{}])
  await cell.run(SHORT_MS + 100)
  t.is(host.running.size, 0)
  host.executeLatePolls()
  host.losesPolls = false
  await cell.run(5000)
  t.is(job.phase, 'completed')
  t.deepEqual(cell.startsAfterDone(), [])
})

for (const lateMs of [500, 3000, 6000, 12_000]) {
  test(`a start that an incarnation between has barred runs beside no other run if it is carried out ${lateMs} ms late`, async (t) => {
    // Nothing in it names the incarnation that it is meant for.
    const { cell, host, other } = await createCell()
    host.losesStarts = true
    const job = cell.submit([{}])
    await cell.run(100)
    host.restart()
    host.isDraining = true
    other.isDraining = false
    await cell.run(lateMs - 100)
    host.restart()
    host.executeLateStarts()
    await cell.run(3000)
    t.true(job.hasStarted)
    t.is(cell.maxRunsOfOneTask, 1)
  })

  test(`a start whose deadline has passed runs beside no other run if the next incarnation carries it out ${lateMs} ms late`, async (t) => {
    // The deadline is on the clock of the incarnation that has refused it.
    const { cell, host, other } = await createCell()
    host.losesStarts = true
    const job = cell.submit([{}])
    await cell.run(100)
    host.isDraining = true
    other.isDraining = false
    await cell.run(lateMs - 100)
    host.restart()
    host.executeLateStarts()
    await cell.run(3000)
    t.true(job.hasStarted)
    t.is(cell.maxRunsOfOneTask, 1)
  })
}

test('a task whose start was lost on the way runs elsewhere once no host can carry it out any more', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesStarts = true
  cell.submit([{}])
  await cell.run(100)
  host.isDraining = true
  other.isDraining = false
  await cell.run(GIVEN_UP_MS)
  t.is(other.running.size, 1)
})

test('a gang starts as a whole although the orders of some members are lost with their connections', async (t) => {
  // The others would wait for them until they end as alone, and the gang would start again seconds later.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => SHORT_MS } })
  await cell.run(1000)
  cell.host(0).lostStarts = 2
  const job = cell.submit([{ count: 4, maxPerHost: 2, gang: true }], { advice: ADVICE })
  await cell.run(200)
  t.is(cell.hosts.reduce((sum, { running }) => sum + running.size, 0), 4)
  await cell.run(1000)
  t.is(job.phase, 'completed')
  t.is(cell.hosts.flatMap(({ started }) => started).length, 4)
})

test('a host gets no work beside a run that its owner has given up, until that run has ended', async (t) => {
  // The run uses room that the owner takes for free, and more would start there than the host can hold.
  const { cell, host, other } = await createCell()
  host.losesStarts = true
  cell.submit([{ cpuMillicores: 8000 }])
  await cell.run(100)
  other.isDraining = false
  host.isDraining = true
  await cell.run(GIVEN_UP_MS)
  t.is(other.running.size, 1)
  host.losesStarts = false
  host.restart()
  host.executeLateStarts()
  host.losesStops = true
  await cell.run(500)
  host.isDraining = false
  cell.submit([{ cpuMillicores: 8000 }])
  await cell.run(2000)
  t.is(cell.maxOverCapacity, 0)
  host.losesStops = false
  await cell.run(2000)
  t.is(host.started.length, 2)
})

test('a task whose start has no answer in time runs on its host, although the order is carried out once more later', async (t) => {
  // It would wait until the deadline of its order has passed, and start elsewhere 3 s later.
  const cell = new SimulatedCell({ hosts: 2, startTimeoutMs: 1000, host: { workMs: () => SHORT_MS } })
  await cell.run(1000)
  for (const host of cell.hosts) host.losesStarts = true
  const job = cell.submit([{}], { advice: ADVICE })
  await cell.run(500)
  for (const host of cell.hosts) host.losesStarts = false
  await cell.run(1500)
  t.is(job.phase, 'completed')
  for (const host of cell.hosts) host.executeLateStarts()
  await cell.run(1000)
  t.is(cell.hosts.flatMap(({ started }) => started).length, 1)
})

test('a task that a host took between a restart and a cut does not run elsewhere, although the clock of the incarnation began above zero', async (t) => {
  const { cell, host, other } = await createCell(LONG_MS, 800)
  while (cell.scheduler.hosts.get('host-0')?.contactAtMs !== cell.clock.nowMs()) await cell.run(10)
  host.losesPolls = true
  await cell.run(1700)
  host.restart(false, 10_000)
  await cell.run(600)
  cell.submit([{}])
  await cell.run(100)
  t.is(host.running.size, 1)
  host.isSilent = true
  other.isDraining = false
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('the late copy of a start that was sent twice does not run on the next incarnation beside another run', async (t) => {
  const cell = new SimulatedCell({ hosts: 2, startTimeoutMs: 1000, host: { workMs: () => LONG_MS } })
  const [host, other] = [cell.host(0), cell.host(1)]
  other.isDraining = true
  await cell.run(20_000)
  host.losesStarts = true
  cell.submit([{}], { advice: ADVICE })
  await cell.run(500)
  host.losesStarts = false
  await cell.run(1000)
  t.is(host.running.size, 1)
  host.losesPolls = true
  await cell.run(3000)
  host.restart(false)
  host.executeLateStarts()
  host.isSilent = true
  other.isDraining = false
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a start that is carried out six seconds late on a host that restarted and is cut off does not run beside another run', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesStarts = true
  cell.submit([{}])
  await cell.run(100)
  host.restart(false)
  host.isSilent = true
  other.isDraining = false
  await cell.run(6000)
  host.executeLateStarts()
  t.is(host.running.size, 1)
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a host gets no work beside an unknown run that it no longer lists as running, until its end is listed', async (t) => {
  const { cell, host, other } = await createCell()
  host.listingMs = 400
  host.losesStarts = true
  cell.submit([{ cpuMillicores: 8000 }])
  await cell.run(100)
  other.isDraining = false
  host.isDraining = true
  await cell.run(GIVEN_UP_MS)
  host.losesStarts = false
  host.restart()
  host.executeLateStarts()
  host.isDraining = false
  cell.submit([{ cpuMillicores: 8000 }])
  let stoppedAtMs = Infinity
  let startedAtMs = Infinity
  for (let step = 0; step < 300; step += 1) {
    await cell.run(10)
    if (host.discarded.length > 0) stoppedAtMs = Math.min(stoppedAtMs, cell.clock.nowMs())
    if (host.started.length > 1) startedAtMs = Math.min(startedAtMs, cell.clock.nowMs())
  }
  t.true(startedAtMs < Infinity)
  t.true(startedAtMs >= stoppedAtMs + 400, `${startedAtMs - stoppedAtMs}`)
})

test('a late start does not run on a host that was forgotten and has come back', async (t) => {
  const { cell, host, other } = await createCell()
  host.losesPolls = true
  host.losesStarts = true
  await cell.run(300)
  cell.submit([{}])
  await cell.run(100)
  other.isDraining = false
  host.isListed = false
  await cell.run(GIVEN_UP_MS + 7000)
  t.false(cell.scheduler.hosts.has('host-0'))
  t.is(other.running.size, 1)
  host.losesPolls = false
  host.losesStarts = false
  host.restart()
  host.isListed = true
  await cell.run(300)
  t.true(cell.scheduler.hosts.get('host-0')?.isFenced)
  host.executeLateStarts()
  await cell.run(500)
  t.is(cell.maxRunsOfOneTask, 1)
})

test('a task that an unknown incarnation has taken runs nowhere else while a late poll prolongs its lease', async (t) => {
  // The host is cut off, and a poll that was meant for the earlier incarnation is carried out seconds later.
  const { cell, host, other } = await createCell(LONG_MS, 800)
  while (cell.scheduler.hosts.get('host-0')?.contactAtMs !== cell.clock.nowMs()) await cell.run(10)
  host.losesPolls = true
  await cell.run(300)
  host.restart(false)
  cell.submit([{}], { advice: ADVICE })
  await cell.run(700)
  t.is(host.running.size, 1)
  host.isSilent = true
  other.isDraining = false
  await cell.run(5000)
  host.executeLatePolls()
  await cell.run(LEASES_END_MS)
  t.is(cell.maxRunsOfOneTask, 1)
})
