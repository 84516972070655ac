/**
 * Applies the end of a run to its task and its job.
 */

import type { MonotonicMs } from '../Types.js'
import type { Step, Task } from './Job.js'
import type { EndKind } from './Types.js'

/** The pause before a long-running task is started again, in ms: one that fails immediately must not keep a host busy. */
const RESTART_PAUSE_MS = 300

/** Applies an end to its task. The resources of the run are freed elsewhere. */
export function applyEnd (task: Task, run: number, end: EndKind, checkpoint: string, hostId: string, nowMs: MonotonicMs): void {
  const { step } = task
  if (checkpoint !== '') storeCheckpoint(task, checkpoint)
  if (step.spec.longRunning) {
    task.notBeforeMs = nowMs + RESTART_PAUSE_MS
    return
  }
  if (end === 'done') {
    if (step.spec.gang) step.markGangDone()
    else step.markDone(task)
  }
  if (end === 'failed') recordFailure(task, run, hostId)
  updateJobPhase(step, nowMs)
}

/** Stores a checkpoint. The checkpoint of one member applies to its whole gang, since all members must resume from the same one. */
export function storeCheckpoint (task: Task, checkpoint: string): void {
  if (!task.step.spec.gang) {
    task.checkpoint = checkpoint
    return
  }
  for (const member of task.step.tasks) member.checkpoint = checkpoint
}

/** Counts a failure. A run of a gang counts once, however many of its members fail. */
function recordFailure (task: Task, run: number, hostId: string): void {
  const { step } = task
  task.failures += 1
  task.avoidedHosts.add(hostId)
  if (!step.spec.gang || run <= step.lastFailedRun) return
  step.lastFailedRun = run
  step.gangFailures += 1
}

function updateJobPhase (step: Step, nowMs: MonotonicMs): void {
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
