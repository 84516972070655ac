/**
 * Whether queued work moves to another scheduler: only where that saves more than it costs, once, and not by the herd.
 */

import { dominantShare, fits } from './Resources.js'

import type { IRandom, MonotonicMs } from '../Types.js'
import type { IEngineLoad, IWorkItem } from './Types.js'

/** Within a region a move costs a few milliseconds; below this gain it isn't worth the message. */
const MIN_GAIN_MS = 200

/** The other's wait must be below this share of ours: between nearly equal schedulers work would swing to and fro. */
const MAX_WAIT_SHARE = 0.5

/** A summary older than this says nothing about the present. */
const MAX_SUMMARY_AGE_MS = 3_000

/** Moves to one scheduler between two of its summaries fill at most this share of what it had free; others see the same. */
const MAX_FILL_SHARE = 0.25

/** Sums of shares are off by rounding. */
const SHARE_ROUNDING = 1e-9

/** What another scheduler told about itself. */
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
  /** Moved work stays where it is. */
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
   * The scheduler to move the item to, if any.
   *
   * Made for load that is skewed over schedulers whose summaries are a second old. If all moved to the one that looked
   * best, it would be flooded and all would move back: one sees waits swing and moved bytes rise. So a move needs a clear
   * gain, each item moves once, two candidates are drawn at random and the better one is taken, and what was moved
   * since a summary counts against it. Another region needs the profile's leave and the gain that it asks for.
   */
  public choose (request: IShiftRequest): string | undefined {
    if (request.hasMoved || request.ownWaitMs < MIN_GAIN_MS) return undefined
    const peers = [...this._peers.values()]
    const near = this._better(peers.filter((peer) => peer.summary.region === request.ownRegion), request)
    const chosen = near ?? this._better(peers.filter((peer) => peer.summary.region !== request.ownRegion), request)
    if (chosen === undefined) return undefined
    chosen.movedShare += dominantShare(request.item.resources, chosen.summary.load.capacity)
    return chosen.summary.schedulerId
  }

  /** Of two drawn at random, the one with the shorter wait that is worth the move. */
  private _better (peers: readonly IPeer[], request: IShiftRequest): IPeer | undefined {
    const worthIt = peers.filter((peer) => isWorthIt(peer, request))
    const first = this._draw(worthIt)
    const second = this._draw(worthIt)
    if (first === undefined || second === undefined) return undefined
    return waitAt(first, request.item) <= waitAt(second, request.item) ? first : second
  }

  private _draw (peers: readonly IPeer[]): IPeer | undefined {
    return peers[Math.floor(this._random.next() * peers.length)]
  }
}

function isWorthIt (peer: IPeer, request: IShiftRequest): boolean {
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
