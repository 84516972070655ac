/**
 * Which jobs are refused for good, since nothing in the cell could run them.
 */

import type { CellScheduler } from './CellScheduler.js'
import type { Job } from './Job.js'

/** Why the cell could never run the job; undefined if it could. */
export function infeasibleReason (job: Job, scheduler: CellScheduler): string | undefined {
  if (job.spec.occurrences > 0) return 'recurring jobs are not supported'
  if (job.spec.steps.some((step) => step.fills)) return 'steps that fill up hosts are not supported'
  if (!scheduler.isWithinLimit(job)) return 'the limit of the workspace is too low for one of its steps'
  const hosts = [...scheduler.hosts.values()].filter((host) => host.entry.service === job.queue.service)
  if (hosts.length === 0) return undefined
  const tooLarge = job.spec.steps.find((step) => !hosts.some((host) => host.couldHold(step)))
  return tooLarge === undefined ? undefined : 'no host could ever hold one of its tasks'
}
