/**
 * Follows the records of members in the store for an agent. It fits the store's watch listener for `MEMBER_PREFIX`.
 */

import { decodeMember, processIdOf } from '../common/membership/MemberRecord.js'
import type { IMember } from '../common/protocol/Types.js'

/** What the watch gives of a record. */
export interface IStoredMember {
  readonly key: string
  readonly value: string
}

/** What it tells; `MembershipAgent` is one. */
export interface IStoreMembersListener {
  storeReachable (reachable: boolean): void
  storePresent (member: IMember): void
  storeAbsent (processId: string): void
  storeAll (members: readonly IMember[]): void
}

export class StoreMembers {
  public constructor (private readonly _listener: IStoreMembersListener) {}

  public onChanges (changes: ReadonlyArray<IStoredMember & { readonly deleted: boolean }>): void {
    for (const { key, value, deleted } of changes) {
      const member = deleted ? undefined : decodeMember(value)
      if (member !== undefined) this._listener.storePresent(member)
      else if (deleted) this._listener.storeAbsent(processIdOf(key))
    }
  }

  public onReset (range: { readonly records: readonly IStoredMember[] }): void {
    this._listener.storeAll(range.records.flatMap(({ value }) => decodeMember(value) ?? []))
  }

  public onReachable (reachable: boolean): void {
    this._listener.storeReachable(reachable)
  }
}
