/**
 * Names of tasks and attempts. A job id and a task id hold no space, so a space parts them without doubt.
 */

import type { IAttempt } from './Types.js'

const SEPARATOR = ' '
const ATTEMPT_MARK = '#'
/** Attempts of one owner of a job. Each owner numbers from its own epoch on, so that no two owners use one number. */
const ATTEMPTS_PER_EPOCH = 1_000_000

/** The name by which a host knows a task. */
export function hostTaskId (jobId: string, taskId: string): string {
  return `${jobId}${SEPARATOR}${taskId}`
}

/** The task id within its job. */
export function taskIdOf (jobId: string, hostTask: string): string {
  return hostTask.slice(jobId.length + SEPARATOR.length)
}

/** The name of an attempt in the decision engine. */
export function itemIdOf (attempt: IAttempt): string {
  return `${hostTaskId(attempt.jobId, attempt.taskId)}${ATTEMPT_MARK}${attempt.attempt}`
}

/** The first attempt number that the owner of this epoch may use. */
export function firstAttempt (ownerEpoch: number): number {
  return ownerEpoch * ATTEMPTS_PER_EPOCH + 1
}
