/**
 * Measures takeovers: store calls, time and processor time per shard whose owner has stopped, with a store that answers in
 * milliseconds; and the processor time of proposing owners per shard and per scheduler.
 */

import { SystemClock } from '../../src/common/Clock.js'
import { ShardAssignment, createHash32 } from '../../src/common/state/ShardAssignment.js'
import { loadChart } from '../../src/runtime/ChartLoader.js'
import { DEFAULT_MEMBER_REGISTRATION_OPTIONS, MemberRegistration } from '../../src/scheduler/ownership/MemberRegistration.js'
import { ShardOwner } from '../../src/scheduler/ownership/ShardOwner.js'
import { DEFAULT_SHARD_OWNER_OPTIONS } from '../../src/scheduler/ownership/Types.js'
import { MeteredStore } from './MeteredStore.js'
import { heapBytes, pause, processorUs, processorUsOf } from './Readings.js'
import { printSlope } from './Slope.js'

import type { Hash32 } from '../../src/common/state/ShardAssignment.js'
import type { IShardSpec } from '../../src/common/state/Types.js'

const SHARDS = [60, 240, 720]
const PROPOSED_SHARDS = [450, 900, 1_800, 3_600]
const PROPOSALS = 20
const MEMBERS = [30, 120, 480]
const STORE_LATENCY_MS = 5
const REGIONS = 5
const POLL_MS = 5
const LIMIT_MS = 60_000

type Points = Array<readonly [number, number]>

interface IProcess {
  readonly member: MemberRegistration
  readonly owner: ShardOwner
}

function rackShards (count: number): readonly IShardSpec[] {
  return Array.from({ length: count }, (_, index) => ({ shardId: `workers/region-${index % REGIONS}-rack-${index}`, kind: 'workers', region: `region-${index % REGIONS}` }))
}

function startOwner (processId: string, store: MeteredStore, hash: Hash32, shards: readonly IShardSpec[]): IProcess {
  const clock = new SystemClock()
  const entry = { processId, incarnation: 1, role: 'scheduler' as const, region: 'region-0', failureDomain: 'region-0-a', peerUrl: '', operatorUrl: '', draining: false }
  const member = new MemberRegistration(store, clock, entry, DEFAULT_MEMBER_REGISTRATION_OPTIONS)
  const chart = loadChart('shardOwnership')._unsafeUnwrap()
  let count = 0
  const nonce = (): string => `${processId}-${count++}`
  const user = { beforeRelease: async () => {} }
  const owner = new ShardOwner(store, clock, member, chart, new ShardAssignment(hash), user, nonce, DEFAULT_SHARD_OWNER_OPTIONS)
  owner.onAcquired(({ shardId, epoch }) => { owner.markReady(shardId, epoch) })
  owner.setShards(shards)
  member.start()
  owner.start()
  return { member, owner }
}

async function waitUntilHeld ({ owner }: IProcess, count: number): Promise<void> {
  const untilMs = performance.now() + LIMIT_MS
  while (owner.held().length < count) {
    if (performance.now() > untilMs) throw new Error(`only ${owner.held().length} of ${count} shards were taken over in time`)
    await pause(POLL_MS)
  }
}

async function stopProcess ({ member, owner }: IProcess): Promise<void> {
  await member.stop()
  member.dispose()
  owner.dispose()
}

async function measureTakeovers (hash: Hash32): Promise<void> {
  const calls: Points = []
  const time: Points = []
  const processor: Points = []
  const memory: Points = []
  for (const count of SHARDS) {
    const store = new MeteredStore(new SystemClock(), STORE_LATENCY_MS)
    const shards = rackShards(count)
    const first = startOwner('scheduler-1', store, hash, shards)
    await waitUntilHeld(first, count)
    await stopProcess(first)
    store.reset()
    const beforeBytes = heapBytes()
    const startMs = performance.now()
    const beforeUs = processorUs()
    const second = startOwner('scheduler-2', store, hash, shards)
    await waitUntilHeld(second, count)
    processor.push([count, processorUs() - beforeUs])
    time.push([count, performance.now() - startMs])
    calls.push([count, store.reads + store.writes])
    memory.push([count, heapBytes() - beforeBytes])
    await stopProcess(second)
  }
  printSlope({ slope: 'takeover by one process: store calls per shard', unit: 'calls', points: calls })
  printSlope({ slope: `takeover by one process: time per shard, store answers in ${STORE_LATENCY_MS} ms`, unit: 'ms', points: time })
  printSlope({ slope: 'takeover by one process: processor time per shard', unit: 'us', points: processor })
  printSlope({ slope: 'ownership: memory per shard known', unit: 'bytes', points: memory })
}

async function measureProposal (hash: Hash32): Promise<void> {
  const assignment = new ShardAssignment(hash)
  const candidates = (count: number): ReadonlyArray<{ processId: string, region: string }> =>
    Array.from({ length: count }, (_, index) => ({ processId: `scheduler-${index}`, region: `region-${index % REGIONS}` }))
  const costOf = async (shards: readonly IShardSpec[], members: number): Promise<number> => {
    const owners = assignment.propose(shards, candidates(members), () => undefined)
    const propose = (): void => { assignment.propose(shards, candidates(members), (shardId) => owners.get(shardId)) }
    for (let time = 0; time < PROPOSALS; time++) propose()
    return await processorUsOf(() => { for (let time = 0; time < PROPOSALS; time++) propose() }) / PROPOSALS
  }
  const perShard: Points = []
  for (const count of PROPOSED_SHARDS) perShard.push([count, await costOf(rackShards(count), MEMBERS[0] ?? 0)])
  const perMember: Points = []
  for (const members of MEMBERS) perMember.push([members, await costOf(rackShards(PROPOSED_SHARDS.at(-1) ?? 0), members)])
  printSlope({ slope: `ownership: time of one proposal per shard, ${MEMBERS[0]} schedulers`, unit: 'us', points: perShard })
  printSlope({ slope: `ownership: time of one proposal of ${PROPOSED_SHARDS.at(-1)} shards per scheduler`, unit: 'us', points: perMember })
}

export async function measureTakeover (): Promise<void> {
  const hash = await createHash32()
  await measureTakeovers(hash)
  await measureProposal(hash)
}
