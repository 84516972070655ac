/**
 * All-at-once steps that wait for their room, among work that would take it.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

const CALL_MS = 700
const ADVICE = { baseMs: CALL_MS, perHostMs: 0, validMs: 1500 }

test('a gang starts when its room comes free, not an advice call later', async (t) => {
  // Asked for only when the room was there, tickets left it idle for the time of a call with each gang that waited.
  const cell = new SimulatedCell({ hosts: 4, host: { workMs: () => 3000 }, adviceMs: () => CALL_MS })
  cell.submit([{ count: 28, estimateMs: 3000 }])
  await cell.run(200)
  const gang = cell.submit([{ count: 4, cpuMillicores: 8000, gang: true, estimateMs: 3000 }], { advice: ADVICE })
  await cell.run(2900)
  t.false(gang.hasStarted)
  await cell.run(700)
  t.true(gang.hasStarted)
})

test('a gang that needs much memory gets it although narrow work with little processor comes without end', async (t) => {
  // Were processor alone kept for it, tasks that take hardly any would use up the memory, and its caller would wait until they stop coming.
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

test('a gang that can\'t make its objective any more lets one go first that can', async (t) => {
  // Both need the whole cell. The first one's objective is past before the cell is free; in the order of their coming both would be late.
  const cell = new SimulatedCell({ hosts: 2, host: { workMs: () => 2000 } })
  cell.submit([{ count: 14, estimateMs: 2000 }])
  await cell.run(200)
  const wide = { count: 2, cpuMillicores: 8000, gang: true, estimateMs: 2000 }
  const late = cell.submit([wide], { stretch: 1, targetMs: 500 })
  await cell.run(400)
  const timely = cell.submit([wide], { stretch: 1, targetMs: 3000 })
  await cell.run(4100)
  t.is(timely.shownPhase, 'completed')
  t.not(late.shownPhase, 'completed')
  await cell.run(2500)
  t.is(late.shownPhase, 'completed')
})

test('work that can still be in time does not wait for a gang that can\'t', async (t) => {
  // The gang's room comes free only after the narrow job's objective: both were late.
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
  t.is(narrow.shownPhase, 'completed')
  await cell.run(4000)
  t.is(late.shownPhase, 'completed')
})

test('late work is done all the same, however much comes that isn\'t late yet', async (t) => {
  // The cell is asked for more than it can do for minutes. Passed by without end, the caller of a late gang would never get it.
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
  // They have ended with it. An order for each would come before those of urgent jobs, twenty at a time.
  const cell = new SimulatedCell({ hosts: 6 })
  const gang = cell.submit([{ count: 6, cpuMillicores: 8000, gang: true }])
  await cell.run(3000)
  t.is(gang.shownPhase, 'completed')
  t.is(cell.hosts.reduce((sum, host) => sum + host.stops, 0), 0)
})
