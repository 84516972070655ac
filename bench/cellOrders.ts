/**
 * Orders of waiting steps that the product doesn't use, to compare its own with.
 */

import { compareByObjective, isLate } from '../src/common/cell/JobOrder.js'

import type { IJobOrder } from '../src/common/cell/JobOrder.js'
import type { Job, Step } from '../src/common/cell/Job.js'
import type { MonotonicMs } from '../src/common/Types.js'
import type { WorkspaceUsage } from '../src/common/cell/WorkspaceUsage.js'

/** A job beyond the share that has waited for this long, in ms, is no longer deferred. */
const MAX_DEFERRAL_MS = 60_000

/**
 * Within a priority, jobs beyond the share of their workspace after the others.
 *
 * Designed for a workspace that sends many times its usual while the cell is full. Without it, the jobs of all other workspaces wait
 * behind that one's, and theirs are late as well.
 */
export class ShareOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs): readonly Step[] {
    return steps.sort(({ job: a }, { job: b }) => a.queue.priority - b.queue.priority ||
      Number(isDeferred(a, nowMs)) - Number(isDeferred(b, nowMs)) || compareByObjective(a, b, nowMs))
  }
}

/** A job beyond the share is deferred, but not for ever. */
function isDeferred (job: Job, nowMs: MonotonicMs): boolean {
  return job.isBeyondShare && nowMs - job.receivedAtMs <= MAX_DEFERRAL_MS
}

/** Within a priority, late jobs after the others, and of both the jobs beyond their workspace's share of the work last. */
export class LateThenShareOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs): readonly Step[] {
    return steps.sort(({ job: a }, { job: b }) => a.queue.priority - b.queue.priority || Number(isLate(a, nowMs)) - Number(isLate(b, nowMs)) ||
      Number(a.isBeyondWorkShare) - Number(b.isBeyondWorkShare) || compareByObjective(a, b, nowMs))
  }
}

/** Jobs beyond the share of their workspace after all others, whatever their priority. */
export class ShareFirstOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs): readonly Step[] {
    return steps.sort(({ job: a }, { job: b }) =>
      Number(a.isBeyondShare) - Number(b.isBeyondShare) || compareByObjective(a, b, nowMs))
  }
}

/** Within a priority, the workspace with the smallest dominant share first (Ghodsi and others, 2011). All weights are equal. */
export class DominantShareOrder implements IJobOrder {
  public sort (steps: Step[], nowMs: MonotonicMs, usage: WorkspaceUsage): readonly Step[] {
    const share = (workspace: string): number => {
      const { cpuMillicores, memoryMb } = usage.usedBy(workspace)
      return Math.max(cpuMillicores, memoryMb / MEMORY_MB_PER_MILLICORE)
    }
    return steps.sort(({ job: a }, { job: b }) =>
      a.queue.priority - b.queue.priority || share(a.workspace) - share(b.workspace) || compareByObjective(a, b, nowMs))
  }
}

/** The memory of a host for each of its millicores, in MB. */
const MEMORY_MB_PER_MILLICORE = 4
