/**
 * Limits the tasks that an owner accepts per second while its own link or processor is used up.
 *
 * Designed for an owner that is asked for more starts than it can order. Without a limit, orders and polls time out while their answers
 * are under way, are sent again, and add to the load: tasks end without the owner learning of it, and hardly any job is completed, even
 * long after the burst is over. The rest is refused at once, so that callers can come back when there is room.
 */

import type { MonotonicMs } from '../Types.js'

/** How often the limit is adapted, in ms. */
export const ADMISSION_UPDATE_MS = 250
/** The owner is overloaded if its orders take longer than this, in ms; in the median, since single hosts may be slow or silent. */
const SLOW_ORDER_MS = 400
/** While the owner is overloaded, its orders should take this long, in ms: it always has some to send, and none of them times out. */
const TARGET_ORDER_MS = 300
/**
 * The owner is overloaded if its timers are later than `MAX_LAG_MS`, in ms, in this share of so many updates. A single late timer, after a
 * pause or many answers at once, is over when it is noticed.
 */
const MAX_LAG_MS = 200
const MIN_LATE_SHARE = 0.5
const LAG_UPDATES = 8
/** It is also overloaded if fewer of its orders than this share are answered at all. */
const MIN_ANSWERED_SHARE = 0.3
/** Orders that are considered together, for how long, in ms, and the lowest number that says anything. */
const MAX_SAMPLES = 60
const SAMPLE_AGE_MS = 3000
const MIN_SAMPLES = 15
/** The capacity is the highest rate of starts of the last updates, so many of them. */
const CAPACITY_UPDATES = 20
/** While there is a limit, starts show the capacity only if they stay below this share of what is admitted. Otherwise they follow the limit. */
const SATURATED_SHARE = 0.9
/** Bounds of the limit, as a share of the capacity. */
const MIN_CAPACITY_SHARE = 0.5
const MAX_CAPACITY_SHARE = 1.2
/**
 * While there is a limit, a job is refused if the owner needs longer than this for the tasks that wait already, in ms: its callers would
 * get their results too late, and the owner would pass on more waiting tasks than the next one can order.
 */
const MAX_BACKLOG_MS = 5000
/** Without overload for this long, in ms, there is no limit. */
const RECOVERED_AFTER_MS = 4000
/** How much of the limit may be accepted at once, in ms. */
const BURST_MS = 500
/** The share of the burst that only the most urgent jobs may use: they are small, and gain most by starting at once. */
const URGENT_BURST_SHARE = 0.5
/** The lowest limit, in tasks per second. */
const MIN_TASKS_PER_S = 5
const MIN_RETRY_AFTER_MS = 1000
const MAX_RETRY_AFTER_MS = 10_000
const MS_PER_S = 1000

interface IOrderSample {
  /** The update before the end of the order. */
  readonly atMs: MonotonicMs
  readonly durationMs: number
  readonly isAnswered: boolean
}

/** The accepted tasks that wait to be started. */
export interface IBacklog {
  readonly tasks: number
  /** Those of the most urgent jobs, which don't wait for the others. */
  readonly urgentTasks: number
}

export interface IAdmissionInputs {
  readonly tasksPerS: number | undefined
  readonly backlogTasks: number
  readonly capacityPerS: number
  readonly startedPerS: number
  /** The longest delay of the last updates. */
  readonly lagMs: number
  /** The number of recent orders. */
  readonly orders: number
  /** Undefined if hardly any of them was answered. */
  readonly medianOrderMs: number | undefined
}

export class AdmissionRate {
  /** The tasks that may be accepted per second; undefined if there is no limit. */
  private _tasksPerS: number | undefined
  private _tokens = 0
  private _updatedAtMs: MonotonicMs | undefined
  private _overloadedAtMs: MonotonicMs = -Infinity
  private _answeredSinceUpdate = 0
  private _admittedSinceUpdate = 0
  private _backlog: IBacklog = { tasks: 0, urgentTasks: 0 }
  /** The tasks started, and those admitted, per second, averaged over about a second. */
  private _startedPerS = 0
  private _admittedPerS = 0
  /** What the last updates showed of the capacity, in starts per second. */
  private readonly _capacitiesPerS: number[] = []
  /** How late each of the last updates was. */
  private readonly _lagsMs: number[] = []
  private _samples: IOrderSample[] = []

  public get tasksPerS (): number | undefined {
    return this._tasksPerS
  }

  /** The inputs of the limit, for the log. */
  public get inputs (): IAdmissionInputs {
    const medianMs = this._medianOrderMs()
    return {
      tasksPerS: this._tasksPerS,
      backlogTasks: this._backlog.tasks,
      capacityPerS: this._capacityPerS,
      startedPerS: this._startedPerS,
      lagMs: Math.max(0, ...this._lagsMs),
      orders: this._samples.length,
      medianOrderMs: Number.isFinite(medianMs) ? medianMs : undefined
    }
  }

  /** Records the end of a start order: with its answer, or at its timeout. */
  public recordOrder (durationMs: number, isAnswered: boolean): void {
    this._samples.push({ atMs: this._updatedAtMs ?? 0, durationMs, isAnswered })
    if (this._samples.length > MAX_SAMPLES) this._samples.shift()
    if (isAnswered) this._answeredSinceUpdate += 1
  }

  /** Adapts the limit; to be called every `ADMISSION_UPDATE_MS`. Returns whether the owner is overloaded. */
  public update (nowMs: MonotonicMs, backlog: IBacklog = { tasks: 0, urgentTasks: 0 }): boolean {
    this._backlog = backlog
    const elapsedMs = Math.max(1, nowMs - (this._updatedAtMs ?? nowMs - ADMISSION_UPDATE_MS))
    this._updatedAtMs = nowMs
    this._lagsMs.push(elapsedMs - ADMISSION_UPDATE_MS)
    if (this._lagsMs.length > LAG_UPDATES) this._lagsMs.shift()
    this._samples = this._samples.filter(({ atMs }) => nowMs - atMs <= SAMPLE_AGE_MS)
    this._updateCapacity(elapsedMs)
    this._tokens = Math.min(this._burst, this._tokens + (this._tasksPerS ?? 0) * elapsedMs / MS_PER_S)
    const isOverloaded = this._isOverloaded()
    if (isOverloaded) {
      this._overloadedAtMs = nowMs
      if (this._tasksPerS === undefined) this._tokens = 0
    }
    this._tasksPerS = nowMs - this._overloadedAtMs > RECOVERED_AFTER_MS ? undefined : this._computeLimit()
    return isOverloaded
  }

  /** Whether a job with this number of tasks is accepted. A wide job uses up what comes after it. */
  public tryAdmit (tasks: number, isUrgent: boolean): boolean {
    if (this._tasksPerS !== undefined) {
      if (this._drainMs(isUrgent) > MAX_BACKLOG_MS) return false
      if (this._tokens <= (isUrgent ? 0 : this._burst * URGENT_BURST_SHARE)) return false
      this._tokens -= tasks
    }
    this._admittedSinceUpdate += tasks
    this._backlog = { tasks: this._backlog.tasks + tasks, urgentTasks: this._backlog.urgentTasks + (isUrgent ? tasks : 0) }
    return true
  }

  /** When a refused job will find room. */
  public retryAfterMs (isUrgent: boolean): number {
    const missing = this._burst - this._tokens
    const waitMs = this._drainMs(isUrgent) + missing / Math.max(MIN_TASKS_PER_S, this._tasksPerS ?? Infinity) * MS_PER_S
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs))
  }

  /** How long the owner needs to start the tasks that wait. */
  private _drainMs (isUrgent: boolean): number {
    const { tasks, urgentTasks } = this._backlog
    return (isUrgent ? urgentTasks : tasks) / Math.max(MIN_TASKS_PER_S, this._capacityPerS) * MS_PER_S
  }

  private get _burst (): number {
    return (this._tasksPerS ?? 0) * BURST_MS / MS_PER_S
  }

  /** The highest rate of starts that the last updates showed. */
  private get _capacityPerS (): number {
    return Math.max(0, ...this._capacitiesPerS)
  }

  private _updateCapacity (elapsedMs: number): void {
    this._startedPerS = smooth(this._startedPerS, this._answeredSinceUpdate, elapsedMs)
    this._admittedPerS = smooth(this._admittedPerS, this._admittedSinceUpdate, elapsedMs)
    this._answeredSinceUpdate = 0
    this._admittedSinceUpdate = 0
    const isMeasure = this._tasksPerS === undefined || this._startedPerS < this._admittedPerS * SATURATED_SHARE
    this._capacitiesPerS.push(isMeasure ? this._startedPerS : Math.max(this._startedPerS, this._capacityPerS))
    if (this._capacitiesPerS.length > CAPACITY_UPDATES) this._capacitiesPerS.shift()
  }

  private _isOverloaded (): boolean {
    const late = this._lagsMs.filter((lagMs) => lagMs > MAX_LAG_MS)
    const isLate = late.length >= this._lagsMs.length * MIN_LATE_SHARE
    // Before an owner has ordered anything, nothing is known of its capacity: one that has just read the jobs is late, but not overloaded.
    // One that stays late and orders nothing although tasks wait is.
    if (this._samples.length < MIN_SAMPLES) return isLate && this._lagsMs.length === LAG_UPDATES && this._backlog.tasks > 0
    return isLate || this._medianOrderMs() > SLOW_ORDER_MS
  }

  /** Infinity if hardly any order is answered. */
  private _medianOrderMs (): number {
    const answered = this._samples.filter(({ isAnswered }) => isAnswered).map(({ durationMs }) => durationMs).sort((a, b) => a - b)
    if (answered.length < this._samples.length * MIN_ANSWERED_SHARE) return Infinity
    return answered[Math.floor(answered.length / 2)] ?? 0
  }

  private _computeLimit (): number {
    const share = TARGET_ORDER_MS / Math.max(1, this._medianOrderMs())
    return Math.max(MIN_TASKS_PER_S, this._capacityPerS * Math.min(MAX_CAPACITY_SHARE, Math.max(MIN_CAPACITY_SHARE, share)))
  }
}

/** Averages a rate per second over about a second. */
function smooth (beforePerS: number, count: number, elapsedMs: number): number {
  return beforePerS + (count / elapsedMs * MS_PER_S - beforePerS) * Math.min(1, elapsedMs / MS_PER_S)
}
