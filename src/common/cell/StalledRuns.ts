/**
 * Finds and stops stalled runs. A host may keep a task that makes no progress while it answers as if it were healthy, and the job
 * would never end. The progress that the host reports reveals it.
 */

import type { ILogger } from '../observability/Types.js'
import type { IClock } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import { runLogFields } from './RunController.js'
import type { RunController } from './RunController.js'

/**
 * A run is stalled after no progress for at least this long, in ms, and for this share of its estimate: a slow host still makes
 * progress within that time.
 */
const MIN_STALL_MS = 2500
const STALL_SHARE = 0.3
/** A host with a stalled run gets no work for this long, in ms. */
const STALLED_PAUSE_MS = 8000

export class StalledRuns {
  public constructor (private readonly _runs: RunController, private readonly _clock: IClock, private readonly _log: ILogger) {}

  /** Stops the stalled runs of the host. Their tasks are placed again, on other hosts if possible. */
  public stopStalled (host: HostState): void {
    const nowMs = this._clock.nowMs()
    for (const attempt of [...host.attempts]) {
      if (!isStalled(attempt, nowMs)) continue
      this._log.warn('run.stalled', { ...runLogFields(attempt), percent: attempt.percent, stillMs: Math.round(nowMs - attempt.percentAtMs) })
      attempt.task.avoidedHosts.add(host.hostId)
      host.pausePlacement(nowMs + STALLED_PAUSE_MS)
      if (attempt.task.step.spec.gang) this._runs.stopStep(attempt.task.step, 'stalled')
      else this._runs.stop(attempt, 'stalled')
    }
  }
}

function isStalled (attempt: Attempt, nowMs: number): boolean {
  const { spec } = attempt.task.step
  if (attempt.phase !== 'running' || spec.longRunning || attempt.percent >= 100) return false
  // A silent host reports neither progress nor a stall: only a list that shows the same percentage counts.
  const reportedForMs = Math.min(nowMs, attempt.reportedAtMs) - attempt.percentAtMs
  return reportedForMs > Math.max(MIN_STALL_MS, spec.estimateMs * STALL_SHARE)
}
