/**
 * Decides whether a queued item moves to another scheduler: at most once, only where the gain exceeds the cost, and not
 * so many at a time that the other scheduler is flooded.
 */

import { dominantShare, fits } from './Resources.js'

import type { IRandom, MonotonicMs } from '../Types.js'
import type { IEngineLoad, IWorkItem } from './Types.js'

/** The least gain of a move: within a region a move costs a few milliseconds, and a smaller gain isn't worth the message. */
const MIN_GAIN_MS = 200

/**
 * The other scheduler's wait must be below this share of this scheduler's wait; otherwise work would move back and
 * forth between nearly equal schedulers.
 */
const MAX_WAIT_SHARE = 0.5

/** The maximum age of a summary; an older one doesn't describe the present load. */
const MAX_SUMMARY_AGE_MS = 3_000

/**
 * Between two summaries of a scheduler, moves to it fill at most this share of its free capacity, because other
 * schedulers see the same free capacity.
 */
const MAX_FILL_SHARE = 0.25

/** The tolerance for rounding errors in sums of shares. */
const SHARE_ROUNDING = 1e-9

/** What another scheduler reported about itself. */
export interface ISchedulerSummary {
  readonly schedulerId: string
  readonly region: string
  readonly load: IEngineLoad
  readonly seenAtMs: MonotonicMs
}

export interface IShiftRequest {
  readonly item: IWorkItem
  readonly ownRegion: string
  readonly ownWaitMs: number
  /** Whether the item was moved before; it isn't moved again then. */
  readonly hasMoved: boolean
  readonly nowMs: MonotonicMs
}

interface IPeer {
  readonly summary: ISchedulerSummary
  movedShare: number
}

export class ShiftPolicy {
  private readonly _peers = new Map<string, IPeer>()

  public constructor (private readonly _random: IRandom) {}

  public putSummary (summary: ISchedulerSummary): void {
    this._peers.set(summary.schedulerId, { summary, movedShare: 0 })
  }

  public remove (schedulerId: string): void {
    this._peers.delete(schedulerId)
  }

  /**
   * Returns the scheduler to move the item to, if any.
   *
   * Load may be skewed over schedulers whose summaries are a second old. If all moved work to the one that seemed best,
   * they would flood it and then move the work back: waits would oscillate and traffic would rise. So a move needs a
   * clear gain, each item moves once, two candidates are drawn at random and the better one is chosen, and work moved
   * since the last summary counts against it. A move to another region needs the permission of the profile and the gain
   * that the profile demands.
   */
  public choose (request: IShiftRequest): string | undefined {
    if (request.hasMoved || request.ownWaitMs < MIN_GAIN_MS) return undefined
    const peers = [...this._peers.values()]
    const near = this._chooseAmong(peers.filter((peer) => peer.summary.region === request.ownRegion), request)
    const chosen = near ?? this._chooseAmong(peers.filter((peer) => peer.summary.region !== request.ownRegion), request)
    if (chosen === undefined) return undefined
    chosen.movedShare += dominantShare(request.item.resources, chosen.summary.load.capacity)
    return chosen.summary.schedulerId
  }

  /** Draws two peers at random of those worth the move and returns the one with the shorter wait. */
  private _chooseAmong (peers: readonly IPeer[], request: IShiftRequest): IPeer | undefined {
    const candidates = peers.filter((peer) => isWorthMove(peer, request))
    const first = this._drawRandom(candidates)
    const second = this._drawRandom(candidates)
    if (first === undefined || second === undefined) return undefined
    return waitAt(first, request.item) <= waitAt(second, request.item) ? first : second
  }

  private _drawRandom (peers: readonly IPeer[]): IPeer | undefined {
    return peers[Math.floor(this._random.next() * peers.length)]
  }
}

function isWorthMove (peer: IPeer, request: IShiftRequest): boolean {
  const { summary, movedShare } = peer
  const { item, ownWaitMs, nowMs } = request
  if (nowMs - summary.seenAtMs > MAX_SUMMARY_AGE_MS || !fits(item.resources, summary.load.largestFree)) return false
  const freeShare = 1 - dominantShare(summary.load.used, summary.load.capacity)
  const itemShare = dominantShare(item.resources, summary.load.capacity)
  if (movedShare + itemShare > MAX_FILL_SHARE * freeShare + SHARE_ROUNDING) return false
  const waitMs = waitAt(peer, item)
  return waitMs <= MAX_WAIT_SHARE * ownWaitMs && ownWaitMs - waitMs >= neededGainMs(summary, request)
}

function neededGainMs (summary: ISchedulerSummary, { item, ownRegion }: IShiftRequest): number {
  if (summary.region === ownRegion) return MIN_GAIN_MS
  const { crossRegion, crossRegionGainMs } = item.profile
  return crossRegion === 'never' ? Infinity : Math.max(crossRegionGainMs, MIN_GAIN_MS)
}

function waitAt (peer: IPeer, item: IWorkItem): number {
  return peer.summary.load.expectedWaitMs[item.profile.priorityClass]
}
