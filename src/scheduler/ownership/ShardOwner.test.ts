/**
 * Owners of shards on a store with faults. Most tests run several processes on one store.
 */

import test from 'ava'
import { MemoryStore } from '../../../test/support/MemoryStore.js'
import { advance } from '../../../test/support/advance.js'
import { ManualClock } from '../../common/Clock.js'
import { ShardAssignment, createHash32 } from '../../common/state/ShardAssignment.js'
import { loadChart } from '../../runtime/ChartLoader.js'
import { DEFAULT_MEMBER_REGISTRATION_OPTIONS, MemberRegistration } from './MemberRegistration.js'
import { ShardOwner } from './ShardOwner.js'
import { DEFAULT_SHARD_OWNER_OPTIONS } from './Types.js'
import { idShardSpecs } from './index.js'

import type { IShardSpec } from '../../common/state/Types.js'

const chart = loadChart('shardOwnership')._unsafeUnwrap()
const hash = await createHash32()

interface IProcess {
  readonly member: MemberRegistration
  readonly owner: ShardOwner
  readonly events: string[]
}

function startProcess (
  name: string, store: MemoryStore, clock: ManualClock, shards: readonly IShardSpec[], region = 'r1', incarnation = 1
): IProcess {
  const entry = {
    processId: name, incarnation, role: 'scheduler' as const, region, failureDomain: region, peerUrl: '', operatorUrl: '', draining: false
  }
  const member = new MemberRegistration(store, clock, entry, DEFAULT_MEMBER_REGISTRATION_OPTIONS)
  let count = 0
  const releaseHandler = { beforeRelease: async () => {} }
  const owner = new ShardOwner(store, clock, member, chart, new ShardAssignment(hash), releaseHandler,
    () => `${name}.${incarnation}-${count++}`, DEFAULT_SHARD_OWNER_OPTIONS)
  const events: string[] = []
  owner.onAcquired(({ shardId, epoch }) => {
    events.push(`+${shardId}@${epoch}`)
    owner.markReady(shardId, epoch)
  })
  owner.onLost(({ shardId, epoch, reason }) => { events.push(`-${shardId}@${epoch} ${reason}`) })
  owner.setShards(shards)
  member.start()
  owner.start()
  return { member, owner, events }
}

function killProcess (process: IProcess): void {
  process.member.dispose()
  process.owner.dispose()
}

function heldIds (process: IProcess): readonly string[] {
  return process.owner.held().map(({ shardId }) => shardId)
}

test('shards spread evenly, near their hosts, and each has one owner', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const racks: IShardSpec[] = ['r1', 'r2']
    .flatMap((region) => ['a', 'b'].map((rack) => ({ shardId: `workers/${region}${rack}`, kind: 'workers', region })))
  const shards = [...idShardSpecs(8), ...racks]
  const processes = [['p1', 'r1'], ['p2', 'r1'], ['p3', 'r2'], ['p4', 'r2']]
    .map(([name = '', region]) => startProcess(name, store, clock, shards, region))
  await advance(clock, 60_000)
  t.deepEqual(processes.map((process) => heldIds(process).length), [3, 3, 3, 3])
  t.is(new Set(processes.flatMap(heldIds)).size, shards.length)
  t.true(processes.every((process, index) => heldIds(process).filter((id) => id.startsWith(`workers/r${index < 2 ? 1 : 2}`)).length === 1))
})

// A scheduler is killed. Callers get errors until another scheduler has taken its shards over.
test('the shards of a killed process have a new owner within five seconds', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const shards = idShardSpecs(4)
  const [dead, successor] = ['p1', 'p2'].map((name) => startProcess(name, store, clock, shards)) as [IProcess, IProcess]
  await advance(clock, 20_000)
  killProcess(dead)
  await advance(clock, 4_900)
  t.is(heldIds(successor).length, 4)
})

// A process is paused for longer than its lease and resumes after another process has taken over. It must drop its
// shards, or both processes would place work on the same hosts.
test('an owner whose lease lapsed drops the shards that were taken and registers again', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const shards = idShardSpecs(1)
  const paused = startProcess('p1', store, clock, shards)
  await advance(clock, 1_000)
  t.deepEqual(paused.events, ['+ids/00@1'])
  store.put('shards/ids/00', JSON.stringify({ shardId: 'ids/00', kind: 'ids', owner: 'p2', ownerIncarnation: 1, epoch: 2, nonce: 'x' }))
  store.expireLease('lease-1')
  await advance(clock, 3_000)
  t.true(paused.member.registered)
  t.deepEqual(paused.events, ['+ids/00@1', '-ids/00@1 taken', '+ids/00@3'])
})

// The answer to a takeover is lost. If this counted as a failure, the owner on record would not know that it has the
// shard, and the shard's hosts would stay idle.
test('the record is read back after the answer to a takeover is lost', async (t) => {
  for (const fault of ['answerLost', 'requestLost'] as const) {
    const clock = new ManualClock()
    const store = new MemoryStore(clock)
    const process = startProcess('p1', store, clock, idShardSpecs(1))
    await advance(clock, 1_000)
    killProcess(process)
    const second = startProcess('p1', store, clock, idShardSpecs(1), 'r1', 2)
    store.failNextWrite(fault, 'members/')
    store.failNextWrite(fault, 'shards/')
    store.failNextWrite(fault, 'shards/')
    await advance(clock, 5_000)
    t.deepEqual(second.events, ['+ids/00@2'], fault)
  }
})

// The store is unavailable for longer than every lease. When it is back, no member is registered any more, and if each process
// immediately took the shards that seem free, every shard would change owner.
test('owners keep their shards through an outage and after it', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const shards = idShardSpecs(4)
  const processes = ['p1', 'p2'].map((name) => startProcess(name, store, clock, shards))
  await advance(clock, 20_000)
  const before = processes.map(heldIds)
  const events = processes.map(({ events }) => events.length)
  store.setDown(true)
  await advance(clock, 30_000)
  t.deepEqual(processes.map(heldIds), before)
  store.setDown(false)
  await advance(clock, 10_000)
  t.deepEqual(processes.map(heldIds), before)
  t.deepEqual(processes.map(({ events }) => events.length), events)
})

test('a planned stop releases all shards, and the other members take them without waiting for the lease', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const [leaving, successor] = ['p1', 'p2'].map((name) => startProcess(name, store, clock, idShardSpecs(4))) as [IProcess, IProcess]
  await advance(clock, 20_000)
  const stopped = leaving.owner.releaseAll().then(async () => { await leaving.member.stop() })
  await advance(clock, 500)
  await stopped
  t.is(heldIds(leaving).length, 0)
  t.is(heldIds(successor).length, 4)
})

// A shard's record is damaged. If a takeover treated it as absent, it would start from epoch 1, and hosts that have seen a
// higher epoch would refuse the new owner for ever.
test('a shard whose record is damaged gets no new owner until the record is repaired', async (t) => {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  store.put('shards/ids/00', '{"shardId":"ids/00"')
  const process = startProcess('p1', store, clock, idShardSpecs(1))
  const damaged: string[] = []
  process.owner.onDamaged((error) => { damaged.push(error.peer) })
  await advance(clock, 2_000)
  t.deepEqual([process.events, damaged], [[], ['shards/ids/00']])
  store.put('shards/ids/00', JSON.stringify({ shardId: 'ids/00', kind: 'ids', owner: '', ownerIncarnation: 0, epoch: 7, nonce: 'x' }))
  await advance(clock, 2_000)
  t.deepEqual(process.events, ['+ids/00@8'])
})
