/**
 * Hashes of a view, updated with each change of a member, so that two processes can compare their views without
 * sending them.
 */

import type { IMemberNews } from '../protocol/Types.js'
import { hash32 } from './Hash.js'

/**
 * Number of buckets of process ids. Two processes whose views differ in one member exchange the bucket hashes and one
 * bucket. With 900 members this bucket has about 28 members, and the exchange takes about 1 KB.
 */
export const BUCKET_COUNT = 32

export function bucketOf (processId: string): number {
  return hash32(processId) % BUCKET_COUNT
}

export class ViewDigest {
  private readonly _buckets = new Array<number>(BUCKET_COUNT).fill(0)

  /** Adds a member to the hashes, or removes it again. Dead members are excluded, as some processes may have forgotten them. */
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
