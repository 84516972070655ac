/**
 * The log of one id shard as its owner writes it: which compare-and-swap comes next, and what its outcome means.
 *
 * One write is in flight at a time. All entries that have arrived since the last one go into the next head (group commit), so
 * that the number of writes depends on the interval and not on the load. A head that has grown past `sealBytes` is sealed: its
 * entries are written as a segment, and the next head lists that segment and contains the new entries only.
 *
 * It guards against lost answers: if the answer to a write is lost, it is unknown whether its entries are durable, and a claim
 * could be granted twice. So such a write is repeated unchanged until it is found in the store, or another owner's head is found
 * there; nothing else is written meanwhile.
 */

import { headKey, segmentKey } from './SliceKeys.js'
import { WALL_CLOCK_MARGIN_MS } from './SliceLogTypes.js'

import type { EpochMs } from '../Types.js'
import type { ISealedSegment, ISliceLogOptions, ISliceStart, SliceProgress } from './SliceLogTypes.js'
import type { ISliceHead, ISliceSegment, IStoreWrite, SliceEntry, WriteOutcome } from './Types.js'

interface IQueued {
  readonly entry: SliceEntry
  readonly json: string
}

interface IHeadWrite extends IStoreWrite {
  readonly kind: 'head'
  readonly head: ISliceHead
  readonly batch: readonly IQueued[]
  readonly sealed: ISealedSegment | undefined
  readonly compacted: ISealedSegment | undefined
}

interface ISegmentWrite extends IStoreWrite {
  readonly kind: 'segment'
  readonly name: string
}

interface IDeleteWrite extends IStoreWrite {
  readonly kind: 'delete'
}

type Write = IHeadWrite | ISegmentWrite | IDeleteWrite

export class SliceLog {
  private readonly _key: string
  private _head: ISliceHead
  private _modRevision: number
  private _headBytes: number
  private _segments: readonly ISealedSegment[]
  private _garbage: { readonly key: string, readonly modRevision: number }[]
  private _sealed: ISealedSegment | undefined
  private _sealCount = 0
  private _compacting: { readonly segment: ISealedSegment, readonly through: number } | undefined
  private _queue: IQueued[] = []
  private _write: Write | undefined
  private _isInDoubt = false

  public constructor (
    private readonly _options: ISliceLogOptions,
    private readonly _nonce: () => string,
    start: ISliceStart
  ) {
    this._key = headKey(_options.shardId)
    this._head = start.head
    this._modRevision = start.modRevision
    this._headBytes = JSON.stringify(start.head).length
    this._segments = start.segments
    this._garbage = [...start.garbage]
  }

  public get segmentCount (): number {
    return this._segments.length
  }

  /** Whether the outcome of a write is unknown, so that its entries may or may not be durable. */
  public get isInDoubt (): boolean {
    return this._isInDoubt
  }

  /** The number of entries that are queued or part of the write in flight. */
  public get pendingCount (): number {
    const underWay = this._write?.kind === 'head' ? this._write.batch.length : 0
    return underWay + this._queue.length
  }

  /** Queues an entry for the next commit. Returns false if it is larger than a commit may be. */
  public append (entry: SliceEntry): boolean {
    const json = JSON.stringify(entry)
    if (json.length > this._options.maxCommitBytes) return false
    this._queue.push({ entry, json })
    return true
  }

  /** The oldest segment, if all its entries have passed the retention. Append its live jobs, then call `compact`. */
  public expiredSegment (nowMs: EpochMs): ISealedSegment | undefined {
    const oldest = this._segments[0]
    if (oldest === undefined || this._compacting !== undefined || this._write !== undefined) return undefined
    const keptMs = this._options.retentionMs + WALL_CLOCK_MARGIN_MS
    return oldest.newestAt + keptMs < nowMs ? oldest : undefined
  }

  /**
   * Removes a segment with the commit that makes everything appended so far durable. If it were deleted earlier, a crash in
   * between would lose the live jobs that it contains.
   */
  public compact (segment: ISealedSegment): void {
    this._compacting = { segment, through: this._queue.length }
  }

  /** The write to do now, if any. While the outcome of a write is unknown, it is the same write again. */
  public nextWrite (): IStoreWrite | undefined {
    this._write ??= this._buildWrite()
    return this._write
  }

  /** Drops the entries that have not been part of any write, so that they certainly have no effect. Undo them in reverse order. */
  public dropQueued (): readonly SliceEntry[] {
    this._compacting = undefined
    return this._queue.splice(0).map((item) => item.entry)
  }

  /** Reports the outcome of the write returned by `nextWrite`; `modRevision` is the new revision if it is `ok`. */
  public reportWrite (outcome: WriteOutcome, modRevision = 0): SliceProgress {
    const write = this._write
    if (write === undefined) return { type: 'continue' }
    if (write.kind === 'delete') return this._reportDelete()
    if (write.kind === 'segment') return this._reportSegment(write, outcome, modRevision)
    return this._reportHead(write, outcome, modRevision)
  }

  /** Reports the stored head, after a reported outcome asked for it. */
  public reportHead (head: ISliceHead | undefined, modRevision: number): SliceProgress {
    const write = this._write
    if (write?.kind !== 'head') return { type: 'continue' }
    if (head?.nonce === write.head.nonce) return this._commit(write, modRevision)
    if (modRevision === write.expectedModRevision) return { type: 'continue' }
    return { type: 'lost' }
  }

  private _buildWrite (): Write | undefined {
    if (this._queue.length === 0 && this._compacting === undefined) return this._buildDelete()
    if (this._headBytes > this._options.sealBytes && this._sealed === undefined) return this._buildSegment()
    return this._buildHead()
  }

  private _buildDelete (): IDeleteWrite | undefined {
    const next = this._garbage[0]
    if (next === undefined) return undefined
    return { kind: 'delete', key: next.key, expectedModRevision: next.modRevision, value: undefined }
  }

  private _buildSegment (): ISegmentWrite {
    const name = `${this._options.epoch}-${this._sealCount}`
    const segment: ISliceSegment = { entries: this._head.entries }
    const key = segmentKey(this._options.shardId, name)
    return { kind: 'segment', name, key, expectedModRevision: 0, value: JSON.stringify(segment) }
  }

  private _buildHead (): IHeadWrite {
    const batch = this._takeBatch()
    const compacted = this._takeCompacted(batch.length)
    const kept = this._segments.filter((segment) => segment !== compacted)
    const segments = this._sealed === undefined ? kept : [...kept, this._sealed]
    const head: ISliceHead = {
      epoch: this._options.epoch,
      owner: this._options.owner,
      nonce: this._nonce(),
      segments: segments.map((segment) => segment.name),
      entries: [...(this._sealed === undefined ? this._head.entries : []), ...batch.map((item) => item.entry)]
    }
    return {
      kind: 'head', key: this._key, expectedModRevision: this._modRevision, value: JSON.stringify(head), head, batch, sealed: this._sealed, compacted
    }
  }

  private _takeBatch (): readonly IQueued[] {
    let bytes = 0
    let count = 0
    for (const item of this._queue) {
      bytes += item.json.length
      if (bytes > this._options.maxCommitBytes) break
      count += 1
    }
    return this._queue.splice(0, count)
  }

  private _takeCompacted (batchLength: number): ISealedSegment | undefined {
    const compacting = this._compacting
    if (compacting === undefined) return undefined
    if (compacting.through <= batchLength) return compacting.segment
    this._compacting = { segment: compacting.segment, through: compacting.through - batchLength }
    return undefined
  }

  private _reportDelete (): SliceProgress {
    // A segment that remains only takes up space; the next owner deletes segments that its head doesn't list.
    this._write = undefined
    this._garbage.shift()
    return { type: 'continue' }
  }

  private _reportSegment (write: ISegmentWrite, outcome: WriteOutcome, modRevision: number): SliceProgress {
    if (outcome === 'ambiguous') return { type: 'continue' }
    if (outcome === 'nothing') return this._drop([])
    // A conflict means that an earlier try of this write did arrive: no other process writes a name with this epoch.
    this._write = undefined
    this._sealCount += 1
    this._sealed = { name: write.name, modRevision, ...summariseEntries(this._head.entries) }
    return { type: 'continue' }
  }

  private _reportHead (write: IHeadWrite, outcome: WriteOutcome, modRevision: number): SliceProgress {
    if (outcome === 'ok') return this._commit(write, modRevision)
    if (outcome === 'nothing' && !this._isInDoubt) return this._drop(write.batch)
    if (outcome === 'nothing') return { type: 'continue' }
    this._isInDoubt = true
    return { type: 'readBack', key: this._key }
  }

  private _commit (write: IHeadWrite, modRevision: number): SliceProgress {
    this._isInDoubt = false
    this._write = undefined
    this._head = write.head
    this._headBytes = write.value?.length ?? 0
    this._modRevision = modRevision
    this._updateSegments(write)
    return { type: 'committed', entries: write.batch.map((item) => item.entry) }
  }

  private _updateSegments (write: IHeadWrite): void {
    this._segments = this._segments.filter((segment) => segment !== write.compacted)
    if (write.sealed !== undefined) {
      this._segments = [...this._segments, write.sealed]
      this._sealed = undefined
    }
    if (write.compacted === undefined) return
    this._compacting = undefined
    const key = segmentKey(this._options.shardId, write.compacted.name)
    this._garbage.push({ key, modRevision: write.compacted.modRevision })
  }

  private _drop (batch: readonly IQueued[]): SliceProgress {
    const entries = [...batch, ...this._queue].map((item) => item.entry)
    this._write = undefined
    this._queue = []
    this._compacting = undefined
    return { type: 'dropped', entries }
  }
}

/** The properties of a segment with these entries that the log keeps in memory. */
export function summariseEntries (entries: readonly SliceEntry[]): Pick<ISealedSegment, 'newestAt' | 'jobIds'> {
  const newestAt = entries.reduce((newest, entry) => Math.max(newest, entry.at), 0)
  const jobIds = entries.flatMap((entry) => entry.type === 'job' ? [entry.job.jobId] : [])
  return { newestAt, jobIds }
}
