/**
 * Placement on hosts of which the slowest have 0.6 and the fastest 1.6 times the usual speed.
 */

import test from 'ava'
import { GangRates } from '../../../test/support/GangRates.js'
import { createView } from '../../../test/support/PassViews.js'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { HostState } from './HostState.js'
import { planGang, planTasks } from './Placement.js'

import type { Job } from './Job.js'

const SPEEDS = [0.6, 1, 1.6]

const ROUNDS = 6
const ROUND_MS = 5000
const WARM_UPS = 8

/** A cell whose hosts have the speeds in turn, which the owner has learned from earlier runs. */
async function createCell (hosts: number): Promise<SimulatedCell> {
  const gangRates = new GangRates()
  const cell = new SimulatedCell({ hosts, host: { workMs: () => 3000, rateOf: (ref, rate) => gangRates.rateOf(ref, rate) } })
  gangRates.attach(cell)
  cell.hosts.forEach((host, number) => { host.speed = SPEEDS[number % SPEEDS.length] ?? 1 })
  await cell.run(500)
  for (let round = 0; round < WARM_UPS; round += 1) {
    cell.submit([{ count: hosts * 6, maxPerHost: 6, estimateMs: 3000 }], { name: 'warm-up' })
    await cell.run(6000)
  }
  return cell
}

function countInTime (jobs: readonly Job[]): number {
  return jobs.filter(({ finishedAtMs, dueMs }) => finishedAtMs !== undefined && finishedAtMs <= dueMs).length
}

test('the members of a gang get hosts of similar speed, so that the fast hosts are left to a gang that needs them', async (t) => {
  // The slowest member decides when a gang ends. A gang with members on all kinds of hosts holds the fast ones for as long as the slow
  // ones, and the next gang is late.
  const cell = await createCell(12)
  const spec = { cpuMillicores: 4000, estimateMs: 3000, gang: true }
  const patient: Job[] = []
  const hurried: Job[] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    patient.push(cell.submit([{ ...spec, count: 10 }], { name: 'patient', stretch: 2.2, targetMs: 600 }))
    await cell.run(100)
    hurried.push(cell.submit([{ ...spec, count: 6 }], { name: 'hurried', stretch: 0.8, targetMs: 0 }))
    await cell.run(ROUND_MS)
  }
  t.deepEqual([countInTime(patient), countInTime(hurried)], [ROUNDS, ROUNDS])
})

test('urgent tasks get the fast hosts if they would be late on others', async (t) => {
  const cell = await createCell(12)
  const urgent: Job[] = []
  for (let round = 0; round < ROUNDS; round += 1) {
    urgent.push(cell.submit([{ count: 20, estimateMs: 3000 }], { name: 'urgent', priority: 0, stretch: 0.8, targetMs: 0 }))
    await cell.run(ROUND_MS)
  }
  t.is(countInTime(urgent), ROUNDS)
})

test('a pass checks once whether each host takes work, and a full host costs a step nothing else', async (t) => {
  // With all checks for each step and host, a pass over hundreds of waiting steps took a fifth of a second.
  const cell = new SimulatedCell({ hosts: 20, host: { workMs: () => 5000 } })
  await cell.run(500)
  cell.submit([{ count: 160, estimateMs: 5000 }], { priority: 0 })
  await cell.run(500)
  let checks = 0
  let headrooms = 0
  const { isPlaceable } = HostState.prototype
  for (const host of cell.scheduler.hosts.values()) {
    host.isPlaceable = (nowMs) => {
      checks += 1
      return isPlaceable.call(host, nowMs)
    }
  }
  const view = createView(cell)
  const counting = { ...view, headroom: (...args: Parameters<typeof view.headroom>) => { headrooms += 1; return view.headroom(...args) } }
  for (let number = 0; number < 50; number += 1) {
    const [tasks, gang] = cell.createJob([{ count: 3 }, { count: 3, gang: true }]).steps
    if (tasks === undefined || gang === undefined) throw new Error('no steps')
    t.deepEqual(planTasks(tasks, tasks.tasks, counting), [])
    t.is(planGang(gang, counting), undefined)
  }
  t.is(checks, 20)
  t.is(headrooms, 0)
})

test('tasks of one step share the scores of the hosts: only that of the host that gets a task is computed again', async (t) => {
  const cell = new SimulatedCell({ hosts: 20 })
  await cell.run(500)
  const [step] = cell.createJob([{ count: 80 }]).steps
  if (step === undefined) throw new Error('no step')
  let scores = 0
  const view = { ...createView(cell), hasReservation: () => { scores += 1; return false } }
  t.is(planTasks(step, step.tasks, view).length, 80)
  t.true(scores <= 20 + 80)
})
