/**
 * Checks the records of jobs that an owner reads from the store. Other programs can write there: a record must neither end the process, for
 * example by a number of tasks that no memory holds, nor put values that aren't numbers into the sums over the cell.
 */

import { MAX_TASKS } from './Job.js'
import type { JobPhase } from './Types.js'

const PHASES: ReadonlySet<string> = new Set<JobPhase>(['queued', 'running', 'completed', 'failed', 'cancelled'])
const STEP_SIZES = ['cpuMillicores', 'memoryMb', 'accelerators', 'estimateMs', 'maxPerHost'] as const
const QUEUE_NUMBERS = ['priority', 'maxAttempts', 'stretch', 'targetMs'] as const

/** Throws if the record of an accepted job has another format; the message names the field. */
export function checkAccepted (record: unknown): void {
  const { queue, receivedAtWallMs, job, workspace } = asRecord(record, 'record')
  const { jobId, description, steps } = asRecord(job, 'job')
  check(typeof jobId === 'string' && typeof description === 'string', 'job', 'no id or description')
  check(isNumber(receivedAtWallMs), 'receivedAtWallMs', 'not a number')
  check(workspace === undefined || typeof workspace === 'string', 'workspace', 'not a text')
  checkQueue(asRecord(queue, 'queue'))
  check(Array.isArray(steps) && steps.length > 0, 'job.steps', 'not a list of steps')
  let tasks = 0
  for (const [number, row] of (steps as readonly unknown[]).entries()) tasks += checkStep(row, number)
  check(tasks <= MAX_TASKS, 'job.steps', `more than ${MAX_TASKS} tasks`)
}

/** Throws if the record of a job's progress has another format; the message names the field. */
export function checkProgress (record: unknown): void {
  const { phase, steps, tasks, workspace } = asRecord(record, 'record')
  check(typeof phase === 'string' && PHASES.has(phase), 'phase', 'not the phase of a job')
  check(workspace === undefined || typeof workspace === 'string', 'workspace', 'not a text')
  check(Array.isArray(steps) && steps.every((row) => isRow(row, 3)), 'steps', 'not a list of rows of three numbers')
  check(Array.isArray(tasks) && tasks.every(isTaskRow), 'tasks', 'not a list of rows of tasks')
}

function checkQueue (queue: Readonly<Record<string, unknown>>): void {
  const { name, service, advice } = queue
  check(typeof name === 'string' && typeof service === 'string', 'queue', 'no name or service')
  for (const field of QUEUE_NUMBERS) check(isNumber(queue[field]), `queue.${field}`, 'not a number')
  if (advice === undefined) return
  const { baseMs, perHostMs, validMs } = asRecord(advice, 'queue.advice')
  check([baseMs, perHostMs, validMs].every(isNumber), 'queue.advice', 'times that are no numbers')
}

/** @returns the number of its tasks */
function checkStep (row: unknown, number: number): number {
  const field = `job.steps.${number}`
  const step = asRecord(row, field)
  const { count, after = [] } = step
  check(isSize(count) && Number.isInteger(count) && count > 0, `${field}.count`, 'not a positive whole number')
  for (const size of STEP_SIZES) check(step[size] === undefined || isSize(step[size]), `${field}.${size}`, 'not a number')
  const isEarlier = (each: unknown): boolean => isSize(each) && Number.isInteger(each) && each < number
  check(Array.isArray(after) && after.every(isEarlier), `${field}.after`, 'not a list of earlier steps')
  return count as number
}

function isTaskRow (row: unknown): boolean {
  if (!isRow(row, 5)) return false
  const [, , , , , checkpoint, hostId, bornMs, openMs] = row as readonly unknown[]
  const isHostValid = (hostId === undefined || typeof hostId === 'string') && (bornMs === undefined || isNumber(bornMs))
  return typeof checkpoint === 'string' && isHostValid && (openMs === undefined || isSize(openMs))
}

/** Whether it is a list that begins with this many whole numbers. */
function isRow (row: unknown, numbers: number): boolean {
  return Array.isArray(row) && row.length >= numbers && row.slice(0, numbers).every((value) => Number.isSafeInteger(value) && value >= 0)
}

function isNumber (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value)
}

function isSize (value: unknown): value is number {
  return isNumber(value) && value >= 0
}

function asRecord (value: unknown, field: string): Readonly<Record<string, unknown>> {
  check(typeof value === 'object' && value !== null && !Array.isArray(value), field, 'not an object')
  return value as Readonly<Record<string, unknown>>
}

function check (isMet: boolean, field: string, reason: string): void {
  if (!isMet) throw new Error(`${field}: ${reason}`)
}
