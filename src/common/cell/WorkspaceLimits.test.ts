/**
 * Limits of workspaces under load, with simulated hosts.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'

import type { IWorkspace } from './Types.js'

function workspace (name: string, cpuMillicores: number): IWorkspace {
  return { name, keyDigests: [], weight: 1, maximum: { cpuMillicores, memoryMb: 0, accelerators: 0 } }
}

function setUp (limitMillicores = 4000, options: Partial<ConstructorParameters<typeof SimulatedCell>[0]> = {}): SimulatedCell {
  const cell = new SimulatedCell({ hosts: 4, ...options })
  cell.configure([workspace('blue', limitMillicores), workspace('red', 0)])
  return cell
}

test('a workspace never has more running than its limit, while another one uses the rest of the cell', async (t) => {
  const cell = setUp()
  const blue = Array.from({ length: 20 }, () => cell.submit([{ count: 2 }], {}, 'blue'))
  const red = Array.from({ length: 20 }, () => cell.submit([{ count: 1 }], {}, 'red'))
  await cell.run(3000)
  t.true(red.every((job) => job.phase === 'completed'))
  t.true(blue.some((job) => job.phase !== 'completed'))
  await cell.run(20_000)
  t.true(blue.every((job) => job.phase === 'completed'))
  t.is(cell.maxWorkspaceMillicores.get('blue'), 4000)
})

test('memory and accelerators are limited as well', async (t) => {
  const cell = setUp()
  cell.configure([{ ...workspace('blue', 0), maximum: { cpuMillicores: 0, memoryMb: 250, accelerators: 0 } }])
  cell.submit([{ count: 8, memoryMb: 100 }], {}, 'blue')
  await cell.run(500)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 2000)
})

test('a gang starts whole within its limit or not at all', async (t) => {
  const cell = setUp()
  cell.submit([{ count: 2 }], {}, 'blue')
  await cell.run(200)
  const gang = cell.submit([{ count: 3, gang: true }], {}, 'blue')
  await cell.run(500)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 2000)
  await cell.run(5000)
  t.is(gang.phase, 'completed')
  t.true((cell.maxWorkspaceMillicores.get('blue') ?? 0) <= 4000)
})

test('a gang that needs most of its limit starts although narrow jobs of its workspace keep coming', async (t) => {
  const cell = setUp()
  const gang = cell.submit([{ count: 4, gang: true }], { targetMs: 60_000 }, 'blue')
  for (let second = 0; second < 20; second += 1) {
    for (let job = 0; job < 5; job += 1) cell.submit([{ count: 1 }], { targetMs: 0 }, 'blue')
    await cell.run(1000)
  }
  t.is(gang.phase, 'completed')
})

test('a gang that needs all of its limit starts although narrow jobs keep coming, some of which run for seven times as long', async (t) => {
  const cell = setUp(16_000, { hosts: 8, host: { workMs: ({ jobId }) => Number(jobId) % 21 === 0 ? 14_000 : 2000 } })
  const submitFor = async (seconds: number): Promise<void> => {
    for (let left = seconds * 10; left > 0; left -= 1) {
      if (cell.scheduler.openJobs.size < 60) cell.submit([{ estimateMs: 2000 }], { targetMs: 100_000 }, 'blue')
      await cell.run(100)
    }
  }
  await submitFor(10)
  const gang = cell.submit([{ count: 16, gang: true }], { targetMs: 100_000 }, 'blue')
  await submitFor(45)
  t.true(gang.hasStarted)
})

test('runs of an earlier owner count before their hosts have reported them', async (t) => {
  const cell = setUp(4000, { host: { workMs: () => 4000 } })
  const jobs = Array.from({ length: 6 }, () => cell.submit([{ count: 1 }], {}, 'blue'))
  await cell.run(500)
  cell.host(0).isSilent = true
  cell.takeOver()
  await cell.run(2000)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 4000)
  cell.host(0).isSilent = false
  await cell.run(20_000)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 4000)
  t.true(jobs.every((job) => cell.job(job.spec.jobId).phase === 'completed'))
})

test('runs that a silent host has not confirmed as stopped count', async (t) => {
  const cell = setUp(4000, { host: { workMs: () => 5000 } })
  const first = cell.submit([{ count: 4 }], {}, 'blue')
  await cell.run(300)
  for (const host of cell.hosts.filter(({ running }) => running.size > 0)) host.isSilent = true
  first.phase = 'cancelled'
  cell.scheduler.stopJob(first)
  const second = cell.submit([{ count: 4 }], {}, 'blue')
  await cell.run(4000)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 4000)
  await cell.run(20_000)
  t.is(second.phase, 'completed')
})

test('after a limit is lowered nothing starts until the runs fit, and after it is raised work starts at once', async (t) => {
  const cell = setUp(4000, { saveMs: 100 })
  const first = cell.submit([{ count: 4 }], {}, 'blue')
  await cell.run(50)
  cell.configure([workspace('blue', 2000)])
  await cell.run(1000)
  t.is(cell.maxWorkspaceMillicores.get('blue'), 2000, 'runs that were not ordered yet are dropped')
  const second = cell.submit([{ count: 4 }], {}, 'blue')
  cell.configure([workspace('blue', 6000)])
  await cell.run(5000)
  t.deepEqual([first.phase, second.phase], ['completed', 'completed'])
})
