/**
 * Reservations for all-at-once jobs when the job's owner changes.
 */

import test from 'ava'
import { ID_SHARD, JobsCell } from '../../../test/support/JobsCell.js'

import type { IPlaceTaskRequest } from '../../common/protocol/Types.js'

const TASK: IPlaceTaskRequest = {
  jobId: 'job',
  service: 'sector-sweep',
  caller: 'farm',
  task: { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } },
  attempt: 1_000_001,
  jobOwner: 's0',
  ownerEpoch: 1
}
const REF = { jobId: 'job', tryNumber: 1_000_001 }

async function reservedCell (): Promise<JobsCell> {
  const cell = new JobsCell(2, 1)
  await cell.advance(1200)
  const reply = cell.scheduler(1).tasks.reservations.reserve({ ...REF, tasks: [TASK], expiresMs: 5000 })
  if (reply.reservedTaskIds.length !== 1) throw new Error('no place was reserved')
  return cell
}

test('an owner of a job that was replaced between its reservation and its start starts nothing', async (t) => {
  // The owner is paused right after it has reserved all places. Its successor asks all schedulers for running tasks, finds
  // none and starts the job. Then the first owner resumes, and its starts arrive before the reservations have expired. Each
  // task would run on two hosts.
  const cell = await reservedCell()
  cell.scheduler(1).tasks.tasksOf({ idShard: ID_SHARD, ownerEpoch: 2, jobOwner: 's0' })
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: false })
  await cell.advance(1000)
  t.is(cell.workers.runs().length, 0)
})

test('the owner that made a reservation starts its tasks, once', async (t) => {
  const cell = await reservedCell()
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: true })
  t.deepEqual(cell.scheduler(1).tasks.reservations.start(REF), { started: false })
  await cell.advance(100)
  t.is(cell.workers.runs().length, 1)
})
