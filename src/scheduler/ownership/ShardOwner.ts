/**
 * Holds this process's share of the shards: takes over shards that have no live owner, gives up shards that another
 * process has taken, releases surplus shards to new members, and releases everything on a planned stop.
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
import type { IShardAcquired, IShardLost, IShardOwnerOptions, IShardReleaseHandler } from './Types.js'

/** Changes within this time are evaluated together: the loss of a failure domain causes hundreds. In milliseconds. */
const COALESCE_MS = 20

export class ShardOwner implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private readonly _onAcquired = this._disposables.add(new Emitter<IShardAcquired>())
  /** A shard was acquired: fence its hosts or take its log over under this epoch, then call `markReady`. */
  public readonly onAcquired = this._onAcquired.event
  private readonly _onLost = this._disposables.add(new Emitter<IShardLost>())
  public readonly onLost = this._onLost.event
  private readonly _onMembersChanged = this._disposables.add(new Emitter<void>())
  /** The registered members have changed. */
  public readonly onMembersChanged = this._onMembersChanged.event
  private readonly _onReachable = this._disposables.add(new Emitter<boolean>())
  public readonly onReachable = this._onReachable.event
  /** A record can't be decoded; its shard gets no new owner until the record is repaired. */
  public readonly onDamaged: Event<InvalidInputError>

  public readonly members = new MemberView()
  private readonly _writer: ShardRecordWriter
  private readonly _shards: ShardSet
  private readonly _pendingReads = new Map<string, Promise<IShardRecord | undefined>>()
  private _evaluationTimer: IDisposable | undefined
  private _pendingTakeovers = 0
  private _isLoaded = false
  private _isStopping = false
  private _isDisposed = false
  private _isReachable = true
  private _noTakeoverBeforeMs: MonotonicMs = 0
  private _membersChangedAtMs: MonotonicMs = 0

  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _clock: IClock & ITimers,
    private readonly _member: MemberRegistration,
    private readonly _chart: ChartTable,
    private readonly _assignment: ShardAssignment,
    private readonly _releaseHandler: IShardReleaseHandler,
    private readonly _nonce: () => string,
    private readonly _options: IShardOwnerOptions
  ) {
    const self = { processId: _member.entry.processId, incarnation: _member.entry.incarnation }
    this._shards = this._disposables.add(new ShardSet((spec) => new ShardOwnership(_chart, self, spec, _nonce)))
    this.onDamaged = this._shards.onDamaged
    this._shards.onChange(({ shard, change }) => { this._handleOwnershipChange(shard, change) })
    this._writer = this._disposables.add(new ShardRecordWriter(_store, _clock, _options.evaluationIntervalMs))
    this._disposables.add(this._member.onRegistered(() => { this._evaluateSoon() }))
  }

  /** Loads the members and the shard records, then watches them. */
  public start (): void {
    this._disposables.add(this._clock.every(this._options.evaluationIntervalMs, () => { this._tick() }))
    this._load()
  }

  /** Adds the shards that exist: the racks of the host list and the fixed id shards. Held shards that aren't listed stay held. */
  public setShards (specs: readonly IShardSpec[]): void {
    for (const spec of specs) this._shards.add(spec)
    this._evaluateSoon()
  }

  /** The epoch under which this process holds the shard; undefined if it doesn't. */
  public epochOf (shardId: string): number | undefined {
    const ownership = this._shards.get(shardId)?.ownership
    return ownership?.isHeld === true ? ownership.epoch : undefined
  }

  /** The shards that this process holds, with their epochs. */
  public held (): readonly IShardAcquired[] {
    return this._shards.held().map(({ spec, ownership }) => ({ shardId: spec.shardId, kind: spec.kind, epoch: ownership.epoch }))
  }

  /** The owner on record, for routing; undefined if there is none. */
  public ownerOf (shardId: string): string | undefined {
    return this._shards.get(shardId)?.ownership.owner?.processId
  }

  /**
   * Whether the store, read after this call, shows this process as the shard's owner under this epoch; false also if the
   * store doesn't answer.
   *
   * Calls within a few milliseconds share one read, which is sent after the last of them. When all hosts of a rack or
   * failure domain become unreachable together, their sessions ask about the same few shards, and one read for each would
   * exceed the request rate that the store can handle.
   */
  public async confirm (shardId: string, epoch: number): Promise<boolean> {
    const record = await (this._pendingReads.get(shardId) ?? this._scheduleRead(shardId))
    return record?.epoch === epoch && record.owner === this._member.entry.processId
  }

  /** Marks the takeover of a shard as complete. */
  public markReady (shardId: string, epoch: number): void {
    this._shards.get(shardId)?.ownership.markReady(epoch)
  }

  /** Reports that a host or a log has refused this process because of a newer epoch. */
  public reportFenced (shardId: string, currentEpoch: number): void {
    const shard = this._shards.get(shardId)
    if (shard !== undefined) this._shards.fireChange(shard, shard.ownership.reportFenced(currentEpoch))
  }

  /** Releases one shard as planned, after its work has been handed over. */
  public async release (shardId: string): Promise<void> {
    const shard = this._shards.get(shardId)
    if (shard === undefined || !shard.ownership.isHeld || shard.releasing) return
    shard.releasing = true
    await this._releaseHandler.beforeRelease(shardId, shard.ownership.epoch)
    const write = shard.ownership.startRelease()
    if (write !== undefined) await this._writeRecord(shard, write)
    shard.releasing = false
  }

  /** Stops taking shards over and releases all held shards; for a planned stop. */
  public async releaseAll (): Promise<void> {
    this._isStopping = true
    await this._member.setDraining()
    await Promise.all(this.held().map(async ({ shardId }) => { await this.release(shardId) }))
  }

  public dispose (): void {
    this._isDisposed = true
    this._evaluationTimer?.dispose()
    this._disposables.dispose()
  }

  private _scheduleRead (shardId: string): Promise<IShardRecord | undefined> {
    const reading = new Promise<IShardRecord | undefined>((resolve) => {
      this._clock.after(COALESCE_MS, () => {
        this._pendingReads.delete(shardId)
        resolve(this._readRecord(shardId))
      })
    })
    this._pendingReads.set(shardId, reading)
    return reading
  }

  private async _readRecord (shardId: string): Promise<IShardRecord | undefined> {
    const key = SHARD_PREFIX + shardId
    const found = await this._store.get(key)
    if (found.isErr() || found.value === undefined) return undefined
    return decodeShardRecord(key, found.value.value).unwrapOr(undefined)
  }

  private async _load (): Promise<void> {
    const members = await this._store.range(MEMBER_PREFIX)
    const shards = await this._store.range(SHARD_PREFIX)
    if (this._isDisposed) return
    if (members.isErr() || shards.isErr()) {
      this._clock.after(this._options.evaluationIntervalMs, () => { this._load() })
      return
    }
    this._resetMembers(members.value)
    this._resetShards(shards.value)
    this._isLoaded = true
    this._watchStore(members.value.revision, shards.value.revision)
    this._evaluateSoon()
  }

  private _watchStore (membersRevision: number, shardsRevision: number): void {
    this._disposables.add(this._store.watch(MEMBER_PREFIX, membersRevision, {
      onChanges: (changes) => { this._changeMembers(() => { this.members.apply(changes) }) },
      onReset: (range) => { this._resetMembers(range) },
      onReachabilityChange: (reachable) => { this._setReachable(reachable) }
    }))
    this._disposables.add(this._store.watch(SHARD_PREFIX, shardsRevision, {
      onChanges: (changes) => { this._applyShardChanges(changes) },
      onReset: (range) => { this._resetShards(range) },
      onReachabilityChange: () => {}
    }))
  }

  private _resetMembers (range: IStoreRange): void {
    this._changeMembers(() => { this.members.reset(range.records) })
  }

  private _changeMembers (change: () => void): void {
    change()
    this._membersChangedAtMs = this._clock.nowMs()
    this._onMembersChanged.fire()
    this._evaluateSoon()
  }

  private _resetShards (range: IStoreRange): void {
    for (const record of range.records) this._shards.observeRecord(record, false)
    this._evaluateSoon()
  }

  private _applyShardChanges (changes: readonly IStoreChange[]): void {
    for (const change of changes) this._shards.observeRecord(change, change.deleted)
    this._evaluateSoon()
  }

  private _setReachable (reachable: boolean): void {
    if (reachable && !this._isReachable) this._noTakeoverBeforeMs = this._clock.nowMs() + this._options.graceAfterOutageMs
    this._isReachable = reachable
    this._onReachable.fire(reachable)
  }

  private _tick (): void {
    this._evaluate()
    this._rebalance()
  }

  private _evaluateSoon (): void {
    if (this._isDisposed) return
    this._evaluationTimer ??= this._clock.after(COALESCE_MS, () => { this._evaluate() })
  }

  private _evaluate (): void {
    this._evaluationTimer?.dispose()
    this._evaluationTimer = undefined
    if (!this._isLoaded || this._isStopping || this._isDisposed || !this._isReachable || !this._member.registered) return
    if (this._clock.nowMs() < this._noTakeoverBeforeMs) return
    const proposal = this._proposeOwners()
    for (const shard of this._shards.all()) {
      if (this._pendingTakeovers >= this._options.maxConcurrentTakeovers) return
      const isProposed = proposal.get(shard.spec.shardId) === this._member.entry.processId
      if (isProposed && !shard.damaged && shard.ownership.canTakeOver((owner) => this.members.isAlive(owner))) this._takeOver(shard)
    }
  }

  private _proposeOwners (): ReadonlyMap<string, string> {
    const specs = this._shards.all().map((shard) => shard.spec)
    return this._assignment.propose(specs, this.members.candidates(), (shardId) => this._liveOwnerOf(shardId))
  }

  private _liveOwnerOf (shardId: string): string | undefined {
    const owner = this._shards.get(shardId)?.ownership.owner
    return owner !== undefined && this.members.isAlive(owner) ? owner.processId : undefined
  }

  /** Releases one shard at a time that the proposal assigns to another member, so that new members get their share and few queues move. */
  private _rebalance (): void {
    if (!this._isLoaded || this._isStopping || !this._isReachable) return
    if (this._clock.nowMs() - this._membersChangedAtMs < this._options.rebalanceAfterMs) return
    if (this._shards.all().some((shard) => shard.releasing)) return
    const proposal = this._proposeOwners()
    const surplus = this.held().find(({ shardId }) => proposal.has(shardId) && proposal.get(shardId) !== this._member.entry.processId)
    if (surplus !== undefined) this.release(surplus.shardId)
  }

  private async _takeOver (shard: IKnownShard): Promise<void> {
    const write = shard.ownership.startTakeover()
    if (write === undefined) return
    this._pendingTakeovers += 1
    await this._writeRecord(shard, write)
    this._pendingTakeovers -= 1
    this._evaluateSoon()
  }

  private async _writeRecord (shard: IKnownShard, write: IRecordWrite): Promise<void> {
    await this._writer.write(shard.ownership, write, {
      onChange: (change) => { this._shards.fireChange(shard, change) },
      onRead: (read) => { this._shards.observeRecord(read, false) }
    })
  }

  private _handleOwnershipChange (shard: IKnownShard, change: OwnershipChange): void {
    const { shardId, kind } = shard.spec
    if (change.type === 'acquired') {
      this._onAcquired.fire({ shardId, kind, epoch: change.epoch })
      return
    }
    this._onLost.fire({ shardId, kind, epoch: change.epoch, reason: change.event === 'WRITE_OK' ? 'released' : 'taken' })
  }
}
