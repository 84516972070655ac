/**
 * One shard as this process sees it: whether it is ours, and which write comes next. The states are those of
 * `charts/shardOwnership.json`, which this class interprets.
 *
 * What can go wrong: a process is paused, its lease lapses, another one takes the shard over, and the first wakes
 * believing that it owns it; one would see two processes place on the same hosts. The epoch prevents it: each change
 * of owner raises it by compare-and-swap, and hosts and logs refuse an older one. So this class only has to notice:
 * from a fence, from the record, or from a lost write.
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
  /** Ours: fence the hosts or take the log over, then call `ready`. */
  | { readonly type: 'acquired', readonly epoch: number }
  /** Not ours any more: place nothing, answer nothing on its behalf. */
  | { readonly type: 'lost', readonly epoch: number, readonly event: OwnershipEvent }

export interface IRecordWrite extends IStoreWrite {
  readonly record: IShardRecord
}

/** All that a `ShardOwnership` remembers, as plain data. */
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
  // The conflict may be with an earlier try of this same write, whose answer was lost.
  conflict: 'READ_BACK'
}

/** States in which a write is under way or in doubt. */
const WRITING: ReadonlySet<OwnershipState> = new Set(['taking', 'confirming', 'releasing'])

const HELD: ReadonlySet<OwnershipState> = new Set(['recovering', 'serving', 'releasing'])

/** Where the record of a shard stands. */
export function shardKey (shardId: string): string {
  return `shards/${shardId}`
}

export class ShardOwnership {
  private _state: OwnershipState
  private _record: IShardRecord | undefined
  private _modRevision: number
  private _write: IRecordWrite | undefined
  private _heldEpoch: number
  /** The highest epoch that a host or a log has been seen to hold; the next one must be higher. */
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

  /** For the dump of a process, and for the specification, which explores states. */
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

  /** Our epoch while the shard is held. */
  public get epoch (): number {
    return this._heldEpoch
  }

  public get held (): boolean {
    return HELD.has(this._state)
  }

  /** The record as last seen. */
  public get record (): IShardRecord | undefined {
    return this._record
  }

  /** Whether the owner on record is gone, has restarted, has released it, or is this process with lost memory of it. */
  public canTake (isAlive: (owner: IOwner) => boolean): boolean {
    if (this._state !== 'absent') return false
    const owner = this.owner
    return owner === undefined || this._isSelf(owner) || !isAlive(owner)
  }

  /** The owner on record; undefined if there is none or it was released. */
  public get owner (): IOwner | undefined {
    if (this._record === undefined || this._record.owner === '') return undefined
    return { processId: this._record.owner, incarnation: this._record.ownerIncarnation }
  }

  /** Starts a takeover; do the write and report to `wrote`. */
  public take (): IRecordWrite | undefined {
    if (!this._chart.takes(this._state, 'TAKE')) return undefined
    this._write = this._buildWrite(this._self, Math.max(this._record?.epoch ?? 0, this._fencedEpoch) + 1)
    this._step('TAKE')
    return this._write
  }

  /** Starts a planned release; the epoch stays on record. */
  public release (): IRecordWrite | undefined {
    if (!this._chart.takes(this._state, 'RELEASE')) return undefined
    this._write = this._buildWrite({ processId: '', incarnation: 0 }, this._heldEpoch)
    this._step('RELEASE')
    return this._write
  }

  /** The write under way, to be done again word for word after a doubt. */
  public get pendingWrite (): IRecordWrite | undefined {
    return this._state === 'taking' || this._state === 'releasing' ? this._write : undefined
  }

  /** Reports how a write went. After `confirming` or `releasing`, read the record next and report it to `observe`. */
  public wrote (write: IRecordWrite, outcome: WriteOutcome, modRevision: number): OwnershipChange | undefined {
    if (write.record.nonce !== this._write?.record.nonce) return undefined
    if (outcome === 'ok') this._see(write.record, modRevision)
    return this._step(EVENT_BY_OUTCOME[outcome])
  }

  /**
   * Reports the record as a read or the watch gave it. An older revision than one already seen is ignored: a watch
   * lags, and acting on it would drop a shard that has just been taken.
   */
  public observe (record: IShardRecord | undefined, modRevision: number): OwnershipChange | undefined {
    if (modRevision < this._modRevision) return undefined
    this._see(record, modRevision)
    return this._step(this._eventOf(record, modRevision === this._write?.expectedModRevision))
  }

  /** A host or a log refused our epoch. One not above ours is an echo of an earlier owner. */
  public fenced (currentEpoch: number): OwnershipChange | undefined {
    this._fencedEpoch = Math.max(this._fencedEpoch, currentEpoch)
    return currentEpoch > this._heldEpoch ? this._step('FENCED') : undefined
  }

  /** Everything that the takeover needs has been read: from now on it may place. */
  public ready (epoch: number): void {
    if (epoch === this._heldEpoch) this._step('READY')
  }

  private _see (record: IShardRecord | undefined, modRevision: number): void {
    this._record = record
    this._modRevision = modRevision
  }

  private _eventOf (record: IShardRecord | undefined, unchanged: boolean): OwnershipEvent {
    if (this._state === 'releasing' && record?.nonce === this._write?.record.nonce) return 'WRITE_OK'
    if (this._isOwn(record)) return 'SEEN_OWN'
    return unchanged ? 'SEEN_UNCHANGED' : 'SEEN_OTHER'
  }

  /** Our own write, whether it is the one under way or an earlier one whose answer never came. */
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

  private _step (event: OwnershipEvent): OwnershipChange | undefined {
    const heldBefore = this.held
    this._state = this._chart.next(this._state, event) as OwnershipState
    if (!WRITING.has(this._state)) this._write = undefined
    if (this.held === heldBefore) return undefined
    if (this.held) return this._acquired()
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
