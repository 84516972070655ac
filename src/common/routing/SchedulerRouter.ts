/**
 * Chooses a scheduler for each request of a gateway, from the load that every scheduler reports about once a second.
 */

import type { PriorityClass } from '../config/Types.js'
import type { ILoadSummary } from '../protocol/Types.js'
import type { IRandom } from '../Types.js'
import type { IRouteRequest, ISchedulerRouter } from './Types.js'

interface ISchedulerView {
  readonly summary: ILoadSummary
  /** Requests sent since that summary arrived. */
  sentSince: number
}

interface ICandidate {
  readonly processId: string
  readonly expectedWaitMs: number
  readonly freeSlots: number
  readonly totalSlots: number
}

/**
 * Many gateways choose by load summaries that are up to a second old. If each sent everything to the least loaded
 * scheduler, all gateways would choose the same one until the next summary: waits would swing between schedulers while
 * others are idle. So a scheduler is drawn at random, weighted by its free slots less the requests that this gateway has
 * sent since. When no slot is free, two are drawn, weighted by their slots, and the one with the shorter wait is chosen.
 */
export class SchedulerRouter implements ISchedulerRouter {
  private readonly _views = new Map<string, ISchedulerView>()

  public constructor (private readonly _region: string, private readonly _random: IRandom) {}

  public updateSummary (summary: ILoadSummary): void {
    const known = this._views.get(summary.processId)
    if (known !== undefined && known.summary.incarnation > summary.incarnation) return
    this._views.set(summary.processId, { summary, sentSince: 0 })
  }

  public removeScheduler (processId: string): void {
    this._views.delete(processId)
  }

  public recordSent (processId: string): void {
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
    return this._chooseRegion(this._chooseCandidate(local), this._chooseCandidate(remote), request)?.processId
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
   * Prefers the local region unless the profile allows another one and the saved wait is worth the traffic: callers pay
   * for cross-region traffic by volume, and a small difference between two old summaries is noise.
   */
  private _chooseRegion (local: ICandidate | undefined, remote: ICandidate | undefined, request: IRouteRequest): ICandidate | undefined {
    if (remote === undefined || request.profile.crossRegion === 'never') return local
    if (local === undefined) return remote
    const savedMs = local.expectedWaitMs - remote.expectedWaitMs
    return savedMs > request.profile.crossRegionGainMs ? remote : local
  }

  private _chooseCandidate (candidates: readonly ICandidate[]): ICandidate | undefined {
    const free = candidates.filter((candidate) => candidate.freeSlots > 0 && candidate.expectedWaitMs === 0)
    if (free.length > 0) return this._drawWeighted(free, (candidate) => candidate.freeSlots)
    return this._shorterOfTwo(candidates)
  }

  /** Draws two, weighted by slots, and returns the one with the shorter wait. With equal waits a small scheduler gets only its share. */
  private _shorterOfTwo (candidates: readonly ICandidate[]): ICandidate | undefined {
    const first = this._drawWeighted(candidates, (candidate) => candidate.totalSlots)
    const second = this._drawWeighted(candidates, (candidate) => candidate.totalSlots)
    if (first === undefined || second === undefined) return first
    return second.expectedWaitMs < first.expectedWaitMs ? second : first
  }

  private _drawWeighted (candidates: readonly ICandidate[], weightOf: (candidate: ICandidate) => number): ICandidate | undefined {
    const totalWeight = candidates.reduce((sum, candidate) => sum + weightOf(candidate), 0)
    let remainingWeight = this._random.next() * totalWeight
    for (const candidate of candidates) {
      remainingWeight -= weightOf(candidate)
      if (remainingWeight < 0) return candidate
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
