/**
 * Claims and jobs in a store with faults.
 */

import test from 'ava'
import { MemoryStore } from '../../../test/support/MemoryStore.js'
import { advance, settle } from '../../../test/support/advance.js'
import { ManualClock } from '../../common/Clock.js'
import { ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS } from './ClaimService.js'

import type { IClaimRequest, IJobSpec } from '../../common/protocol/Types.js'

const SHARD = 'ids/00'

function createService (owner: string, store: MemoryStore, clock: ManualClock): ClaimService {
  let count = 0
  return new ClaimService(store, clock, () => `${owner}-${count++}`, { ...DEFAULT_CLAIM_SERVICE_OPTIONS, owner })
}

function claimRequest (attemptId: string, holder = 'h1', claimKey = 'k'): IClaimRequest {
  return { idShard: SHARD, claimKey, attemptId, holder, ageMs: 0 }
}

function job (jobId: string): IJobSpec {
  return { jobId, service: 's', caller: 'c', longRunning: false, tasks: [] }
}

test('a claim has one holder, the same attempt may claim again, and a blocked or released attempt never gets a claim', async (t) => {
  const clock = new ManualClock()
  const service = createService('p1', new MemoryStore(), clock)
  await service.takeOver(SHARD, 1)
  const first = [service.claim(claimRequest('a')), service.claim(claimRequest('b')), service.claim(claimRequest('a'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(first), [
    { decision: 'granted' }, { decision: 'duplicate', attemptId: 'a', holder: 'h1' }, { decision: 'granted' }
  ])
  const replies = [
    service.block(claimRequest('a')), service.block(claimRequest('b')), service.release(claimRequest('a')),
    service.claim(claimRequest('c')), service.claim(claimRequest('b'))
  ]
  await advance(clock, 400)
  t.deepEqual(await Promise.all(replies as Promise<unknown>[]), [
    { decision: 'claimed', holder: 'h1' }, { decision: 'blocked' }, { released: true }, { decision: 'granted' }, { decision: 'blocked' }
  ])
})

// A request has waited so long that its claim has expired from the log. If its attempt were blocked now, the caller would
// be told "not run" although the work ran; if a claim were granted, the work could run twice.
test('an attempt older than the age limit gets no claim, and is not reported as blocked', async (t) => {
  const service = createService('p1', new MemoryStore(), new ManualClock())
  await service.takeOver(SHARD, 1)
  const old = { ...claimRequest('a'), ageMs: 400_000 }
  t.deepEqual(await service.claim(old), { decision: 'blocked' })
  t.deepEqual(await service.block(old), { decision: 'claimed', holder: 'h1' })
})

// During a store outage, a caller must be told immediately that its request was not run, not after a store timeout.
test('claims are refused immediately during a store outage, and granted again after it', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = createService('p1', store, clock)
  await service.takeOver(SHARD, 1)
  store.setDown(true)
  const first = service.claim(claimRequest('a'))
  await advance(clock, 50)
  t.is((await first).decision, 'unavailable')
  t.is((await service.claim(claimRequest('b'))).decision, 'unavailable')
  store.setDown(false)
  await advance(clock, 1_000)
  const again = service.claim(claimRequest('b'))
  await advance(clock, 200)
  t.deepEqual(await again, { decision: 'granted' })
})

// The store hangs and writes the claim only after its holder has been told "unavailable" and has answered "not run".
// Without a release, the id could never run, and its repeats would wait for an attempt that never ran.
test('a claim that becomes durable after its holder gave up is released', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = createService('p1', store, clock)
  await service.takeOver(SHARD, 1)
  store.holdAnswers()
  const first = service.claim(claimRequest('a'))
  await advance(clock, 1_100)
  t.is((await first).decision, 'unavailable')
  store.releaseAnswers()
  await advance(clock, 400)
  const replies = [service.claim(claimRequest('a')), service.claim(claimRequest('b'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(replies), [{ decision: 'blocked' }, { decision: 'granted' }])
})

// The answer to a commit is lost after the commit took effect. If this counted as a failure, the claim would be granted
// to a second attempt, and the request would run twice.
test('after a lost answer the head is read back', async (t) => {
  for (const fault of ['answerLost', 'requestLost'] as const) {
    const clock = new ManualClock()
    const store = new MemoryStore()
    const service = createService('p1', store, clock)
    await service.takeOver(SHARD, 1)
    store.failNextWrite(fault)
    const claims = [service.claim(claimRequest('a')), service.claim(claimRequest('b'))]
    await advance(clock, 1_000)
    t.deepEqual((await Promise.all(claims)).map((reply) => reply.decision), ['granted', 'duplicate'], fault)
  }
})

// An owner is paused, another process takes the shard over, and the first one resumes with a claim to decide. If it
// granted the claim, two attempts would run.
test('a new owner knows the earlier claims and fences the old owner', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const old = createService('p1', store, clock)
  await old.takeOver(SHARD, 1)
  const first = [old.claim(claimRequest('a')), old.acceptJob(SHARD, job('j'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(first), [{ decision: 'granted' }, 'durable'])

  const successor = createService('p2', store, clock)
  t.deepEqual((await successor.takeOver(SHARD, 2))._unsafeUnwrap().map((each) => each.jobId), ['j'])
  const lost: number[] = []
  old.onLost(({ epoch }) => { lost.push(epoch) })
  const late = [old.claim(claimRequest('b', 'h1', 'other')), successor.claim(claimRequest('b'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(late), [{ decision: 'notOwner' }, { decision: 'duplicate', attemptId: 'a', holder: 'h1' }])
  t.deepEqual(lost, [1])
  t.true((await old.takeOver(SHARD, 1)).isErr())
})

test('sealed segments are read at a takeover and expire by age, and live jobs are kept beyond that', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = createService('p1', store, clock)
  await service.takeOver(SHARD, 1)
  await Promise.all([service.acceptJob(SHARD, job('live')), service.acceptJob(SHARD, job('done')), advance(clock, 200)])
  for (let round = 0; round < 10; round += 1) {
    for (let index = 0; index < 20; index += 1) service.claim(claimRequest(`a${index}`, 'h'.repeat(60), `k${round}-${index}`))
    await advance(clock, 200)
  }
  t.true(store.keys().length > 1)
  await Promise.all([service.endJob(SHARD, 'done', 'succeeded'), advance(clock, 200)])

  await advance(clock, 700_000, 500)
  const successor = createService('p2', store, clock)
  t.deepEqual((await successor.takeOver(SHARD, 2))._unsafeUnwrap().map((each) => each.jobId), ['live'])
  t.true(store.keys().filter((key) => key.includes('segments')).length <= 1)
  await settle()
})

test('a damaged log returns an error that names the key and the field', async (t) => {
  const store = new MemoryStore()
  store.put(`slices/${SHARD}/head`, '{"epoch":1,"owner":"p1","nonce":"n","segments":[],"entries":[{"type":"claim"}]}')
  const service = createService('p1', store, new ManualClock())
  const error = (await service.takeOver(SHARD, 2))._unsafeUnwrapErr()
  t.regex(error.message, /slices\/ids\/00\/head: entries\[0\]/)
})
