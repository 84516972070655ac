/**
 * Writes of jobs to a store whose latency the test sets.
 */

import test from 'ava'
import { Job } from '../common/cell/Job.js'
import { DEFAULT_STEP } from '../common/cell/JobRecord.js'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { settle } from '../../test/support/advance.js'
import { JobStore } from './JobStore.js'
import { jobKey, progressKey } from './Keys.js'

import type { CommitOutcome, IMetadataStore, ITransaction } from '../common/cell/Types.js'

const QUEUE = { name: 'queue', service: 'pool', priority: 0, maxAttempts: 3, stretch: 2, targetMs: 1000, advice: undefined }

function setUp (answerMs: number) {
  const clock = new ManualClock()
  const transactions: ITransaction[] = []
  let revision = 10
  const commit = async (transaction: ITransaction): Promise<CommitOutcome> => {
    transactions.push(transaction)
    await new Promise<void>((resolve) => { clock.after(answerMs, resolve) })
    revision += 1
    return { kind: 'committed', revision }
  }
  const options = { ownerRevision: 5, writerId: 'me', laneRevisions: new Map<string, number>(), storeLatencyMs: answerMs }
  const store = new JobStore({ commit } as unknown as IMetadataStore, options, clock, new SilentLogger(), () => {})
  const run = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += 5) {
      clock.advance(5)
      await settle()
    }
  }
  let jobs = 0
  const job = (): Job => {
    jobs += 1
    const spec = { jobId: jobs.toString(16).padStart(16, '0'), description: '', occurrences: 0, steps: [{ ...DEFAULT_STEP, count: 1 }] }
    return new Job(spec, QUEUE, clock.nowMs())
  }
  return { clock, store, run, job, transactions }
}

test('the outcome of a job and the removal of its description are one transaction', async (t) => {
  const { store, run, job, transactions } = setUp(5)
  const done = job()
  const accepted = store.accept(done)
  await run(50)
  t.is((await accepted).kind, 'stored')
  done.acceptance = 'stored'
  done.phase = 'completed'
  const saved = store.save(done)
  await run(50)
  await saved
  t.is(transactions.length, 2)
  t.deepEqual(transactions[1]?.removes, [jobKey(done.spec.jobId)])
  t.true(transactions[1]?.puts.some(({ key }) => key === progressKey(done.spec.jobId)))
  await run(50)
  t.is(transactions.length, 2)
})

test('writes of one job never overtake each other', async (t) => {
  // If older progress overwrote newer progress, the next owner would start tasks that are done.
  const { store, run, job, transactions } = setUp(300)
  const written = job()
  store.accept(written).catch(() => {})
  written.acceptance = 'stored'
  for (let number = 0; number < 5; number += 1) {
    store.save(written).catch(() => {})
    await run(40)
  }
  const key = progressKey(written.spec.jobId)
  t.is(transactions.filter(({ puts }) => puts.some((put) => put.key === key)).length, 1)
  await run(700)
  t.is(transactions.filter(({ puts }) => puts.some((put) => put.key === key)).length, 2)
  const lanes = transactions.filter(({ puts }) => puts.some((put) => put.key === key)).map(({ expect }) => expect[1]?.key)
  t.is(new Set(lanes).size, 1)
})

test('a burst of urgent jobs is accepted within one answer of a store that has become slow', async (t) => {
  // A write that does not fit into a transaction waits for one more answer, and urgent jobs would be late although hosts are free.
  const answerMs = 300
  const { clock, store, run, job } = setUp(answerMs)
  const waitsMs: number[] = []
  for (let number = 0; number < 400; number += 1) {
    const submitted = job()
    const sentAtMs = clock.nowMs()
    store.accept(submitted).then(() => {
      waitsMs.push(clock.nowMs() - sentAtMs)
      submitted.acceptance = 'stored'
      for (const afterMs of [300, 600]) clock.after(afterMs, () => { store.save(submitted).catch(() => {}) })
      clock.after(1000, () => {
        submitted.phase = 'completed'
        store.save(submitted).catch(() => {})
      })
    }, () => {})
    store.save(submitted).catch(() => {})
    await run(10)
  }
  await run(3000)
  t.is(waitsMs.length, 400)
  waitsMs.sort((a, b) => a - b)
  t.true((waitsMs[380] ?? Infinity) <= 1.5 * answerMs, `20 of 400 jobs waited for at least ${waitsMs[380]} ms`)
})
