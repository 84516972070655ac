/**
 * Places held for all-at-once jobs, through a change of the job's owner.
 */

import test from 'ava'
import { ID_SHARD, JobsCell } from '../../../test/support/JobsCell.js'

import type { IPlaceTask } from '../../common/protocol/Types.js'

const TASK: IPlaceTask = {
  jobId: 'job',
  service: 'sector-sweep',
  caller: 'farm',
  task: { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } },
  attempt: 1_000_001,
  jobOwner: 's0',
  ownerEpoch: 1
}
const REF = { jobId: 'job', tryNumber: 1_000_001 }

async function reserved (): Promise<JobsCell> {
  const cell = new JobsCell(2, 1)
  await cell.advance(1200)
  const reply = cell.scheduler(1).tasks.reservations.reserve({ ...REF, tasks: [TASK], expiresMs: 5000 })
  if (reply.reservedTaskIds.length !== 1) throw new Error('no place was reserved')
  return cell
}

test('an owner of a job that was replaced between reserving and starting starts nothing', async (t) => {
  // It sleeps right after it has reserved all places. Its successor asks everybody what runs, is told of nothing, and
  // starts the job; then the first one wakes, and its starts arrive before the reservations have run out. One would see
  // each task on two hosts.
  const cell = await reserved()
  cell.scheduler(1).tasks.tasksOf({ idShard: ID_SHARD, ownerEpoch: 2, jobOwner: 's0' })
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: false })
  await cell.advance(1000)
  t.is(cell.workers.runs().length, 0)
})

test('the owner that reserved starts what it holds, once', async (t) => {
  const cell = await reserved()
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: true })
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: false })
  await cell.advance(100)
  t.is(cell.workers.runs().length, 1)
})
