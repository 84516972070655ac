/**
 * Decides which attempt may dispatch a non-idempotent request, from the claims, blocks and releases in an id shard's log.
 *
 * An attempt is dead once it has been blocked or released, and can never claim again. A claim is held by at most one attempt, and
 * only a release by its holder frees it for another one.
 */

import type { EpochMs } from '../Types.js'
import type { SliceEntry } from './Types.js'

/**
 * The maximum age of an attempt that may still claim, in milliseconds. Claims and blocks are kept for ten minutes: an older
 * attempt could claim an id whose first claim has been forgotten, and the work would run twice. So a request that isn't
 * idempotent gets no deadline beyond this, and repeats of its id are recognised for the rest of the ten minutes.
 */
export const MAX_ATTEMPT_AGE_MS = 300_000

export type ClaimDecision =
  /** Append a claim entry; the claim is granted once it is durable. */
  | { readonly decision: 'append' }
  | { readonly decision: 'granted' }
  | { readonly decision: 'duplicate', readonly attemptId: string, readonly holder: string }
  | { readonly decision: 'blocked' }

export type BlockDecision =
  /** Append a block entry; the attempt is blocked once it is durable. */
  | { readonly decision: 'append' }
  | { readonly decision: 'blocked' }
  | { readonly decision: 'claimed', readonly holder: string }

/** Undoes one applied entry. */
export type Undo = () => void

interface IClaim {
  readonly attemptId: string
  readonly holder: string
}

interface IClaimRecord {
  claim: IClaim | undefined
  readonly dead: Set<string>
  newestAt: EpochMs
}

interface IAgedKey {
  readonly key: string
  readonly at: EpochMs
}

const NO_UNDO: Undo = () => {}

export class ClaimTable {
  private readonly _records = new Map<string, IClaimRecord>()
  /** Keys in the order of their entries, for expiry without a scan. */
  private _keysByAge: IAgedKey[] = []

  public get size (): number {
    return this._records.size
  }

  /** Applies an entry, and returns the function that undoes it, for a commit that had no effect. Undo entries in reverse order. */
  public apply (entry: SliceEntry): Undo {
    if (entry.type === 'job' || entry.type === 'jobEnd') return NO_UNDO
    const record = this._recordOf(entry.key)
    record.newestAt = Math.max(record.newestAt, entry.at)
    this._keysByAge.push({ key: entry.key, at: entry.at })
    if (entry.type === 'claim') return this._applyClaim(record, entry)
    return this._markDead(record, entry.attemptId)
  }

  /** Decides whether this attempt may have the claim. The same attempt and holder may ask again, since answers can be lost. */
  public decideClaim (key: string, attemptId: string, holder: string): ClaimDecision {
    const record = this._records.get(key)
    if (record?.dead.has(attemptId) === true) return { decision: 'blocked' }
    if (record?.claim === undefined) return { decision: 'append' }
    if (record.claim.attemptId === attemptId && record.claim.holder === holder) return { decision: 'granted' }
    return { decision: 'duplicate', attemptId: record.claim.attemptId, holder: record.claim.holder }
  }

  /** Decides whether this attempt can be prevented from ever running. */
  public decideBlock (key: string, attemptId: string): BlockDecision {
    const record = this._records.get(key)
    if (record?.dead.has(attemptId) === true) return { decision: 'blocked' }
    if (record?.claim?.attemptId === attemptId) return { decision: 'claimed', holder: record.claim.holder }
    return { decision: 'append' }
  }

  /** Whether `holder` holds the claim with this attempt and so can release it. */
  public holds (key: string, attemptId: string, holder: string): boolean {
    const claim = this._records.get(key)?.claim
    return claim?.attemptId === attemptId && claim.holder === holder
  }

  /** Forgets keys whose newest entry is older than `before`. */
  public expire (before: EpochMs): void {
    const kept = this._keysByAge.findIndex((age) => age.at >= before)
    const expired = this._keysByAge.splice(0, kept < 0 ? this._keysByAge.length : kept)
    for (const { key } of expired) {
      const record = this._records.get(key)
      if (record !== undefined && record.newestAt < before) this._records.delete(key)
    }
  }

  private _recordOf (key: string): IClaimRecord {
    const found = this._records.get(key)
    if (found !== undefined) return found
    const record: IClaimRecord = { claim: undefined, dead: new Set(), newestAt: 0 }
    this._records.set(key, record)
    return record
  }

  private _applyClaim (record: IClaimRecord, claim: IClaim): Undo {
    const before = record.claim
    record.claim = { attemptId: claim.attemptId, holder: claim.holder }
    return () => { record.claim = before }
  }

  private _markDead (record: IClaimRecord, attemptId: string): Undo {
    const before = record.claim
    const wasDead = record.dead.has(attemptId)
    record.dead.add(attemptId)
    if (before?.attemptId === attemptId) record.claim = undefined
    return () => {
      record.claim = before
      if (!wasDead) record.dead.delete(attemptId)
    }
  }
}
