/**
 * Latency histograms by name, such as the service time of each service. The number of names is limited.
 */

import { LatencyHistogram } from './LatencyHistogram.js'

import type { ILatencySummary } from './LatencyHistogram.js'

/** Collects the times of names that came after the table was full. */
const OTHER_NAMES = 'others'

export class LatencyTable {
  private readonly _histograms = new Map<string, LatencyHistogram>()

  /** @param _maxNames how many names get a histogram of their own, 2.9 KB each */
  public constructor (private readonly _maxNames: number) {}

  public record (name: string, ms: number): void {
    this._histogramOf(name).record(ms)
  }

  public summaries (): Readonly<Record<string, ILatencySummary>> {
    return Object.fromEntries([...this._histograms].map(([name, histogram]) => [name, histogram.summary()]))
  }

  private _histogramOf (name: string): LatencyHistogram {
    const known = this._histograms.get(name)
    if (known !== undefined) return known
    if (this._histograms.size >= this._maxNames && name !== OTHER_NAMES) return this._histogramOf(OTHER_NAMES)
    const histogram = new LatencyHistogram()
    this._histograms.set(name, histogram)
    return histogram
  }
}
