/**
 * Claims and jobs over a store with faults.
 */

import test from 'ava'
import { MemoryStore } from '../../../test/support/MemoryStore.js'
import { advance, settle } from '../../../test/support/advance.js'
import { ManualClock } from '../../common/Clock.js'
import { ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS } from './ClaimService.js'

import type { IClaimRequest, IJobSpec } from '../../common/protocol/Types.js'

const SHARD = 'ids/00'

function setUp (owner: string, store: MemoryStore, clock: ManualClock): ClaimService {
  let count = 0
  return new ClaimService(store, clock, () => `${owner}-${count++}`, { ...DEFAULT_CLAIM_SERVICE_OPTIONS, owner })
}

function ask (attemptId: string, holder = 'h1', claimKey = 'k'): IClaimRequest {
  return { idShard: SHARD, claimKey, attemptId, holder, ageMs: 0 }
}

function job (jobId: string): IJobSpec {
  return { jobId, service: 's', caller: 'c', longRunning: false, tasks: [] }
}

test('a claim has one holder; the same attempt may ask again; a blocked or released one never claims', async (t) => {
  const clock = new ManualClock()
  const service = setUp('p1', new MemoryStore(), clock)
  await service.takeOver(SHARD, 1)
  const first = [service.claim(ask('a')), service.claim(ask('b')), service.claim(ask('a'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(first), [
    { decision: 'granted' }, { decision: 'duplicate', attemptId: 'a', holder: 'h1' }, { decision: 'granted' }
  ])
  const then = [service.block(ask('a')), service.block(ask('b')), service.release(ask('a')), service.claim(ask('c')), service.claim(ask('b'))]
  await advance(clock, 400)
  t.deepEqual(await Promise.all(then as Promise<unknown>[]), [
    { decision: 'claimed', holder: 'h1' }, { decision: 'blocked' }, { released: true }, { decision: 'granted' }, { decision: 'blocked' }
  ])
})

// A request waited so long that the log has forgotten its claim. Found by the specification: were its attempt blocked
// now, the caller would hear "not run" of work that ran; were it granted, the work could run twice.
test('an attempt older than the age limit gets no claim, and is not called blocked', async (t) => {
  const service = setUp('p1', new MemoryStore(), new ManualClock())
  await service.takeOver(SHARD, 1)
  const old = { ...ask('a'), ageMs: 400_000 }
  t.deepEqual(await service.claim(old), { decision: 'blocked' })
  t.deepEqual(await service.block(old), { decision: 'claimed', holder: 'h1' })
})

// The store goes down. A caller must hear at once that its request was not run, and not after a store timeout.
test('in an outage claims are refused at once, and work again after it', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = setUp('p1', store, clock)
  await service.takeOver(SHARD, 1)
  store.setDown(true)
  const first = service.claim(ask('a'))
  await advance(clock, 50)
  t.is((await first).decision, 'unavailable')
  t.is((await service.claim(ask('b'))).decision, 'unavailable')
  store.setDown(false)
  await advance(clock, 1_000)
  const again = service.claim(ask('b'))
  await advance(clock, 200)
  t.deepEqual(await again, { decision: 'granted' })
})

// The store hangs and then writes the claim after all, when its holder has long been told "unavailable" and has
// answered "not run". Without a release the id could never run, and its repeats would wait for an attempt that never ran.
test('a claim that proves durable after its holder gave up is released', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = setUp('p1', store, clock)
  await service.takeOver(SHARD, 1)
  store.hold()
  const first = service.claim(ask('a'))
  await advance(clock, 1_100)
  t.is((await first).decision, 'unavailable')
  store.letGo()
  await advance(clock, 400)
  const then = [service.claim(ask('a')), service.claim(ask('b'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(then), [{ decision: 'blocked' }, { decision: 'granted' }])
})

// The answer to a commit is lost after it took effect. Taken for a failure, the claim would be granted to a second
// attempt and the request would run twice.
test('a lost answer is settled by reading back', async (t) => {
  for (const fault of ['answerLost', 'requestLost'] as const) {
    const clock = new ManualClock()
    const store = new MemoryStore()
    const service = setUp('p1', store, clock)
    await service.takeOver(SHARD, 1)
    store.failNextWrite(fault)
    const claims = [service.claim(ask('a')), service.claim(ask('b'))]
    await advance(clock, 1_000)
    t.deepEqual((await Promise.all(claims)).map((reply) => reply.decision), ['granted', 'duplicate'], fault)
  }
})

// An owner is paused, another takes the shard over, and the first wakes with a claim at hand. Were it granted, two
// attempts would run.
test('a new owner knows the claims and fences the old one', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const old = setUp('p1', store, clock)
  await old.takeOver(SHARD, 1)
  const first = [old.claim(ask('a')), old.acceptJob(SHARD, job('j'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(first), [{ decision: 'granted' }, 'durable'])

  const heir = setUp('p2', store, clock)
  t.deepEqual((await heir.takeOver(SHARD, 2))._unsafeUnwrap().map((each) => each.jobId), ['j'])
  const lost: number[] = []
  old.onLost(({ epoch }) => { lost.push(epoch) })
  const late = [old.claim(ask('b', 'h1', 'other')), heir.claim(ask('b'))]
  await advance(clock, 200)
  t.deepEqual(await Promise.all(late), [{ decision: 'notOwner' }, { decision: 'duplicate', attemptId: 'a', holder: 'h1' }])
  t.deepEqual(lost, [1])
  t.true((await old.takeOver(SHARD, 1)).isErr())
})

test('sealed segments are read at a takeover, expire by age, and live jobs outlast them', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const service = setUp('p1', store, clock)
  await service.takeOver(SHARD, 1)
  await Promise.all([service.acceptJob(SHARD, job('live')), service.acceptJob(SHARD, job('done')), advance(clock, 200)])
  for (let round = 0; round < 10; round += 1) {
    for (let index = 0; index < 20; index += 1) service.claim(ask(`a${index}`, 'h'.repeat(60), `k${round}-${index}`))
    await advance(clock, 200)
  }
  t.true(store.keys().length > 1)
  await Promise.all([service.endJob(SHARD, 'done', 'succeeded'), advance(clock, 200)])

  await advance(clock, 700_000, 500)
  const heir = setUp('p2', store, clock)
  t.deepEqual((await heir.takeOver(SHARD, 2))._unsafeUnwrap().map((each) => each.jobId), ['live'])
  t.true(store.keys().filter((key) => key.includes('segments')).length <= 1)
  await settle()
})

test('a damaged log gives an error that names the key and the field', async (t) => {
  const store = new MemoryStore()
  store.put(`slices/${SHARD}/head`, '{"epoch":1,"owner":"p1","nonce":"n","segments":[],"entries":[{"type":"claim"}]}')
  const service = setUp('p1', store, new ManualClock())
  const error = (await service.takeOver(SHARD, 2))._unsafeUnwrapErr()
  t.regex(error.message, /slices\/ids\/00\/head: entries\[0\]/)
})
