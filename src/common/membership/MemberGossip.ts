/**
 * What members tell each other: fresh news a bounded number of times, records on demand, and comparisons of views
 * that find what the news has missed. Bounded in bytes per second, whatever happens.
 */

import type { IMemberNews, IMemberRecord, IMembersCast } from '../protocol/Types.js'
import type { IClock, IRandom } from '../Types.js'
import { ByteBudget } from './ByteBudget.js'
import { CastBuilder } from './CastBuilder.js'
import type { MemberView, MergeResult } from './MemberView.js'
import { NewsQueue } from './NewsQueue.js'
import type { IMembershipOptions } from './Options.js'
import { comparePrecedence } from './Precedence.js'
import { BUCKET_COUNT, bucketOf } from './ViewDigest.js'

/** An answer to news about this process itself. */
export type OwnNewsHandler = (news: IMemberNews) => void

export class MemberGossip {
  private readonly _queue = new NewsQueue()
  private readonly _budget: ByteBudget
  /** Records asked for because of fresh news, which is passed on once they are here; with the time of asking. */
  private readonly _wanted = new Map<string, number>()
  private _syncedAtMs = Number.NEGATIVE_INFINITY

  public constructor (
    private readonly _selfId: string,
    private readonly _view: MemberView,
    private readonly _options: IMembershipOptions,
    private readonly _clock: IClock,
    private readonly _random: IRandom,
    private readonly _onOwnNews: OwnNewsHandler
  ) {
    this._budget = new ByteBudget(_clock, _options.bytesPerSecond, _options.burstBytes)
  }

  /** Passes on what holds about a process now. */
  public spread (processId: string): void {
    const repeats = Math.ceil(this._options.repeatsPerDoubling * Math.log2(this._view.size + 2))
    this._queue.add(processId, repeats)
  }

  /** The next cast to a linked peer: what concerns the peer itself first, for it alone can refute it. */
  public nextCast (peerId: string): IMembersCast | undefined {
    return this._build((builder) => {
      this._addOwnStanding(builder, peerId)
      builder.setViewHash(this._view.digest.viewHash)
      this._queue.take((processId) => this._view.standing(processId), (news) => builder.addNews(news))
    })
  }

  /** The first cast on a new link: who this is, and what is thought of the peer. */
  public greeting (peerId: string): IMembersCast | undefined {
    return this._build((builder) => {
      const own = this._view.get(this._selfId)
      if (own !== undefined) builder.addRecord(own)
      this._addOwnStanding(builder, peerId)
      builder.setViewHash(this._view.digest.viewHash)
    })
  }

  /** Takes a peer's cast; gives the answer to it, if there is any. */
  public receive (fromId: string, cast: IMembersCast): IMembersCast | undefined {
    return this._build((builder) => {
      for (const record of cast.records ?? []) this._takeRecord(fromId, record, builder)
      for (const news of cast.news) this._takeNews(news, cast.listedBuckets === undefined, builder)
      for (const processId of cast.wanted ?? []) this._answerWanted(processId, builder)
      if (cast.viewHash !== undefined) this._compareViews(cast.viewHash, builder)
      if (cast.bucketHashes !== undefined) this._listDiffering(cast.bucketHashes, builder)
      if (cast.listedBuckets !== undefined) this._completeBuckets(cast.listedBuckets, cast.news, builder)
    })
  }

  private _build (fill: (builder: CastBuilder) => void): IMembersCast | undefined {
    const builder = new CastBuilder(Math.min(this._options.maxCastBytes, this._budget.availableBytes))
    fill(builder)
    if (builder.isEmpty) return undefined
    this._budget.spend(builder.bytes)
    return builder.build()
  }

  private _addOwnStanding (builder: CastBuilder, peerId: string): void {
    const standing = this._view.standing(peerId)
    if (standing !== undefined && standing.state !== 'alive') builder.addNews(standing)
  }

  private _takeRecord (fromId: string, record: IMemberRecord, builder: CastBuilder): void {
    if (record.processId === this._selfId) return this._takeOwnNews(record, builder)
    const isFresh = record.processId === fromId || this._wanted.delete(record.processId)
    this._conclude(this._view.put(record), record, isFresh, builder)
  }

  private _takeNews (news: IMemberNews, isFresh: boolean, builder: CastBuilder): void {
    if (news.processId === this._selfId) return this._takeOwnNews(news, builder)
    this._conclude(this._view.apply(news), news, isFresh, builder)
  }

  private _takeOwnNews (news: IMemberNews, builder: CastBuilder): void {
    this._onOwnNews(news)
    const own = this._view.get(this._selfId)
    if (own !== undefined && comparePrecedence(own, news) > 0) builder.addNews(own)
  }

  private _conclude (result: MergeResult, news: IMemberNews, isFresh: boolean, builder: CastBuilder): void {
    const { processId } = news
    if (result === 'applied' && isFresh) this.spread(processId)
    if (result === 'older') this._correct(processId, builder)
    if (result === 'unknown') this._want(processId, isFresh, builder)
  }

  private _correct (processId: string, builder: CastBuilder): void {
    const standing = this._view.standing(processId)
    if (standing !== undefined) builder.addNews(standing)
  }

  private _want (processId: string, isFresh: boolean, builder: CastBuilder): void {
    const nowMs = this._clock.nowMs()
    const askedAtMs = this._wanted.get(processId)
    if (askedAtMs !== undefined && nowMs - askedAtMs < this._options.syncMs) return
    if (!builder.addWanted(processId)) return
    // Entries of listed buckets are known to others already; only fresh ones are remembered, and passed on later.
    if (isFresh && this._wanted.size < this._options.maxMembers) this._wanted.set(processId, nowMs)
  }

  private _answerWanted (processId: string, builder: CastBuilder): void {
    const record = this._view.get(processId)
    if (record !== undefined) builder.addRecord(record)
  }

  /** While news is on its way, views differ for a moment; one comparison per `syncMs` keeps that cheap. */
  private _compareViews (viewHash: number, builder: CastBuilder): void {
    if (viewHash === this._view.digest.viewHash) return
    const nowMs = this._clock.nowMs()
    if (nowMs - this._syncedAtMs < this._options.syncMs) return
    this._syncedAtMs = nowMs
    builder.setBucketHashes(this._view.digest.buckets)
  }

  /** Lists differing buckets, from a random one on, so that in the end each has its turn. */
  private _listDiffering (hashes: readonly number[], builder: CastBuilder): void {
    const own = this._view.digest.buckets
    const start = Math.floor(this._random.next() * BUCKET_COUNT)
    for (let step = 0; step < BUCKET_COUNT; step++) {
      const bucket = (start + step) % BUCKET_COUNT
      if (hashes[bucket] === own[bucket]) continue
      const members = this._membersOf(bucket)
      if (!builder.addBucket(bucket, members)) return this._listPart(members, builder)
    }
  }

  /** A bucket too large for what is left of the cast: any part of it is of use, but it is not listed. */
  private _listPart (members: readonly IMemberNews[], builder: CastBuilder): void {
    const start = Math.floor(this._random.next() * members.length)
    for (const news of [...members.slice(start), ...members.slice(0, start)]) {
      if (!builder.addNews(news)) return
    }
  }

  private _completeBuckets (buckets: readonly number[], listed: readonly IMemberNews[], builder: CastBuilder): void {
    const listedIds = new Set(listed.map((news) => news.processId))
    for (const bucket of buckets) {
      for (const news of this._membersOf(bucket)) if (!listedIds.has(news.processId)) builder.addNews(news)
    }
  }

  private _membersOf (bucket: number): readonly IMemberNews[] {
    const members: IMemberNews[] = []
    for (const record of this._view.all()) {
      if (record.state !== 'dead' && bucketOf(record.processId) === bucket) members.push(record)
    }
    return members
  }
}
