/**
 * Which commands of job owners a scheduler accepts. The specification `jobs` explores the races.
 */

import test from 'ava'
import { JobFence } from './JobFence.js'

import type { AttemptDecision } from './JobFence.js'

function decide (fence: JobFence, attempt: number, epoch = 1, owner = 'j1'): AttemptDecision {
  return fence.decide({ idShard: 'ids/00', epoch, owner, task: 'job t0', attempt })
}

test('an owner that was replaced while it was paused is refused, and reports go to its successor', (t) => {
  const fence = new JobFence()
  t.is(decide(fence, 1), 'start')
  t.true(fence.accept('ids/00', 2, 'j2'))
  t.is(decide(fence, 2), 'superseded')
  t.false(fence.accept('ids/00', 1, 'j1'))
  t.is(fence.ownerOf('ids/00'), 'j2')
  t.is(decide(fence, 3, 2, 'j2'), 'start')
  t.is(fence.ownerOf('ids/01'), undefined)
})

test('an attempt that was held is not started again, whether or not it has ended', (t) => {
  // The answer to a command is lost, its owner sends it again, and the attempt ends meanwhile. If it were started again, it would
  // run beside the next attempt.
  const fence = new JobFence()
  fence.recordHeld('job t0', 2)
  t.is(decide(fence, 2), 'known')
  t.is(decide(fence, 1), 'late')
  t.is(decide(fence, 3), 'busy')
  fence.recordGone('job t0', 2)
  t.is(decide(fence, 2), 'known')
  t.is(decide(fence, 1), 'late')
  t.is(decide(fence, 3), 'start')
})

test('an attempt for which there was no room may be requested again', (t) => {
  const fence = new JobFence()
  t.is(decide(fence, 1), 'start')
  t.is(decide(fence, 1), 'start')
})

test('a task is forgotten only when it isn\'t held', (t) => {
  const fence = new JobFence()
  fence.recordHeld('job t0', 2)
  fence.forget('job t0')
  t.is(decide(fence, 2), 'known')
  fence.recordGone('job t0', 1)
  t.is(fence.heldAttempt('job t0'), 2)
  fence.recordGone('job t0', 2)
  fence.forget('job t0')
  t.is(decide(fence, 2), 'start')
})
