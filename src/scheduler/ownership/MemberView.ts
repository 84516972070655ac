/**
 * The registered members, from a range read of the store and the watch that follows it.
 */

import { MEMBER_PREFIX, parseMemberEntry } from './MemberRegistration.js'

import type { IOwner } from '../../common/state/ShardOwnership.js'
import type { IStoreChange, IStoreRecord } from '../../runtime/Types.js'
import type { IMemberEntry } from './MemberRegistration.js'

export class MemberView {
  private readonly _members = new Map<string, IMemberEntry>()

  /** Replaces all members. */
  public reset (records: readonly IStoreRecord[]): void {
    this._members.clear()
    for (const record of records) this._putRecord(record)
  }

  public apply (changes: readonly IStoreChange[]): void {
    for (const change of changes) {
      if (change.deleted) this._members.delete(change.key.slice(MEMBER_PREFIX.length))
      else this._putRecord(change)
    }
  }

  public all (): readonly IMemberEntry[] {
    return [...this._members.values()]
  }

  /** The schedulers that may be assigned shards. */
  public candidates (): readonly IMemberEntry[] {
    return this.all().filter((member) => member.role === 'scheduler' && !member.draining)
  }

  /** Whether exactly this incarnation is registered. */
  public isAlive (owner: IOwner): boolean {
    return this._members.get(owner.processId)?.incarnation === owner.incarnation
  }

  private _putRecord (record: IStoreRecord): void {
    const entry = parseMemberEntry(record.value)
    if (entry !== undefined) this._members.set(record.key.slice(MEMBER_PREFIX.length), entry)
  }
}
