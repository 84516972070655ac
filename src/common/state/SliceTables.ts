/**
 * The claims and jobs of an id shard's log, updated entry by entry.
 *
 * Entries count as soon as they are queued, so that two claims in the same commit can't both be granted. They are undone if the
 * commit had no effect; answers wait until the commit is durable.
 */

import { ClaimTable } from './ClaimTable.js'
import { JobTable } from './JobTable.js'

import type { EpochMs } from '../Types.js'
import type { Undo } from './ClaimTable.js'
import type { SliceEntry } from './Types.js'

export class SliceTables {
  public readonly claims = new ClaimTable()
  public readonly jobs = new JobTable()
  private readonly _undos: Undo[] = []

  /** Applies entries that are already durable. */
  public applyDurable (entries: readonly SliceEntry[]): void {
    for (const entry of entries) {
      this.claims.apply(entry)
      this.jobs.apply(entry)
    }
  }

  /** Applies an entry that has been queued. */
  public applyQueued (entry: SliceEntry): void {
    const undoClaim = this.claims.apply(entry)
    const undoJob = this.jobs.apply(entry)
    this._undos.push(() => {
      undoJob()
      undoClaim()
    })
  }

  /** Records that the oldest `count` queued entries are durable. */
  public confirmOldest (count: number): void {
    this._undos.splice(0, count)
  }

  /** Undoes the newest `count` queued entries, which had no effect. */
  public undoNewest (count: number): void {
    const undos = this._undos.splice(this._undos.length - count, count)
    for (const undo of undos.reverse()) undo()
  }

  /** Forgets claims and ended jobs older than `before`. */
  public expire (before: EpochMs): void {
    this.claims.expire(before)
    this.jobs.expire(before)
  }
}
