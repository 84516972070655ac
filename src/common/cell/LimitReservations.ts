/**
 * Decides how many tasks of a step its workspace may start now. Within a workspace, the job that has waited longest reserves room, unless it
 * is blocked.
 *
 * Designed for a workspace that asks for more than its limit. Without reservations, narrow tasks take all room that becomes free, and a
 * gang that needs much of the limit never starts.
 */

import type { MonotonicMs } from '../Types.js'
import type { IBlockedSteps } from './BlockedSteps.js'
import type { Step } from './Job.js'
import { NO_RESOURCES, addResources, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

/** A job that has waited for this long, in ms, reserves room within the limit of its workspace. */
const RESERVE_AFTER_MS = 5000

export class LimitReservations {
  /** The step that reserves room, by workspace: the one that had waited longest in the last pass. */
  private _reserved = new Map<string, Step>()
  private _waiting = new Map<string, Step>()

  public constructor (private readonly _usage: WorkspaceUsage, private readonly _blocked: IBlockedSteps) {}

  /** To be called before the steps of a scheduling pass are considered. */
  public beginPass (): void {
    this._reserved = this._waiting
    this._waiting = new Map()
  }

  /** The number of tasks of the step that may start; for a gang that can't start whole, 0. */
  public countAllowed (step: Step, nowMs: MonotonicMs): number {
    const { spec, job: { workspace, receivedAtMs } } = step
    if (nowMs - receivedAtMs > RESERVE_AFTER_MS && this._usage.isLimited(workspace)) this._recordWaiting(step)
    const places = this._usage.placesFor(workspace, spec, this._reservedAgainst(step))
    // A gang that has runs is not placed again before they are gone.
    const needed = spec.gang && step.hasNoRuns ? spec.count : 1
    return places >= needed ? places : 0
  }

  /** The step whose reservation keeps this one from starting; undefined if the limit alone does. */
  public findHolder (step: Step): Step | undefined {
    const needed = step.spec.gang ? step.spec.count : 1
    const isFree = this._usage.placesFor(step.job.workspace, step.spec) >= needed
    return isFree ? this._reserved.get(step.job.workspace) : undefined
  }

  private _recordWaiting (step: Step): void {
    const { workspace, receivedAtMs } = step.job
    const longest = this._waiting.get(workspace)
    if (longest !== undefined && longest.job.receivedAtMs <= receivedAtMs) return
    if (!this._blocked.isBlocked(step)) this._waiting.set(workspace, step)
  }

  /** What the step has to leave free. More urgent steps need not wait for the one that reserves. */
  private _reservedAgainst (step: Step): IResources {
    const reserved = this._reserved.get(step.job.workspace)
    if (reserved === undefined || reserved === step || step.job.queue.priority < reserved.job.queue.priority) return NO_RESOURCES
    return addResources(NO_RESOURCES, resourcesOf(reserved.spec), reserved.spec.gang ? reserved.spec.count : 1)
  }
}
