/**
 * The text format of metrics.
 */

import test from 'ava'
import { Counters } from './Counters.js'
import { LatencyTable } from './LatencyTable.js'
import { renderMetrics } from './MetricsText.js'

test('counters, latencies and gauges are written one sample a line', (t) => {
  const counters = new Counters()
  counters.add('caller_answers', 'accepted')
  counters.add('caller_answers', 'accepted', 2)
  const times = new LatencyTable(5)
  times.record('submit accepted', 12)
  const lines = renderMetrics(counters, times, { owner: 1 }).trimEnd().split('\n')
  t.true(lines.includes('jackdawreel_caller_answers_total{kind="accepted"} 3'))
  t.true(lines.includes('jackdawreel_submit_accepted_ms_count 1'))
  t.true(lines.includes('jackdawreel_owner 1'))
  t.is(lines.length, 7)
})
