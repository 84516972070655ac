/**
 * What an order by shares gives to callers while one workspace sends far more than its share.
 */

import test from 'ava'
import { SimulatedCell } from '../test/support/SimulatedCell.js'
import { ShareMeter } from '../src/common/cell/ShareMeter.js'
import { ShareOrder } from './cellOrders.js'

import type { Job } from '../src/common/cell/Job.js'

const MIN_IN_TIME_SHARE = 0.9
const HOT_JOBS_PER_S = 40
const CALM_JOBS_PER_S = 4
const SECONDS = 15

/** Two workspaces with equal weights in a cell that does 16 jobs a second; one of them sends ten times as much as the other. */
async function playHotWorkspace () {
  const cell = new SimulatedCell({ hosts: 2, order: new ShareOrder() })
  const meter = new ShareMeter()
  const jobs: Job[] = []
  const submit = (workspace: string): void => {
    const job = cell.submit([{ count: 1 }], { stretch: 1, targetMs: 2000 }, workspace)
    job.isBeyondShare = !meter.recordJob(workspace, CALM_JOBS_PER_S, cell.clock.nowMs())
    jobs.push(job)
  }
  for (let second = 0; second < SECONDS; second += 1) {
    for (let tenth = 0; tenth < 10; tenth += 1) {
      for (let job = 0; job < HOT_JOBS_PER_S / 10; job += 1) submit('hot')
      if (tenth % 5 === 0) for (let job = 0; job < CALM_JOBS_PER_S / 2; job += 1) submit('calm')
      await cell.run(100)
    }
  }
  const inTimeShare = (workspace: string): number => {
    const measured = jobs.filter((job) => job.workspace === workspace && job.dueMs < cell.clock.nowMs())
    return measured.filter(({ finishedAtMs = Infinity, dueMs }) => finishedAtMs <= dueMs).length / measured.length
  }
  return { cell, jobs, inTimeShare }
}

test('the jobs of a workspace are in time although another one sends far more than its share', async (t) => {
  const { inTimeShare } = await playHotWorkspace()
  t.true(inTimeShare('calm') >= MIN_IN_TIME_SHARE, String(inTimeShare('calm')))
})

test('jobs beyond the share use what the others leave, and all of them are done in the end', async (t) => {
  const { cell, jobs } = await playHotWorkspace()
  t.true(jobs.some((job) => job.isBeyondShare && job.phase === 'completed'))
  await cell.run(60_000)
  t.true(jobs.every((job) => job.phase === 'completed'))
})
