/**
 * Estimates how long the work of each service runs from the runs that have ended, because declared run times are
 * inaccurate.
 */

import { LRUCache } from 'lru-cache'

import type { IWorkItem } from './Types.js'

/**
 * Two buckets per octave from 1 ms to 49 days take 0.8 KB per service. An hdr-histogram-js up to a day takes 2.6 KB
 * with one digit of precision and 9 KB with two, which is too much for 10,000 services within the limit of 128 MB per
 * process.
 */
const BUCKETS = 64
const BUCKETS_PER_OCTAVE = 2

/** The most services remembered: 10,000 of them stay below 10 MB. The least recently used one is removed first. */
const MAX_SERVICES = 10_000

/** From this many runs on, the learnt run time replaces the declared one. */
const MIN_SAMPLES = 5

/** Counts are halved at this total, so that a change of a service is followed within about a thousand runs. */
const MAX_SAMPLES = 1_024

/** The run time assumed when a service has neither enough runs nor a declared run time. */
const DEFAULT_RUN_MS = 100

const MAX_RUN_MS = 7 * 86_400_000

interface IRunTimes {
  readonly counts: Float32Array
  samples: number
  totalMs: number
}

export class RunTimeEstimator {
  private readonly _services = new LRUCache<string, IRunTimes>({ max: MAX_SERVICES })

  public get serviceCount (): number {
    return this._services.size
  }

  public record (service: string, runMs: number): void {
    const times = this._services.get(service) ?? this._create(service)
    if (times.samples >= MAX_SAMPLES) halveCounts(times)
    const bucket = bucketOf(runMs)
    times.counts[bucket] = (times.counts[bucket] ?? 0) + 1
    times.samples += 1
    times.totalMs += Math.min(runMs, MAX_RUN_MS)
  }

  /** The mean run time, for costs and drain rates: means can be summed, medians can't. */
  public meanMs (item: IWorkItem): number {
    const times = this._services.get(item.service)
    if (times === undefined || times.samples < MIN_SAMPLES) return declaredMs(item)
    return times.totalMs / times.samples
  }

  /** The upper edge of the bucket below which `share` of the runs ended; 0.5 for the median. */
  public quantileMs (item: IWorkItem, share: number): number {
    const times = this._services.get(item.service)
    if (times === undefined || times.samples < MIN_SAMPLES) return declaredMs(item)
    let left = times.samples * share
    for (let bucket = 0; bucket < BUCKETS; bucket++) {
      left -= times.counts[bucket] ?? 0
      if (left <= 0) return 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE)
    }
    return MAX_RUN_MS
  }

  private _create (service: string): IRunTimes {
    const times: IRunTimes = { counts: new Float32Array(BUCKETS), samples: 0, totalMs: 0 }
    this._services.set(service, times)
    return times
  }
}

function bucketOf (runMs: number): number {
  const bucket = Math.floor(BUCKETS_PER_OCTAVE * Math.log2(Math.max(runMs, 1)))
  return Math.min(bucket, BUCKETS - 1)
}

function halveCounts (times: IRunTimes): void {
  for (let bucket = 0; bucket < BUCKETS; bucket++) times.counts[bucket] = (times.counts[bucket] ?? 0) / 2
  times.samples /= 2
  times.totalMs /= 2
}

function declaredMs (item: IWorkItem): number {
  const declared = item.declaredRunMs ?? DEFAULT_RUN_MS
  return Math.min(Math.max(declared, 1), MAX_RUN_MS)
}
