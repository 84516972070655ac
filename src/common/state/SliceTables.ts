/**
 * What an id shard's log says, kept up to date entry by entry: claims and jobs.
 *
 * Entries count from the moment they are queued, so that two claims in the same commit can't both be granted. They
 * are taken back if the commit proves without effect; answers wait until it is durable.
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

  /** Takes in entries that are durable already. */
  public recover (entries: readonly SliceEntry[]): void {
    for (const entry of entries) {
      this.claims.apply(entry)
      this.jobs.apply(entry)
    }
  }

  /** Takes in an entry that has been queued. */
  public queue (entry: SliceEntry): void {
    const undoClaim = this.claims.apply(entry)
    const undoJob = this.jobs.apply(entry)
    this._undos.push(() => {
      undoJob()
      undoClaim()
    })
  }

  /** The oldest `count` queued entries are durable. */
  public committed (count: number): void {
    this._undos.splice(0, count)
  }

  /** The newest `count` queued entries are without effect. */
  public dropped (count: number): void {
    const undos = this._undos.splice(this._undos.length - count, count)
    for (const undo of undos.reverse()) undo()
  }

  /** Forgets what is older than `before`. */
  public expire (before: EpochMs): void {
    this.claims.expire(before)
    this.jobs.expire(before)
  }
}
