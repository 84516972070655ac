/**
 * Forecasts when a waiting step can start, and how long its run will take, so that work that ends before then may use what is reserved for
 * the step (backfilling).
 *
 * Designed for workspaces near their limits and queues in which a few runs take several times as long as forecast. A gang that waits for such a run
 * would keep its workspace, or its hosts, idle for as long as the run lasts.
 */

import type { IClock, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import { FORECAST_PERCENTILE } from './HostForecast.js'
import type { IRunForecast } from './HostForecast.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import { NO_RESOURCES, addResources, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

export interface IStartForecast {
  /**
   * How long the step has to wait until its workspace may run it, in ms; 0 if it may.
   *
   * @param runsBeforeMs runs that began later are taken for ended
   */
  limitWaitMs (step: Step, runsBeforeMs: MonotonicMs): number
  /** How long the step has to wait for room on the hosts, in ms; 0 if it doesn't wait for that. */
  roomWaitMs (step: Step): number
  /** How long a run of the step takes, in ms. */
  runMs (step: Step): number
}

/** Three quarters of the runs that use what is reserved end in the forecast time. */
const RUN_PERCENTILE = 75

export class StartForecast implements IStartForecast {
  /** @param _roomWaitMs how long the step has to wait for room on the hosts; undefined if it doesn't wait for that */
  public constructor (
    private readonly _hosts: ReadonlyMap<string, HostState>,
    private readonly _usage: WorkspaceUsage,
    private readonly _times: IRunForecast,
    private readonly _roomWaitMs: (step: Step) => number | undefined,
    private readonly _clock: IClock
  ) {}

  public roomWaitMs (step: Step): number {
    return this._roomWaitMs(step) ?? 0
  }

  public runMs (step: Step): number {
    return this._times.runMs(step, RUN_PERCENTILE) ?? step.spec.estimateMs
  }

  public limitWaitMs ({ spec, job: { workspace } }: Step, runsBeforeMs: MonotonicMs): number {
    const needed = spec.gang ? spec.count : 1
    if (this._usage.placesFor(workspace, spec) >= needed) return 0
    const ends = this._endsOf(workspace, runsBeforeMs)
    let freed = NO_RESOURCES
    for (const { resources, waitMs } of ends) {
      freed = addResources(freed, resources)
      if (this._usage.placesFor(workspace, spec, addResources(NO_RESOURCES, freed, -1)) >= needed) return waitMs
    }
    return Infinity
  }

  /** When the runs of the workspace will end, the first to end first. */
  private _endsOf (workspace: string, runsBeforeMs: MonotonicMs): readonly { readonly resources: IResources, readonly waitMs: number }[] {
    const nowMs = this._clock.nowMs()
    const runs: Attempt[] = []
    for (const host of this._hosts.values()) {
      for (const attempt of host.attempts) if (attempt.task.step.job.workspace === workspace) runs.push(attempt)
    }
    const remainingMs = (attempt: Attempt): number =>
      attempt.preparedAtMs > runsBeforeMs ? 0 : this._times.remainingMs(attempt, nowMs, FORECAST_PERCENTILE)
    const ends = runs.map((attempt) => ({ resources: resourcesOf(attempt.task.step.spec), waitMs: remainingMs(attempt) }))
    return ends.sort((a, b) => a.waitMs - b.waitMs)
  }
}
