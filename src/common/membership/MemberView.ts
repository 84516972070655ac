/**
 * What is known of every member: the statement that holds, and its record. Pure merging; who says what, and when,
 * is decided elsewhere.
 */

import { Emitter } from '../Emitter.js'
import type { IMemberNews, IMemberRecord } from '../protocol/Types.js'
import { comparePrecedence } from './Precedence.js'
import { Tombstones } from './Tombstones.js'
import { ViewDigest } from './ViewDigest.js'

/** What became of a statement: `older` and `same` changed nothing, of `unknown` the record is missing. */
export type MergeResult = 'applied' | 'older' | 'same' | 'unknown'

export interface IViewChange {
  readonly record: IMemberRecord
  /** Absent for a member that was not known. */
  readonly previous?: IMemberRecord
}

export class MemberView {
  private readonly _records = new Map<string, IMemberRecord>()
  private readonly _tombstones: Tombstones
  private readonly _digest = new ViewDigest()
  private readonly _changeEmitter = new Emitter<IViewChange>()

  public readonly onChange = this._changeEmitter.event

  public constructor (private readonly _maxMembers: number, maxTombstones: number) {
    this._tombstones = new Tombstones(maxTombstones)
  }

  public get size (): number {
    return this._records.size
  }

  public get digest (): ViewDigest {
    return this._digest
  }

  public get (processId: string): IMemberRecord | undefined {
    return this._records.get(processId)
  }

  public all (): IterableIterator<IMemberRecord> {
    return this._records.values()
  }

  /** The statement that holds, of a forgotten member too. */
  public standing (processId: string): IMemberNews | undefined {
    return this._records.get(processId) ?? this._tombstones.get(processId)
  }

  /** Takes a statement about a member. */
  public apply (news: IMemberNews): MergeResult {
    const standing = this.standing(news.processId)
    const order = standing === undefined ? 1 : comparePrecedence(news, standing)
    if (order === 0) return 'same'
    if (order < 0) return 'older'
    const record = this._records.get(news.processId)
    if (record?.incarnation === news.incarnation) {
      this._set({ ...record, sequence: news.sequence, state: news.state }, record)
      return 'applied'
    }
    if (news.state !== 'dead') return 'unknown'
    this._applyUnknownDeath(news, record)
    return 'applied'
  }

  /** Takes a whole record. */
  public put (record: IMemberRecord): MergeResult {
    const result = this.apply(record)
    if (result !== 'unknown') return result
    const previous = this._records.get(record.processId)
    if (previous === undefined && this._records.size >= this._maxMembers) return 'unknown'
    this._tombstones.delete(record.processId)
    this._set(record, previous)
    return 'applied'
  }

  /** Drops the record of a dead member and keeps its last word. */
  public forget (record: IMemberRecord): void {
    this._records.delete(record.processId)
    this._tombstones.put(record)
  }

  /**
   * Nothing is known of this incarnation but its death. The record of an earlier one is dead too, and dropped: were
   * it raised to the new incarnation, a refutation would bring it back with the addresses of the old process.
   */
  private _applyUnknownDeath (news: IMemberNews, record: IMemberRecord | undefined): void {
    if (record !== undefined) {
      this._set({ ...record, state: 'dead' }, record)
      this._records.delete(record.processId)
    }
    this._tombstones.put(news)
  }

  private _set (record: IMemberRecord, previous: IMemberRecord | undefined): void {
    if (previous !== undefined) this._digest.toggle(previous)
    this._digest.toggle(record)
    this._records.set(record.processId, record)
    this._changeEmitter.fire(previous === undefined ? { record } : { record, previous })
  }
}
