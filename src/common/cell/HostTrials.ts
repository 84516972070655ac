/**
 * Gives hosts that have failed their trials: one task each, which decides whether the host gets work again.
 *
 * The task with the fewest failures is used, since a job fails for good with the last attempt of one of its tasks; of these, one that no
 * other host can run, then one of the least urgent queue. Designed for all hosts of a service that fail for some seconds while jobs keep
 * arriving, and for a single host that is the only one with the data of its jobs.
 */

import type { ILogger } from '../observability/Types.js'
import type { HostState } from './HostState.js'
import type { Step, Task } from './Job.js'
import { PassHosts } from './PassHosts.js'
import { hasPlace, hasPlaceOn } from './Placement.js'
import type { IPlacement, IPlacementView } from './Placement.js'

export interface IHostTrialsEffects {
  /** The steps with idle tasks, the first to be placed first. */
  findReady (): readonly Step[]
  createView (): IPlacementView
  /** Whether the workspace of the step may have a further run of it now. */
  mayStart (step: Step): boolean
  start (step: Step, placement: IPlacement): void
}

interface ITrial extends IPlacement {
  readonly isOnlyChoice: boolean
}

export class HostTrials {
  public constructor (
    private readonly _hosts: ReadonlyMap<string, HostState>, private readonly _effects: IHostTrialsEffects, private readonly _log: ILogger
  ) {}

  /** Starts the trials that are due. To be called before each scheduling pass, which then places the other tasks. */
  public startDue (): void {
    const failing = [...this._hosts.values()].filter(({ breaker }) => !breaker.isClosed)
    for (const host of failing) this._endLongTrial(host)
    if (failing.every(({ breaker, hasTrial }) => breaker.isClosed || hasTrial)) return
    const view = this._effects.createView()
    const hosts = PassHosts.of(view).trialHosts()
    const steps = hosts.length === 0 ? [] : this._effects.findReady().filter(({ spec }) => !spec.gang)
    for (const host of hosts) {
      const trial = chooseTrial(host, steps, view)
      if (trial === undefined || !this._effects.mayStart(trial.task.step)) continue
      const { task, isOnlyChoice } = trial
      this._log.info('host.trial', { host: host.hostId, requestId: task.step.job.spec.jobId, task: `${task.step.number}.${task.index}`, failures: task.failures, isOnlyChoice })
      this._effects.start(task.step, trial)
    }
  }

  private _endLongTrial (host: HostState): void {
    for (const attempt of host.attempts) {
      if (attempt.phase !== 'running' || attempt.reportedAtMs === Infinity) continue
      const ranMs = attempt.reportedAtMs - attempt.startedAtMs
      if (!host.breaker.recordProgress(attempt, ranMs, attempt.task.step.spec.longRunning)) continue
      this._log.info('host.resumed', { host: host.hostId, reason: 'trialRuns', ranMs: Math.round(ranMs) })
      return
    }
  }
}

/** Chooses a task for the host's trial. */
function chooseTrial (host: HostState, steps: readonly Step[], view: IPlacementView): ITrial | undefined {
  let best: ITrial | undefined
  for (const step of steps) {
    if (!host.couldRun(step) || !hasPlaceOn(host, step, view)) continue
    const task = findFreshest(step, view)
    if (task === undefined) continue
    const { isLastAttempt } = task
    const isOnlyChoice = PassHosts.of(view).needsAllHosts(step)
    const others = isOnlyChoice ? 'none' : host.breaker.isPauseOver(view.nowMs) || hasPlace(step, view) ? 'room' : 'noRoom'
    if (!host.breaker.admitsTrial({ others, isLastAttempt }, view.nowMs)) continue
    const trial = { task, host, isOnlyChoice }
    if (best === undefined || compareTrials(trial, best) < 0) best = trial
  }
  return best
}

/** The idle task of the step with the fewest failures. */
function findFreshest (step: Step, { nowMs }: IPlacementView): Task | undefined {
  let freshest: Task | undefined
  for (const task of step.tasks) {
    if (!task.isIdle || task.notBeforeMs > nowMs) continue
    if (freshest === undefined || task.failures < freshest.failures) freshest = task
  }
  return freshest
}

function compareTrials (a: ITrial, b: ITrial): number {
  const order = a.task.failures - b.task.failures || Number(b.isOnlyChoice) - Number(a.isOnlyChoice)
  return order || b.task.step.job.queue.priority - a.task.step.job.queue.priority
}
