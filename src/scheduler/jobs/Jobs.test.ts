/**
 * Jobs through the failures of hosts, schedulers and the store, over fakes and a manual clock. Whatever happens, no
 * task runs twice at once and no host gets more than it has.
 */

import test from 'ava'

import { ID_SHARD, checkAlways, jobOf, startedJobs } from '../../../test/support/JobsCell.js'

const LEASE_MS = 15_000
const WHILE_MS = 2000

test('an accepted job runs its tasks and ends as succeeded', async (t) => {
  const cell = await startedJobs(2, 2)
  const owner = cell.scheduler(0).jobs
  t.like(await owner.submit(jobOf(6, 500)), { outcome: 'done', status: 202 })
  await cell.advance(200)
  t.is(cell.status(), 'running')
  t.like(await owner.submit(jobOf(6, 500)), { outcome: 'done' })
  t.like(await owner.submit(jobOf(5, 500)), { outcome: 'refused', reason: 'duplicate' })
  await cell.advance(WHILE_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 6)
  t.is(owner.liveCount, 0)
  t.deepEqual(cell.scheduler(1).jobs.status('job'), { owner: false })
  checkAlways(t, cell)
})

test('what can never run is refused with the reason, before anything is stored', async (t) => {
  const cell = await startedJobs(1, 2)
  const owner = cell.scheduler(0).jobs
  t.like(await owner.submit(jobOf(1, 500, { cores: 5 })), { outcome: 'refused', reason: 'infeasible' })
  t.like(await owner.submit(jobOf(9, 500, { service: 'sector-sweep' })), { outcome: 'refused', reason: 'infeasible' })
  t.is(cell.log.job(ID_SHARD, 'job'), undefined)
})

test('a job that is not stored is not accepted, and one in doubt is not called refused', async (t) => {
  // The store is down when a job comes in. Were it accepted all the same, the death of this process would lose it, and
  // its caller would wait for a sweep that never comes.
  const cell = await startedJobs(1, 1)
  const owner = cell.scheduler(0).jobs
  cell.log.outcome = 'dropped'
  t.like(await owner.submit(jobOf(1, 500)), { outcome: 'refused', reason: 'storeUnavailable' })
  cell.log.outcome = 'inDoubt'
  t.like(await owner.submit(jobOf(1, 500)), { outcome: 'unknown' })
  await cell.advance(WHILE_MS)
  t.is(cell.workers.runs().length, 0)
})

test('a start whose answer is lost runs once', async (t) => {
  // The host starts a task, and the answer is lost. Sent elsewhere at once, the task would be on two hosts.
  const cell = await startedJobs(1, 2)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).reach = 'silent'
  await cell.scheduler(0).jobs.submit(jobOf(1, WHILE_MS))
  await cell.advance(100)
  t.is(cell.workers.runs().length, 1)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).reach = 'up'
  await cell.advance(4 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 1)
})

test('a host that is cut off: its task starts elsewhere only when its lease has lapsed there', async (t) => {
  // The network to one host breaks while its tasks run on. They are started on another host, and must not be before the
  // cut-off host has stopped them, or a quarter section is swept twice at once.
  const cell = await startedJobs(1, 2)
  await cell.scheduler(0).jobs.submit(jobOf(1, 40_000))
  await cell.advance(WHILE_MS)
  const [first] = cell.workers.running()
  cell.workers.worker(first?.hostId ?? '').reach = 'cut'
  await cell.advance(LEASE_MS - WHILE_MS)
  t.is(cell.workers.runs().length, 1)
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 2)
  t.is(first?.end, 'leaseLapsed')
  checkAlways(t, cell)
})

test('a host whose answers are lost keeps renewing nothing', async (t) => {
  // Requests still arrive at a host whose answers are lost. Renewals that are sent on and on would keep its tasks alive
  // for ever, with nobody to hear their end.
  const cell = await startedJobs(1, 2)
  await cell.scheduler(0).jobs.submit(jobOf(1, 100_000))
  await cell.advance(WHILE_MS)
  const [first] = cell.workers.running()
  cell.workers.worker(first?.hostId ?? '').reach = 'silent'
  await cell.advance(3 * LEASE_MS)
  t.is(first?.end, 'leaseLapsed')
  t.is(cell.workers.running().length, 1)
  checkAlways(t, cell)
})

test('a long-running service starts again when its host is gone', async (t) => {
  // A host dies for good and the platform's list says so. The service that ran there is down until it runs elsewhere.
  const cell = await startedJobs(1, 2)
  await cell.scheduler(0).jobs.submit(jobOf(1, undefined, { longRunning: true }))
  await cell.advance(WHILE_MS)
  const hostId = cell.workers.running()[0]?.hostId ?? ''
  cell.workers.restart(hostId)
  cell.workers.worker(hostId).reach = 'refuses'
  cell.setHostState(hostId, 'gone')
  await cell.advance(4 * WHILE_MS)
  t.is(cell.workers.running().length, 1)
  t.not(cell.workers.running()[0]?.hostId, hostId)
  checkAlways(t, cell)
})

test('a host that was restarted has lost its tasks, and they start again', async (t) => {
  // A worker reboots within seconds. It is reachable all the time but for a blink, and has forgotten its tasks; a
  // scheduler that only looks for silence would wait for them for ever.
  const cell = await startedJobs(1, 2)
  await cell.scheduler(0).jobs.submit(jobOf(4, 10_000))
  await cell.advance(WHILE_MS)
  cell.workers.restart('w0')
  await cell.advance(10 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  checkAlways(t, cell)
})

test('a host that fails everything: tasks go elsewhere', async (t) => {
  // One worker is broken and fails whatever it starts, at once, so that it is always the one with room. Each retry on
  // it would fail too, until the job has failed.
  const cell = await startedJobs(1, 2)
  cell.workers.worker('w0').failsAll = true
  await cell.scheduler(0).jobs.submit(jobOf(4, 500))
  await cell.advance(5 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  checkAlways(t, cell)
})

test('a task that fails everywhere fails its job after the retries of its profile, and the rest is stopped', async (t) => {
  const cell = await startedJobs(1, 2)
  for (const hostId of ['w0', 'w1']) cell.workers.worker(hostId).failsAll = true
  await cell.scheduler(0).jobs.submit(jobOf(1, 500))
  await cell.advance(20 * WHILE_MS)
  t.is(cell.status(), 'failed')
  t.is(cell.workers.runs().length, 4)
})

test('cancelling stops what runs and what waits, and is told once it is stored', async (t) => {
  const cell = await startedJobs(1, 1)
  const owner = cell.scheduler(0).jobs
  await owner.submit(jobOf(8, 60_000))
  await cell.advance(WHILE_MS)
  t.is(cell.workers.running().length, 4)
  cell.log.outcome = 'dropped'
  t.is((await owner.cancel('job')).status?.state, 'running')
  cell.log.outcome = 'durable'
  t.is((await owner.cancel('job')).status?.state, 'cancelled')
  await cell.advance(WHILE_MS)
  t.is(cell.workers.running().length, 0)
  t.is(cell.status(), 'cancelled')
  t.is(owner.liveCount, 0)
  t.is(cell.workers.runs().length, 4)
})

test('a scheduler dies: its workers\' next owner takes the tasks over, and none starts twice', async (t) => {
  // The process that started a task is gone, and nobody else knows of it but the host. Its job's owner must neither wait
  // for ever nor start it again while it runs.
  const cell = await startedJobs(3, 1)
  await cell.scheduler(0).jobs.submit(jobOf(12, 8000))
  await cell.advance(WHILE_MS)
  const before = cell.workers.runs().length
  cell.scheduler(1).die()
  await cell.advance(2 * WHILE_MS)
  cell.scheduler(2).take('workers/r1', 2)
  await cell.advance(10 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, before)
  checkAlways(t, cell)
})

test('a scheduler dies and so does its host: what ran there waits until the host is known to be gone', async (t) => {
  const cell = await startedJobs(3, 1)
  await cell.scheduler(0).jobs.submit(jobOf(12, 20_000))
  await cell.advance(WHILE_MS)
  cell.scheduler(1).die()
  cell.workers.restart('w1')
  cell.workers.worker('w1').reach = 'refuses'
  cell.scheduler(2).take('workers/r1', 2)
  await cell.advance(2 * LEASE_MS)
  t.is(cell.workers.runs().length, 12)
  cell.setHostState('w1', 'gone')
  await cell.advance(20 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  checkAlways(t, cell)
})

test('a paused scheduler is fenced by its hosts and places nothing more', async (t) => {
  // A scheduler sleeps through the takeover of its shard and wakes up with tasks in its queue. Its hosts must refuse it,
  // and it must not start them on hosts that it gets later.
  const cell = await startedJobs(2, 1)
  await cell.scheduler(0).jobs.submit(jobOf(4, 60_000, { cores: 2 }))
  await cell.advance(WHILE_MS)
  cell.scheduler(0).take('workers/r1', 2)
  await cell.advance(10 * WHILE_MS)
  t.false(cell.scheduler(1).owned.has('workers/r1'))
  t.is(cell.workers.running().length, 4)
  checkAlways(t, cell)
})

test('the owner of a job dies: the next one finds its tasks and carries it on', async (t) => {
  // Only the store and the hosts know of the job now. Tasks that run must be found, those that have ended must not run
  // again, those that waited must be placed again, and none may run twice at once.
  const cell = await startedJobs(3, 1)
  await cell.scheduler(0).jobs.submit(jobOf(20, 1500))
  await cell.advance(WHILE_MS)
  t.true(cell.workers.runs().some((run) => run.end === 'succeeded'))
  t.true(cell.workers.running().length > 0)
  cell.scheduler(0).die()
  await cell.advance(WHILE_MS)
  cell.scheduler(1).take('workers/r0', 2)
  cell.scheduler(1).take(ID_SHARD, 2)
  await cell.advance(20 * WHILE_MS)
  t.is(cell.status(), 'succeeded')
  checkAlways(t, cell)
  const succeeded = cell.workers.runs().filter((run) => run.end === 'succeeded')
  t.is(new Set(succeeded.map((run) => run.start.taskId)).size, 20)
  t.is(succeeded.length, 20)
})

test('an owner of a job that was replaced while it slept can place nothing', async (t) => {
  // It wakes up believing that the job is still its own, and goes on placing. The tasks that its successor has started
  // would be started a second time.
  const cell = await startedJobs(2, 2)
  await cell.scheduler(0).jobs.submit(jobOf(4, undefined, { longRunning: true }))
  await cell.advance(WHILE_MS)
  cell.scheduler(1).take(ID_SHARD, 2)
  await cell.advance(2 * WHILE_MS)
  const ask = {
    jobId: 'job',
    service: 'season-budget',
    caller: 'farm',
    task: { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } },
    attempt: 1_000_009,
    jobOwner: 's0',
    ownerEpoch: 1
  }
  t.like(cell.scheduler(0).tasks.place(ask), { accepted: false })
  await cell.advance(2 * WHILE_MS)
  t.is(cell.workers.running().length, 4)
  checkAlways(t, cell)
})

test('a command that is repeated after its host was lost starts nothing', async (t) => {
  // The answer to a placement gets lost, and its host changes hands meanwhile. The repeat finds nothing queued at the
  // scheduler; started again there, the task would run beside the one on its first host.
  const cell = await startedJobs(3, 1)
  await cell.scheduler(0).jobs.submit(jobOf(1, undefined, { longRunning: true }))
  await cell.advance(WHILE_MS)
  const [run] = cell.workers.running()
  const holder = Number(run?.hostId.slice(1))
  const [next = 0, other = 0] = [0, 1, 2].filter((index) => index !== holder)
  cell.scheduler(next).take(`workers/r${holder}`, 2)
  cell.scheduler(holder).lose(`workers/r${holder}`)
  cell.scheduler(holder).take(`workers/r${other}`, 2)
  await cell.advance(WHILE_MS)
  const attempt = run?.start.attempt ?? 0
  const task = { taskId: 't0', resources: { cores: 1, memoryBytes: 1, accelerators: 0 } }
  cell.scheduler(holder).tasks.place({ jobId: 'job', service: 'season-budget', caller: 'farm', task, attempt, jobOwner: 's0', ownerEpoch: 1 })
  await cell.advance(WHILE_MS)
  t.is(cell.workers.runs().length, 1)
  checkAlways(t, cell)
})

test('tasks of a job that was cancelled while its owner died are stopped by the next owner', async (t) => {
  // The owner dies right after it has stored that a job is cancelled. Nobody would ever stop its long-running tasks.
  const cell = await startedJobs(2, 1)
  await cell.scheduler(0).jobs.submit(jobOf(8, undefined, { longRunning: true }))
  await cell.advance(WHILE_MS)
  t.is(cell.workers.running().length, 8)
  await cell.log.endJob(ID_SHARD, 'job', 'cancelled')
  cell.scheduler(0).die()
  cell.scheduler(1).take('workers/r0', 2)
  cell.scheduler(1).take(ID_SHARD, 2)
  await cell.advance(5 * WHILE_MS)
  t.is(cell.workers.running().length, 0)
})

test('a burst at one scheduler moves to another that has come free', async (t) => {
  const cell = await startedJobs(2, 1)
  const owner = cell.scheduler(0).jobs
  await owner.submit(jobOf(4, 1000, { jobId: 'short' }))
  await cell.advance(200)
  await owner.submit(jobOf(8, 20_000))
  await cell.advance(5 * WHILE_MS)
  t.is(cell.workers.running().length, 8)
  checkAlways(t, cell)
})

test('news that gets lost is noticed', async (t) => {
  // A link is overfull and drops the news that tasks have ended. The job would be shown as running for ever, and what
  // comes after it would never start.
  const cell = await startedJobs(2, 1)
  await cell.scheduler(0).jobs.submit(jobOf(8, 1000))
  await cell.advance(500)
  cell.scheduler(1).losesNews = true
  await cell.advance(3000)
  t.is(cell.status(), 'running')
  await cell.advance(70_000)
  t.is(cell.status(), 'succeeded')
  t.is(cell.workers.runs().length, 8)
})

test('a lapsed lease is believed only when the store says that the host is still ours', async (t) => {
  // A scheduler is cut off from a host while another one, of which it has not heard, takes the host over and renews the
  // leases there. By its own count they have lapsed; started elsewhere on the strength of that, a task would run twice.
  const cell = await startedJobs(1, 2)
  await cell.scheduler(0).jobs.submit(jobOf(1, 100_000))
  await cell.advance(WHILE_MS)
  const hostId = cell.workers.running()[0]?.hostId ?? ''
  cell.isStoreDown = true
  cell.workers.worker(hostId).reach = 'cut'
  await cell.advance(3 * LEASE_MS)
  t.is(cell.workers.runs().length, 1)
  cell.epochs.set('workers/r0', 2)
  cell.isStoreDown = false
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 1)
  cell.epochs.set('workers/r0', 1)
  await cell.advance(LEASE_MS)
  t.is(cell.workers.runs().length, 2)
  checkAlways(t, cell)
})
