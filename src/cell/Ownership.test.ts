/**
 * Ownership of the cell against a store whose answers are scripted.
 */

import test from 'ava'
import { ManualClock } from '../common/Clock.js'
import { SilentLogger } from '../common/observability/SilentLogger.js'
import { SeededRandom } from '../common/Random.js'
import { advance, settle } from '../../test/support/advance.js'
import { OWNER_KEY } from './Keys.js'
import { OwnerChallenge } from './OwnerChallenge.js'
import { Ownership } from './Ownership.js'

import type { IMetadataItem, IMetadataStore, ITransaction, ReadOutcome, RenewOutcome } from '../common/cell/Types.js'

const SELF = { processId: 'a', incarnation: 1, region: 'r', failureDomain: 'd' }
const NEVER = new Promise<never>(() => {})

class ScriptedStore {
  public item: IMetadataItem | undefined
  public renew = async (): Promise<RenewOutcome> => 'renewed'
  public leases = 0
  private _revision = 10

  /** How long a whole read takes. */
  public rangeMs = 0

  public constructor (private readonly _clock: ManualClock) {}

  public async range () {
    if (this.rangeMs > 0) await new Promise<void>((resolve) => { this._clock.after(this.rangeMs, resolve) })
    return { kind: 'read', value: { items: this.item === undefined ? [] : [this.item], revision: this._revision } } as const
  }

  public get = async (): Promise<ReadOutcome<IMetadataItem | undefined>> => ({ kind: 'read', value: this.item })

  public async watch (): Promise<never> {
    return await NEVER
  }

  public async grantLease () {
    this.leases += 1
    return { kind: 'read', value: this.leases } as const
  }

  public async renewLease (): Promise<RenewOutcome> {
    return await this.renew()
  }

  public async endLease (): Promise<void> {}

  public async commit ({ expect, puts }: ITransaction) {
    const items = this.item === undefined ? [] : [this.item]
    if (expect.some(({ revision }) => revision !== (this.item?.revision ?? 0))) return { kind: 'conflict', items } as const
    this._revision += 1
    const [put] = puts
    this.item = put === undefined ? undefined : { key: OWNER_KEY, value: put.value, revision: this._revision }
    return { kind: 'committed', revision: this._revision } as const
  }
}

const OTHER = { processId: 'b', incarnation: 1, peerUrl: 'ws://b' }

function setUp (yieldMs = 0) {
  const clock = new ManualClock()
  const store = new ScriptedStore(clock)
  const options = { self: SELF, peerUrl: 'ws://a', minLeaseMs: 1000, yieldMs: () => yieldMs }
  const ownership = new Ownership(store as unknown as IMetadataStore, options, clock, new SeededRandom(1), new SilentLogger())
  const challenge = new OwnerChallenge(ownership, clock, new SeededRandom(2), new SilentLogger())
  return { clock, store, ownership, challenge }
}

test('an owner keeps its lease while the store loses answers', async (t) => {
  // Of the renewals that fall due, each is lost. Waited for, the lease would run out, and the cell would change owners every second.
  const { clock, store, ownership } = setUp()
  ownership.start()
  await advance(clock, 400, 10)
  t.true(ownership.isConfirmed)
  let calls = 0
  let lastAtMs = -Infinity
  store.renew = async () => {
    calls += 1
    const isFirst = clock.nowMs() - lastAtMs > 130
    lastAtMs = clock.nowMs()
    return isFirst ? await NEVER : 'renewed'
  }
  for (let passedMs = 0; passedMs < 5000; passedMs += 50) {
    await advance(clock, 50, 10)
    t.true(ownership.isConfirmed, `after ${passedMs} ms`)
  }
  t.true(calls <= 42)
})

test('a process takes the cell over from an owner that asks for it, while that one still has it', async (t) => {
  const { clock, store, ownership } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  t.is(ownership.record?.processId, 'b')
  t.true(await ownership.takeOverFrom({ ...OTHER, revision: 10 }))
  t.is(ownership.record?.processId, 'a')
})

test('a process that is about to stop, or has heard of a newer owner, takes nothing over', async (t) => {
  // Two machines are stopped at the same time, and the first hands the cell to the second: it would be handed on at once.
  const { clock, store, ownership } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  t.false(await ownership.takeOverFrom({ ...OTHER, revision: 9 }))
  ownership.leave()
  t.false(ownership.canTake)
  t.false(await ownership.takeOverFrom({ ...OTHER, revision: 10 }))
  t.is(store.item.revision, 10)
})

test('the cell is not taken from an owner that reaches the store', async (t) => {
  // The store was away for all and has just come back. Each gateway whose owner refused a job would take the cell from it, and callers that
  // return would find the cell without an owner, or with one far from the store.
  const { clock, store, ownership, challenge } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  const from = { ...OTHER, revision: 10 }
  t.is(await challenge.challenge(from, async () => true), 'ownerIsWell')
  await advance(clock, 1000, 10)
  t.is(store.item.revision, 10)
  t.is(await challenge.challenge(from, async () => false), 'takesOver')
  await advance(clock, 1000, 10)
  t.not(store.item.revision, 10)
})

test('callers of the owner\'s own process are not held back by a challenge to itself', async (t) => {
  // With no link to itself to ask over, it was taken for out of reach, and callers waited for a takeover that can't come.
  const { clock, ownership, challenge } = setUp()
  ownership.start()
  await advance(clock, 400, 10)
  const { record } = ownership
  t.true(ownership.isOwner)
  if (record === undefined) return t.fail('no record')
  t.is(await challenge.challenge(record, async () => false), 'ownerIsWell')
})

test('an owner that is back before a slow challenger takes the cell keeps it', async (t) => {
  // The challenger lets others go first for longer than the store needs to come back.
  const { clock, store, ownership, challenge } = setUp(600)
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  let isBack = false
  t.is(await challenge.challenge({ ...OTHER, revision: 10 }, async () => isBack), 'takesOver')
  isBack = true
  await advance(clock, 2000, 10)
  t.is(store.item.revision, 10)
})

test('while the store is away for all, callers don\'t wait for each look at it', async (t) => {
  // Each look takes 0.4 s, since nothing answers, and there is one every half second: most callers would wait for one before they hear
  // that they have to come back.
  const { clock, store, ownership, challenge } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  const from = { ...OTHER, revision: 10 }
  store.get = async () => await NEVER
  const ownerReaches = async (): Promise<boolean> => {
    await new Promise<void>((resolve) => { clock.after(400, resolve) })
    return false
  }
  const first = challenge.challenge(from, ownerReaches)
  await advance(clock, 450, 10)
  t.is(await first, 'bothAway')
  await advance(clock, 100, 10)
  t.is(await Promise.race([challenge.challenge(from, ownerReaches), settle().then(() => 'held back')]), 'bothAway')
  await advance(clock, 450, 10)
  store.get = async () => ({ kind: 'read', value: store.item })
  await advance(clock, 100, 10)
  t.is(await Promise.race([challenge.challenge(from, ownerReaches), settle().then(() => 'held back')]), 'bothAway')
  await advance(clock, 600, 10)
  const later = challenge.challenge(from, ownerReaches)
  await advance(clock, 450, 10)
  t.is(await later, 'takesOver')
})

test('a process that starts again takes the cell from its earlier life at once', async (t) => {
  // Nobody was found gone, since each port was listened on again, and callers were refused until the lease ended.
  const { clock, store, ownership } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify({ ...OTHER, processId: SELF.processId, incarnation: SELF.incarnation - 1 }), revision: 10 }
  ownership.start()
  await advance(clock, 50, 10)
  t.true(ownership.isOwner)
})

test('the cell is left alone while another process owns it', async (t) => {
  const { clock, store, ownership } = setUp()
  store.item = { key: OWNER_KEY, value: JSON.stringify({ ...OTHER, incarnation: SELF.incarnation - 1 }), revision: 10 }
  ownership.start()
  await advance(clock, 900, 10)
  t.false(ownership.isOwner)
})

test('processes that have just started don\'t wait for each other', async (t) => {
  // The first read of a new process is slow for its own sake: all seemed far from the store and let the others go first.
  const { clock, store, ownership } = setUp()
  store.rangeMs = 150
  ownership.start()
  await advance(clock, 200, 10)
  t.true(ownership.isOwner)
})

test('a process far from the store lets others go first when an owner vanishes', async (t) => {
  const { clock, store, ownership } = setUp()
  store.rangeMs = 100
  store.get = async () => {
    await new Promise<void>((resolve) => { clock.after(100, resolve) })
    return { kind: 'read', value: store.item }
  }
  store.item = { key: OWNER_KEY, value: JSON.stringify(OTHER), revision: 10 }
  ownership.start()
  await advance(clock, 250, 10)
  store.item = undefined
  ownership.resign('')
  await advance(clock, 300, 10)
  t.false(ownership.isOwner)
  await advance(clock, 300, 10)
  t.true(ownership.isOwner)
})
