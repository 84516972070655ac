/**
 * What the owner of the cell tells of jobs when it has lost the cell, or may have.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { Emitter } from '../common/Emitter.js'
import { EMPTY_STEP, encodeJob } from '../common/cell/JobRecord.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { advance, settle } from '../../test/support/advance.js'
import { CellOwner } from './CellOwner.js'
import { OWNER_KEY } from './Keys.js'

import type { CommitOutcome, IMetadataStore, IQueue, ITransaction } from '../common/cell/Types.js'
import type { ICellOwnerContext } from './CellOwner.js'

const FENCE = 7
const JOB_ID = '5c0e7a21d94b36f8'
const QUEUE = { name: 'lookups', service: 'core', priority: 0, maxAttempts: 3, stretch: 2, targetMs: 500, advice: undefined }
const SUBMISSION = {
  jobId: JOB_ID,
  queue: QUEUE.name,
  record: encodeJob({ jobId: JOB_ID, description: '', occurrences: 0, steps: [{ ...EMPTY_STEP, count: 1, cpuMillicores: 1, estimateMs: 100 }] }),
  ageMs: 0,
  configVersion: 1
}

/** A store that answers when the test says so. */
class HeldStore {
  public isSilent = false
  public isBusy = false
  public readonly held: ((outcome: CommitOutcome) => void)[] = []
  public commits: ITransaction[] = []

  public async range () {
    if (this.isSilent) return await new Promise<never>(() => {})
    return { kind: 'read', value: { items: [], revision: FENCE } } as const
  }

  public async commit (transaction: ITransaction): Promise<CommitOutcome> {
    this.commits.push(transaction)
    if (this.isBusy) return { kind: 'refused', reason: 'busy' }
    return await new Promise((resolve) => { this.held.push(resolve) })
  }
}

function setUp (isSilent = false) {
  const clock = new ManualClock()
  const store = new HeldStore()
  store.isSilent = isSilent
  const confirmed = new Emitter<number>()
  const ownership = { isConfirmed: true, confirmedAtMs: 0, resign: () => {}, stepAside: async () => {}, onConfirmed: confirmed.event }
  const config = { catchUp: async () => {}, queue: () => QUEUE as unknown as IQueue, onChange: () => ({ dispose: () => {} }) }
  const context = {
    store: store as unknown as IMetadataStore,
    orders: { forget: () => {} },
    advice: { machines: () => [], send: async () => ({ kind: 'failed', reason: '' }) },
    records: { hostsPrefix: 'hosts/', decodeHostEntry: () => undefined },
    config,
    ownership,
    chart: loadChart('attempt')._unsafeUnwrap(),
    clock,
    log: new SilentLogger(),
    times: new LatencyTable(20),
    counters: new Counters()
  } as unknown as ICellOwnerContext
  const owner = new CellOwner(context, { writerId: 'me', maxHoldMs: 3000, farFactor: 2, statusMs: 120_000 }, FENCE)
  return { owner, clock, store, ownership, confirmed }
}

test('an owner that loses the cell before it has read the jobs says of none that it does not exist', async (t) => {
  // It took the record, and another process took it while the jobs were being read. A caller that asks for its accepted job just then
  // would be told that there is no such job.
  const { owner } = setUp(true)
  const state = owner.state(JOB_ID)
  const cancelled = owner.cancel(JOB_ID)
  const submitted = owner.submit(SUBMISSION)
  owner.dispose()
  t.is((await state).kind, 'unavailable')
  t.is(await cancelled, 'unavailable')
  t.is((await submitted).kind, 'notOwner')
})

test('an owner that may have been replaced says of no job that it does not exist', async (t) => {
  // It was frozen, or can't reach the store: the next owner may have taken the job. A cancel answered with "no such job" would
  // leave it running.
  const { owner, ownership } = setUp()
  await owner.ready
  t.is((await owner.state(JOB_ID)).kind, 'unknownJob')
  ownership.isConfirmed = false
  t.is((await owner.state(JOB_ID)).kind, 'unavailable')
  t.is(await owner.cancel(JOB_ID), 'unavailable')
})

test('a job that never went to the store is left to the next owner, not in doubt', async (t) => {
  // Ownership ends while the job waits for its transaction. Told that nobody knows, its gateway would wait for an owner that can say so,
  // and its caller might hear 504.
  const { owner } = setUp()
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await settle()
  owner.dispose()
  t.is((await submitted).kind, 'notOwner')
})

test('a job whose write was on the way when ownership ended is accepted if it was in time', async (t) => {
  const { owner, clock, store } = setUp()
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'committed', revision: FENCE + 1 })
  t.is((await submitted).kind, 'accepted')
})

test('a job whose write came after the next owner took the cell is left to that one', async (t) => {
  const { owner, clock, store } = setUp()
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'conflict', items: [{ key: OWNER_KEY, value: 'another', revision: FENCE + 1 }] })
  t.is((await submitted).kind, 'notOwner')
})

test('a job whose write has no answer when ownership ends is in doubt', async (t) => {
  const { owner, clock, store } = setUp()
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  owner.dispose()
  store.held[0]?.({ kind: 'unanswered', reason: 'the connection broke' })
  t.is((await submitted).kind, 'inDoubt')
})

test('a cancel that could not be stored before ownership ended is not confirmed', async (t) => {
  // The next owner has the job as it was and goes on with it: told "cancelled", its caller would see it run.
  const { owner, clock, store } = setUp()
  await owner.ready
  const submitted = owner.submit(SUBMISSION)
  await advance(clock, 20, 5)
  store.held[0]?.({ kind: 'committed', revision: FENCE + 1 })
  t.is((await submitted).kind, 'accepted')
  const cancelled = owner.cancel(JOB_ID)
  await advance(clock, 50, 5)
  owner.dispose()
  t.is(await cancelled, 'unavailable')
})

test('an owner takes jobs again once the store is back, also when it had nothing left to write', async (t) => {
  // The store turns all writes away for two seconds. Everything on the way is refused; after that only the renewals of the lease tell
  // that the store is back.
  const { owner, clock, store, confirmed } = setUp()
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
