/**
 * Jobs during failures of hosts, schedulers and the store, with fakes and a manual clock. Whatever fails, no task may run
 * twice at the same time, and no host may get more work than its capacity.
 */

import test from 'ava'

import { ID_SHARD, checkInvariants, createJob, startJobsCell } from '../../../test/support/JobsCell.js'

const LEASE_MS = 15_000
const STEP_MS = 2000

test('an accepted job runs its tasks and ends as succeeded', async (t) => {
  const cell = await startJobsCell(2, 2)
  const owner = cell.scheduler(0).jobs
  t.like(await owner.submit(createJob(6, 500)), { outcome: 'done', status: 202 })
  await cell.advance(200)
  t.is(cell.status(), 'running')
  t.like(await owner.submit(createJob(6, 500)), { outcome: 'done' })
  t.like(await owner.submit(createJob(5, 500)), { outcome: 'refused', reason: 'duplicate' })
  await cell.advance(STEP_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 6)
  t.is(owner.liveCount, 0)
  t.deepEqual(cell.scheduler(1).jobs.status('job'), { owner: false })
  checkInvariants(t, cell)
})

test('a job that can never run is refused with the reason, before anything is stored', async (t) => {
  const cell = await startJobsCell(1, 2)
  const owner = cell.scheduler(0).jobs
  t.like(await owner.submit(createJob(1, 500, { cores: 5 })), { outcome: 'refused', reason: 'infeasible' })
  t.like(await owner.submit(createJob(9, 500, { service: 'sector-sweep' })), { outcome: 'refused', reason: 'infeasible' })
  t.is(cell.log.job(ID_SHARD, 'job'), undefined)
})

test('a job that is not stored is not accepted, and a job in doubt is not reported as refused', async (t) => {
  // The store is unavailable when a job is submitted. If the job were accepted, it would be lost when this process dies, and its
  // caller would wait for ever.
  const cell = await startJobsCell(1, 1)
  const owner = cell.scheduler(0).jobs
  cell.log.outcome = 'dropped'
  t.like(await owner.submit(createJob(1, 500)), { outcome: 'refused', reason: 'storeUnavailable' })
  cell.log.outcome = 'inDoubt'
  t.like(await owner.submit(createJob(1, 500)), { outcome: 'unknown' })
  await cell.advance(STEP_MS)
  t.is(cell.workers.runs().length, 0)
})

test('a start whose answer is lost runs once', async (t) => {
  // A host starts a task, and the answer is lost. If the task were sent elsewhere immediately, it would run on two hosts.
  const cell = await startJobsCell(1, 2)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).reachability = 'silent'
  await cell.scheduler(0).jobs.submit(createJob(1, STEP_MS))
  await cell.advance(100)
  t.is(cell.workers.runs().length, 1)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).reachability = 'up'
  await cell.advance(4 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 1)
})

test('a task of a host that is cut off starts elsewhere only after its lease has lapsed on the host', async (t) => {
  // The network to a host breaks while its tasks still run. They must not start on another host before the cut-off host
  // has stopped them, or the same work would be done twice at the same time.
  const cell = await startJobsCell(1, 2)
  await cell.scheduler(0).jobs.submit(createJob(1, 40_000))
  await cell.advance(STEP_MS)
  const [first] = cell.workers.running()
  cell.workers.worker(first?.hostId ?? '').reachability = 'cut'
  await cell.advance(LEASE_MS - STEP_MS)
  t.is(cell.workers.runs().length, 1)
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 2)
  t.is(first?.end, 'leaseLapsed')
  checkInvariants(t, cell)
})

test('the leases of a host whose answers are lost are not renewed', async (t) => {
  // Requests still arrive at a host whose answers are lost. Repeated renewals would keep its tasks running for ever, and no
  // scheduler would learn of their end.
  const cell = await startJobsCell(1, 2)
  await cell.scheduler(0).jobs.submit(createJob(1, 100_000))
  await cell.advance(STEP_MS)
  const [first] = cell.workers.running()
  cell.workers.worker(first?.hostId ?? '').reachability = 'silent'
  await cell.advance(3 * LEASE_MS)
  t.is(first?.end, 'leaseLapsed')
  t.is(cell.workers.running().length, 1)
  checkInvariants(t, cell)
})

test('a long-running service starts again when its host is gone', async (t) => {
  // A host dies permanently, and the platform's list shows it. The service that ran there is down until it runs elsewhere.
  const cell = await startJobsCell(1, 2)
  await cell.scheduler(0).jobs.submit(createJob(1, undefined, { longRunning: true }))
  await cell.advance(STEP_MS)
  const hostId = cell.workers.running()[0]?.hostId ?? ''
  cell.workers.restart(hostId)
  cell.workers.worker(hostId).reachability = 'refuses'
  cell.setHostState(hostId, 'gone')
  await cell.advance(4 * STEP_MS)
  t.is(cell.workers.running().length, 1)
  t.not(cell.workers.running()[0]?.hostId, hostId)
  checkInvariants(t, cell)
})

test('the tasks of a host that was restarted start again', async (t) => {
  // A worker reboots within seconds and loses its tasks. It is unreachable only briefly, so a scheduler that only detects
  // unreachable hosts would wait for the tasks for ever.
  const cell = await startJobsCell(1, 2)
  await cell.scheduler(0).jobs.submit(createJob(4, 10_000))
  await cell.advance(STEP_MS)
  cell.workers.restart('w0')
  await cell.advance(10 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
})

test('tasks that fail on a broken host are retried on another host', async (t) => {
  // A broken worker fails every task immediately, so it always has the most room. Without avoiding it, every retry would
  // run there and fail, until the job has failed.
  const cell = await startJobsCell(1, 2)
  cell.workers.worker('w0').failsAllTasks = true
  await cell.scheduler(0).jobs.submit(createJob(4, 500))
  await cell.advance(5 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
})

test('a task that fails everywhere fails its job after the retries of its profile', async (t) => {
  const cell = await startJobsCell(1, 2)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).failsAllTasks = true
  await cell.scheduler(0).jobs.submit(createJob(1, 500))
  await cell.advance(20 * STEP_MS)
  t.is(cell.status(), 'failed')
  t.is(cell.workers.runs().length, 4)
})

test('a cancellation stops running and queued tasks, and is reported once it is stored', async (t) => {
  const cell = await startJobsCell(1, 1)
  const owner = cell.scheduler(0).jobs
  await owner.submit(createJob(8, 60_000))
  await cell.advance(STEP_MS)
  t.is(cell.workers.running().length, 4)
  cell.log.outcome = 'dropped'
  t.is((await owner.cancel('job')).status?.state, 'running')
  cell.log.outcome = 'durable'
  t.is((await owner.cancel('job')).status?.state, 'cancelled')
  await cell.advance(STEP_MS)
  t.is(cell.workers.running().length, 0)
  t.is(cell.status(), 'cancelled')
  t.is(owner.liveCount, 0)
  t.is(cell.workers.runs().length, 4)
})

test('when a scheduler dies, the next owner of its workers adopts the tasks, and none starts twice', async (t) => {
  // The process that started a task is gone, and only the host still knows the task. The job's owner must neither wait for
  // ever nor start the task again while it runs.
  const cell = await startJobsCell(3, 1)
  await cell.scheduler(0).jobs.submit(createJob(12, 8000))
  await cell.advance(STEP_MS)
  const before = cell.workers.runs().length
  cell.scheduler(1).die()
  await cell.advance(2 * STEP_MS)
  cell.scheduler(2).acquireShard('workers/r1', 2)
  await cell.advance(10 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, before)
  checkInvariants(t, cell)
})

test('when a scheduler and its host die, the tasks of the host wait until the host is known to be gone', async (t) => {
  const cell = await startJobsCell(3, 1)
  await cell.scheduler(0).jobs.submit(createJob(12, 20_000))
  await cell.advance(STEP_MS)
  cell.scheduler(1).die()
  cell.workers.restart('w1')
  cell.workers.worker('w1').reachability = 'refuses'
  cell.scheduler(2).acquireShard('workers/r1', 2)
  await cell.advance(2 * LEASE_MS)
  t.is(cell.workers.runs().length, 12)
  cell.setHostState('w1', 'gone')
  await cell.advance(20 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
})

test('a paused scheduler is fenced by its hosts and places no more tasks', async (t) => {
  // A scheduler is paused during the takeover of its shard and resumes with tasks in its queue. Its hosts must refuse it,
  // and it must not start the tasks on hosts that it gets later.
  const cell = await startJobsCell(2, 1)
  await cell.scheduler(0).jobs.submit(createJob(4, 60_000, { cores: 2 }))
  await cell.advance(STEP_MS)
  cell.scheduler(0).acquireShard('workers/r1', 2)
  await cell.advance(10 * STEP_MS)
  t.false(cell.scheduler(1).owned.has('workers/r1'))
  t.is(cell.workers.running().length, 4)
  checkInvariants(t, cell)
})

test('when the owner of a job dies, the next owner finds the tasks and continues the job', async (t) => {
  // Only the store, the hosts and the other schedulers know the job. Running tasks must be found, ended tasks must not run
  // again, waiting tasks must be placed again, and no task may run twice at the same time.
  const cell = await startJobsCell(3, 1)
  await cell.scheduler(0).jobs.submit(createJob(20, 1500))
  await cell.advance(STEP_MS)
  t.true(cell.workers.runs().some((run) => run.end === 'succeeded'))
  t.true(cell.workers.running().length > 0)
  cell.scheduler(0).die()
  await cell.advance(STEP_MS)
  cell.scheduler(1).acquireShard('workers/r0', 2)
  cell.scheduler(1).acquireShard(ID_SHARD, 2)
  await cell.advance(20 * STEP_MS)
  t.is(cell.status(), 'succeeded')
  checkInvariants(t, cell)
  const succeeded = cell.workers.runs().filter((run) => run.end === 'succeeded')
  t.is(new Set(succeeded.map((run) => run.start.taskId)).size, 20)
  t.is(succeeded.length, 20)
})

test('an owner of a job that was replaced while it was paused can place no tasks', async (t) => {
  // The owner resumes, still considers itself the owner, and continues to place tasks. Tasks that its successor has
  // started would be started a second time.
  const cell = await startJobsCell(2, 2)
  await cell.scheduler(0).jobs.submit(createJob(4, undefined, { longRunning: true }))
  await cell.advance(STEP_MS)
  cell.scheduler(1).acquireShard(ID_SHARD, 2)
  await cell.advance(2 * STEP_MS)
  const request = {
    jobId: 'job',
    service: 'season-budget',
    caller: 'farm',
    task: { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } },
    attempt: 1_000_009,
    jobOwner: 's0',
    ownerEpoch: 1
  }
  t.like(cell.scheduler(0).tasks.place(request), { accepted: false })
  await cell.advance(2 * STEP_MS)
  t.is(cell.workers.running().length, 4)
  checkInvariants(t, cell)
})

test('a placement that is repeated after its host was lost starts nothing', async (t) => {
  // The answer to a placement is lost, and the host changes owner in the meantime. The scheduler no longer holds the task;
  // if the repeated placement started it, it would run a second time beside the one on the first host.
  const cell = await startJobsCell(3, 1)
  await cell.scheduler(0).jobs.submit(createJob(1, undefined, { longRunning: true }))
  await cell.advance(STEP_MS)
  const [run] = cell.workers.running()
  const holder = Number(run?.hostId.slice(1))
  const [next = 0, other = 0] = [0, 1, 2].filter((index) => index !== holder)
  cell.scheduler(next).acquireShard(`workers/r${holder}`, 2)
  cell.scheduler(holder).loseShard(`workers/r${holder}`)
  cell.scheduler(holder).acquireShard(`workers/r${other}`, 2)
  await cell.advance(STEP_MS)
  const attempt = run?.start.attempt ?? 0
  const task = { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } }
  cell.scheduler(holder).tasks.place({ jobId: 'job', service: 'season-budget', caller: 'farm', task, attempt, jobOwner: 's0', ownerEpoch: 1 })
  await cell.advance(STEP_MS)
  t.is(cell.workers.runs().length, 1)
  checkInvariants(t, cell)
})

test('tasks of a job that was cancelled while its owner died are stopped by the next owner', async (t) => {
  // The owner dies immediately after it has stored the cancellation of a job. If the next owner didn't stop the job's
  // long-running tasks, they would run for ever.
  const cell = await startJobsCell(2, 1)
  await cell.scheduler(0).jobs.submit(createJob(8, undefined, { longRunning: true }))
  await cell.advance(STEP_MS)
  t.is(cell.workers.running().length, 8)
  await cell.log.endJob(ID_SHARD, 'job', 'cancelled')
  cell.scheduler(0).die()
  cell.scheduler(1).acquireShard('workers/r0', 2)
  cell.scheduler(1).acquireShard(ID_SHARD, 2)
  await cell.advance(5 * STEP_MS)
  t.is(cell.workers.running().length, 0)
})

test('tasks of a burst at one scheduler move to another one that has become free', async (t) => {
  const cell = await startJobsCell(2, 1)
  const owner = cell.scheduler(0).jobs
  await owner.submit(createJob(4, 1000, { jobId: 'short' }))
  await cell.advance(200)
  await owner.submit(createJob(8, 20_000))
  await cell.advance(5 * STEP_MS)
  t.is(cell.workers.running().length, 8)
  checkInvariants(t, cell)
})

test('lost task updates are detected', async (t) => {
  // An overloaded link drops the updates that tasks have ended. The job would be reported as running for ever, and work
  // that waits for its end would never start.
  const cell = await startJobsCell(2, 1)
  await cell.scheduler(0).jobs.submit(createJob(8, 1000))
  await cell.advance(500)
  cell.scheduler(1).losesUpdates = true
  await cell.advance(3000)
  t.is(cell.status(), 'running')
  await cell.advance(70_000)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 8)
})

test('a lapsed lease counts only after the store has confirmed the owner of the host', async (t) => {
  // A scheduler is cut off from a host while another scheduler takes the host over, unknown to the first one, and renews the
  // leases there. By the clock of the first scheduler the leases have lapsed. If it started a task elsewhere for that reason
  // alone, the task would run twice.
  const cell = await startJobsCell(1, 2)
  await cell.scheduler(0).jobs.submit(createJob(1, 100_000))
  await cell.advance(STEP_MS)
  const hostId = cell.workers.running()[0]?.hostId ?? ''
  cell.isStoreDown = true
  cell.workers.worker(hostId).reachability = 'cut'
  await cell.advance(3 * LEASE_MS)
  t.is(cell.workers.runs().length, 1)
  cell.epochs.set('workers/r0', 2)
  cell.isStoreDown = false
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 1)
  cell.epochs.set('workers/r0', 1)
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 2)
  checkInvariants(t, cell)
})
