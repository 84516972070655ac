/**
 * The record and the current statement of every member. This class only merges statements. Which statements are made,
 * and when, is decided elsewhere.
 */

import { Emitter } from '../Emitter.js'
import type { IMemberNews, IMemberRecord } from '../protocol/Types.js'
import { comparePrecedence } from './Precedence.js'
import { Tombstones } from './Tombstones.js'
import { ViewDigest } from './ViewDigest.js'

/** The result of merging a statement. `older` and `same` changed nothing. `unknown`: the record of the process is missing. */
export type MergeResult = 'applied' | 'older' | 'same' | 'unknown'

export interface IViewChange {
  readonly record: IMemberRecord
  /** Undefined for a new member. */
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

  /** The current statement about a process, including a member that was forgotten. */
  public statementOf (processId: string): IMemberNews | undefined {
    return this._records.get(processId) ?? this._tombstones.get(processId)
  }

  /** Merges a statement about a member. */
  public applyNews (news: IMemberNews): MergeResult {
    const current = this.statementOf(news.processId)
    const precedence = current === undefined ? 1 : comparePrecedence(news, current)
    if (precedence === 0) return 'same'
    if (precedence < 0) return 'older'
    const record = this._records.get(news.processId)
    if (record?.incarnation === news.incarnation) {
      this._setRecord({ ...record, sequence: news.sequence, state: news.state }, record)
      return 'applied'
    }
    if (news.state !== 'dead') return 'unknown'
    this._applyUnknownDeath(news, record)
    return 'applied'
  }

  /** Merges a full record. */
  public putRecord (record: IMemberRecord): MergeResult {
    const result = this.applyNews(record)
    if (result !== 'unknown') return result
    const previous = this._records.get(record.processId)
    if (previous === undefined && this._records.size >= this._maxMembers) return 'unknown'
    this._tombstones.delete(record.processId)
    this._setRecord(record, previous)
    return 'applied'
  }

  /** Removes the record of a dead member and keeps its last statement as a tombstone. */
  public forget (record: IMemberRecord): void {
    this._records.delete(record.processId)
    this._tombstones.put(record)
  }

  /**
   * Applies the death of an incarnation whose record is not known. The record of an earlier incarnation is marked dead
   * and removed. If it were kept under the new incarnation, a refutation would make it alive again with the addresses
   * of the old process.
   */
  private _applyUnknownDeath (news: IMemberNews, record: IMemberRecord | undefined): void {
    if (record !== undefined) {
      this._setRecord({ ...record, state: 'dead' }, record)
      this._records.delete(record.processId)
    }
    this._tombstones.put(news)
  }

  private _setRecord (record: IMemberRecord, previous: IMemberRecord | undefined): void {
    if (previous !== undefined) this._digest.toggle(previous)
    this._digest.toggle(record)
    this._records.set(record.processId, record)
    this._changeEmitter.fire(previous === undefined ? { record } : { record, previous })
  }
}
