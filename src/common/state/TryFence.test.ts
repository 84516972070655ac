/**
 * Which commands of a try a scheduler accepts. The specification `gang` explores the races.
 */

import test from 'ava'
import { TryFence } from './TryFence.js'

test('a late command of an earlier try is refused', (t) => {
  // A start of the first try arrives when places are held for the second one. It would start a part of the job alone.
  const tries = new TryFence()
  t.true(tries.begin('job', 4))
  t.true(tries.mayStart('job', 4))
  t.true(tries.begin('job', 5))
  t.false(tries.mayStart('job', 4))
  t.false(tries.begin('job', 4))
  t.false(tries.giveBack('job', 4))
  t.true(tries.mayStart('job', 5))
  t.false(tries.mayStart('other', 5))
})

test('a try that was given back can be neither reserved nor started', (t) => {
  // The command that gives a try back overtakes its reservation, which would then hold places that no one uses.
  const tries = new TryFence()
  t.true(tries.giveBack('job', 4))
  t.false(tries.begin('job', 4))
  t.false(tries.mayStart('job', 4))
  t.true(tries.giveBack('job', 4))
  t.true(tries.begin('job', 5))
})
