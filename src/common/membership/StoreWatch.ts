/**
 * Evidence about members from the store: whose record is present, and whose record is missing although the store has
 * been reachable for long enough.
 */

import type { IMember } from '../protocol/Types.js'

export class StoreWatch {
  private readonly _present = new Map<string, IMember>()
  private readonly _absent = new Map<string, IMember>()
  private _reachableSinceMs: number | undefined

  public constructor (private readonly _trustMs: number) {}

  public recordReachable (reachable: boolean, awakeMs: number): void {
    if (!reachable) this._reachableSinceMs = undefined
    else this._reachableSinceMs ??= awakeMs
  }

  public recordPresent (member: IMember): void {
    this._present.set(member.processId, member)
    this._absent.delete(member.processId)
  }

  public recordAbsent (processId: string): void {
    const member = this._present.get(processId)
    if (member === undefined) return
    this._present.delete(processId)
    this._absent.set(processId, member)
  }

  /** Replaces the present records by all records of the store, after a gap in the watch. */
  public recordAll (members: readonly IMember[]): void {
    const ids = new Set(members.map((member) => member.processId))
    for (const processId of [...this._present.keys()]) if (!ids.has(processId)) this.recordAbsent(processId)
    for (const member of members) this.recordPresent(member)
  }

  /** The members whose record is in the store. */
  public present (): IterableIterator<IMember> {
    return this._present.values()
  }

  /**
   * Returns the members whose record is missing, each one once.
   *
   * During a store outage leases expire although their holders are alive, as the holders can't renew them. Afterwards
   * their records are missing. If this counted at once, the whole cell would be suspect at the end of each outage. So a
   * missing record counts only after the store has been reachable for long enough for members to register again.
   */
  public collectAbsent (awakeMs: number): readonly IMember[] {
    if (this._reachableSinceMs === undefined || awakeMs - this._reachableSinceMs < this._trustMs) return []
    const absent = [...this._absent.values()]
    this._absent.clear()
    return absent
  }
}
