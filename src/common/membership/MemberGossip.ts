/**
 * The gossip protocol between members. Fresh news is sent a limited number of times, records are sent on request, and
 * comparisons of views find the differences that the news has missed. The bytes sent per second are always limited.
 */

import type { IMemberNews, IMemberRecord, IMembersCast } from '../protocol/Types.js'
import type { IClock, IRandom } from '../Types.js'
import { ByteBudget } from './ByteBudget.js'
import { CastBuilder } from './CastBuilder.js'
import type { MemberView, MergeResult } from './MemberView.js'
import { GossipQueue } from './GossipQueue.js'
import type { IMembershipOptions } from './Options.js'
import { comparePrecedence } from './Precedence.js'
import { BUCKET_COUNT, bucketOf } from './ViewDigest.js'

/** Handles news about this process itself. */
export type OwnNewsHandler = (news: IMemberNews) => void

export class MemberGossip {
  private readonly _queue = new GossipQueue()
  private readonly _budget: ByteBudget
  /** Times of the requests for missing records, by process id. The fresh news that caused a request is spread once the record arrives. */
  private readonly _requestedAtMs = new Map<string, number>()
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

  /** Queues the current statement about a process for the next casts. */
  public spread (processId: string): void {
    const repeats = Math.ceil(this._options.repeatsPerDoubling * Math.log2(this._view.size + 2))
    this._queue.add(processId, repeats)
  }

  /** The next cast to a linked peer. A statement about the peer itself comes first, as only the peer can refute it. */
  public createCast (peerId: string): IMembersCast | undefined {
    return this._buildCast((builder) => {
      this._addPeerStatement(builder, peerId)
      builder.setViewHash(this._view.digest.viewHash)
      this._queue.takeForCast((processId) => this._view.statementOf(processId), (news) => builder.addNews(news))
    })
  }

  /** The first cast on a new link: the record of this process and the statement about the peer. */
  public createGreeting (peerId: string): IMembersCast | undefined {
    return this._buildCast((builder) => {
      const own = this._view.get(this._selfId)
      if (own !== undefined) builder.addRecord(own)
      this._addPeerStatement(builder, peerId)
      builder.setViewHash(this._view.digest.viewHash)
    })
  }

  /** Applies a peer's cast. Returns the answer, or undefined if there is none. */
  public receive (fromId: string, cast: IMembersCast): IMembersCast | undefined {
    return this._buildCast((builder) => {
      for (const record of cast.records ?? []) this._applyRecord(fromId, record, builder)
      for (const news of cast.news) this._applyNews(news, cast.listedBuckets === undefined, builder)
      for (const processId of cast.wanted ?? []) this._addRequestedRecord(processId, builder)
      if (cast.viewHash !== undefined) this._compareViews(cast.viewHash, builder)
      if (cast.bucketHashes !== undefined) this._listDifferingBuckets(cast.bucketHashes, builder)
      if (cast.listedBuckets !== undefined) this._addUnlistedMembers(cast.listedBuckets, cast.news, builder)
    })
  }

  private _buildCast (fill: (builder: CastBuilder) => void): IMembersCast | undefined {
    const builder = new CastBuilder(Math.min(this._options.maxCastBytes, this._budget.availableBytes))
    fill(builder)
    if (builder.isEmpty) return undefined
    this._budget.spend(builder.bytes)
    return builder.build()
  }

  private _addPeerStatement (builder: CastBuilder, peerId: string): void {
    const statement = this._view.statementOf(peerId)
    if (statement !== undefined && statement.state !== 'alive') builder.addNews(statement)
  }

  private _applyRecord (fromId: string, record: IMemberRecord, builder: CastBuilder): void {
    if (record.processId === this._selfId) return this._handleOwnNews(record, builder)
    const isFresh = record.processId === fromId || this._requestedAtMs.delete(record.processId)
    this._handleMergeResult(this._view.putRecord(record), record, isFresh, builder)
  }

  private _applyNews (news: IMemberNews, isFresh: boolean, builder: CastBuilder): void {
    if (news.processId === this._selfId) return this._handleOwnNews(news, builder)
    this._handleMergeResult(this._view.applyNews(news), news, isFresh, builder)
  }

  private _handleOwnNews (news: IMemberNews, builder: CastBuilder): void {
    this._onOwnNews(news)
    const own = this._view.get(this._selfId)
    if (own !== undefined && comparePrecedence(own, news) > 0) builder.addNews(own)
  }

  private _handleMergeResult (result: MergeResult, news: IMemberNews, isFresh: boolean, builder: CastBuilder): void {
    const { processId } = news
    if (result === 'applied' && isFresh) this.spread(processId)
    if (result === 'older') this._addCorrection(processId, builder)
    if (result === 'unknown') this._requestRecord(processId, isFresh, builder)
  }

  private _addCorrection (processId: string, builder: CastBuilder): void {
    const statement = this._view.statementOf(processId)
    if (statement !== undefined) builder.addNews(statement)
  }

  private _requestRecord (processId: string, isFresh: boolean, builder: CastBuilder): void {
    const nowMs = this._clock.nowMs()
    const requestedAtMs = this._requestedAtMs.get(processId)
    if (requestedAtMs !== undefined && nowMs - requestedAtMs < this._options.syncMs) return
    if (!builder.addWanted(processId)) return
    // Other members already know the entries of listed buckets. Only fresh news is remembered, to be spread later.
    if (isFresh && this._requestedAtMs.size < this._options.maxMembers) this._requestedAtMs.set(processId, nowMs)
  }

  private _addRequestedRecord (processId: string, builder: CastBuilder): void {
    const record = this._view.get(processId)
    if (record !== undefined) builder.addRecord(record)
  }

  /** Starts a comparison of views. Views differ briefly while news spreads, so there is at most one comparison per `syncMs`. */
  private _compareViews (viewHash: number, builder: CastBuilder): void {
    if (viewHash === this._view.digest.viewHash) return
    const nowMs = this._clock.nowMs()
    if (nowMs - this._syncedAtMs < this._options.syncMs) return
    this._syncedAtMs = nowMs
    builder.setBucketHashes(this._view.digest.buckets)
  }

  /** Lists the buckets that differ. Starts at a random one, so that over several casts each bucket is listed. */
  private _listDifferingBuckets (hashes: readonly number[], builder: CastBuilder): void {
    const own = this._view.digest.buckets
    const start = Math.floor(this._random.next() * BUCKET_COUNT)
    for (let step = 0; step < BUCKET_COUNT; step++) {
      const bucket = (start + step) % BUCKET_COUNT
      if (hashes[bucket] === own[bucket]) continue
      const members = this._membersOfBucket(bucket)
      if (!builder.addBucket(bucket, members)) return this._addPartOfBucket(members, builder)
    }
  }

  /** Adds as much of a bucket as the cast has room for. The bucket is not marked as listed, but each entry is useful. */
  private _addPartOfBucket (members: readonly IMemberNews[], builder: CastBuilder): void {
    const start = Math.floor(this._random.next() * members.length)
    for (const news of [...members.slice(start), ...members.slice(0, start)]) {
      if (!builder.addNews(news)) return
    }
  }

  private _addUnlistedMembers (buckets: readonly number[], listed: readonly IMemberNews[], builder: CastBuilder): void {
    const listedIds = new Set(listed.map((news) => news.processId))
    for (const bucket of buckets) {
      for (const news of this._membersOfBucket(bucket)) if (!listedIds.has(news.processId)) builder.addNews(news)
    }
  }

  private _membersOfBucket (bucket: number): readonly IMemberNews[] {
    const members: IMemberNews[] = []
    for (const record of this._view.all()) {
      if (record.state !== 'dead' && bucketOf(record.processId) === bucket) members.push(record)
    }
    return members
  }
}
