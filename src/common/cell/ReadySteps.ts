/**
 * The steps whose turn has come, and how many tasks wait in them.
 */

import type { IBacklog } from './AdmissionRate.js'
import type { IBlockedSteps } from './BlockedSteps.js'
import type { Job, Step, Task } from './Job.js'
import { URGENT_PRIORITY } from './Placement.js'

/**
 * The steps with idle tasks. Removes finished jobs.
 *
 * @param onBusy called for each of the others whose turn has come: all their tasks have runs
 */
export function findReadySteps (jobs: Set<Job>, onBusy: (step: Step) => void): Step[] {
  const steps: Step[] = []
  for (const job of jobs) {
    if (job.isFinished) {
      jobs.delete(job)
      continue
    }
    for (const step of job.steps) {
      if (step.isDone || !step.isReady) continue
      if (step.tasks.some((task) => task.isIdle)) steps.push(step)
      else onBusy(step)
    }
  }
  return steps
}

/** Whether the step may be considered: its turn has come, and it has idle tasks. */
export function isStepReady (step: Step): boolean {
  return !step.job.isFinished && !step.isDone && step.isReady && step.tasks.some((task) => task.isIdle)
}

/** The tasks that could start as soon as there is room. */
export function countBacklog (jobs: Iterable<Job>, blocked: IBlockedSteps): IBacklog {
  let tasks = 0
  let urgentTasks = 0
  for (const job of jobs) {
    if (job.isFinished) continue
    let waiting = 0
    for (const step of job.steps) {
      const count = step.isReady && !step.isDone ? step.tasks.filter(isWaiting).length : 0
      if (count > 0 && !blocked.isBlocked(step)) waiting += count
    }
    tasks += waiting
    if (job.queue.priority === URGENT_PRIORITY) urgentTasks += waiting
  }
  return { tasks, urgentTasks }
}

/** Whether the task waits for its first order or for another one. */
function isWaiting ({ isDone, attempt }: Task): boolean {
  return !isDone && (attempt === undefined || attempt.phase === 'preparing')
}
