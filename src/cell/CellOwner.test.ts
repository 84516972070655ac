/**
 * Answers of an owner about jobs when it has lost the cell, or may have lost it, and while the store is unavailable.
 */

import test from 'ava'
import { ok } from 'neverthrow'
import { ManualClock } from '../common/Clock.js'
import { Emitter } from '../common/Emitter.js'
import { Job } from '../common/cell/Job.js'
import { DEFAULT_STEP, decodeAccepted, decodeJob, decodeOutcome, encodeAccepted, encodeJob, encodeProgress } from '../common/cell/JobRecord.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { advance, settle } from '../../test/support/advance.js'
import { CellOwner } from './CellOwner.js'
import { OWNER_KEY, jobKey, progressKey } from './Keys.js'

import type { ExecutionContext } from 'ava'
import type { CommitOutcome, IHostEntry, IMetadataStore, IQueue, IRunRow, IStartOrder, ITransaction, IWorkspace } from '../common/cell/Types.js'
import type { ICellOwnerContext } from './CellOwner.js'

const FENCE = 7
const JOB_ID = '5c0e7a21d94b36f8'
const QUEUE: IQueue = {
  name: 'lookups',
  hostName: '',
  pathPrefix: '',
  service: 'core',
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetMs: 500,
  advice: undefined,
  isPublic: true
}
const ACCESS = { queue: QUEUE.name, keyDigest: '', configVersion: 1 }
const SUBMISSION = {
  jobId: JOB_ID,
  ...ACCESS,
  record: encodeJob({ jobId: JOB_ID, description: '', occurrences: 0, steps: [{ ...DEFAULT_STEP, count: 1, cpuMillicores: 1, estimateMs: 100 }] }),
  ageMs: 0
}

const HOSTS_PREFIX = 'hosts/'
const HOST: IHostEntry = {
  hostId: 'h',
  bornMs: 1,
  service: QUEUE.service,
  address: '',
  failureDomain: '',
  draining: false,
  clockMs: undefined,
  cpuMillicores: 8000,
  memoryMb: 8000,
  accelerators: 0,
  labels: [],
  rack: ''
}

/** A host on which runs never end, and which lists them at each poll. */
class Orders {
  private readonly _running: IRunRow[] = []

  public constructor (private readonly _started: string[], private readonly _clock: ManualClock) {}

  public async hold () {
    await new Promise<void>((resolve) => { this._clock.after(5, resolve) })
    return { kind: 'held', answer: { clockMs: 1000, bornMs: HOST.bornMs, running: this._running, ended: [], moreEnds: false, unreadableRows: 0 } } as const
  }

  public async start (_host: IHostEntry, { ref }: IStartOrder) {
    this._started.push(ref.jobId)
    this._running.push({ ref, checkpoint: '', percent: 0 })
    return { kind: 'started', clockMs: 1000 } as const
  }

  public forget (): void {}
}

/** A store that answers a transaction when the test calls for it. */
class HeldStore {
  public isSilent = false
  public isBusy = false
  public hasHost = false
  public readonly held: ((outcome: CommitOutcome) => void)[] = []
  public commits: ITransaction[] = []
  private _revision = FENCE

  public async range (prefix: string) {
    if (this.isSilent) return await new Promise<never>(() => {})
    const items = prefix === HOSTS_PREFIX && this.hasHost ? [{ key: `${HOSTS_PREFIX}h`, value: '', revision: 1 }] : []
    return { kind: 'read', value: { items, revision: FENCE } } as const
  }

  /** Answers the oldest pending transaction as committed. */
  public carryOut (): void {
    this._revision += 1
    this.held.shift()?.({ kind: 'committed', revision: this._revision })
  }

  /** The value of a key after all transactions that were not refused. */
  public valueOf (key: string): string | undefined {
    let value: string | undefined
    for (const { puts, removes } of this.commits) {
      value = puts.find((put) => put.key === key)?.value ?? value
      if (removes.includes(key)) value = undefined
    }
    return value
  }

  public async commit (transaction: ITransaction): Promise<CommitOutcome> {
    if (this.isBusy) return { kind: 'refused', reason: 'busy' }
    this.commits.push(transaction)
    return await new Promise((resolve) => { this.held.push(resolve) })
  }
}

function setUpWithHost (t: ExecutionContext) {
  return setUp(t, false, true)
}

function setUp (t: ExecutionContext, isSilent = false, hasHost = false) {
  const clock = new ManualClock()
  const store = new HeldStore()
  store.isSilent = isSilent
  store.hasHost = hasHost
  const confirmed = new Emitter<number>()
  const ownership = { isConfirmed: true, confirmedAtMs: 0, resign: () => {}, stepAside: async () => {}, onConfirmed: confirmed.event }
  const config = {
    version: 1,
    isCurrent: true,
    config: undefined as { readonly workspaces: readonly IWorkspace[] } | undefined,
    catchUp: async () => true,
    refresh: async () => true,
    queue: (): IQueue | undefined => QUEUE,
    workspaceOf: (digest: string): IWorkspace | undefined => config.config?.workspaces.find(({ keyDigests }) => keyDigests.includes(digest)),
    onChange: () => ({ dispose: () => {} })
  }
  const started: string[] = []
  const orders = new Orders(started, clock)
  const context = {
    store: store as unknown as IMetadataStore,
    orders,
    advice: { machines: () => [], send: async () => ({ kind: 'failed', reason: '' }) },
    records: { hostsPrefix: HOSTS_PREFIX, decodeHostEntry: () => ok(HOST) },
    config,
    ownership,
    chart: loadChart('attempt')._unsafeUnwrap(),
    clock,
    log: new SilentLogger(),
    times: new LatencyTable(20),
    counters: new Counters()
  } as unknown as ICellOwnerContext
  const owner = new CellOwner(context, { writerId: 'me', processorCores: 1, maxHoldMs: 3000, heartbeatMs: 1500, farFactor: 2, statusMs: 120_000 }, FENCE)
  t.teardown(() => { owner.dispose() })
  return { owner, clock, store, ownership, confirmed, started, config }
}

test('an owner that loses the cell before it has read the jobs does not say that a job does not exist', async (t) => {
  // Another process takes the cell while this owner reads the jobs. A caller that asks for its accepted job at that moment must not be told
  // that the job does not exist.
  const { owner } = setUp(t, true)
  const state = owner.state(JOB_ID, ACCESS)
  const cancelled = owner.cancel(JOB_ID, ACCESS)
  const submitted = owner.submit(SUBMISSION)
  owner.dispose()
  t.is((await state).kind, 'unavailable')
  t.is(await cancelled, 'unavailable')
  t.is((await submitted).kind, 'notOwner')
})

test('an owner that may have been replaced does not say that a job does not exist', async (t) => {
  // The owner was frozen, or can't reach the store, and the next owner may have accepted the job. If a cancel were answered with "no such
  // job", the job would go on running.
  const { owner, ownership } = setUp(t)
  await owner.ready
  t.is((await owner.state(JOB_ID, ACCESS)).kind, 'unknownJob')
  ownership.isConfirmed = false
  t.is((await owner.state(JOB_ID, ACCESS)).kind, 'unavailable')
  t.is(await owner.cancel(JOB_ID, ACCESS), 'unavailable')
})

test('a job that was never sent to the store is left to the next owner, and is not in doubt', async (t) => {
  // Ownership ends while the job waits for its transaction. If the outcome were unknown, the gateway would wait for an owner that knows it,
  // and the caller could get 504.
  const { owner } = setUp(t)
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await settle()
  owner.dispose()
  t.is((await submitted).kind, 'notOwner')
})

test('a job whose write was in flight when ownership ended is accepted if the write was committed', async (t) => {
  const { owner, clock, store } = setUp(t)
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'committed', revision: FENCE + 1 })
  t.is((await submitted).kind, 'accepted')
})

test('a job whose write came after the next owner took the cell is left to the next owner', async (t) => {
  const { owner, clock, store } = setUp(t)
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'conflict', items: [{ key: OWNER_KEY, value: 'another', revision: FENCE + 1 }] })
  t.is((await submitted).kind, 'notOwner')
})

test('a job whose write has no answer when ownership ends is in doubt', async (t) => {
  const { owner, clock, store } = setUp(t)
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'unanswered', reason: 'the connection broke' })
  t.is((await submitted).kind, 'inDoubt')
})

test('a cancel that could not be stored before ownership ended is not confirmed', async (t) => {
  // The next owner has the uncancelled job and runs it, so the caller must not be told that it is cancelled.
  const { owner, clock, store } = setUp(t)
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  store.held[0]?.({ kind: 'committed', revision: FENCE + 1 })
  t.is((await submitted).kind, 'accepted')
  const cancelled = owner.cancel(JOB_ID, ACCESS)
  await advance(clock, 50, 5)
  owner.dispose()
  t.is(await cancelled, 'unavailable')
})

test('an owner accepts jobs again once the store is back, even if it has no writes left', async (t) => {
  // The store refuses all writes for two seconds, and all pending jobs are refused. After that, only the renewals of the lease show that
  // the store is back.
  const { owner, clock, store, confirmed } = setUp(t)
  await owner.ready
  store.isBusy = true
  const refused = owner.submit(SUBMISSION)
  await advance(clock, 2000, 10)
  t.like(await refused, { kind: 'refused', isStoreAway: true })
  t.like(await owner.submit(SUBMISSION), { kind: 'refused', isStoreAway: true })
  store.isBusy = false
  confirmed.fire(clock.nowMs())
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 50, 5)
  store.held[0]?.({ kind: 'committed', revision: FENCE + 1 })
  t.is((await submitted).kind, 'accepted')
})

test('a job and its first run are stored in one transaction, and the run is ordered when both are stored', async (t) => {
  // The store takes 350 ms to answer. With two transactions, job and run would take 0.7 s of an urgent job's two seconds.
  const { owner, clock, store, started } = setUpWithHost(t)
  await owner.ready
  await advance(clock, 20, 5)
  const first = owner.submit(SUBMISSION)
  await advance(clock, 30, 5)
  const jobId = JOB_ID.replace('5', '6')
  const second = owner.submit({ ...SUBMISSION, jobId, record: SUBMISSION.record.replaceAll(JOB_ID, jobId) })
  await advance(clock, 40, 5)
  t.is(store.commits.length, 1)
  store.carryOut()
  t.is((await first).kind, 'accepted')
  await advance(clock, 50, 5)
  const keys = store.commits[1]?.puts.map(({ key }) => key) ?? []
  t.true(keys.includes(jobKey(jobId)) && keys.includes(progressKey(jobId)), keys.join(' '))
  t.false(started.includes(jobId))
  store.carryOut()
  t.is((await second).kind, 'accepted')
  await settle()
  t.true(started.includes(jobId))
})

test('a refused job is not ordered, and leaves no records', async (t) => {
  // The store refuses a job for which capacity was reserved and a run was about to be recorded. The job is submitted again with the same
  // id. If the removal of the old run's record deleted the record of the new run, the next owner would start the job a second time.
  const { owner, clock, store, started, confirmed } = setUpWithHost(t)
  await owner.ready
  await advance(clock, 20, 5)
  store.isBusy = true
  const refused = owner.submit(SUBMISSION)
  await advance(clock, 1000, 5)
  t.is((await refused).kind, 'refused')
  store.isBusy = false
  confirmed.fire(clock.nowMs())
  await advance(clock, 80, 5)
  store.carryOut()
  const again = owner.submit(SUBMISSION)
  for (let commit = 0; commit < 4; commit += 1) {
    await advance(clock, 50, 5)
    store.carryOut()
  }
  t.is((await again).kind, 'accepted')
  await settle()
  t.deepEqual(started, [JOB_ID])
  t.true(store.valueOf(progressKey(JOB_ID))?.includes('"h"'), store.valueOf(progressKey(JOB_ID)))
})

test('an owner that can\'t read the configuration under which a job was sent does not use its older one', async (t) => {
  // With the older configuration, the caller could be told that the queue does not exist, or the job would run with the queue's previous
  // settings.
  const { owner, clock, config, started } = setUpWithHost(t)
  config.catchUp = async () => false
  const refusals = []
  for (const [jobId, queue] of [['a', QUEUE], ['b', undefined]] as const) {
    config.queue = () => queue
    const outcome = owner.submit({ ...SUBMISSION, jobId, configVersion: 2 })
    await advance(clock, 200)
    refusals.push((await Promise.race([outcome, settle()]))?.kind)
  }
  t.deepEqual(refusals, ['refused', 'refused'])
  t.deepEqual(started, [])
})

test('an owner whose store is unavailable refuses a job at once, even if the job was sent under a newer configuration', async (t) => {
  const { owner, clock, store, config } = setUp(t)
  await owner.ready
  store.isBusy = true
  const refused = owner.submit(SUBMISSION)
  await advance(clock, 2000, 10)
  t.like(await refused, { kind: 'refused', isStoreAway: true })
  config.catchUp = async () => await new Promise<never>(() => {})
  const outcome = owner.submit({ ...SUBMISSION, configVersion: 2 })
  t.like(await Promise.race([outcome, settle()]), { kind: 'refused', isStoreAway: true })
})

const BLUE: IWorkspace = { name: 'blue', keyDigests: ['blue-key'], weight: 1, maximum: { cpuMillicores: 5000, memoryMb: 0, accelerators: 0 } }
const RED: IWorkspace = { ...BLUE, name: 'red', keyDigests: ['red-key'] }

async function setUpWithWorkspaces (t: ExecutionContext) {
  const cell = setUpWithHost(t)
  Object.assign(cell.config, { queue: () => ({ ...QUEUE, isPublic: false }), config: { workspaces: [BLUE, RED] } })
  await cell.owner.ready
  await advance(cell.clock, 20, 5)
  return cell
}

test('a job of one workspace can be neither read, cancelled nor submitted again by another one', async (t) => {
  const { owner, clock, store } = await setUpWithWorkspaces(t)
  const submitted = owner.submit({ ...SUBMISSION, keyDigest: 'blue-key' })
  t.is((await owner.submit({ ...SUBMISSION, keyDigest: 'red-key' })).kind, 'invalid', 'while it is being stored')
  await advance(clock, 20, 5)
  store.carryOut()
  t.is((await submitted).kind, 'accepted')
  const red = { ...ACCESS, keyDigest: 'red-key' }
  t.is((await owner.submit({ ...SUBMISSION, ...red })).kind, 'invalid')
  t.is((await owner.state(JOB_ID, red)).kind, 'unknownJob')
  t.is(await owner.cancel(JOB_ID, red), 'unknownJob')
  t.is((await owner.state(JOB_ID, { ...ACCESS, keyDigest: 'blue-key' })).kind, 'known')
  t.is((await owner.submit({ ...SUBMISSION, keyDigest: 'blue-key' })).kind, 'accepted')
})

test('a job stays with its workspace when another owner takes the cell over', async (t) => {
  const job = new Job(decodeJob(SUBMISSION.record), QUEUE, 0, 'blue')
  t.is(decodeAccepted(encodeAccepted(job, 0), 0, 0).workspace, 'blue')
  job.phase = 'completed'
  t.is(decodeOutcome(JOB_ID, encodeProgress(job, 0), 0).workspace, 'blue')
})

test('a job whose key is unknown is refused as unauthorized, and nothing of it is stored', async (t) => {
  const { owner, clock, store } = await setUpWithWorkspaces(t)
  t.is((await owner.submit({ ...SUBMISSION, keyDigest: 'other-key' })).kind, 'unauthorized')
  t.is((await owner.submit(SUBMISSION)).kind, 'unauthorized')
  await advance(clock, 50, 5)
  t.deepEqual(store.commits, [])
})

test('a job with a gang wider than its workspace may run is refused at once', async (t) => {
  const { owner } = await setUpWithWorkspaces(t)
  const spec = { jobId: JOB_ID, description: '', occurrences: 0, steps: [{ ...DEFAULT_STEP, count: 6, cpuMillicores: 1000, gang: true }] }
  t.like(await owner.submit({ ...SUBMISSION, keyDigest: 'blue-key', record: encodeJob(spec) }), { kind: 'refused', retryAfterMs: 60_000 })
})

test('a repeated submission of a stored job is not called refused while the owner can\'t read the newest configuration', async (t) => {
  const { owner, clock, store, config } = await setUpWithWorkspaces(t)
  const submission = { ...SUBMISSION, keyDigest: 'blue-key' }
  const submitted = owner.submit(submission)
  await advance(clock, 20, 5)
  store.carryOut()
  t.is((await submitted).kind, 'accepted')
  config.catchUp = async () => false
  t.is((await owner.submit({ ...submission, configVersion: 2 })).kind, 'inDoubt')
})

test('a job beyond the share of its workspace is placed after one of another workspace that was sent later', async (t) => {
  const { owner, clock, store, started } = await setUpWithWorkspaces(t)
  await advance(clock, 500) // The owner learns of the hosts' capacity.
  for (const [jobId, keyDigest, cpuMillicores] of [['1', 'blue-key', 1], ['2', 'blue-key', 4500], ['3', 'red-key', 4500]] as const) {
    const record = encodeJob({ jobId, description: '', occurrences: 0, steps: [{ ...DEFAULT_STEP, count: 1, cpuMillicores, estimateMs: 1e9 }] })
    owner.submit({ ...SUBMISSION, jobId, keyDigest, record }).catch(t.fail)
  }
  for (let turn = 0; turn < 10; turn += 1, store.carryOut()) await advance(clock, 20, 5)
  t.deepEqual(started, ['1', '3'])
})
