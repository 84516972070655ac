/**
 * Merges the waiting time buckets of one or several processes, and computes percentiles and a plain text histogram from them.
 */

import type { ILatencyBucket } from '../common/observability/LatencyHistogram.js'

const BAR_CHARS = 40
/** Upper limits of the printed rows, in ms: at most three a decade, so that all rows fit on one screen. */
const ROW_LIMITS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000, 30_000, 60_000, 600_000, 3_600_000, Infinity]

export function mergeBuckets (lists: ReadonlyArray<readonly ILatencyBucket[]>): readonly ILatencyBucket[] {
  const counts = new Map<number, number>()
  for (const { upToMs, count } of lists.flat()) counts.set(upToMs, (counts.get(upToMs) ?? 0) + count)
  return [...counts].map(([upToMs, count]) => ({ upToMs, count })).sort((a, b) => a.upToMs - b.upToMs)
}

/** Returns the upper limit of the first bucket up to which `share` of all times are counted, or undefined if there are no times. */
export function percentileMs (buckets: readonly ILatencyBucket[], share: number): number | undefined {
  const total = buckets.reduce((sum, bucket) => sum + bucket.count, 0)
  let countedSoFar = 0
  for (const { upToMs, count } of buckets) {
    countedSoFar += count
    if (countedSoFar >= total * share) return upToMs
  }
  return undefined
}

/** Returns one line for each row between the shortest and the longest time. */
export function histogramLines (buckets: readonly ILatencyBucket[]): readonly string[] {
  const counts = ROW_LIMITS_MS.map((limitMs, index) => countBetween(buckets, ROW_LIMITS_MS[index - 1] ?? 0, limitMs))
  const first = counts.findIndex(count => count > 0)
  const last = counts.findLastIndex(count => count > 0)
  if (first === -1) return ['  (no waiting times)']
  const maxCount = Math.max(...counts)
  return counts.slice(first, last + 1).map((count, index) => {
    const label = rowLabel(ROW_LIMITS_MS[first + index] ?? Infinity).padStart(12)
    const bar = '#'.repeat(Math.ceil(count / maxCount * BAR_CHARS)).padEnd(BAR_CHARS)
    return `${label} ${bar} ${count}`
  })
}

function countBetween (buckets: readonly ILatencyBucket[], aboveMs: number, upToMs: number): number {
  const within = buckets.filter(bucket => bucket.upToMs <= upToMs && (bucket.upToMs > aboveMs || aboveMs === 0))
  return within.reduce((sum, bucket) => sum + bucket.count, 0)
}

function rowLabel (limitMs: number): string {
  if (limitMs === Infinity) return '> 1 h'
  return limitMs < 1000 ? `<= ${limitMs} ms` : `<= ${limitMs / 1000} s`
}
