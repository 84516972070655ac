/**
 * What the store says of members: whose record is there, and whose has gone while the store could be trusted.
 */

import type { IMember } from '../protocol/Types.js'

export class StoreWatch {
  private readonly _present = new Map<string, IMember>()
  private readonly _absent = new Map<string, IMember>()
  private _reachableSinceMs: number | undefined

  public constructor (private readonly _trustMs: number) {}

  public noteReachable (reachable: boolean, awakeMs: number): void {
    if (!reachable) this._reachableSinceMs = undefined
    else this._reachableSinceMs ??= awakeMs
  }

  public notePresent (member: IMember): void {
    this._present.set(member.processId, member)
    this._absent.delete(member.processId)
  }

  public noteAbsent (processId: string): void {
    const member = this._present.get(processId)
    if (member === undefined) return
    this._present.delete(processId)
    this._absent.set(processId, member)
  }

  /** Takes the whole of what the store holds, after a gap. */
  public noteAll (members: readonly IMember[]): void {
    const ids = new Set(members.map((member) => member.processId))
    for (const processId of [...this._present.keys()]) if (!ids.has(processId)) this.noteAbsent(processId)
    for (const member of members) this.notePresent(member)
  }

  /** Members whose record is in the store. */
  public present (): IterableIterator<IMember> {
    return this._present.values()
  }

  /**
   * Members whose record has gone, each once.
   *
   * In an outage leases lapse although their holders live and only can't renew them; when the store is back, their
   * records are gone. Were that believed, one would see the whole cell suspected at the end of each outage. Absence
   * counts only after the store has been reachable for long enough to register again.
   */
  public takeAbsent (awakeMs: number): readonly IMember[] {
    if (this._reachableSinceMs === undefined || awakeMs - this._reachableSinceMs < this._trustMs) return []
    const absent = [...this._absent.values()]
    this._absent.clear()
    return absent
  }
}
