/**
 * Jobs over real links and the real worker client, on worker stand-ins with different clocks.
 */

import test from 'ava'

import { SystemClock } from '../../common/Clock.js'
import { Emitter } from '../../common/Emitter.js'
import { SilentLogger } from '../../common/observability/SilentLogger.js'
import { DecisionEngine } from '../../common/policy/DecisionEngine.js'
import { SeededRandom } from '../../common/Random.js'
import { loadChart } from '../../runtime/ChartLoader.js'
import { WorkerClient } from '../../runtime/WorkerClient.js'
import { startWorker } from '../../../test/standins/inProcess.js'
import { eventually } from '../../../test/support/Eventually.js'
import { FakeJobLog, ID_SHARD, createJob, testConfig } from '../../../test/support/JobsCell.js'
import { identity, startHub } from '../../../test/support/PeerHubs.js'
import { JobOwner, JobPeers, registerJobHandlers, TaskService, WorkerPool } from './index.js'

import type { ExecutionContext } from 'ava'
import type { IJobSpec, ILoadSummary } from '../../common/protocol/Types.js'
import type { IHostRecord } from '../../runtime/Types.js'
import type { PeerHub } from '../../peer/PeerHub.js'
import type { WorkerStandIn } from '../../../test/standins/WorkerStandIn.js'
import type { IOwnedShard } from '../hosts/Types.js'

interface IWorkerDump {
  readonly running: number
  readonly overCapacity: number
  readonly doubleRuns: number
  readonly records: readonly { readonly taskId: string, readonly end?: string, readonly startedAt: number, readonly endedAt?: number }[]
}

interface IScheduler {
  readonly hub: PeerHub
  readonly url: string
  readonly jobs: JobOwner
  readonly owned: Map<string, number>
  takeShard (shardId: string, epoch: number): void
  summary (): ILoadSummary
  close (): Promise<void>
}

interface ICell {
  readonly hosts: readonly IHostRecord[]
  readonly standIns: readonly WorkerStandIn[]
  readonly log: FakeJobLog
  readonly schedulers: IScheduler[]
}

const CLOCK_STEP_MS = 1_000_000
/** A summary is reused for this time, as it is between processes. */
const SUMMARY_MS = 500

async function startScheduler (t: ExecutionContext, cell: ICell, processId: string): Promise<IScheduler> {
  const clock = new SystemClock()
  const { hub, url } = await startHub(identity(processId))
  const peers = new JobPeers(hub, clock)
  const engine = new DecisionEngine(clock, new SeededRandom(1))
  const owned = new Map<string, number>()
  const acquired = new Emitter<IOwnedShard>()
  const dropped = new Emitter<IOwnedShard>()
  const summaries = (): readonly ILoadSummary[] => cell.schedulers.map((scheduler) => scheduler.summary())
  const ownerOf = (shardId: string): string | undefined => cell.schedulers.find((scheduler) => scheduler.owned.has(shardId))?.hub.self.processId
  const log = new SilentLogger()
  const common = { peers, shards: { summaries, ownerOf }, config: testConfig(), idShardOf: () => ID_SHARD, clock, timers: clock, log }
  const directory = { hosts: cell.hosts, onChange: new Emitter<readonly IHostRecord[]>().event }
  const client = new WorkerClient()
  const tasks = new TaskService({ ...common, engine })
  const shards = {
    onAcquired: acquired.event,
    onLost: dropped.event,
    reportFenced: (shardId: string) => { owned.delete(shardId) },
    confirm: async (shardId: string) => owned.has(shardId)
  }
  const pool = new WorkerPool({ ...common, client, engine, directory, shards }, tasks.runner)
  tasks.runner.setPool(pool)
  const taskChart = loadChart('task')._unsafeUnwrap()
  const jobs = new JobOwner({ ...common, jobLog: cell.log, hosts: () => cell.hosts, taskChart, random: new SeededRandom(2) })
  registerJobHandlers(peers, tasks, jobs)
  let cached: { readonly atMs: number, readonly owned: string, readonly summary?: ILoadSummary } = { atMs: -Infinity, owned: '' }
  const scheduler: IScheduler = {
    hub,
    url,
    jobs,
    owned,
    takeShard: (shardId, epoch) => {
      owned.set(shardId, epoch)
      if (shardId === ID_SHARD) jobs.takeOver(shardId, epoch, cell.log.table.liveJobs())
      else acquired.fire({ shardId, epoch })
    },
    summary: () => {
      if (clock.nowMs() - cached.atMs < SUMMARY_MS && cached.owned === [...owned].join()) return cached.summary as ILoadSummary
      const { capacity, used, largestFree, expectedWaitMs, queued } = engine.load()
      const free = { ...capacity, cores: capacity.cores - used.cores }
      const ownShards = [...owned].map(([shardId, epoch]) => ({
        shardId, kind: shardId === ID_SHARD ? 'ids' as const : 'workers' as const, epoch, freeSlots: 0, totalSlots: 0, free, largestFree
      }))
      const summary = { ...hub.self, draining: false, storeReachable: true, shards: ownShards, expectedWaitMs, queued }
      cached = { atMs: clock.nowMs(), owned: [...owned].join(), summary }
      return summary
    },
    close: async () => {
      cell.schedulers.splice(cell.schedulers.indexOf(scheduler), 1)
      jobs.dispose()
      pool.dispose()
      tasks.dispose()
      client.dispose()
      await hub.close(0)
    }
  }
  cell.schedulers.push(scheduler)
  t.teardown(async () => { if (cell.schedulers.includes(scheduler)) await scheduler.close() })
  return scheduler
}

async function createCell (t: ExecutionContext): Promise<ICell> {
  const started = await Promise.all([0, 1].map((index) => startWorker(t, index * CLOCK_STEP_MS)))
  const hosts = started.map(({ url }, index): IHostRecord => ({
    hostId: `w${index}`,
    kind: 'worker',
    url,
    rack: `r${index}`,
    region: 'west',
    failureDomain: 'west-1',
    state: 'live',
    slots: 0,
    maxConnections: 0,
    capacity: { cores: 8, memoryBytes: 2 ** 30, accelerators: 0 }
  }))
  return { hosts, standIns: started.map(({ standIn }) => standIn), log: new FakeJobLog(), schedulers: [] }
}

async function linkSchedulers (from: IScheduler, to: IScheduler): Promise<void> {
  from.hub.dial(to.url, to.hub.self.processId)
  await eventually('the link', () => from.hub.link(to.hub.self.processId) !== undefined && to.hub.link(from.hub.self.processId) !== undefined)
}

function workerDumps (cell: ICell): readonly IWorkerDump[] {
  return cell.standIns.map((standIn) => standIn.dump() as IWorkerDump)
}

async function endStateOf (cell: ICell, at: IScheduler, job: IJobSpec): Promise<string> {
  return await eventually(`the end of ${job.jobId}`, () => {
    const { status } = at.jobs.status(job.jobId)
    return status !== undefined && ['succeeded', 'failed', 'cancelled'].includes(status.state) && status.state
  })
}

test('a job on two schedulers ends although one of them stops while its tasks run', async (t) => {
  // One scheduler disappears while tasks run on its worker. The other one takes the worker over, finds the tasks there and
  // lets them end; none of them may run a second time on any worker.
  const cell = await createCell(t)
  const first = await startScheduler(t, cell, 's0')
  const second = await startScheduler(t, cell, 's1')
  await linkSchedulers(first, second)
  first.takeShard(ID_SHARD, 1)
  first.takeShard('workers/r0', 1)
  second.takeShard('workers/r1', 1)
  await eventually('both workers are in use', () => cell.schedulers.every((scheduler) =>
    scheduler.summary().shards.some((shard) => shard.free.cores === 8)))
  const job = createJob(16, 3000)
  t.like(await first.jobs.submit(job), { outcome: 'done' })
  await eventually('all tasks run', () => workerDumps(cell).every((dump) => dump.running === 8))
  await second.close()
  first.takeShard('workers/r1', 2)
  t.is(await endStateOf(cell, first, job), 'succeeded')
  const records = workerDumps(cell).flatMap((dump) => dump.records)
  t.is(records.length, 16)
  t.true(records.every((record) => record.end === 'succeeded'))
  t.true(workerDumps(cell).every((dump) => dump.overCapacity === 0 && dump.doubleRuns === 0))
})

test('a job whose owner stops is continued by the next owner and can be cancelled there', async (t) => {
  // The process that accepted a job is gone. The next owner of the job's id shard knows the job from the store and finds its
  // tasks at the schedulers, so that the caller can still query and cancel the job.
  const cell = await createCell(t)
  const first = await startScheduler(t, cell, 's0')
  const second = await startScheduler(t, cell, 's1')
  await linkSchedulers(first, second)
  first.takeShard(ID_SHARD, 1)
  second.takeShard('workers/r0', 1)
  second.takeShard('workers/r1', 1)
  await eventually('both workers are in use', () => second.summary().shards.some((shard) => shard.free.cores === 16))
  t.like(await first.jobs.submit(createJob(4, undefined, { longRunning: true })), { outcome: 'done' })
  await eventually('all tasks run', () => workerDumps(cell).reduce((sum, dump) => sum + dump.running, 0) === 4)
  await first.close()
  second.takeShard(ID_SHARD, 2)
  await eventually('all tasks are found', () => second.jobs.status('job').status?.tasks.every((task) => task.state === 'running'))
  t.is((await second.jobs.cancel('job')).status?.state, 'cancelled')
  await eventually('all tasks are stopped', () => workerDumps(cell).every((dump) => dump.running === 0))
  t.is(workerDumps(cell).flatMap((dump) => dump.records).length, 4)
})
