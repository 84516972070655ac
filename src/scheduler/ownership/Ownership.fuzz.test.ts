/**
 * Several owners on one store in long random runs: processes are killed and replaced, leases lapse, and the store is unavailable
 * or loses answers. The reference model is a table of the process that acquired each epoch of each shard.
 */

import test from 'ava'
import fc from 'fast-check'
import { MemoryStore } from '../../../test/support/MemoryStore.js'
import { advance, settle } from '../../../test/support/advance.js'
import { ManualClock } from '../../common/Clock.js'
import { ShardAssignment, createHash32 } from '../../common/state/ShardAssignment.js'
import { loadChart } from '../../runtime/ChartLoader.js'
import { DEFAULT_MEMBER_REGISTRATION_OPTIONS, MemberRegistration } from './MemberRegistration.js'
import { ShardOwner } from './ShardOwner.js'
import { DEFAULT_SHARD_OWNER_OPTIONS } from './Types.js'
import { idShardSpecs } from './index.js'

import type { WriteFault } from '../../../test/support/MemoryStore.js'

const SEED = 99
const NAMES = ['p0', 'p1', 'p2'] as const
const SHARDS = idShardSpecs(6)
const chart = loadChart('shardOwnership')._unsafeUnwrap()
const hash = await createHash32()

interface IProcess {
  readonly name: string
  readonly member: MemberRegistration
  readonly owner: ShardOwner
}

class Run {
  private readonly _clock = new ManualClock()
  private readonly _store = new MemoryStore(this._clock)
  private readonly _holders = new Map<string, string>()
  private readonly _highestEpochs = new Map<string, number>()
  private _incarnations = 0
  private _nonces = 0
  private _processes: IProcess[] = NAMES.map((name) => this._startProcess(name))

  public replaceProcess (index: number): void {
    const old = this._processes[index]
    old?.member.dispose()
    old?.owner.dispose()
    this._processes = this._processes.map((process, at) => at === index ? this._startProcess(process.name) : process)
  }

  public lapseLease (index: number): void {
    this._store.expireLease(`lease-${index + 1}`)
  }

  public releaseShard (index: number): void {
    const owner = this._processes[index]?.owner
    const first = owner?.held()[0]
    if (first !== undefined) owner?.release(first.shardId)
  }

  public failNextWrite (kind: WriteFault): void {
    this._store.failNextWrite(kind, 'shards/')
  }

  public setDown (down: boolean): void {
    this._store.setDown(down)
  }

  public async advanceTime (ms: number): Promise<void> {
    await advance(this._clock, ms, 250)
  }

  /** Removes all faults, then checks that each shard has one owner and that the shards are spread evenly. */
  public async finish (): Promise<void> {
    this._store.clearFaults()
    this.setDown(false)
    await this.advanceTime(60_000)
    const held = this._processes.map(({ owner }) => owner.held())
    const counts = held.map((shards) => shards.length)
    for (const process of this._processes) process.owner.dispose()
    for (const process of this._processes) process.member.dispose()
    if (counts.some((count) => count !== SHARDS.length / NAMES.length)) throw new Error(`not spread: ${counts.join()}`)
    if (new Set(held.flat().map(({ shardId }) => shardId)).size !== SHARDS.length) throw new Error('a shard has two owners')
  }

  private _startProcess (name: string): IProcess {
    this._incarnations += 1
    const incarnation = this._incarnations
    const entry = {
      processId: name, incarnation, role: 'scheduler' as const, region: 'r', failureDomain: 'f', peerUrl: '', operatorUrl: '', draining: false
    }
    const member = new MemberRegistration(this._store, this._clock, entry, DEFAULT_MEMBER_REGISTRATION_OPTIONS)
    const releaseHandler = { beforeRelease: async () => {} }
    const owner = new ShardOwner(
      this._store, this._clock, member, chart, new ShardAssignment(hash), releaseHandler, () => `n${this._nonces++}`, DEFAULT_SHARD_OWNER_OPTIONS)
    owner.onAcquired(({ shardId, epoch }) => {
      this._recordAcquired(shardId, epoch, `${name}.${incarnation}`)
      owner.markReady(shardId, epoch)
    })
    owner.setShards(SHARDS)
    member.start()
    owner.start()
    return { name, member, owner }
  }

  private _recordAcquired (shardId: string, epoch: number, holder: string): void {
    const key = `${shardId}@${epoch}`
    const other = this._holders.get(key)
    if (other !== undefined && other !== holder) throw new Error(`${key} was held by ${other} and ${holder}`)
    if (epoch < (this._highestEpochs.get(shardId) ?? 0)) throw new Error(`${key}: the epoch decreased`)
    this._holders.set(key, holder)
    this._highestEpochs.set(shardId, epoch)
  }
}

const command = fc.record({
  type: fc.constantFrom('replace', 'lapse', 'release', 'down', 'up', 'up', 'answerLost', 'requestLost', 'pass', 'pass', 'pass', 'pass'),
  index: fc.nat(NAMES.length - 1),
  ms: fc.constantFrom(250, 1_000, 4_000)
})

test('each epoch has one holder, and after the faults each shard has one owner', async (t) => {
  await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 10, maxLength: 40 }), async (commands) => {
    const run = new Run()
    await run.advanceTime(1_000)
    for (const { type, index, ms } of commands) {
      if (type === 'replace') run.replaceProcess(index)
      if (type === 'lapse') run.lapseLease(index)
      if (type === 'release') run.releaseShard(index)
      if (type === 'down' || type === 'up') run.setDown(type === 'down')
      if (type === 'answerLost' || type === 'requestLost') run.failNextWrite(type)
      if (type === 'pass') await run.advanceTime(ms)
      await settle()
    }
    await run.finish()
  }), { seed: SEED, numRuns: 100 })
  t.pass()
})
