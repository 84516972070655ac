/**
 * Decides how many tasks of a step its workspace may start now. Within a workspace, the job that has waited longest reserves room, unless it
 * is blocked.
 *
 * Designed for a workspace that asks for more than its limit. Without reservations, narrow tasks take all room that becomes free, and a
 * gang that needs much of the limit never starts. While less than half of the limit is in use, short runs may use what is reserved
 * (backfilling): the job that reserves may wait for long for a few runs, or for room on the hosts.
 */

import type { MonotonicMs } from '../Types.js'
import { Backfill } from './Backfill.js'
import type { IBlockedSteps } from './BlockedSteps.js'
import type { Step } from './Job.js'
import { NO_RESOURCES, addResources, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { IStartForecast } from './StartForecast.js'
import type { WorkspaceUsage } from './WorkspaceUsage.js'

/** A job that has waited for this long, in ms, reserves room within the limit of its workspace. */
const RESERVE_AFTER_MS = 5000
/** A job gets advice and reserves room on the hosts this long before the limit is expected to allow it, in ms: capacity reserved so is idle. */
const PREPARE_AHEAD_MS = 2000

/** A job that reserves room. */
interface IHolder {
  readonly step: Step
  readonly backfill: Backfill
  /** How long runs may last that use what it reserves, in ms; undefined if that wasn't asked for in this pass. */
  maxRunMs: number | undefined
}

export class LimitReservations {
  /** The step that reserves room, by workspace: the one that had waited longest in the last pass. */
  private _holders = new Map<string, IHolder>()
  private _waiting = new Map<string, Step>()

  public constructor (
    private readonly _usage: WorkspaceUsage, private readonly _blocked: IBlockedSteps, private readonly _forecast: IStartForecast
  ) {}

  /** To be called before the steps of a scheduling pass are considered. */
  public beginPass (nowMs: MonotonicMs): void {
    const holders = new Map<string, IHolder>()
    for (const [workspace, step] of this._waiting) {
      const last = this._holders.get(workspace)
      const backfill = last?.step === step ? last.backfill : new Backfill(nowMs)
      holders.set(workspace, { step, backfill, maxRunMs: undefined })
    }
    this._holders = holders
    this._waiting = new Map()
  }

  /** The number of tasks of the step that may start; for a gang that can't start whole, 0. */
  public countAllowed (step: Step, nowMs: MonotonicMs): number {
    const { spec, job: { workspace, receivedAtMs } } = step
    if (nowMs - receivedAtMs > RESERVE_AFTER_MS && this._usage.isLimited(workspace)) this._recordWaiting(step)
    const places = this._usage.placesFor(workspace, spec, this._reservedAgainst(step))
    // A gang that has runs is not placed again before they are gone.
    const needed = spec.gang && step.hasNoRuns ? spec.count : 1
    if (places >= needed) return places
    const freePlaces = this._usage.placesFor(workspace, spec)
    return freePlaces >= needed && this._mayBackfill(step, nowMs) ? freePlaces : 0
  }

  /** Whether the step reserves room within the limit, and is expected to start soon. */
  public isNext (step: Step): boolean {
    return this._holders.get(step.job.workspace)?.step === step && this._forecast.limitWaitMs(step, Infinity) <= PREPARE_AHEAD_MS
  }

  /** The step whose reservation keeps this one from starting; undefined if the limit alone does. */
  public findHolder (step: Step): Step | undefined {
    const needed = step.spec.gang ? step.spec.count : 1
    const isFree = this._usage.placesFor(step.job.workspace, step.spec) >= needed
    return isFree ? this._holders.get(step.job.workspace)?.step : undefined
  }

  private _recordWaiting (step: Step): void {
    const { workspace, receivedAtMs } = step.job
    const longest = this._waiting.get(workspace)
    if (longest !== undefined && longest.job.receivedAtMs <= receivedAtMs) return
    if (!this._blocked.isBlocked(step)) this._waiting.set(workspace, step)
  }

  /** What the step has to leave free. More urgent steps need not wait for the one that reserves. */
  private _reservedAgainst (step: Step): IResources {
    const reserved = this._holders.get(step.job.workspace)?.step
    if (reserved === undefined || reserved === step || step.job.queue.priority < reserved.job.queue.priority) return NO_RESOURCES
    return addResources(NO_RESOURCES, resourcesOf(reserved.spec), reserved.spec.gang ? reserved.spec.count : 1)
  }

  /** Whether the step may use what is reserved: most of the limit is idle, and its runs end before the job that reserves is expected to start. */
  private _mayBackfill (step: Step, nowMs: MonotonicMs): boolean {
    const { workspace } = step.job
    const holder = this._holders.get(workspace)
    if (holder === undefined || !this._usage.isHalfFree(workspace)) return false
    holder.maxRunMs ??= this._maxRunMs(holder, nowMs)
    return this._forecast.runMs(step) <= holder.maxRunMs
  }

  private _maxRunMs ({ step, backfill }: IHolder, nowMs: MonotonicMs): number {
    const limitWaitMs = this._forecast.limitWaitMs(step, backfill.runsBeforeMs)
    const isHeldByLaterRuns = limitWaitMs === 0 && backfill.hasLaterRuns(nowMs) && this._forecast.limitWaitMs(step, Infinity) > 0
    // Runs may exceed their forecasts, so a wait for runs that began before it is expected to last for as long again as it has.
    const lastingMs = this._forecast.limitWaitMs(step, backfill.sinceMs) > 0 ? nowMs - backfill.sinceMs : 0
    const roomWaitMs = this._forecast.roomWaitMs(step)
    // Keeping the limit free for longer than the hosts need would not let the job start sooner.
    return Math.max(roomWaitMs, backfill.maxRunMs(Math.max(limitWaitMs, lastingMs), isHeldByLaterRuns, nowMs))
  }
}
