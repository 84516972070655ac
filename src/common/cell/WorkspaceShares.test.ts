/**
 * Shares of workspaces counted in work, and what an order by them gives to callers while one workspace sends far more than its share.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { WorkspaceShareOrder } from './JobOrder.js'
import { NO_RESOURCES } from './Resources.js'
import { WorkspaceShares } from './WorkspaceShares.js'
import { WorkspaceUsage } from './WorkspaceUsage.js'

import type { IJobOrder } from './JobOrder.js'
import type { Job } from './Job.js'
import type { IWorkspace } from './Types.js'

const CORES = 32
const SECONDS = 40
const MIN_IN_TIME_SHARE = 0.7
/** In the order by objective, fewer are in time: otherwise the load shows nothing. */
const MAX_STANDING_SHARE = 0.5
const NAMES = ['hot', 'calm-1', 'calm-2', 'calm-3']
const WORKSPACES: readonly IWorkspace[] = NAMES.map((name) => ({ name, keyDigests: [], weight: 1, maximum: NO_RESOURCES }))

/** Four workspaces with equal weights ask for 15 of 32 cores together, until one asks for 40 more, in jobs that each need 40 core-seconds. */
async function playHotWorkspace (order?: IJobOrder) {
  const cell = new SimulatedCell({ hosts: 4, ...(order === undefined ? {} : { order }), host: { workMs: () => 2000 } })
  const shares = new WorkspaceShares()
  shares.setWeights(WORKSPACES)
  const jobs: Job[] = []
  const submit = (workspace: string, count: number): void => {
    const job = cell.submit([{ count, cpuMillicores: 1000, estimateMs: 2000 }], { stretch: 2, targetMs: 1000 }, workspace)
    job.isBeyondWorkShare = shares.recordJob(job, CORES, cell.clock.nowMs())
    jobs.push(job)
  }
  for (let second = 0; second < SECONDS; second += 1) {
    for (const name of NAMES) submit(name, 2)
    const isBurst = second >= SECONDS / 4 && second < SECONDS * 3 / 4
    if (isBurst) submit('hot', 20)
    await cell.run(1000)
  }
  const measured = jobs.filter(({ workspace }) => workspace !== 'hot')
  const inTime = measured.filter(({ finishedAtMs = Infinity, dueMs }) => finishedAtMs <= dueMs).length / measured.length
  return { cell, jobs, inTime }
}

test('workspaces within their shares are served in time although another one sends far more work than its share', async (t) => {
  const standing = await playHotWorkspace()
  const { inTime } = await playHotWorkspace(new WorkspaceShareOrder())
  t.true(inTime >= MIN_IN_TIME_SHARE, `${inTime}`)
  t.true(standing.inTime <= MAX_STANDING_SHARE, `${standing.inTime}`)
})

test('work beyond the share uses what the others leave, and all of it is done in the end', async (t) => {
  const { cell, jobs } = await playHotWorkspace(new WorkspaceShareOrder())
  t.true(jobs.some(({ isBeyondWorkShare, phase }) => isBeyondWorkShare && phase === 'completed'))
  await cell.run(60_000)
  t.true(jobs.every(({ phase }) => phase === 'completed'))
})

test('a job beyond the share is deferred for no longer than the time to its objective once more', (t) => {
  // Without a bound, the work of a workspace that keeps exceeding its share would never start.
  const cell = new SimulatedCell({ hosts: 0 })
  const deferred = cell.submit([{ count: 1 }], { stretch: 2, targetMs: 2000 }, 'hot')
  deferred.isBeyondWorkShare = true
  const other = cell.submit([{ count: 1 }], { stretch: 2, targetMs: 3000 }, 'calm')
  const urgent = cell.submit([{ count: 1 }], { priority: 0, stretch: 9 }, 'calm')
  const usage = new WorkspaceUsage()
  const steps = [...deferred.steps, ...other.steps, ...urgent.steps]
  const orderAt = (nowMs: number) => new WorkspaceShareOrder().sort([...steps], nowMs, usage).map(({ job }) => job)
  t.deepEqual(orderAt(0), [urgent, other, deferred])
  t.deepEqual(orderAt(7999), [urgent, other, deferred])
  t.deepEqual(orderAt(8000), [urgent, deferred, other])
})

test('nobody is beyond a share while there is enough for all, and unused share goes to the others', (t) => {
  const shares = new WorkspaceShares()
  shares.setWeights(WORKSPACES)
  const useCores = (workspace: string, cores: number): void => { shares.addWork(workspace, cores * 10_000 / Math.LN2, 0) }
  useCores('hot', 20)
  t.false(shares.isBeyondShare('hot', CORES, 0), 'the others use nothing')
  useCores('calm-1', 6)
  t.false(shares.isBeyondShare('hot', CORES, 0), 'there is enough for both')
  useCores('calm-2', 6)
  t.true(shares.isBeyondShare('hot', CORES, 0))
  t.false(shares.isBeyondShare('calm-1', CORES, 0))
  t.false(shares.isBeyondShare('hot', CORES, 10_000), 'past work counts less and less')
})

test('work without a workspace, and of one without a weight, is never beyond a share', (t) => {
  const shares = new WorkspaceShares()
  shares.addWork('', 1e9, 0)
  t.false(shares.isBeyondShare('', CORES, 0))
  shares.setWeights([{ name: 'free', keyDigests: [], weight: 0, maximum: NO_RESOURCES }])
  shares.addWork('free', 1e9, 0)
  t.false(shares.isBeyondShare('free', CORES, 0))
})

test('work that an earlier owner accepted counts by its age, in whatever order it is read', (t) => {
  const rows = (times: readonly number[]) => {
    const shares = new WorkspaceShares()
    shares.setWeights(WORKSPACES)
    for (const atMs of times) shares.addWork('hot', 1000, atMs)
    return shares.rows(CORES, 20_000).find(({ workspace }) => workspace === 'hot')?.usedCores ?? 0
  }
  t.true(Math.abs(rows([0, 10_000, 20_000]) - rows([20_000, 0, 10_000])) < 1e-9)
  t.true(Math.abs(rows([0, 10_000, 20_000]) - 1750 * Math.LN2 / 10_000) < 1e-9)
})
