/**
 * Hashes of a view, kept up to date member by member, so that two views are compared without sending them.
 */

import type { IMemberNews } from '../protocol/Types.js'
import { hash32 } from './Hash.js'

/**
 * Buckets of process ids. Two views that differ in one member exchange the bucket hashes and one bucket: with 900
 * members 28 of them, about 1 KB.
 */
export const BUCKET_COUNT = 32

export function bucketOf (processId: string): number {
  return hash32(processId) % BUCKET_COUNT
}

export class ViewDigest {
  private readonly _buckets = new Array<number>(BUCKET_COUNT).fill(0)

  /** Puts a member in, or takes it out again. Dead members don't count: some have forgotten them already. */
  public toggle (news: IMemberNews): void {
    if (news.state === 'dead') return
    const bucket = bucketOf(news.processId)
    const hash = hash32(`${news.processId} ${news.incarnation} ${news.sequence} ${news.state}`)
    this._buckets[bucket] = ((this._buckets[bucket] ?? 0) ^ hash) >>> 0
  }

  public get buckets (): readonly number[] {
    return this._buckets
  }

  public get viewHash (): number {
    return hash32(this._buckets.join(' '))
  }
}
