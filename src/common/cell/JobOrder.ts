/**
 * The order in which waiting steps are placed.
 */

import type { MonotonicMs } from '../Types.js'
import type { IRunForecast } from './HostForecast.js'
import type { Job, Step } from './Job.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

export interface IJobOrder {
  /** Sorts the steps, the first to be placed first. */
  sort (steps: Step[], nowMs: MonotonicMs, usage: WorkspaceUsage, times?: IRunForecast): readonly Step[]
}

/**
 * A gang is assumed to run for at least this share of its estimate, or for as long as all but a few of its queue. If it would miss its
 * objective even then, gangs that can still meet theirs go first, because its placement would make these late as well.
 */
const MIN_ESTIMATE_SHARE = 0.8
const MIN_PERCENTILE = 15
/** A late job that has waited for this long, in ms, is no longer deferred: callers still want late work done. */
const MAX_DEFERRAL_MS = 60_000

/** Whether a job can no longer meet its objective, by the run times of its queue. False for a job that has waited for very long. */
export function isLate (job: Job, nowMs: MonotonicMs, times?: IRunForecast): boolean {
  if (nowMs - job.receivedAtMs > MAX_DEFERRAL_MS) return false
  let remainingMs = 0
  for (const step of job.steps) if (step.spec.gang && !step.isDone) remainingMs += leastRemainingMs(step, nowMs, times)
  return nowMs + remainingMs > job.dueMs
}

function leastRemainingMs (step: Step, nowMs: MonotonicMs, times: IRunForecast | undefined): number {
  const estimatedMs = step.spec.estimateMs * MIN_ESTIMATE_SHARE
  const runMs = times?.runMs(step, MIN_PERCENTILE)
  if (times === undefined || runMs === undefined) return estimatedMs
  const running = step.tasks.flatMap(({ attempt }) => attempt?.phase === 'running' ? [attempt] : [])
  return running.length < step.tasks.length ? runMs : Math.max(...running.map((attempt) => times.remainingMs(attempt, nowMs, MIN_PERCENTILE)))
}

/** By urgency, then by objective, with jobs that are late anyway behind the others. */
export function compareByObjective (a: Job, b: Job, nowMs: MonotonicMs, times?: IRunForecast): number {
  return a.queue.priority - b.queue.priority || Number(isLate(a, nowMs, times)) - Number(isLate(b, nowMs, times)) || a.dueMs - b.dueMs
}

/** Whoever submits them, by objective. */
export class ObjectiveOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs, _usage: WorkspaceUsage, times?: IRunForecast): readonly Step[] {
    return sortByKeys(steps, nowMs, times, () => false)
  }
}

/**
 * By urgency, with jobs beyond their workspace's share of the work after the others, and otherwise by objective.
 *
 * Designed for a workspace that sends many times its usual while the cell is nearly full. Without it, the jobs of all workspaces wait
 * behind that one's, and theirs are late as well. Without workspaces no job is beyond a share, and the order is that by objective.
 */
export class WorkspaceShareOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs, _usage: WorkspaceUsage, times?: IRunForecast): readonly Step[] {
    return sortByKeys(steps, nowMs, times, (job) => isDeferred(job, nowMs))
  }
}

/** What the order compares of a step. Whether its job is late takes a forecast, which would be repeated with each comparison. */
interface ISortKeys {
  readonly step: Step
  readonly isDeferred: boolean
  readonly isLate: boolean
}

/** Sorts by urgency, with deferred jobs behind the others, then late ones, and otherwise by objective. */
function sortByKeys (
  steps: readonly Step[], nowMs: MonotonicMs, times: IRunForecast | undefined, isDeferredJob: (job: Job) => boolean
): readonly Step[] {
  const keys = steps.map((step): ISortKeys => ({ step, isDeferred: isDeferredJob(step.job), isLate: isLate(step.job, nowMs, times) }))
  return keys.sort(compareKeys).map(({ step }) => step)
}

function compareKeys (a: ISortKeys, b: ISortKeys): number {
  const { job: first } = a.step
  const { job: second } = b.step
  return first.queue.priority - second.queue.priority || Number(a.isDeferred) - Number(b.isDeferred) || Number(a.isLate) - Number(b.isLate) ||
    first.dueMs - second.dueMs
}

/** A job beyond the share is deferred for at most the time to its objective once more. */
function isDeferred ({ isBeyondWorkShare, receivedAtMs, dueMs }: Job, nowMs: MonotonicMs): boolean {
  return isBeyondWorkShare && nowMs < dueMs + (dueMs - receivedAtMs)
}
