/**
 * How long the forecast says that new work waits, compared with how long it does in a simulated cell.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { RoomForecast } from './RoomForecast.js'

import type { QueueTerms } from './Job.js'

const SERVICE = 'pool'
/** The share of the hosts that the forecast counts on. */
const USABLE_SHARE = 0.85

function forecast (cell: SimulatedCell): RoomForecast {
  const room = new RoomForecast()
  room.update([...cell.scheduler.hosts.values()], cell.scheduler.jobs.values(), cell.clock.nowMs())
  return room
}

async function setUp (runMs = 1000) {
  const cell = new SimulatedCell({ hosts: 5, host: { workMs: () => 4000 } })
  await cell.run(runMs)
  const submit = (tasks: number, queue: Partial<QueueTerms> = {}) =>
    cell.submit([{ count: tasks, cpuMillicores: 1000, estimateMs: 4000 }], { stretch: 10, ...queue })
  return { cell, submit }
}

test('the forecast of a burst is off by less than the factor that a refusal allows for', async (t) => {
  const { cell, submit } = await setUp()
  for (let job = 0; job < 10; job += 1) submit(20)
  const atMs = cell.clock.nowMs()
  const forecastMs = forecast(cell).waitMs(SERVICE, 1, 0) ?? 0
  await cell.run(60_000)
  const tookMs = Math.max(...[...cell.scheduler.jobs.values()].map(({ finishedAtMs = Infinity }) => finishedAtMs)) - atMs
  t.true(forecastMs > tookMs / 1.5 && forecastMs < tookMs * 1.5, `${forecastMs} instead of ${tookMs}`)
})

test('present runs count with what they still need, and their processors count as free afterwards', async (t) => {
  const { cell, submit } = await setUp()
  submit(34)
  await cell.run(1000)
  const room = forecast(cell)
  const freeAtMs = room.waitMs(SERVICE, 1, 0) ?? 0
  t.is(freeAtMs, 0, 'nothing waits')
  const oneMs = room.waitMs(SERVICE, 1, 1000) ?? 0
  t.true(oneMs > 2500 && oneMs < 4000, String(oneMs))
  t.true((room.freeCoreMs(SERVICE, 2000) ?? 0) <= 0)
  const laterCoreMs = room.freeCoreMs(SERVICE, 10_000) ?? 0
  t.true(laterCoreMs > 0 && laterCoreMs < 40 * USABLE_SHARE * 10_000)
})

test('a shortage is reported for the priorities of which not all work can be in time', async (t) => {
  const { cell, submit } = await setUp()
  submit(100, { priority: 0 })
  t.deepEqual(forecast(cell).shortages(cell.clock.nowMs()), [])
  submit(400, { priority: 2 })
  const shortages = forecast(cell).shortages(cell.clock.nowMs())
  t.deepEqual(shortages.map(({ priority }) => priority), [2])
  t.true(shortages.every(({ forecastMs, dueInMs, waitingCoreMs, freeCoreMs }) => forecastMs > dueInMs && waitingCoreMs > freeCoreMs))
  t.deepEqual([...forecast(cell).waitsMs().keys()], [0, 2])
})

test('less urgent work does not delay more urgent work, nor does work that is late', async (t) => {
  const { cell, submit } = await setUp()
  submit(400, { priority: 2 })
  submit(400, { priority: 1, stretch: 0, targetMs: 0 })
  await cell.run(10)
  const room = forecast(cell)
  t.is(room.waitingCoreMs(SERVICE, 1), 0)
  t.true(room.waitingCoreMs(SERVICE, 2) > 300 * 4000)
})

test('an owner that has just taken over forecasts nothing until enough hosts have answered', async (t) => {
  // Without this, it would count no capacity and refuse all work.
  const { cell, submit } = await setUp()
  submit(400)
  await cell.run(1000)
  cell.takeOver()
  t.is(forecast(cell).waitMs(SERVICE, 1, 0), undefined)
  await cell.run(1000)
  t.true((forecast(cell).waitMs(SERVICE, 1, 0) ?? 0) > 10_000)
})

test('the capacity of hosts that have vanished does not count', async (t) => {
  const { cell, submit } = await setUp()
  submit(400)
  await cell.run(1000)
  const beforeMs = forecast(cell).waitMs(SERVICE, 1, 0) ?? 0
  for (const number of [0, 1]) cell.host(number).isSilent = true
  await cell.run(3000)
  t.true((forecast(cell).waitMs(SERVICE, 1, 0) ?? 0) > beforeMs * 1.2)
})

test('a job that is accepted between updates counts', async (t) => {
  const { cell, submit } = await setUp()
  const room = forecast(cell)
  room.addJob(submit(100))
  t.is(room.waitingCoreMs(SERVICE, 1), 400_000)
})
