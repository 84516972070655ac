/**
 * One scheduling pass: it considers the steps that wait, the most urgent first, in slices of bounded duration.
 *
 * Designed for an owner that is short of processor time while hundreds of steps wait. If each pass began anew with the first step and had
 * to go on to the last one, what has become ready would wait for the whole of it. Each slice after the first one therefore considers
 * first the urgent steps, those that have become ready since the pass began, and those whose advice has arrived or could not be requested.
 * They get a part of the slice, so that the last of the steps is reached in any case.
 *
 * What the pass reserves for gangs stays reserved until it ends, so steps of later slices leave it free.
 */

import type { IClock, MonotonicMs } from '../Types.js'
import type { CapacityReservations } from './CapacityReservations.js'
import type { Step } from './Job.js'
import { URGENT_PRIORITY } from './Placement.js'
import type { IPlacementView } from './Placement.js'
import { isStepReady } from './ReadySteps.js'
import type { WaitStage } from './WaitingSteps.js'

export interface IPassActions {
  /** The steps that have idle tasks whose turn has come. */
  findReady (): Step[]
  /** Sorts the steps, the first to be placed first. */
  sort (steps: Step[]): readonly Step[]
  createReservations (): CapacityReservations
  createView (reservations: CapacityReservations): IPlacementView
  /** Places what can be placed of the step. Returns what it waits for if that is nothing. */
  place (step: Step, reservations: CapacityReservations, view: IPlacementView): WaitStage | undefined
}

/** The parts of a slice after which no urgent step, and no other changed step, is considered first. The pass gets the rest. */
const URGENT_SHARE_OF_SLICE = 0.5
const CHANGED_SHARE_OF_SLICE = 0.75

export class SchedulingPass {
  public readonly reservations: CapacityReservations
  private readonly _steps: readonly Step[]
  private readonly _known: Set<Step>
  /** The steps without advice that could not request it, for example because too many calls waited. */
  private readonly _turnedAway = new Set<Step>()
  /** The slice in which each urgent or changed step was last considered. */
  private readonly _consideredIn = new Map<Step, number>()
  /** The gangs that were considered with the reservations of the pass, and may have one: it would hold back the gang itself. */
  private readonly _waitingGangs = new Set<Step>()
  private _nextIndex = 0
  private _slice = 0

  /** @param _awaitingAdvice the steps that can be considered again once their calls for advice have ended, also of earlier passes */
  public constructor (private readonly _actions: IPassActions, private readonly _awaitingAdvice: WeakSet<Step>, private readonly _clock: IClock) {
    this.reservations = _actions.createReservations()
    this._steps = _actions.sort(_actions.findReady())
    this._known = new Set(this._steps)
  }

  public get isComplete (): boolean {
    return this._nextIndex >= this._steps.length
  }

  /** Considers further steps for about `maxMs`, but at least one of those with which the pass began. Returns their number. */
  public runSlice (maxMs: number): number {
    const endsAtMs = this._clock.nowMs() + maxMs
    const first = this._slice === 0 ? 0 : this._considerFirst(maxMs)
    this._slice += 1
    return first + this._continue(Math.max(endsAtMs, this._clock.nowMs() + maxMs * (1 - CHANGED_SHARE_OF_SLICE)))
  }

  private _considerFirst (maxMs: number): number {
    const ready = this._actions.findReady()
    const urgent = this._actions.sort(ready.filter(isUrgent))
    const changed = this._actions.sort(ready.filter((step) => !isUrgent(step) && (this._hasChanged(step) || this._turnedAway.has(step))))
    const startedAtMs = this._clock.nowMs()
    const urgentCount = this._considerUrgent(urgent, startedAtMs + maxMs * URGENT_SHARE_OF_SLICE)
    return urgentCount + this._considerChanged(changed, startedAtMs + maxMs * CHANGED_SHARE_OF_SLICE)
  }

  /**
   * Considers urgent steps again in each slice. What the pass has reserved, for themselves or for less urgent gangs, must not hold them back,
   * so they have reservations of their own.
   */
  private _considerUrgent (steps: readonly Step[], untilMs: MonotonicMs): number {
    const reservations = this._actions.createReservations()
    const view = this._actions.createView(reservations)
    return this._considerUntil(untilMs, steps, (step) => {
      const isWaitingGang = this._consider(step, reservations, view) === 'room' && step.spec.gang
      // Less urgent steps have to leave free what the gang needs.
      if (isWaitingGang && !this._waitingGangs.has(step)) this._consider(step, this.reservations, this._actions.createView(this.reservations))
      this._known.add(step)
    })
  }

  private _considerChanged (steps: readonly Step[], untilMs: MonotonicMs): number {
    const view = this._actions.createView(this.reservations)
    return this._considerUntil(untilMs, steps, (step) => {
      this._known.add(step)
      this._consider(step, this.reservations, view)
    })
  }

  /** Considers the steps that have changed, then those that were considered least recently. */
  private _considerUntil (untilMs: MonotonicMs, steps: readonly Step[], consider: (step: Step) => void): number {
    const lastSlices = new Map(steps.map((step) => [step, this._hasChanged(step) ? -1 : this._consideredIn.get(step) ?? 0]))
    const ordered = [...steps].sort((a, b) => (lastSlices.get(a) ?? 0) - (lastSlices.get(b) ?? 0))
    let count = 0
    for (const step of ordered) {
      if (this._clock.nowMs() >= untilMs) break
      this._consideredIn.set(step, this._slice)
      consider(step)
      count += 1
    }
    return count
  }

  /** Whether the step has become ready or got an answer since it was last considered. */
  private _hasChanged (step: Step): boolean {
    if (!this._known.has(step)) return true
    return this._awaitingAdvice.has(step) && step.advice?.hasCalls !== true
  }

  private _continue (untilMs: MonotonicMs): number {
    const view = this._actions.createView(this.reservations)
    let count = 0
    while (!this.isComplete && (count === 0 || this._clock.nowMs() < untilMs)) {
      const step = this._steps[this._nextIndex]
      this._nextIndex += 1
      // It may have been placed, or its job may have ended, since the pass began.
      if (step === undefined || this._waitingGangs.has(step) || !isStepReady(step)) continue
      this._consider(step, this.reservations, view)
      count += 1
    }
    return count
  }

  private _consider (step: Step, reservations: CapacityReservations, view: IPlacementView): WaitStage | undefined {
    const stage = this._actions.place(step, reservations, view)
    if (stage === 'advice' && step.advice?.hasCalls !== true) this._turnedAway.add(step)
    else this._turnedAway.delete(step)
    if (step.spec.gang && stage === 'room' && reservations === this.reservations) this._waitingGangs.add(step)
    if (step.advice?.hasCalls === true && (stage === 'advice' || !step.spec.gang)) this._awaitingAdvice.add(step)
    else this._awaitingAdvice.delete(step)
    return stage
  }
}

function isUrgent ({ job }: Step): boolean {
  return job.queue.priority === URGENT_PRIORITY
}
