import test from 'ava'
import { EffectiveFitness } from './EffectiveFitness.js'

test('an overload counts after 2 s without interruption, and for 30 s after it has ended', (t) => {
  const fitness = new EffectiveFitness(() => 0.8)
  fitness.update(0, true)
  fitness.update(1999, true)
  t.is(fitness.value(1999), 0.8)
  fitness.update(2000, false)
  fitness.update(2250, true)
  t.false(fitness.isOverloaded(4249))
  t.is(fitness.value(4249), 0.8)
  fitness.update(4250, true)
  t.true(fitness.isOverloaded(4250))
  t.is(fitness.value(4250), 0.4)
  fitness.update(4500, false)
  t.false(fitness.isOverloaded(4500))
  t.is(fitness.value(34_250), 0.4)
  t.is(fitness.value(34_251), 0.8)
})

test('a process that lost the cell is no candidate for 30 s', (t) => {
  const fitness = new EffectiveFitness(() => 1)
  t.is(fitness.offered(0), 1)
  fitness.recordLoss(1000)
  t.is(fitness.offered(31_000), undefined)
  t.is(fitness.offered(31_001), 1)
})
