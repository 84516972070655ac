/**
 * Encodes and decodes the stored form of a job: the accepted job, written once, and its progress, written with each change. A
 * task that was never placed takes no space in the record.
 */

import type { EpochMs, MonotonicMs } from '../Types.js'
import { Job } from './Job.js'
import { checkAccepted, checkProgress } from './JobRecordChecks.js'
import { UNSENT_OPEN_MS, openMsToRecord } from './OpenStarts.js'
import type { QueueTerms } from './Job.js'
import type { IJobSpec, IQueue, IRecordedRun, IStepSpec, JobPhase } from './Types.js'

/** Defaults for the fields that a caller leaves out of a step. */
export const DEFAULT_STEP: IStepSpec = {
  count: 0,
  cpuMillicores: 0,
  memoryMb: 0,
  accelerators: 0,
  estimateMs: 0,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  preferredRack: '',
  maxPerHost: 0,
  speculative: false,
  longRunning: false,
  fills: false
}

/** Replaces the queue of a finished job, which is no longer needed. */
const NO_QUEUE: QueueTerms = { name: '', service: '', priority: 0, maxAttempts: 0, stretch: 0, targetMs: 0, advice: undefined }

interface IAcceptedRecord {
  readonly queue: QueueTerms
  readonly receivedAtWallMs: EpochMs
  readonly job: IJobSpec
  readonly workspace?: string
}

/**
 * [step, index, last run, failures, done, checkpoint, host, born, open]. The last three are present only for a run that may exist. `open` is the
 * longest time for which its start order may still be carried out, in ms from when the record is read; earlier versions neither write nor read it.
 */
type TaskRow = readonly [number, number, number, number, 0 | 1, string, string?, number?, number?]
/** [step, gang failures, last failed run] */
type StepRow = readonly [number, number, number]

interface IProgressRecord {
  readonly phase: JobPhase
  readonly started: boolean
  readonly steps: readonly StepRow[]
  readonly tasks: readonly TaskRow[]
  /** Kept here as well, since the accepted job of a finished one is removed. */
  readonly workspace?: string
}

/** Encodes the caller's job. Fields that are 0, false or empty are left out. */
export function encodeJob (spec: IJobSpec): string {
  return JSON.stringify({ ...spec, steps: spec.steps.map(withoutDefaults) })
}

export function decodeJob (record: string): IJobSpec {
  const spec = JSON.parse(record) as IJobSpec
  return { ...spec, steps: spec.steps.map((step) => ({ ...DEFAULT_STEP, ...step })) }
}

export function queueTermsOf (queue: IQueue): QueueTerms {
  const { name, service, priority, maxAttempts, stretch, targetMs, advice } = queue
  return { name, service, priority, maxAttempts, stretch, targetMs, advice }
}

export function encodeAccepted (job: Job, receivedAtWallMs: EpochMs): string {
  const { spec, queue, workspace } = job
  return JSON.stringify({ queue, workspace, receivedAtWallMs, job: { ...spec, steps: spec.steps.map(withoutDefaults) } })
}

/** Decodes an accepted job. Throws if the record has another format. */
export function decodeAccepted (record: string, nowMs: MonotonicMs, wallMs: EpochMs): Job {
  const { queue, receivedAtWallMs, job, workspace } = parse<IAcceptedRecord>(record, checkAccepted)
  const spec = { ...job, steps: job.steps.map((step) => ({ ...DEFAULT_STEP, ...step })) }
  return new Job(spec, queue, nowMs - Math.max(0, wallMs - receivedAtWallMs), workspace)
}

/** Decodes a finished job of which only the outcome was kept. Throws if the record has another format. */
export function decodeOutcome (jobId: string, record: string, nowMs: MonotonicMs): Job {
  const { phase, workspace } = parse<IProgressRecord>(record, checkProgress)
  const job = new Job({ jobId, description: '', steps: [], occurrences: 0 }, NO_QUEUE, nowMs, workspace)
  job.phase = phase
  job.storedPhase = phase
  return job
}

/** Each run remembers what the record says of it. */
export function encodeProgress (job: Job, nowMs: MonotonicMs): string {
  const hasRows = !job.isFinished || job.steps.some((step) => !step.hasNoRuns)
  const tasks = hasRows ? job.steps.flatMap((step) => step.tasks.flatMap((task) => toTaskRow(task, nowMs))) : []
  const steps = job.steps.flatMap(({ number, gangFailures, lastFailedRun }): readonly StepRow[] =>
    gangFailures === 0 ? [] : [[number, gangFailures, lastFailedRun]])
  return JSON.stringify({ phase: job.phase, started: job.hasStarted, steps, tasks, workspace: job.workspace } satisfies IProgressRecord)
}

/** Applies recorded progress to a job that was just decoded, and returns the runs that may exist. */
export function applyProgress (job: Job, record: string): readonly IRecordedRun[] {
  const { phase, started, steps, tasks } = parse<IProgressRecord>(record, checkProgress)
  job.phase = phase
  job.storedPhase = phase
  job.hasStarted = started
  for (const [number, failures, run] of steps) {
    const step = job.steps[number]
    if (step !== undefined) Object.assign(step, { gangFailures: failures, lastFailedRun: run })
  }
  return tasks.flatMap((row) => applyTaskRow(job, row))
}

function parse<T> (record: string, check: (value: unknown) => void): T {
  const value: unknown = JSON.parse(record)
  check(value)
  return value as T
}

function toTaskRow (task: Job['steps'][number]['tasks'][number], nowMs: MonotonicMs): readonly TaskRow[] {
  const { step, index, lastRun, failures, isDone, checkpoint, attempt } = task
  if (lastRun === 0) return []
  const done = isDone ? 1 : 0
  if (attempt === undefined) return [[step.number, index, lastRun, failures, done, checkpoint]]
  attempt.recordedOpenMs = openMsToRecord(attempt, nowMs)
  return [[step.number, index, lastRun, failures, done, checkpoint, attempt.host.hostId, attempt.bornMs, attempt.recordedOpenMs]]
}

function applyTaskRow (job: Job, row: TaskRow): readonly IRecordedRun[] {
  const [stepNumber, index, lastRun, failures, done, checkpoint, hostId, bornMs, openMs] = row
  const step = job.steps[stepNumber]
  const task = step?.tasks[index]
  if (step === undefined || task === undefined) return []
  task.lastRun = lastRun
  task.failures = failures
  task.checkpoint = checkpoint
  if (done === 1) step.markDone(task)
  if (hostId === undefined) return []
  // A record of an earlier version doesn't tell whether a start without a ticket is open.
  const unknownOpenMs = job.queue.advice === undefined ? UNSENT_OPEN_MS : 0
  return [{ step: stepNumber, index, run: lastRun, hostId, bornMs: bornMs ?? 0, openMs: openMs ?? unknownOpenMs }]
}

function withoutDefaults (step: IStepSpec): Partial<IStepSpec> {
  return Object.fromEntries(Object.entries(step).filter(([, value]) => Array.isArray(value) ? value.length > 0 : Boolean(value)))
}
