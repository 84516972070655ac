/**
 * A latency histogram of bounded size, by hdr-histogram-js: constant relative error from a microsecond to an hour. The
 * internal modules are imported, because the package's entry point loads a WebAssembly build that takes 12 MB of a daemon's
 * 128 MB.
 */

import histogramModule from 'hdr-histogram-js/dist/Int32Histogram.js'
import iteratorModule from 'hdr-histogram-js/dist/RecordedValuesIterator.js'

const { default: Int32Histogram } = histogramModule
const { default: RecordedValuesIterator } = iteratorModule

const MICROS_PER_MS = 1000
/** Longer times are recorded as this one. */
const MAX_MICROS = 3600 * 1000 * MICROS_PER_MS
const MAX_COUNT = 0x7fffffff

/** A non-empty bucket: times up to `upToMs` that are above the previous bucket. */
export interface ILatencyBucket {
  readonly upToMs: number
  readonly count: number
}

export interface ILatencySummary {
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly maxMs: number
}

/** One digit has an error of up to 6% and takes 2.9 KB. A second one would take 14 KB, too much for each row of a table. */
const SIGNIFICANT_DIGITS = 1

export class LatencyHistogram {
  private readonly _histogram = new Int32Histogram(1, MAX_MICROS, SIGNIFICANT_DIGITS)

  public get count (): number {
    return this._histogram.totalCount
  }

  /** The memory that the counts take, in bytes. */
  public get footprintBytes (): number {
    return this._histogram.estimatedFootprintInBytes
  }

  /** Records one time; negative times, which a clock may produce, count as 0. */
  public record (ms: number): void {
    if (this.count === MAX_COUNT || Number.isNaN(ms)) return
    const micros = Math.round(ms * MICROS_PER_MS)
    this._histogram.recordValue(Math.min(Math.max(micros, 0), MAX_MICROS))
  }

  public add (other: LatencyHistogram): void {
    if (this.count + other.count <= MAX_COUNT) this._histogram.add(other._histogram)
  }

  public summary (): ILatencySummary {
    const histogram = this._histogram
    return {
      count: this.count,
      p50Ms: toMs(histogram.getValueAtPercentile(50)),
      p90Ms: toMs(histogram.getValueAtPercentile(90)),
      p99Ms: toMs(histogram.getValueAtPercentile(99)),
      maxMs: toMs(histogram.maxValue)
    }
  }

  /** The non-empty buckets in ascending order. Lists of several processes can be merged by adding the counts. */
  public buckets (): readonly ILatencyBucket[] {
    const buckets: ILatencyBucket[] = []
    const iterator = new RecordedValuesIterator(this._histogram)
    while (iterator.hasNext()) {
      const value = iterator.next()
      buckets.push({ upToMs: toMs(value.valueIteratedTo), count: value.countAtValueIteratedTo })
    }
    return buckets
  }
}

function toMs (micros: number): number {
  return micros / MICROS_PER_MS
}
