/**
 * Builds one cast of at most `maxBytes` bytes. Sizes are upper estimates of the encoded size.
 */

import type { IMemberNews, IMemberRecord, IMembersCast } from '../protocol/Types.js'

const CAST_BYTES = 40
const NEWS_BYTES = 24
const RECORD_BYTES = 40
const HASH_BYTES = 5

export class CastBuilder {
  private readonly _news = new Map<string, IMemberNews>()
  private readonly _records = new Map<string, IMemberRecord>()
  private readonly _wanted = new Set<string>()
  private readonly _listedBuckets: number[] = []
  private _bucketHashes: readonly number[] | undefined
  private _viewHash: number | undefined
  private _bytes = CAST_BYTES

  public constructor (private readonly _maxBytes: number) {}

  public get bytes (): number {
    return this._bytes
  }

  public get isEmpty (): boolean {
    return this._bytes === CAST_BYTES
  }

  /** Adds news if the size limit allows it. Returns whether the cast contains it. */
  public addNews (news: IMemberNews): boolean {
    if (this._news.has(news.processId) || this._records.has(news.processId)) return true
    if (!this._reserveBytes(newsBytes(news))) return false
    const { processId, incarnation, sequence, state } = news
    this._news.set(processId, { processId, incarnation, sequence, state })
    return true
  }

  public addRecord (record: IMemberRecord): boolean {
    if (this._records.has(record.processId)) return true
    if (!this._reserveBytes(recordBytes(record))) return false
    this._records.set(record.processId, record)
    return true
  }

  public addWanted (processId: string): boolean {
    if (this._wanted.has(processId)) return true
    if (!this._reserveBytes(processId.length + 2)) return false
    this._wanted.add(processId)
    return true
  }

  /** Adds the news of all members of a bucket, or none of them if the size limit does not allow it. Returns whether they were added. */
  public addBucket (bucket: number, members: readonly IMemberNews[]): boolean {
    const missing = members.filter((news) => !this._news.has(news.processId))
    const bytes = missing.reduce((sum, news) => sum + newsBytes(news), 2)
    if (this._bytes + bytes > this._maxBytes) return false
    for (const news of missing) this.addNews(news)
    this._listedBuckets.push(bucket)
    return true
  }

  public setViewHash (viewHash: number): void {
    if (this._reserveBytes(HASH_BYTES)) this._viewHash = viewHash
  }

  public setBucketHashes (hashes: readonly number[]): void {
    if (this._reserveBytes(HASH_BYTES * hashes.length)) this._bucketHashes = [...hashes]
  }

  public build (): IMembersCast {
    return {
      news: [...this._news.values()],
      ...(this._records.size > 0 ? { records: [...this._records.values()] } : {}),
      ...(this._wanted.size > 0 ? { wanted: [...this._wanted] } : {}),
      ...(this._viewHash !== undefined ? { viewHash: this._viewHash } : {}),
      ...(this._bucketHashes !== undefined ? { bucketHashes: this._bucketHashes } : {}),
      ...(this._listedBuckets.length > 0 ? { listedBuckets: this._listedBuckets } : {})
    }
  }

  private _reserveBytes (bytes: number): boolean {
    if (this._bytes + bytes > this._maxBytes) return false
    this._bytes += bytes
    return true
  }
}

function newsBytes (news: IMemberNews): number {
  return NEWS_BYTES + news.processId.length
}

function recordBytes (record: IMemberRecord): number {
  const { processId, region, failureDomain, peerUrl, operatorUrl } = record
  return RECORD_BYTES + processId.length + region.length + failureDomain.length + peerUrl.length + operatorUrl.length
}
