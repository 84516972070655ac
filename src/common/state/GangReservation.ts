/**
 * One try to start all tasks of a job or none, over several schedulers: it reserves every place first and starts the tasks after
 * that.
 *
 * Two jobs that hold half of the places each must not wait for each other for ever. So places are requested in the same order (of
 * process id) by every owner, no owner waits while it holds places, and a try that can't be completed is given back immediately; the
 * owner of the job makes the next try after a random pause that grows. Reservations expire in case this process dies.
 *
 * A scheduler may die between the first start and the last. Then the tasks that did start are cancelled: a job can be partly
 * started only for as long as that takes.
 */

import type { IPlaceTaskRequest } from '../protocol/Types.js'
import type { MonotonicMs } from '../Types.js'

export interface IGangOptions {
  /** How long a reservation lasts at its scheduler, in milliseconds. */
  readonly expiresMs: number
  /** The time that every reservation must have left before the first start is sent, in milliseconds. */
  readonly startMarginMs: number
}

export const DEFAULT_GANG_OPTIONS: IGangOptions = {
  expiresMs: 5_000,
  startMarginMs: 1_000
}

export type GangPhase = 'reserving' | 'starting' | 'givingBack' | 'givenBack' | 'running'

interface IGangCommandBase {
  readonly scheduler: string
  /**
   * Increases with each try of this job. Otherwise a late start of an earlier try would start the places of this one before all
   * of them are reserved. A scheduler accepts commands only for the try that it holds places for.
   */
  readonly tryNumber: number
}

/** A command to send. Each scheduler has at most one command in flight. */
export type GangCommand =
  | IGangCommandBase & { readonly type: 'reserve', readonly tasks: readonly IPlaceTaskRequest[], readonly expiresMs: number }
  | IGangCommandBase & { readonly type: 'start' }
  /** Drop the reservation and cancel its tasks, whether started or not. The scheduler refuses this try from then on. */
  | IGangCommandBase & { readonly type: 'giveBack', readonly taskIds: readonly string[] }

type PartState = 'asking' | 'reserved' | 'starting' | 'started' | 'giving'

interface IPart {
  readonly scheduler: string
  readonly state: PartState
  readonly taskIds: readonly string[]
  /** When the reservation was requested: it lasts at least until `sentAtMs + expiresMs`. */
  readonly sentAtMs: MonotonicMs
}

export interface IGangSnapshot {
  readonly phase: GangPhase
  readonly nextScheduler: number
  readonly parts: readonly IPart[]
}

export class GangReservation {
  private readonly _schedulers: readonly string[]
  private _phase: GangPhase
  private _nextScheduler: number
  private readonly _parts: Map<string, IPart>

  /**
   * @param tryNumber higher than that of every earlier try of the job, also under earlier owners
   * @param schedulers the schedulers that may have room, asked in the order of their ids
   */
  public constructor (
    public readonly tryNumber: number,
    private readonly _tasks: readonly IPlaceTaskRequest[],
    schedulers: readonly string[],
    private readonly _options: IGangOptions,
    from?: IGangSnapshot
  ) {
    this._schedulers = [...schedulers].sort()
    this._phase = from?.phase ?? 'reserving'
    this._nextScheduler = from?.nextScheduler ?? 0
    this._parts = new Map(from?.parts.map((part) => [part.scheduler, part]))
  }

  public get phase (): GangPhase {
    return this._phase
  }

  public snapshot (): IGangSnapshot {
    return {
      phase: this._phase,
      nextScheduler: this._nextScheduler,
      parts: [...this._parts.values()]
    }
  }

  /** Returns the commands to send now. To be called after each report. */
  public nextCommands (nowMs: MonotonicMs): readonly GangCommand[] {
    if (this._phase === 'reserving') return this._reserveNext(nowMs)
    if (this._phase === 'starting') return this._startAll()
    if (this._phase === 'givingBack') return this._giveBackAll()
    return []
  }

  /** Reports the answer to `reserve`. */
  public reportReserved (scheduler: string, taskIds: readonly string[]): void {
    const part = this._parts.get(scheduler)
    if (part?.state === 'asking') this._parts.set(scheduler, { ...part, state: 'reserved', taskIds })
  }

  /** Reports the answer to `start`. `started` is false also if there was no answer, since the tasks may have started. */
  public reportStarted (scheduler: string, started: boolean): void {
    const part = this._parts.get(scheduler)
    if (part?.state !== 'starting') return
    if (!started) {
      this._phase = 'givingBack'
      return
    }
    this._parts.set(scheduler, { ...part, state: 'started' })
    if (this._areAll('started')) this._phase = 'running'
  }

  /** Reports that `reserve` had no answer, or that a task ended or its scheduler was lost before all had started: everything is given back. */
  public reportFailed (): void {
    if (this._phase === 'reserving' || this._phase === 'starting') this._phase = 'givingBack'
  }

  /** Reports the answer to `giveBack`, or that the scheduler is gone and the new owner of its hosts has stopped the tasks. */
  public reportGivenBack (scheduler: string): void {
    this._parts.delete(scheduler)
    if (this._phase === 'givingBack' && this._parts.size === 0) this._phase = 'givenBack'
  }

  /** Reports that `giveBack` was not answered, so that it is sent again. */
  public reportGiveBackFailed (scheduler: string): void {
    const part = this._parts.get(scheduler)
    if (part?.state === 'giving') this._parts.set(scheduler, { ...part, state: 'reserved' })
  }

  private _reserveNext (nowMs: MonotonicMs): readonly GangCommand[] {
    if ([...this._parts.values()].some((part) => part.state === 'asking')) return []
    const placed = new Set([...this._parts.values()].flatMap((part) => part.taskIds))
    const tasks = this._tasks.filter(({ task }) => !placed.has(task.taskId))
    if (tasks.length === 0) return this._startAllInTime(nowMs)
    const scheduler = this._schedulers[this._nextScheduler]
    if (scheduler === undefined) return this._giveUp()
    this._nextScheduler += 1
    this._parts.set(scheduler, { scheduler, state: 'asking', taskIds: [], sentAtMs: nowMs })
    return [{ type: 'reserve', scheduler, tryNumber: this.tryNumber, tasks, expiresMs: this._options.expiresMs }]
  }

  /** Starts only if no reservation can expire meanwhile: otherwise the remaining tasks would run without those of the expired one. */
  private _startAllInTime (nowMs: MonotonicMs): readonly GangCommand[] {
    const endsMs = Math.min(...[...this._parts.values()].map((part) => part.sentAtMs)) + this._options.expiresMs
    if (nowMs + this._options.startMarginMs > endsMs) return this._giveUp()
    this._dropEmptyParts()
    this._phase = 'starting'
    return this._startAll()
  }

  private _dropEmptyParts (): void {
    for (const part of this._parts.values()) {
      if (part.taskIds.length === 0) this._parts.delete(part.scheduler)
    }
  }

  private _giveUp (): readonly GangCommand[] {
    this._phase = 'givingBack'
    return this._giveBackAll()
  }

  private _startAll (): readonly GangCommand[] {
    return this._changeState('reserved', 'starting').map(({ scheduler }) => ({ type: 'start', scheduler, tryNumber: this.tryNumber }))
  }

  private _giveBackAll (): readonly GangCommand[] {
    if (this._parts.size === 0) this._phase = 'givenBack'
    const parts = [...this._parts.values()].filter((part) => part.state !== 'giving')
    for (const part of parts) this._parts.set(part.scheduler, { ...part, state: 'giving' })
    const taskIds = this._tasks.map(({ task }) => task.taskId)
    return parts.map(({ scheduler }) => ({ type: 'giveBack', scheduler, tryNumber: this.tryNumber, taskIds }))
  }

  private _changeState (from: PartState, to: PartState): readonly IPart[] {
    const moved = [...this._parts.values()].filter((part) => part.state === from)
    for (const part of moved) this._parts.set(part.scheduler, { ...part, state: to })
    return moved
  }

  private _areAll (state: PartState): boolean {
    return [...this._parts.values()].every((part) => part.state === state)
  }
}
