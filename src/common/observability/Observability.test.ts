/**
 * Histograms, outcome counters, process metrics and state dumps.
 */

import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../Clock.js'
import { DumpRegistry } from './DumpRegistry.js'
import { LatencyHistogram } from './LatencyHistogram.js'
import { LatencyTable } from './LatencyTable.js'
import { OTHER_CALLERS, OutcomeCounters } from './OutcomeCounters.js'
import { ProcessMetrics } from './ProcessMetrics.js'

const SEED = 20_261_202
const MAX_RELATIVE_ERROR = 0.07

test('percentiles are close to those of a sorted list, and buckets add up', t => {
  fc.assert(fc.property(fc.array(fc.double({ min: 0.001, max: 3_600_000, noNaN: true }), { minLength: 1, maxLength: 200 }), times => {
    const histogram = new LatencyHistogram()
    for (const ms of times) histogram.record(ms)
    const sorted = times.toSorted((a, b) => a - b)
    const p90 = sorted[Math.ceil(sorted.length * 0.9) - 1] ?? 0
    t.true(Math.abs(histogram.summary().p90Ms - p90) <= p90 * MAX_RELATIVE_ERROR + 0.001, `${histogram.summary().p90Ms} for ${p90}`)
    t.is(histogram.buckets().reduce((sum, bucket) => sum + bucket.count, 0), times.length)
  }), { seed: SEED, numRuns: 200 })
})

test('negative and very long times are recorded, and NaN is ignored', t => {
  const histogram = new LatencyHistogram()
  for (const ms of [-5, Number.NaN, Infinity, 1e12]) histogram.record(ms)
  t.is(histogram.count, 3)
  t.true(histogram.footprintBytes < 3000)
})

test('a late completion is counted separately, every other outcome under its name', t => {
  const counters = new OutcomeCounters(10)
  for (const late of [false, true, true]) counters.recordOutcome('chip-lookup', 'shelter-1', { outcome: 'done', waitMs: 3 }, late)
  for (const outcome of ['refused', 'notRun', 'unknown'] as const) counters.recordOutcome('chip-lookup', 'shelter-1', { outcome }, true)
  const [row] = counters.rows('chip-lookup')
  t.like(row, { completed: 1, late: 2, refused: 1, notRun: 1, unknown: 1 })
  t.is(row?.waitBuckets.reduce((sum, bucket) => sum + bucket.count, 0), 3)
  t.deepEqual(counters.rows('pivot-stop'), [])
})

// A client uses a new caller name for each request. The table must stay small, callers that return must keep their rows,
// and the sums must include every outcome.
test('made-up callers are merged into one row and evict no other caller from the table', t => {
  const counters = new OutcomeCounters(10)
  for (let i = 0; i < 1000; i++) {
    for (const caller of [`made-up-${i}`, 'regular']) counters.recordOutcome('s', caller, { outcome: 'done', waitMs: 1 }, false)
  }
  const rows = counters.rows()
  t.is(rows.length, 11)
  t.is(rows.find(row => row.caller === 'regular')?.completed, 1000)
  t.is(rows.find(row => row.caller === OTHER_CALLERS)?.completed, 991)
  t.is(rows.reduce((sum, row) => sum + row.completed, 0), 2000)
})

test('a latency table holds a limited number of names', t => {
  const table = new LatencyTable(2)
  for (const name of ['a', 'b', 'c', 'd', 'a']) table.record(name, 5)
  t.deepEqual(Object.entries(table.summaries()).map(([name, { count }]) => [name, count]), [['a', 2], ['b', 1], ['others', 2]])
})

test('process metrics report rates over the last samples and the largest timer delay', t => {
  const clock = new ManualClock()
  let storeCalls = 0
  const zero = () => 0
  const metrics = new ProcessMetrics(clock, {
    processorMicros: () => clock.nowMs() * 20,
    residentBytes: () => 5,
    peerSentBytes: () => clock.nowMs() * 2,
    peerReceivedBytes: () => clock.nowMs() * 3,
    crossRegionSentBytes: zero,
    storeCalls: () => storeCalls
  })
  t.is(metrics.current().processorShare, 0)
  for (let i = 0; i < 60; i++) {
    clock.advance(1000)
    storeCalls += 2
  }
  const current = metrics.current()
  t.is(current.uptimeMs, 60_000)
  t.is(current.processorShare, 0.02)
  t.is(current.peerBytesPerSecond, 5000)
  t.true(Math.abs(current.storeCallsPerSecond - 2) < 0.3)
  t.is(current.eventLoopDelayMs, 0)
  metrics.dispose()
})

test('a dump stays within its size limit and is valid JSON whatever the sections contain', t => {
  const endless: Record<string, unknown> = { bytes: new Uint8Array(9), at: 1n, none: undefined, big: Infinity, tags: new Set([1]) }
  endless['self'] = endless
  const registry = new DumpRegistry(20_000)
  registry.register('cyclic', () => endless)
  registry.register('huge', () => new Map(Array.from({ length: 100_000 }, (_, i) => [`key${i}`, { name: 'ü'.repeat(50) }])))
  registry.register('broken', () => { throw new Error('no') })
  registry.register('getter', () => ({ get bad () { throw new Error('no') } }))
  const json = JSON.stringify(registry.dump())
  t.true(json.length < 25_000)
  const dump = JSON.parse(json)
  t.like(dump.cyclic, { bytes: '(9 bytes)', at: '1', big: 'Infinity', tags: [1], self: '(cycle)' })
  t.false('none' in dump.cyclic)
  t.regex(dump.huge['…'], /^99\d{3} more$/)
  t.is(dump.broken, '(failed: Error: no)')
  t.is(dump.getter, '(failed: Error: no)')
  t.is(registry.dump('nope'), undefined)
})

test('any value can be dumped within the size limit', t => {
  fc.assert(fc.property(fc.anything({ withMap: true, withSet: true, withBigInt: true, withDate: true, maxDepth: 20 }), value => {
    const registry = new DumpRegistry(1000)
    registry.register('any', () => value)
    t.true(JSON.stringify(registry.dump()).length < 20_000)
  }), { seed: SEED, numRuns: 300 })
})
