/**
 * What the end of a run means for its task and its job.
 */

import type { MonotonicMs } from '../Types.js'
import type { Step, Task } from './Job.js'
import type { EndKind } from './Types.js'

/** The pause before a long-running task is started again, in ms: one that fails at once must not keep a host busy. */
const RESTART_PAUSE_MS = 300

/** Applies an end to its task; the room it took is released elsewhere. */
export function applyEnd (task: Task, run: number, end: EndKind, checkpoint: string, hostId: string, nowMs: MonotonicMs): void {
  const { step } = task
  if (checkpoint !== '') noteCheckpoint(task, checkpoint)
  if (step.spec.longRunning) {
    task.notBeforeMs = nowMs + RESTART_PAUSE_MS
    return
  }
  if (end === 'done') {
    if (step.spec.gang) step.noteGangDone()
    else step.noteDone(task)
  }
  if (end === 'failed') noteFailure(task, run, hostId)
  finishJob(step, nowMs)
}

/** A checkpoint of one member is good for its whole gang, and all members have to carry the same one. */
export function noteCheckpoint (task: Task, checkpoint: string): void {
  if (!task.step.spec.gang) {
    task.checkpoint = checkpoint
    return
  }
  for (const member of task.step.tasks) member.checkpoint = checkpoint
}

/** A gang's run fails once, however many of its members say so. */
function noteFailure (task: Task, run: number, hostId: string): void {
  const { step } = task
  task.failures += 1
  task.avoid.add(hostId)
  if (!step.spec.gang || run <= step.lastFailedRun) return
  step.lastFailedRun = run
  step.gangFailures += 1
}

function finishJob (step: Step, nowMs: MonotonicMs): void {
  const { job } = step
  if (job.isFinished) return
  if (job.isDone) job.phase = 'completed'
  else if (hasFailed(step)) job.phase = 'failed'
  if (job.isFinished) job.finishedAtMs = nowMs
}

function hasFailed (step: Step): boolean {
  const { maxAttempts } = step.job.queue
  if (step.spec.gang && step.gangFailures >= maxAttempts) return !step.isDone
  return step.tasks.some((task) => !task.isDone && task.failures >= maxAttempts)
}
