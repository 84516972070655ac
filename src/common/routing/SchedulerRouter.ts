/**
 * A gateway's choice among schedulers, from the load that each tells about once a second.
 */

import type { PriorityClass } from '../config/Types.js'
import type { ILoadSummary } from '../protocol/Types.js'
import type { IRandom } from '../Types.js'
import type { IRouteRequest, ISchedulerRouter } from './Types.js'

interface ISchedulerView {
  readonly summary: ILoadSummary
  /** Requests sent since that summary was made. */
  sentSince: number
}

interface ICandidate {
  readonly processId: string
  readonly expectedWaitMs: number
  readonly freeSlots: number
  readonly totalSlots: number
}

/**
 * Made for many gateways that see loads up to a second old. Sending everything to the scheduler that looked best
 * would make all gateways send to the same one until the next summary: one sees waits swing between schedulers while
 * others idle. So free slots are drawn at random in proportion, less what this gateway has sent since; and when
 * nothing is free, the shorter wait of two drawn at random is taken, in proportion to their slots.
 */
export class SchedulerRouter implements ISchedulerRouter {
  private readonly _views = new Map<string, ISchedulerView>()

  public constructor (private readonly _region: string, private readonly _random: IRandom) {}

  public noteSummary (summary: ILoadSummary): void {
    const known = this._views.get(summary.processId)
    if (known !== undefined && known.summary.incarnation > summary.incarnation) return
    this._views.set(summary.processId, { summary, sentSince: 0 })
  }

  public forget (processId: string): void {
    this._views.delete(processId)
  }

  public noteSent (processId: string): void {
    const view = this._views.get(processId)
    if (view !== undefined) view.sentSince += 1
  }

  public choose (request: IRouteRequest): string | undefined {
    const local: ICandidate[] = []
    const remote: ICandidate[] = []
    for (const view of this._views.values()) {
      if (!this._mayServe(view.summary, request)) continue
      const candidate = toCandidate(view, request.profile.priorityClass)
      if (view.summary.region === this._region) local.push(candidate)
      else remote.push(candidate)
    }
    return this._between(this._pick(local), this._pick(remote), request)?.processId
  }

  public ownerOf (shardId: string): string | undefined {
    let owner: string | undefined
    let ownerEpoch = -1
    for (const { summary } of this._views.values()) {
      const shard = summary.shards.find((candidate) => candidate.shardId === shardId)
      if (shard === undefined || shard.epoch <= ownerEpoch) continue
      owner = summary.processId
      ownerEpoch = shard.epoch
    }
    return owner
  }

  public summaries (): readonly ILoadSummary[] {
    return [...this._views.values()].map((view) => view.summary)
  }

  private _mayServe (summary: ILoadSummary, request: IRouteRequest): boolean {
    if (summary.draining || request.excluded.has(summary.processId)) return false
    return summary.shards.some((shard) => shard.kind === 'runners' && shard.totalSlots > 0)
  }

  /**
   * Stays in the region unless the profile allows a move and the wait saved is worth the bytes: callers pay for
   * cross-region traffic by volume, and a small difference between two old summaries is noise.
   */
  private _between (local: ICandidate | undefined, remote: ICandidate | undefined, request: IRouteRequest): ICandidate | undefined {
    if (remote === undefined || request.profile.crossRegion === 'never') return local
    if (local === undefined) return remote
    const savedMs = local.expectedWaitMs - remote.expectedWaitMs
    return savedMs > request.profile.crossRegionGainMs ? remote : local
  }

  private _pick (candidates: readonly ICandidate[]): ICandidate | undefined {
    const free = candidates.filter((candidate) => candidate.freeSlots > 0 && candidate.expectedWaitMs === 0)
    if (free.length > 0) return this._draw(free, (candidate) => candidate.freeSlots)
    return this._shorterOfTwo(candidates)
  }

  /** The shorter wait of two, each drawn in proportion to its slots: with equal waits a small scheduler gets its share only. */
  private _shorterOfTwo (candidates: readonly ICandidate[]): ICandidate | undefined {
    const first = this._draw(candidates, (candidate) => candidate.totalSlots)
    const second = this._draw(candidates, (candidate) => candidate.totalSlots)
    if (first === undefined || second === undefined) return first
    return second.expectedWaitMs < first.expectedWaitMs ? second : first
  }

  private _draw (candidates: readonly ICandidate[], weightOf: (candidate: ICandidate) => number): ICandidate | undefined {
    const total = candidates.reduce((sum, candidate) => sum + weightOf(candidate), 0)
    let left = this._random.next() * total
    for (const candidate of candidates) {
      left -= weightOf(candidate)
      if (left < 0) return candidate
    }
    return candidates.at(-1)
  }
}

function toCandidate (view: ISchedulerView, priorityClass: PriorityClass): ICandidate {
  const freeSlots = view.summary.shards.reduce((sum, shard) => sum + shard.freeSlots, 0)
  const totalSlots = view.summary.shards.reduce((sum, shard) => sum + shard.totalSlots, 0)
  return {
    processId: view.summary.processId,
    expectedWaitMs: view.summary.expectedWaitMs[priorityClass],
    freeSlots: freeSlots - view.sentSince,
    totalSlots
  }
}
