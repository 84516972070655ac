/**
 * When a task that no scheduler lists counts as absent, so that it is started again.
 */

import { errAsync, okAsync } from 'neverthrow'
import test from 'ava'
import { ManualClock } from '../../common/Clock.js'
import { AmbiguousError } from '../../common/Errors.js'
import { SeededRandom } from '../../common/Random.js'
import { loadChart } from '../../runtime/ChartLoader.js'
import { workerHost } from '../../../test/support/FakeWorkers.js'
import { createJob } from '../../../test/support/JobsCell.js'
import { JobRun } from './JobRun.js'
import { TaskSurvey } from './TaskSurvey.js'

import type { ILoadSummary, ITasksOfReply } from '../../common/protocol/Types.js'
import type { IJobPeers } from './Types.js'

const SHARD = 'workers/r0'
const NO_RESOURCES = { cores: 0, memoryBytes: 0, accelerators: 0 }
const PLACE = { region: 'lakes-west', failureDomain: 'lakes-west-a' }

function summary (processId: string, epoch: number): ILoadSummary {
  const shard = { shardId: SHARD, kind: 'workers' as const, epoch, freeSlots: 0, totalSlots: 0, free: NO_RESOURCES, largestFree: NO_RESOURCES }
  const expectedWaitMs = { urgent: 0, normal: 0, patient: 0 }
  return { ...PLACE, processId, incarnation: 1, draining: false, storeReachable: true, shards: [shard], expectedWaitMs, queued: 0 }
}

function recoveredRun (): JobRun {
  const context = { taskChart: loadChart('task')._unsafeUnwrap(), random: new SeededRandom(1), rules: () => ({ allAtOnce: false, maxRetries: 0 }) }
  const run = new JobRun(createJob(1, 1000), 2, context)
  run.markRecovered(0)
  return run
}

/** A survey with the given replies by scheduler; schedulers without a reply don't answer. */
function createSurvey (run: JobRun, replies: Readonly<Record<string, ITasksOfReply>>): TaskSurvey {
  const call = (processId: string): unknown => {
    const reply = replies[processId]
    return reply === undefined ? errAsync(new AmbiguousError('peer.call', processId, 'timeout')) : okAsync(reply)
  }
  const peers = { self: { ...PLACE, processId: 'owner', incarnation: 1 }, processIds: () => ['owner', 'old', 'new'], call }
  return new TaskSurvey('ids/00', 2, {
    peers: peers as unknown as IJobPeers,
    shards: { summaries: () => [summary('old', 1), summary('new', 2)], ownerOf: () => 'new' },
    hosts: () => [workerHost('w0', 'r0', { cores: 4, memoryBytes: 1, accelerators: 0 })],
    clock: new ManualClock(),
    runs: () => [run],
    onTaskUpdate: () => {}
  })
}

const SETTLED: ITasksOfReply = { settledShards: [SHARD], tasks: [] }
const UNSETTLED: ITasksOfReply = { settledShards: [], tasks: [] }

test('the report of a scheduler that has lost the shard of the hosts does not count', async (t) => {
  // A scheduler is paused during the takeover of its workers, resumes, and reports all its hosts as settled before it
  // learns of the takeover. The new owner of the workers, which started the task, can't be reached at this time. If the
  // task counted as absent, it would be started elsewhere and run on two hosts.
  const run = recoveredRun()
  await createSurvey(run, { owner: UNSETTLED, old: SETTLED }).runIfDue()
  t.is(run.task('t0')?.state, 'unsure')
})

test('a task that no owner of a host holds is absent', async (t) => {
  const run = recoveredRun()
  await createSurvey(run, { owner: UNSETTLED, old: SETTLED, new: SETTLED }).runIfDue()
  t.is(run.task('t0')?.state, 'queued')
})
