/**
 * One task of an accepted job, as the job's owner sees it. Its states are those of `charts/task.json`.
 */

import type { ITaskPlace, ITaskSpec } from '../../common/protocol/Types.js'
import type { ChartTable } from '../../common/state/ChartTable.js'
import type { IRandom, MonotonicMs } from '../../common/Types.js'

export type TaskState = 'queued' | 'reserved' | 'starting' | 'running' | 'unsure' | 'stopping' | 'succeeded' | 'failed' | 'stopped'

export type TaskEvent =
  | 'RESERVE' | 'START' | 'GIVE_BACK' | 'CANCEL' | 'HOST_RUNS' | 'HOST_REFUSED' | 'HOST_LOST' | 'HOST_ENDED' | 'LEASE_LAPSED'
  | 'SUCCEEDED' | 'FAILED'

/** The first pause after a failure, doubled by each further one. */
const FIRST_PAUSE_MS = 100
const MAX_PAUSE_MS = 30_000
/** A task that ran this long before it ended begins anew with the first pause. */
const STEADY_RUN_MS = 60_000
/** Hosts to avoid are remembered up to this many; a task that fails on more is at fault itself. */
const MAX_AVOIDED = 8

export class TaskRun {
  private _state: TaskState
  private _attempt = 0
  private _pauses = 0
  private _sinceMs: MonotonicMs = 0
  public failures = 0
  /** Not to be placed before. */
  public notBeforeMs: MonotonicMs = 0
  /** The scheduler that was asked to place it. */
  public scheduler: string | undefined
  public hostId: string | undefined
  public shardId: string | undefined
  /** Its attempt is to be stopped; asked again until its end is told. */
  public isStopWanted = false
  public stopAskedAtMs: MonotonicMs = -Infinity
  /** Its whereabouts have to be found out: its scheduler or its host may have it no longer. */
  public isMissing = false
  private readonly _avoid: string[] = []

  public constructor (public readonly spec: ITaskSpec, private readonly _chart: ChartTable, private _nextAttempt: number) {
    this._state = _chart.initial as TaskState
  }

  public get state (): TaskState {
    return this._state
  }

  /** 0: an earlier owner of the job may have started it; which attempts, isn't known. */
  public get attempt (): number {
    return this._attempt
  }

  public get isFinal (): boolean {
    return this._chart.isFinal(this._state)
  }

  /** Since when it has been in its state. */
  public get sinceMs (): MonotonicMs {
    return this._sinceMs
  }

  public get avoidHostIds (): readonly string[] {
    return this._avoid
  }

  /** An earlier owner may have started it. */
  public markRecovered (nowMs: MonotonicMs): void {
    this.step('START', nowMs)
    this.lose(nowMs)
  }

  /** Its scheduler may have it or not. */
  public lose (nowMs: MonotonicMs): void {
    this.step('HOST_LOST', nowMs)
    this.isMissing = this._state === 'unsure' || this._state === 'stopping'
  }

  /** Begins the next attempt, at this scheduler, or at one that a reservation is still looking for. */
  public begin (scheduler: string | undefined, nowMs: MonotonicMs): void {
    this._attempt = this._nextAttempt
    this._nextAttempt += 1
    this.scheduler = scheduler
    this.step('START', nowMs)
  }

  /** Takes over the number of an attempt that an earlier owner began. */
  public adopt (attempt: number): void {
    this._attempt = attempt
    this._nextAttempt = Math.max(this._nextAttempt, attempt + 1)
  }

  public step (event: TaskEvent, nowMs: MonotonicMs): void {
    const before = this._state
    this._state = this._chart.next(before, event) as TaskState
    if (this._state === before) return
    this._sinceMs = nowMs
    if (this._state === 'queued' || this.isFinal) this._clearPlace()
  }

  /** Puts the next attempt off, longer after each end without a success, and at random so that many don't come at once. */
  public pause (nowMs: MonotonicMs, ranMs: number, random: IRandom): void {
    if (ranMs > STEADY_RUN_MS) this._pauses = 0
    const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** this._pauses, MAX_PAUSE_MS)
    this._pauses += 1
    this.notBeforeMs = nowMs + pauseMs * (0.5 + 0.5 * random.next())
  }

  public avoid (hostId: string | undefined): void {
    if (hostId === undefined || this._avoid.includes(hostId)) return
    this._avoid.push(hostId)
    if (this._avoid.length > MAX_AVOIDED) this._avoid.shift()
  }

  public toPlace (): ITaskPlace {
    const { hostId, shardId } = this
    const { taskId } = this.spec
    return {
      taskId,
      attempt: this._attempt,
      state: TOLD_STATE[this._state],
      ...(hostId === undefined ? {} : { hostId }),
      ...(shardId === undefined ? {} : { shardId })
    }
  }

  private _clearPlace (): void {
    this.isMissing = false
    this.isStopWanted = false
    this.stopAskedAtMs = -Infinity
    if (this.isFinal) return
    this.scheduler = undefined
    this.hostId = undefined
    this.shardId = undefined
  }
}

const TOLD_STATE: Readonly<Record<TaskState, ITaskPlace['state']>> = {
  queued: 'queued',
  reserved: 'reserved',
  starting: 'queued',
  running: 'running',
  unsure: 'unsure',
  stopping: 'running',
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped'
}
