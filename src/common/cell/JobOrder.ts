/**
 * The order in which waiting steps are placed.
 */

import type { MonotonicMs } from '../Types.js'
import type { Job, Step } from './Job.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

export interface IJobOrder {
  /** Sorts the steps, the first to be placed first. */
  sort (steps: Step[], nowMs: MonotonicMs, usage: WorkspaceUsage): readonly Step[]
}

/**
 * A gang is assumed to run for at least this share of its estimate. If it would miss its objective even then, gangs that can
 * still meet theirs go first, because its placement would make these late as well.
 */
const MIN_ESTIMATE_SHARE = 0.8
/** A late job that has waited for this long, in ms, is no longer deferred: callers still want late work done. */
const MAX_DEFERRAL_MS = 60_000

/** Whether a job can no longer meet its objective by its estimates. False for a job that has waited for very long. */
export function isLate (job: Job, nowMs: MonotonicMs): boolean {
  if (nowMs - job.receivedAtMs > MAX_DEFERRAL_MS) return false
  let remainingMs = 0
  for (const { spec, isDone } of job.steps) if (spec.gang && !isDone) remainingMs += spec.estimateMs * MIN_ESTIMATE_SHARE
  return nowMs + remainingMs > job.dueMs
}

/** By urgency, then by objective, with jobs that are late anyway behind the others. */
export function compareByObjective (a: Job, b: Job, nowMs: MonotonicMs): number {
  return a.queue.priority - b.queue.priority || Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) || a.dueMs - b.dueMs
}

/** Whoever submits them, by objective. */
export class ObjectiveOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs): readonly Step[] {
    return steps.sort((a, b) => compareByObjective(a.job, b.job, nowMs))
  }
}

/**
 * By urgency, with jobs beyond their workspace's share of the work after the others, and otherwise by objective.
 *
 * Designed for a workspace that sends many times its usual while the cell is nearly full. Without it, the jobs of all workspaces wait
 * behind that one's, and theirs are late as well. Without workspaces no job is beyond a share, and the order is that by objective.
 */
export class WorkspaceShareOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs): readonly Step[] {
    return steps.sort(({ job: a }, { job: b }) => a.queue.priority - b.queue.priority ||
      Number(isDeferred(a, nowMs)) - Number(isDeferred(b, nowMs)) || compareByObjective(a, b, nowMs))
  }
}

/** A job beyond the share is deferred for at most the time to its objective once more. */
function isDeferred ({ isBeyondWorkShare, receivedAtMs, dueMs }: Job, nowMs: MonotonicMs): boolean {
  return isBeyondWorkShare && nowMs < dueMs + (dueMs - receivedAtMs)
}
