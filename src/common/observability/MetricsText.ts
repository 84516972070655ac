/**
 * Writes counters, latency summaries and gauges as text, one sample a line, in the format that Prometheus reads.
 */

import type { Counters } from './Counters.js'
import type { LatencyTable } from './LatencyTable.js'

const QUANTILES = [['0.5', 'p50Ms'], ['0.9', 'p90Ms'], ['0.99', 'p99Ms'], ['1', 'maxMs']] as const

/** @param gauges current values, by name */
export function renderMetrics (counters: Counters, times: LatencyTable, gauges: Readonly<Record<string, number>>): string {
  const lines = counters.rows().map(({ name, label, count }) => `jackdawreel_${name}_total{kind="${label}"} ${count}`)
  for (const [name, summary] of Object.entries(times.summaries())) {
    const metric = `jackdawreel_${name.replaceAll(/\W+/g, '_')}_ms`
    for (const [quantile, field] of QUANTILES) lines.push(`${metric}{quantile="${quantile}"} ${summary[field]}`)
    lines.push(`${metric}_count ${summary.count}`)
  }
  for (const [name, value] of Object.entries(gauges)) lines.push(`jackdawreel_${name} ${value}`)
  return `${lines.join('\n')}\n`
}
