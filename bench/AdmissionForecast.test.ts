/**
 * Which jobs would be refused because the hosts have no room for them in time, and when their callers return.
 */

import test from 'ava'
import { RoomForecast } from '../src/common/cell/RoomForecast.js'
import { SimulatedCell } from '../test/support/SimulatedCell.js'
import { AdmissionForecast } from './AdmissionForecast.js'

async function setUp (waitingTasks: number) {
  const cell = new SimulatedCell({ hosts: 5 })
  await cell.run(1000)
  const terms = { stretch: 4, targetMs: 0 }
  if (waitingTasks > 0) cell.submit([{ count: waitingTasks }], { ...terms, stretch: 100 })
  const room = new RoomForecast()
  room.update([...cell.scheduler.hosts.values()], cell.scheduler.jobs.values(), cell.clock.nowMs())
  const find = (admission: AdmissionForecast, priority = 1) =>
    admission.findRefusal(cell.createJob([{ count: 40 }], { ...terms, priority }), cell.clock.nowMs())
  return { room, find }
}

test('a cell with free capacity refuses nothing, and urgent jobs are not refused because of less urgent work', async (t) => {
  const free = await setUp(30)
  t.is(free.find(new AdmissionForecast(free.room)), undefined)
  const full = await setUp(1000)
  t.not(full.find(new AdmissionForecast(full.room)), undefined)
  t.is(full.find(new AdmissionForecast(full.room), 0), undefined)
})

test('callers that are refused later return later, after 1 s at least and 10 s at most', async (t) => {
  // If all returned at the same moment, most would be refused again.
  const { room, find } = await setUp(300)
  const admission = new AdmissionForecast(room)
  const times = Array.from({ length: 8 }, () => find(admission)?.retryAfterMs ?? 0)
  t.true(times.every((ms) => ms >= 1000 && ms <= 10_000), String(times))
  t.deepEqual(times, [...times].sort((a, b) => a - b))
  t.true((times[0] ?? 0) < (times[3] ?? 0))
})
