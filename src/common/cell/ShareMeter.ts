/**
 * Decides which jobs are within the share of their workspace: as many per second as its weight says.
 */

import type { MonotonicMs } from '../Types.js'

/** How much of a second's share may be used at once after a pause: callers don't send at even intervals. */
const BURST_S = 1
const MS_PER_S = 1000

interface IBucket {
  jobs: number
  atMs: MonotonicMs
}

export class ShareMeter {
  private readonly _buckets = new Map<string, IBucket>()

  /**
   * Records a job and returns whether it is within the share.
   *
   * @param weight the share, in jobs per second; 0 means that there is none to exceed
   */
  public recordJob (workspace: string, weight: number, nowMs: MonotonicMs): boolean {
    if (weight <= 0) return true
    const size = Math.max(1, weight * BURST_S)
    const bucket = this._buckets.get(workspace) ?? { jobs: size, atMs: nowMs }
    this._buckets.set(workspace, bucket)
    bucket.jobs = Math.min(size, bucket.jobs + (nowMs - bucket.atMs) / MS_PER_S * weight)
    bucket.atMs = nowMs
    if (bucket.jobs < 1) return false
    bucket.jobs -= 1
    return true
  }
}
