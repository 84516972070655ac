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
/** The owner is overloaded if its timers are later than this, in ms. */
const MAX_LAG_MS = 200
/** It is also overloaded if fewer of its orders than this share are answered at all. */
const MIN_ANSWERED_SHARE = 0.3
/** Orders that are considered together, and the lowest number that says anything. */
const MAX_SAMPLES = 60
const MIN_SAMPLES = 15
/** The capacity is the highest rate of starts of the last updates, so many of them. */
const CAPACITY_UPDATES = 20
/** Bounds of the limit, as a share of the capacity. */
const MIN_CAPACITY_SHARE = 0.5
const MAX_CAPACITY_SHARE = 1.2
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
  readonly durationMs: number
  readonly isAnswered: boolean
}

export class AdmissionRate {
  /** The tasks that may be accepted per second; undefined if there is no limit. */
  private _tasksPerS: number | undefined
  private _tokens = 0
  private _updatedAtMs: MonotonicMs | undefined
  private _overloadedAtMs: MonotonicMs = -Infinity
  private _answeredSinceUpdate = 0
  /** The tasks started per second, averaged over about a second, after each of the last updates. */
  private readonly _startedPerS: number[] = []
  private _lagMs = 0
  private _samples: IOrderSample[] = []

  public get tasksPerS (): number | undefined {
    return this._tasksPerS
  }

  /** Records the end of a start order: with its answer, or at its timeout. */
  public recordOrder (durationMs: number, isAnswered: boolean): void {
    this._samples.push({ durationMs, isAnswered })
    if (this._samples.length > MAX_SAMPLES) this._samples.shift()
    if (isAnswered) this._answeredSinceUpdate += 1
  }

  /** Adapts the limit; to be called every `ADMISSION_UPDATE_MS`. Returns whether the owner is overloaded. */
  public update (nowMs: MonotonicMs): boolean {
    const elapsedMs = Math.max(1, nowMs - (this._updatedAtMs ?? nowMs - ADMISSION_UPDATE_MS))
    this._updatedAtMs = nowMs
    this._lagMs = Math.max(this._lagMs / 2, elapsedMs - ADMISSION_UPDATE_MS)
    this._recordStarts(elapsedMs)
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
    if (this._tasksPerS === undefined) return true
    if (this._tokens <= (isUrgent ? 0 : this._burst * URGENT_BURST_SHARE)) return false
    this._tokens -= tasks
    return true
  }

  /** When a refused job will find room. */
  public get retryAfterMs (): number {
    const missing = this._burst - this._tokens
    const waitMs = missing / Math.max(MIN_TASKS_PER_S, this._tasksPerS ?? Infinity) * MS_PER_S
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs))
  }

  private get _burst (): number {
    return (this._tasksPerS ?? 0) * BURST_MS / MS_PER_S
  }

  private _recordStarts (elapsedMs: number): void {
    const beforePerS = this._startedPerS.at(-1) ?? 0
    const presentPerS = this._answeredSinceUpdate / elapsedMs * MS_PER_S
    this._startedPerS.push(beforePerS + (presentPerS - beforePerS) * Math.min(1, elapsedMs / MS_PER_S))
    if (this._startedPerS.length > CAPACITY_UPDATES) this._startedPerS.shift()
    this._answeredSinceUpdate = 0
  }

  private _isOverloaded (): boolean {
    // Before an owner has ordered anything, nothing is known of its capacity: one that has just read the jobs is late, but not overloaded.
    if (this._samples.length < MIN_SAMPLES) return false
    return this._lagMs > MAX_LAG_MS || this._medianOrderMs() > SLOW_ORDER_MS
  }

  /** Infinity if hardly any order is answered. */
  private _medianOrderMs (): number {
    const answered = this._samples.filter(({ isAnswered }) => isAnswered).map(({ durationMs }) => durationMs).sort((a, b) => a - b)
    if (answered.length < this._samples.length * MIN_ANSWERED_SHARE) return Infinity
    return answered[Math.floor(answered.length / 2)] ?? 0
  }

  private _computeLimit (): number {
    const capacityPerS = Math.max(...this._startedPerS)
    const share = TARGET_ORDER_MS / Math.max(1, this._medianOrderMs())
    return Math.max(MIN_TASKS_PER_S, capacityPerS * Math.min(MAX_CAPACITY_SHARE, Math.max(MIN_CAPACITY_SHARE, share)))
  }
}
