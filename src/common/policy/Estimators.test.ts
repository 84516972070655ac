import test from 'ava'

import { cores, profile, work } from '../../../test/policy/TestWork.js'
import { RetryBudget } from './RetryBudget.js'
import { RunTimeEstimator } from './RunTimeEstimator.js'
import { SizeEstimator } from './SizeEstimator.js'
import { UrgentReserve } from './UrgentReserve.js'

test('run times are taken as declared until enough runs were seen', (t) => {
  const estimator = new RunTimeEstimator()
  const item = work('a', { declaredRunMs: 10_000 })
  t.is(estimator.meanMs(item), 10_000)
  for (let i = 0; i < 100; i++) estimator.record('service', i < 95 ? 100 : 2_000)
  t.is(Math.round(estimator.meanMs(item)), 195)
  t.true(estimator.quantileMs(item, 0.5) >= 100 && estimator.quantileMs(item, 0.5) < 142)
  t.true(estimator.quantileMs(item, 0.99) >= 2_000 && estimator.quantileMs(item, 0.99) < 2_829)
})

test('run times follow a change of the service', (t) => {
  const estimator = new RunTimeEstimator()
  for (let i = 0; i < 5_000; i++) estimator.record('service', 100)
  for (let i = 0; i < 5_000; i++) estimator.record('service', 1_000)
  t.true(estimator.meanMs(work('a')) > 950)
})

test('sizes are scaled by the factor by which a service exceeds its declared size', (t) => {
  const estimator = new SizeEstimator()
  for (let i = 0; i < 50; i++) estimator.record(work('a'), cores(4))
  t.is(Math.round(estimator.expectedUsage(work('b', { resources: cores(2) })).cores), 8)
  for (let i = 0; i < 50; i++) estimator.record(work('a', { service: 'modest' }), cores(0.1))
  t.is(estimator.expectedUsage(work('b', { service: 'modest' })).cores, 1)
})

/*
 * An upstream starts to fail all requests. With a fixed number of retries per request, its load would triple at that
 * time.
 */
test('retries cease when nothing succeeds and resume with successes', (t) => {
  const budget = new RetryBudget()
  const item = work('a')
  const granted = Array.from({ length: 100 }, () => budget.trySpend(item, 1)).filter((result) => result.isOk()).length
  t.is(granted, 10)
  for (let i = 0; i < 20; i++) budget.recordSuccess()
  t.true(budget.trySpend(item, 1).isOk())
})

test('work that is not idempotent or has reached the retry limit of its profile gets no retries', (t) => {
  const budget = new RetryBudget()
  t.true(budget.trySpend(work('a', { idempotent: false }), 1).isErr())
  t.true(budget.trySpend(work('a', { profile: profile({ maxRetries: 1 }) }), 2).isErr())
})

test('capacity that urgent work used is reserved for a while', (t) => {
  const reserve = new UrgentReserve()
  reserve.add(0.2, 0)
  t.is(reserve.shareToKeep(0), 0)
  reserve.add(-0.2, 1_000)
  t.true(reserve.shareToKeep(1_000) > 0.19)
  t.true(reserve.shareToKeep(31_000) < 0.11)
})
