/**
 * Who may dispatch which non-idempotent request: the decisions on claims, blocks and releases over the entries of an
 * id shard's log.
 *
 * An attempt is dead once it has been blocked or released, and never claims again. A claim is held by at most one
 * attempt; only its holder's release frees it for another one.
 */

import type { EpochMs } from '../Types.js'
import type { SliceEntry } from './Types.js'

/**
 * The oldest attempt that may still claim, in milliseconds. Claims and blocks are kept for ten minutes; an attempt
 * that waited longer than that could claim an id whose first claim has been forgotten, and the work would run twice.
 * So a request that isn't idempotent gets no deadline beyond this, and repeats of its id are known for the rest of
 * the ten minutes.
 */
export const MAX_ATTEMPT_AGE_MS = 300_000

export type ClaimDecision =
  /** Append a claim entry; granted once it is durable. */
  | { readonly decision: 'append' }
  | { readonly decision: 'granted' }
  | { readonly decision: 'duplicate', readonly attemptId: string, readonly holder: string }
  | { readonly decision: 'blocked' }

export type BlockDecision =
  /** Append a block entry; blocked once it is durable. */
  | { readonly decision: 'append' }
  | { readonly decision: 'blocked' }
  | { readonly decision: 'claimed', readonly holder: string }

/** Takes one applied entry back. */
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

interface IAge {
  readonly key: string
  readonly at: EpochMs
}

const NO_UNDO: Undo = () => {}

export class ClaimTable {
  private readonly _records = new Map<string, IClaimRecord>()
  /** Keys in the order of their entries, for expiry without a scan. */
  private _ages: IAge[] = []

  public get size (): number {
    return this._records.size
  }

  /** Takes an entry in; gives how to take it back if its commit proves without effect. Undo in reverse order. */
  public apply (entry: SliceEntry): Undo {
    if (entry.type === 'job' || entry.type === 'jobEnd') return NO_UNDO
    const record = this._record(entry.key)
    record.newestAt = Math.max(record.newestAt, entry.at)
    this._ages.push({ key: entry.key, at: entry.at })
    if (entry.type === 'claim') return this._applyClaim(record, entry)
    return this._applyDeath(record, entry.attemptId)
  }

  /** Whether this attempt may have the claim. The same attempt and holder may ask again, since answers get lost. */
  public decideClaim (key: string, attemptId: string, holder: string): ClaimDecision {
    const record = this._records.get(key)
    if (record?.dead.has(attemptId) === true) return { decision: 'blocked' }
    if (record?.claim === undefined) return { decision: 'append' }
    if (record.claim.attemptId === attemptId && record.claim.holder === holder) return { decision: 'granted' }
    return { decision: 'duplicate', attemptId: record.claim.attemptId, holder: record.claim.holder }
  }

  /** Whether this attempt can be kept from ever running. */
  public decideBlock (key: string, attemptId: string): BlockDecision {
    const record = this._records.get(key)
    if (record?.dead.has(attemptId) === true) return { decision: 'blocked' }
    if (record?.claim?.attemptId === attemptId) return { decision: 'claimed', holder: record.claim.holder }
    return { decision: 'append' }
  }

  /** Whether `holder` holds the claim with this attempt, so that it can release it. */
  public holds (key: string, attemptId: string, holder: string): boolean {
    const claim = this._records.get(key)?.claim
    return claim?.attemptId === attemptId && claim.holder === holder
  }

  /** Forgets keys whose newest entry is older than `before`. */
  public expire (before: EpochMs): void {
    const kept = this._ages.findIndex((age) => age.at >= before)
    const expired = this._ages.splice(0, kept < 0 ? this._ages.length : kept)
    for (const { key } of expired) {
      const record = this._records.get(key)
      if (record !== undefined && record.newestAt < before) this._records.delete(key)
    }
  }

  private _record (key: string): IClaimRecord {
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

  private _applyDeath (record: IClaimRecord, attemptId: string): Undo {
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
