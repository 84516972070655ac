/**
 * The pauses before a task of a job is placed again.
 */

import test from 'ava'
import { SeededRandom } from '../../common/Random.js'
import { loadChart } from '../../runtime/ChartLoader.js'
import { createJob } from '../../../test/support/JobsCell.js'
import { JobRun } from './JobRun.js'

test('a task that is refused repeatedly waits longer each time, with jitter, up to a limit', (t) => {
  // Two all-at-once jobs each reserve half of the places and give them back. With equal pauses they would collide every
  // time, and neither would start.
  const rules = { allAtOnce: true, maxRetries: 0 }
  const run = new JobRun(createJob(1, 1000), 1, { taskChart: loadChart('task')._unsafeUnwrap(), random: new SeededRandom(1), rules: () => rules })
  const task = [...run.tasks][0]
  if (task === undefined) throw new Error('the job has a task')
  let nowMs = 0
  for (const longestMs of [100, 200, 400, 800, 1600, 3200, 6400, 12_800, 25_600, 30_000, 30_000]) {
    task.beginAttempt('s1', nowMs)
    run.markRefused(task, nowMs, 50)
    t.true(task.notBeforeMs >= nowMs + longestMs / 2 && task.notBeforeMs <= nowMs + longestMs)
    t.is(run.tasksToPlace(task.notBeforeMs - 1).length, 0)
    t.is(run.tasksToPlace(task.notBeforeMs).length, 1)
    nowMs = task.notBeforeMs
  }
})
