/**
 * Waiting times from the buckets of one or several processes: percentiles and a plain text histogram.
 */

import type { ILatencyBucket } from '../common/observability/LatencyHistogram.js'

const BAR_CHARS = 40
/** Edges of the printed rows, in milliseconds: three a decade, which fit into one screen. */
const EDGES_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 60_000, 600_000, 3_600_000, Infinity]

export function mergeBuckets (lists: ReadonlyArray<readonly ILatencyBucket[]>): readonly ILatencyBucket[] {
  const counts = new Map<number, number>()
  for (const { upToMs, count } of lists.flat()) counts.set(upToMs, (counts.get(upToMs) ?? 0) + count)
  return [...counts].map(([upToMs, count]) => ({ upToMs, count })).sort((a, b) => a.upToMs - b.upToMs)
}

/** The time that `share` of all are within; absent where nothing was counted. */
export function percentileMs (buckets: readonly ILatencyBucket[], share: number): number | undefined {
  const total = buckets.reduce((sum, bucket) => sum + bucket.count, 0)
  let seen = 0
  for (const { upToMs, count } of buckets) {
    seen += count
    if (seen >= total * share) return upToMs
  }
  return undefined
}

/** One line for each range of times between the shortest and the longest one. */
export function histogramLines (buckets: readonly ILatencyBucket[]): readonly string[] {
  const counts = EDGES_MS.map((edge, index) => countBetween(buckets, EDGES_MS[index - 1] ?? 0, edge))
  const first = counts.findIndex(count => count > 0)
  const last = counts.findLastIndex(count => count > 0)
  if (first === -1) return ['  (nothing waited)']
  const most = Math.max(...counts)
  return counts.slice(first, last + 1).map((count, index) => {
    const label = labelOf(EDGES_MS[first + index] ?? Infinity).padStart(12)
    const bar = '#'.repeat(Math.ceil(count / most * BAR_CHARS)).padEnd(BAR_CHARS)
    return `${label} ${bar} ${count}`
  })
}

function countBetween (buckets: readonly ILatencyBucket[], aboveMs: number, upToMs: number): number {
  const within = buckets.filter(bucket => bucket.upToMs <= upToMs && (bucket.upToMs > aboveMs || aboveMs === 0))
  return within.reduce((sum, bucket) => sum + bucket.count, 0)
}

function labelOf (edgeMs: number): string {
  if (edgeMs === Infinity) return '> 1 h'
  return edgeMs < 1000 ? `<= ${edgeMs} ms` : `<= ${edgeMs / 1000} s`
}
