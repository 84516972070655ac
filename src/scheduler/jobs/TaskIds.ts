/**
 * Ids of tasks and attempts. Job ids and task ids contain no space, so a space separates them unambiguously.
 */

import type { IAttempt } from './Types.js'

const SEPARATOR = ' '
const ATTEMPT_MARK = '#'
/** Attempt numbers per epoch of a job's owner. Each owner starts at a number given by its epoch, so that no two owners use the same. */
const ATTEMPTS_PER_EPOCH = 1_000_000

/** The id under which a host knows a task. */
export function hostTaskId (jobId: string, taskId: string): string {
  return `${jobId}${SEPARATOR}${taskId}`
}

/** The task id within its job, from the id under which a host knows the task. */
export function taskIdOf (jobId: string, hostTask: string): string {
  return hostTask.slice(jobId.length + SEPARATOR.length)
}

/** The id of an attempt's item in the decision engine. */
export function itemIdOf (attempt: IAttempt): string {
  return `${hostTaskId(attempt.jobId, attempt.taskId)}${ATTEMPT_MARK}${attempt.attempt}`
}

/** The first attempt number that the owner of this epoch may use. */
export function firstAttempt (ownerEpoch: number): number {
  return ownerEpoch * ATTEMPTS_PER_EPOCH + 1
}
