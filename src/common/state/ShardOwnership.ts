/**
 * The ownership of one shard as this process sees it: whether the process owns it, and which write comes next. The states are
 * those of `charts/shardOwnership.json`, which this class interprets.
 *
 * It guards against this failure: a process is paused, its lease expires, another process takes the shard over, and the first one
 * resumes and still acts as the owner. Both would place work on the same hosts. The epoch prevents this: each change of
 * owner raises it by compare-and-swap, and hosts and logs refuse an older one. So this class only has to detect the loss: from a
 * fence, from the record, or from a failed write.
 */

import type { ChartTable } from './ChartTable.js'
import type { IShardRecord, IShardSpec, IStoreWrite, WriteOutcome } from './Types.js'

export type OwnershipState = 'absent' | 'taking' | 'confirming' | 'recovering' | 'serving' | 'releasing'

export type OwnershipEvent =
  | 'TAKE' | 'WRITE_OK' | 'WRITE_NOTHING' | 'READ_BACK'
  | 'SEEN_OWN' | 'SEEN_OTHER' | 'SEEN_UNCHANGED' | 'READY' | 'FENCED' | 'RELEASE'

export interface IOwner {
  readonly processId: string
  readonly incarnation: number
}

export type OwnershipChange =
  /** This process owns the shard: fence the hosts or take the log over, then mark the shard as ready. */
  | { readonly type: 'acquired', readonly epoch: number }
  /** This process no longer owns the shard: place nothing and answer nothing on its behalf. */
  | { readonly type: 'lost', readonly epoch: number, readonly event: OwnershipEvent }

export interface IRecordWrite extends IStoreWrite {
  readonly record: IShardRecord
}

/** The whole state of a `ShardOwnership`, as plain data. */
export interface IOwnershipSnapshot {
  readonly state: OwnershipState
  readonly record: IShardRecord | undefined
  readonly modRevision: number
  readonly write: IRecordWrite | undefined
  readonly heldEpoch: number
  readonly fencedEpoch: number
}

const EVENT_BY_OUTCOME: Readonly<Record<WriteOutcome, OwnershipEvent>> = {
  ok: 'WRITE_OK',
  nothing: 'WRITE_NOTHING',
  ambiguous: 'READ_BACK',
  // The conflict may be with an earlier try of the same write, whose answer was lost.
  conflict: 'READ_BACK'
}

/** States in which a write is in flight or its outcome is unknown. */
const WRITING_STATES: ReadonlySet<OwnershipState> = new Set(['taking', 'confirming', 'releasing'])

const HELD_STATES: ReadonlySet<OwnershipState> = new Set(['recovering', 'serving', 'releasing'])

/** The store key of a shard's record. */
export function shardKey (shardId: string): string {
  return `shards/${shardId}`
}

export class ShardOwnership {
  private _state: OwnershipState
  private _record: IShardRecord | undefined
  private _modRevision: number
  private _write: IRecordWrite | undefined
  private _heldEpoch: number
  /** The highest epoch that a host or a log was seen with. The next epoch must be higher. */
  private _fencedEpoch: number

  public constructor (
    private readonly _chart: ChartTable,
    private readonly _self: IOwner,
    private readonly _spec: IShardSpec,
    private readonly _nonce: () => string,
    from?: IOwnershipSnapshot
  ) {
    this._state = from?.state ?? _chart.initial as OwnershipState
    this._record = from?.record
    this._modRevision = from?.modRevision ?? 0
    this._write = from?.write
    this._heldEpoch = from?.heldEpoch ?? 0
    this._fencedEpoch = from?.fencedEpoch ?? 0
  }

  /** The state as plain data, for the dump of a process and for the specification, which explores states. */
  public snapshot (): IOwnershipSnapshot {
    return {
      state: this._state,
      record: this._record,
      modRevision: this._modRevision,
      write: this._write,
      heldEpoch: this._heldEpoch,
      fencedEpoch: this._fencedEpoch
    }
  }

  public get state (): OwnershipState {
    return this._state
  }

  /** The epoch of this process while it holds the shard. */
  public get epoch (): number {
    return this._heldEpoch
  }

  public get isHeld (): boolean {
    return HELD_STATES.has(this._state)
  }

  /** The record as it was last seen. */
  public get record (): IShardRecord | undefined {
    return this._record
  }

  /**
   * Whether this process may take the shard over: the recorded owner is gone, has restarted or has released it, or is this
   * process, which no longer knows that it owns the shard.
   */
  public canTakeOver (isAlive: (owner: IOwner) => boolean): boolean {
    if (this._state !== 'absent') return false
    const owner = this.owner
    return owner === undefined || this._isSelf(owner) || !isAlive(owner)
  }

  /** The recorded owner; undefined if there is none or the shard was released. */
  public get owner (): IOwner | undefined {
    if (this._record === undefined || this._record.owner === '') return undefined
    return { processId: this._record.owner, incarnation: this._record.ownerIncarnation }
  }

  /** Starts a takeover. Perform the returned write and report its outcome. */
  public startTakeover (): IRecordWrite | undefined {
    if (!this._chart.hasTransition(this._state, 'TAKE')) return undefined
    this._write = this._buildWrite(this._self, Math.max(this._record?.epoch ?? 0, this._fencedEpoch) + 1)
    this._applyEvent('TAKE')
    return this._write
  }

  /** Starts a planned release. The epoch stays in the record. */
  public startRelease (): IRecordWrite | undefined {
    if (!this._chart.hasTransition(this._state, 'RELEASE')) return undefined
    this._write = this._buildWrite({ processId: '', incarnation: 0 }, this._heldEpoch)
    this._applyEvent('RELEASE')
    return this._write
  }

  /** The write in flight, to be repeated unchanged if its outcome is unknown. */
  public get pendingWrite (): IRecordWrite | undefined {
    return this._state === 'taking' || this._state === 'releasing' ? this._write : undefined
  }

  /** Reports the outcome of a write. In the states `confirming` and `releasing`, read the record next and report it to `observe`. */
  public reportWrite (write: IRecordWrite, outcome: WriteOutcome, modRevision: number): OwnershipChange | undefined {
    if (write.record.nonce !== this._write?.record.nonce) return undefined
    if (outcome === 'ok') this._setRecord(write.record, modRevision)
    return this._applyEvent(EVENT_BY_OUTCOME[outcome])
  }

  /**
   * Reports the record as a read or the watch returned it. A revision older than the latest one seen is ignored: a watch lags
   * behind, and acting on it would drop a shard that has just been taken.
   */
  public observe (record: IShardRecord | undefined, modRevision: number): OwnershipChange | undefined {
    if (modRevision < this._modRevision) return undefined
    this._setRecord(record, modRevision)
    return this._applyEvent(this._eventOf(record, modRevision === this._write?.expectedModRevision))
  }

  /**
   * Reports that a host or a log refused an epoch. If `currentEpoch` isn't above the held epoch, the refusal is a late answer to an
   * earlier owner.
   */
  public reportFenced (currentEpoch: number): OwnershipChange | undefined {
    this._fencedEpoch = Math.max(this._fencedEpoch, currentEpoch)
    return currentEpoch > this._heldEpoch ? this._applyEvent('FENCED') : undefined
  }

  /** Reports that the takeover has read everything that it needs: from now on this process may place work. */
  public markReady (epoch: number): void {
    if (epoch === this._heldEpoch) this._applyEvent('READY')
  }

  private _setRecord (record: IShardRecord | undefined, modRevision: number): void {
    this._record = record
    this._modRevision = modRevision
  }

  private _eventOf (record: IShardRecord | undefined, unchanged: boolean): OwnershipEvent {
    if (this._state === 'releasing' && record?.nonce === this._write?.record.nonce) return 'WRITE_OK'
    if (this._isOwn(record)) return 'SEEN_OWN'
    return unchanged ? 'SEEN_UNCHANGED' : 'SEEN_OTHER'
  }

  /** Whether the record is a write of this process, either the one in flight or an earlier one that was never answered. */
  private _isOwn (record: IShardRecord | undefined): boolean {
    return record !== undefined && this._isSelf({ processId: record.owner, incarnation: record.ownerIncarnation }) &&
      record.epoch > this._fencedEpoch
  }

  private _isSelf (owner: IOwner): boolean {
    return owner.processId === this._self.processId && owner.incarnation === this._self.incarnation
  }

  private _buildWrite (owner: IOwner, epoch: number): IRecordWrite {
    const record: IShardRecord = {
      shardId: this._spec.shardId,
      kind: this._spec.kind,
      owner: owner.processId,
      ownerIncarnation: owner.incarnation,
      epoch,
      nonce: this._nonce()
    }
    return { key: shardKey(this._spec.shardId), expectedModRevision: this._modRevision, value: JSON.stringify(record), record }
  }

  private _applyEvent (event: OwnershipEvent): OwnershipChange | undefined {
    const heldBefore = this.isHeld
    this._state = this._chart.next(this._state, event) as OwnershipState
    if (!WRITING_STATES.has(this._state)) this._write = undefined
    if (this.isHeld === heldBefore) return undefined
    if (this.isHeld) return this._acquired()
    return this._lost(event)
  }

  private _acquired (): OwnershipChange {
    this._heldEpoch = this._record?.epoch ?? 0
    return { type: 'acquired', epoch: this._heldEpoch }
  }

  private _lost (event: OwnershipEvent): OwnershipChange {
    const epoch = this._heldEpoch
    this._heldEpoch = 0
    return { type: 'lost', epoch, event }
  }
}
