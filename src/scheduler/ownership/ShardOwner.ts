/**
 * Keeps this process's share of the shards: takes over what has no living owner, gives up what was taken from it,
 * hands surplus to newcomers, and releases everything on a planned stop.
 */

import { DisposableStore, Emitter } from '../../common/Emitter.js'
import { ShardOwnership } from '../../common/state/ShardOwnership.js'
import { decodeShardRecord } from '../../common/state/SliceCodec.js'
import { MEMBER_PREFIX } from './MemberRegistration.js'
import { MemberView } from './MemberView.js'
import { ShardRecordWriter } from './ShardRecordWriter.js'
import { SHARD_PREFIX, ShardSet } from './ShardSet.js'

import type { Event } from '../../common/Emitter.js'
import type { InvalidInputError } from '../../common/Errors.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { ShardAssignment } from '../../common/state/ShardAssignment.js'
import type { IRecordWrite, OwnershipChange } from '../../common/state/ShardOwnership.js'
import type { IShardRecord, IShardSpec } from '../../common/state/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../../common/Types.js'
import type { IKeyValueStore, IStoreChange, IStoreRange } from '../../runtime/Types.js'
import type { MemberRegistration } from './MemberRegistration.js'
import type { IKnownShard } from './ShardSet.js'
import type { IShardAcquired, IShardLost, IShardOwnerOptions, IShardUser } from './Types.js'

/** Changes that come together are looked at together: a lost failure domain brings hundreds at once. In milliseconds. */
const SETTLE_MS = 20

export class ShardOwner implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _onAcquired = this._disposables.add(new Emitter<IShardAcquired>())
  /** Fence the hosts or take the log over under this epoch, then call `ready`. */
  public readonly onAcquired = this._onAcquired.event
  private readonly _onLost = this._disposables.add(new Emitter<IShardLost>())
  public readonly onLost = this._onLost.event
  private readonly _onMembers = this._disposables.add(new Emitter<void>())
  /** The registered members have changed. */
  public readonly onMembers = this._onMembers.event
  private readonly _onReachable = this._disposables.add(new Emitter<boolean>())
  public readonly onReachable = this._onReachable.event
  /** A record can't be read; its shard has no new owner until it is mended. */
  public readonly onDamaged: Event<InvalidInputError>

  public readonly members = new MemberView()
  private readonly _writer: ShardRecordWriter
  private readonly _shards: ShardSet
  private readonly _confirming = new Map<string, Promise<IShardRecord | undefined>>()
  private _evaluation: IDisposable | undefined
  private _takesUnderWay = 0
  private _loaded = false
  private _stopping = false
  private _disposed = false
  private _reachable = true
  private _takeFromMs: MonotonicMs = 0
  private _membersSinceMs: MonotonicMs = 0

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _clock: IClock & ITimers,
    private readonly _member: MemberRegistration,
    private readonly _chart: ChartTable,
    private readonly _assignment: ShardAssignment,
    private readonly _user: IShardUser,
    private readonly _nonce: () => string,
    private readonly _options: IShardOwnerOptions
  ) {
    const self = { processId: _member.entry.processId, incarnation: _member.entry.incarnation }
    this._shards = this._disposables.add(new ShardSet((spec) => new ShardOwnership(_chart, self, spec, _nonce)))
    this.onDamaged = this._shards.onDamaged
    this._shards.onChange(({ shard, change }) => { this._changed(shard, change) })
    this._writer = this._disposables.add(new ShardRecordWriter(_store, _clock, _options.evaluateMs))
    this._disposables.add(this._member.onRegistered(() => { this._evaluateSoon() }))
  }

  /** Loads members and records, then follows them. */
  public start (): void {
    this._disposables.add(this._clock.every(this._options.evaluateMs, () => { this._tick() }))
    this._load()
  }

  /** Says which shards there are: the racks of the host list and the fixed id shards. Unlisted ones that we hold stay held. */
  public setShards (specs: readonly IShardSpec[]): void {
    for (const spec of specs) this._shards.add(spec)
    this._evaluateSoon()
  }

  /** The epoch under which a shard is ours, or undefined. */
  public epochOf (shardId: string): number | undefined {
    const ownership = this._shards.get(shardId)?.ownership
    return ownership?.held === true ? ownership.epoch : undefined
  }

  /** Shards that are ours, with their epochs. */
  public held (): readonly IShardAcquired[] {
    return this._shards.held().map(({ spec, ownership }) => ({ shardId: spec.shardId, kind: spec.kind, epoch: ownership.epoch }))
  }

  /** The owner on record, for routing; undefined if nobody has it. */
  public ownerOf (shardId: string): string | undefined {
    return this._shards.get(shardId)?.ownership.owner?.processId
  }

  /**
   * Whether the store, asked after this call, shows the shard as ours under this epoch; false also when it can't be asked.
   *
   * Made for a rack or failure domain whose hosts fall silent together: all of them ask about the same few shards, and a
   * read for each would use up the store's rate. Those who ask within a few milliseconds share one read, sent after the
   * last of them.
   */
  public async confirm (shardId: string, epoch: number): Promise<boolean> {
    const record = await (this._confirming.get(shardId) ?? this._readSoon(shardId))
    return record?.epoch === epoch && record.owner === this._member.entry.processId
  }

  /** The takeover is complete. */
  public ready (shardId: string, epoch: number): void {
    this._shards.get(shardId)?.ownership.ready(epoch)
  }

  /** A host or a log has refused us with a newer epoch. */
  public fenced (shardId: string, currentEpoch: number): void {
    const shard = this._shards.get(shardId)
    if (shard !== undefined) this._shards.apply(shard, shard.ownership.fenced(currentEpoch))
  }

  /** Releases one shard in good order. */
  public async release (shardId: string): Promise<void> {
    const shard = this._shards.get(shardId)
    if (shard === undefined || !shard.ownership.held || shard.releasing) return
    shard.releasing = true
    await this._user.beforeRelease(shardId, shard.ownership.epoch)
    const write = shard.ownership.release()
    if (write !== undefined) await this._write(shard, write)
    shard.releasing = false
  }

  /** Planned stop: takes nothing more, and releases everything. */
  public async releaseAll (): Promise<void> {
    this._stopping = true
    await this._member.setDraining()
    await Promise.all(this.held().map(async ({ shardId }) => { await this.release(shardId) }))
  }

  public dispose (): void {
    this._disposed = true
    this._evaluation?.dispose()
    this._disposables.dispose()
  }

  private _readSoon (shardId: string): Promise<IShardRecord | undefined> {
    const reading = new Promise<IShardRecord | undefined>((resolve) => {
      this._clock.after(SETTLE_MS, () => {
        this._confirming.delete(shardId)
        resolve(this._read(shardId))
      })
    })
    this._confirming.set(shardId, reading)
    return reading
  }

  private async _read (shardId: string): Promise<IShardRecord | undefined> {
    const key = SHARD_PREFIX + shardId
    const found = await this._store.get(key)
    if (found.isErr() || found.value === undefined) return undefined
    return decodeShardRecord(key, found.value.value).unwrapOr(undefined)
  }

  private async _load (): Promise<void> {
    const members = await this._store.range(MEMBER_PREFIX)
    const shards = await this._store.range(SHARD_PREFIX)
    if (this._disposed) return
    if (members.isErr() || shards.isErr()) {
      this._clock.after(this._options.evaluateMs, () => { this._load() })
      return
    }
    this._resetMembers(members.value)
    this._resetShards(shards.value)
    this._loaded = true
    this._follow(members.value.revision, shards.value.revision)
    this._evaluateSoon()
  }

  private _follow (membersRevision: number, shardsRevision: number): void {
    this._disposables.add(this._store.watch(MEMBER_PREFIX, membersRevision, {
      onChanges: (changes) => { this._membersChanged(() => { this.members.apply(changes) }) },
      onReset: (range) => { this._resetMembers(range) },
      onReachable: (reachable) => { this._setReachable(reachable) }
    }))
    this._disposables.add(this._store.watch(SHARD_PREFIX, shardsRevision, {
      onChanges: (changes) => { this._shardsChanged(changes) },
      onReset: (range) => { this._resetShards(range) },
      onReachable: () => {}
    }))
  }

  private _resetMembers (range: IStoreRange): void {
    this._membersChanged(() => { this.members.reset(range.records) })
  }

  private _membersChanged (change: () => void): void {
    change()
    this._membersSinceMs = this._clock.nowMs()
    this._onMembers.fire()
    this._evaluateSoon()
  }

  private _resetShards (range: IStoreRange): void {
    for (const record of range.records) this._shards.see(record, false)
    this._evaluateSoon()
  }

  private _shardsChanged (changes: readonly IStoreChange[]): void {
    for (const change of changes) this._shards.see(change, change.deleted)
    this._evaluateSoon()
  }

  private _setReachable (reachable: boolean): void {
    if (reachable && !this._reachable) this._takeFromMs = this._clock.nowMs() + this._options.graceAfterOutageMs
    this._reachable = reachable
    this._onReachable.fire(reachable)
  }

  private _tick (): void {
    this._evaluate()
    this._rebalance()
  }

  private _evaluateSoon (): void {
    if (this._disposed) return
    this._evaluation ??= this._clock.after(SETTLE_MS, () => { this._evaluate() })
  }

  private _evaluate (): void {
    this._evaluation?.dispose()
    this._evaluation = undefined
    if (!this._loaded || this._stopping || this._disposed || !this._reachable || !this._member.registered) return
    if (this._clock.nowMs() < this._takeFromMs) return
    const proposal = this._propose()
    for (const shard of this._shards.all()) {
      if (this._takesUnderWay >= this._options.maxTakesUnderWay) return
      const ours = proposal.get(shard.spec.shardId) === this._member.entry.processId
      if (ours && !shard.damaged && shard.ownership.canTake((owner) => this.members.isAlive(owner))) this._take(shard)
    }
  }

  private _propose (): ReadonlyMap<string, string> {
    const specs = this._shards.all().map((shard) => shard.spec)
    return this._assignment.propose(specs, this.members.candidates(), (shardId) => this._livingOwner(shardId))
  }

  private _livingOwner (shardId: string): string | undefined {
    const owner = this._shards.get(shardId)?.ownership.owner
    return owner !== undefined && this.members.isAlive(owner) ? owner.processId : undefined
  }

  /** Hands over one shard at a time that the proposal gives to another: newcomers get their share, queues move seldom. */
  private _rebalance (): void {
    if (!this._loaded || this._stopping || !this._reachable) return
    if (this._clock.nowMs() - this._membersSinceMs < this._options.rebalanceAfterMs) return
    if (this._shards.all().some((shard) => shard.releasing)) return
    const proposal = this._propose()
    const surplus = this.held().find(({ shardId }) => proposal.has(shardId) && proposal.get(shardId) !== this._member.entry.processId)
    if (surplus !== undefined) this.release(surplus.shardId)
  }

  private async _take (shard: IKnownShard): Promise<void> {
    const write = shard.ownership.take()
    if (write === undefined) return
    this._takesUnderWay += 1
    await this._write(shard, write)
    this._takesUnderWay -= 1
    this._evaluateSoon()
  }

  private async _write (shard: IKnownShard, write: IRecordWrite): Promise<void> {
    await this._writer.write(shard.ownership, write, {
      onChange: (change) => { this._shards.apply(shard, change) },
      onRead: (read) => { this._shards.see(read, false) }
    })
  }

  private _changed (shard: IKnownShard, change: OwnershipChange): void {
    const { shardId, kind } = shard.spec
    if (change.type === 'acquired') {
      this._onAcquired.fire({ shardId, kind, epoch: change.epoch })
      return
    }
    this._onLost.fire({ shardId, kind, epoch: change.epoch, reason: change.event === 'WRITE_OK' ? 'released' : 'taken' })
  }
}
