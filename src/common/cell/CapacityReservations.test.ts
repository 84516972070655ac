/**
 * Gangs that wait for capacity beside other work that would use it.
 */

import test from 'ava'
import { CountingForecast, createView } from '../../../test/support/PassViews.js'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { CapacityReservations } from './CapacityReservations.js'

const CALL_MS = 700
const ADVICE = { baseMs: CALL_MS, perHostMs: 0, validMs: 1500 }

test('a gang starts when its capacity becomes free, not an advice call later', async (t) => {
  // Guards against tickets being requested only when the capacity is free, which leaves it idle for the time of an advice call.
  const cell = new SimulatedCell({ hosts: 4, host: { workMs: () => 3000 }, adviceMs: () => CALL_MS })
  cell.submit([{ count: 28, estimateMs: 3000 }])
  await cell.run(200)
  const gang = cell.submit([{ count: 4, cpuMillicores: 8000, gang: true, estimateMs: 3000 }], { advice: ADVICE })
  await cell.run(2900)
  t.false(gang.hasStarted)
  await cell.run(700)
  t.true(gang.hasStarted)
})

test('a gang that needs much memory gets it although narrow work that needs little processor keeps arriving', async (t) => {
  // If only processors were reserved for the gang, tasks that need hardly any would use up the memory, and the gang would wait
  // until they stop arriving.
  const cell = new SimulatedCell({ hosts: 2 })
  for (let number = 0; number < 14; number += 1) cell.submit([{ cpuMillicores: 100, memoryMb: 9000 }], { priority: 2 })
  await cell.run(300)
  const gang = cell.submit([{ count: 2, cpuMillicores: 1000, memoryMb: 56_000, gang: true }])
  for (let number = 0; number < 30 && !gang.hasStarted; number += 1) {
    cell.submit([{ cpuMillicores: 100, memoryMb: 9000 }], { priority: 2 })
    await cell.run(100)
  }
  t.true(gang.hasStarted)
})

test('a gang that can no longer meet its objective lets one go first that can', async (t) => {
  // Both gangs need the whole cell. The objective of the first one passes before the cell is free; in the order of arrival both
  // would be late.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 2000 } })
  cell.submit([{ count: 14, estimateMs: 2000 }])
  await cell.run(200)
  const wide = { count: 2, cpuMillicores: 8000, gang: true, estimateMs: 2000 }
  const late = cell.submit([wide], { stretch: 1, targetMs: 500 })
  await cell.run(400)
  const timely = cell.submit([wide], { stretch: 1, targetMs: 3000 })
  await cell.run(4100)
  t.is(timely.reportedPhase, 'completed')
  t.not(late.reportedPhase, 'completed')
  await cell.run(2500)
  t.is(late.reportedPhase, 'completed')
})

test('work that can still meet its objective does not wait for a gang that can\'t', async (t) => {
  // The gang's capacity becomes free only after the narrow job's objective; if the narrow job waited, both would be late.
  const workMs = new Map<string, number>()
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: ({ jobId }) => workMs.get(jobId) ?? 2000 } })
  const long = cell.submit([{ count: 2, cpuMillicores: 4500, estimateMs: 4500 }])
  workMs.set(long.spec.jobId, 4500)
  await cell.run(200)
  const late = cell.submit([{ count: 2, cpuMillicores: 8000, gang: true, estimateMs: 2000 }], { stretch: 1, targetMs: 0 })
  const narrow = cell.submit([{ cpuMillicores: 2000, estimateMs: 500 }], { priority: 2, stretch: 1, targetMs: 3000 })
  workMs.set(narrow.spec.jobId, 500)
  await cell.run(1000)
  t.false(narrow.hasStarted)
  await cell.run(2400)
  t.is(narrow.reportedPhase, 'completed')
  await cell.run(4000)
  t.is(late.reportedPhase, 'completed')
})

test('late work is done eventually, however much work arrives that isn\'t late yet', async (t) => {
  // The cell is overloaded for minutes. If a late gang could be deferred without limit, it would never start.
  const cell = new SimulatedCell({ hosts: 1, host: { workMs: () => 2000 } })
  const wide = { count: 1, cpuMillicores: 8000, gang: true, estimateMs: 2000 }
  cell.submit([wide])
  const late = cell.submit([wide], { stretch: 1, targetMs: 0 })
  for (let passedS = 0; passedS < 70 && !late.hasStarted; passedS += 1) {
    cell.submit([wide], { stretch: 1, targetMs: 5000 })
    await cell.run(1000)
  }
  t.true(late.hasStarted)
})

test('the members of a gang that is done are not stopped one by one', async (t) => {
  // The members have ended with the gang. Needless stop orders, up to twenty at a time, would delay those of urgent jobs.
  const cell = new SimulatedCell({ hosts: 6 })
  const gang = cell.submit([{ count: 6, cpuMillicores: 8000, gang: true }])
  await cell.run(3000)
  t.is(gang.reportedPhase, 'completed')
  t.is(cell.hosts.reduce((sum, host) => sum + host.stopCount, 0), 0)
})

test('the ends of a host\'s runs are forecast once a pass, however many gangs wait for room', async (t) => {
  // A forecast for each gang made a pass with many waiting gangs so long that an owner made one a second.
  const cell = new SimulatedCell({ hosts: 20, host: { workMs: () => 5000 } })
  await cell.run(500)
  cell.submit([{ count: 160, estimateMs: 5000 }], { priority: 0 })
  await cell.run(500)
  const gangs = Array.from({ length: 50 }, () => cell.createJob([{ count: 3, cpuMillicores: 100, memoryMb: 60_000, gang: true }]))
  const times = new CountingForecast()
  const reservations = new CapacityReservations(cell.scheduler.hosts.values())
  const view = createView(cell, times)
  let reserved = 0
  for (const { steps } of gangs) for (const step of steps) if (reservations.reserve(step, view, false) !== undefined) reserved += 1
  t.is(reserved, gangs.length)
  t.is(times.remainingCount, 160)
})

test('the search for the soonest places of a gang passes over hosts that have none sooner than those found', async (t) => {
  // With all places of all hosts forecast and sorted for each gang, the cost grew with gangs times hosts times runs.
  const cell = new SimulatedCell({ hosts: 100, host: { workMs: () => 5000 } })
  await cell.run(500)
  cell.submit([{ count: 800, estimateMs: 5000 }], { priority: 0 })
  await cell.run(500)
  const [gang] = cell.createJob([{ count: 3, cpuMillicores: 8000, gang: true }]).steps
  if (gang === undefined) throw new Error('no gang')
  let headrooms = 0
  const view = createView(cell)
  const counting = { ...view, headroom: (...args: Parameters<typeof view.headroom>) => { headrooms += 1; return view.headroom(...args) } }
  const reservation = new CapacityReservations(cell.scheduler.hosts.values()).reserve(gang, counting, false)
  t.deepEqual(reservation, { hosts: [...cell.scheduler.hosts.values()].slice(0, 3), waitMs: 1000 })
  t.is(headrooms, 3)
})

test('once half of the processors are in use, nothing that is reserved is used by others for the rest of the pass', async (t) => {
  const cell = new SimulatedCell({ hosts: 8, host: { workMs: () => 60_000 } })
  await cell.run(500)
  cell.submit([{ count: 1, cpuMillicores: 5000, estimateMs: 60_000 }], { priority: 0 })
  await cell.run(1500)
  cell.passIntervalMs = Infinity
  await cell.run(100)
  cell.submit([{ count: 8, gang: true, cpuMillicores: 7000 }], { targetMs: 1e6 })
  for (let number = 0; number < 70; number += 1) cell.submit([{ estimateMs: 500 }], { priority: 2, targetMs: 1e6 })
  cell.scheduler.runPass()
  const usedMillicores = [...cell.scheduler.hosts.values()].reduce((sum, host) => sum + host.usedCpu, 0)
  t.true(usedMillicores <= 33_000, `${usedMillicores} millicores`)
})
