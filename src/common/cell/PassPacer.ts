/**
 * Decides when the owner makes a scheduling pass, or the next slice of one, and reports passes that are slow or late: then the owner is
 * short of processor time, and steps wait although there are advice and room for them.
 *
 * Between two slices, the owner handles what has arrived: answers, polls and requests of callers. Passes take at most about half of its time.
 */

import type { ILogger } from '../observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../Types.js'

/** The part of a pass that was made in one go. */
export interface IPassSlice {
  /** The number of steps that were considered. */
  readonly steps: number
  /** Whether the pass has considered all steps. */
  readonly isComplete: boolean
}

export interface IPassEffects {
  /** Begins a pass or continues the one that isn't complete, for about `maxMs`. */
  runPass (maxMs: number): IPassSlice
  recordDuration (name: string, ms: number): void
}

interface IPass {
  readonly waitMs: number
  readonly startedAtMs: MonotonicMs
  /** The duration of its slices. */
  workMs: number
  slices: number
  steps: number
}

const SLICE_MS = 30
/** The time between two slices, at least, in ms, and as a multiple of the last one: the same whatever the number of steps. */
const MIN_DELAY_MS = 4
const SLICE_DELAY_FACTOR = 1
/**
 * Delay of a pass after a change, so that one pass handles several changes: a multiple of the duration of the last pass, up to a maximum, in ms.
 * So passes that are short take no more than a fifth of the processor.
 */
const PASS_DELAY_FACTOR = 4
const MAX_PASS_DELAY_MS = 100
/** Passes that take longer, or start later after the change, are logged. */
const SLOW_PASS_MS = 100
const LATE_PASS_MS = 500
const LOG_INTERVAL_MS = 5000

export class PassPacer implements IDisposable {
  private _timer: IDisposable | undefined
  /** When the first change occurred that no pass has handled yet. */
  private _requestedAtMs: MonotonicMs | undefined
  private _pass: IPass | undefined
  private _isRunning = false
  private _isDisposed = false
  private _lastPassMs = 0
  private _lastSliceMs = 0
  private _slowPasses = 0
  private _loggedAtMs: MonotonicMs = -Infinity

  public constructor (private readonly _effects: IPassEffects, private readonly _clock: IClock & ITimers, private readonly _log: ILogger) {}

  /** Requests a pass after a change. The pass that isn't complete goes on first: otherwise the last steps would never be considered. */
  public request (): void {
    if (this._isDisposed) return
    this._requestedAtMs ??= this._clock.nowMs()
    if (!this._isRunning && this._timer === undefined) this._schedule()
  }

  public dispose (): void {
    this._isDisposed = true
    this._timer?.dispose()
  }

  private _schedule (): void {
    const sliceDelayMs = Math.max(MIN_DELAY_MS, this._lastSliceMs * SLICE_DELAY_FACTOR)
    const passDelayMs = Math.min(MAX_PASS_DELAY_MS, this._lastPassMs * PASS_DELAY_FACTOR)
    const delayMs = this._pass === undefined ? Math.max(sliceDelayMs, passDelayMs) : sliceDelayMs
    this._timer = this._clock.after(delayMs, () => { this._run() })
  }

  private _run (): void {
    this._timer = undefined
    const startedAtMs = this._clock.nowMs()
    this._pass ??= this._begin(startedAtMs)
    const { steps, isComplete } = this._runSlice()
    this._lastSliceMs = this._clock.nowMs() - startedAtMs
    this._pass.workMs += this._lastSliceMs
    this._pass.slices += 1
    this._pass.steps += steps
    if (isComplete) this._end(this._pass)
    if (!this._isDisposed && (!isComplete || this._requestedAtMs !== undefined)) this._schedule()
  }

  private _runSlice (): IPassSlice {
    this._isRunning = true
    try {
      return this._effects.runPass(SLICE_MS)
    } finally {
      this._isRunning = false
    }
  }

  private _begin (nowMs: MonotonicMs): IPass {
    const waitMs = nowMs - (this._requestedAtMs ?? nowMs)
    this._requestedAtMs = undefined
    return { waitMs, startedAtMs: nowMs, workMs: 0, slices: 0, steps: 0 }
  }

  private _end (pass: IPass): void {
    this._pass = undefined
    this._lastPassMs = pass.workMs
    const spanMs = this._clock.nowMs() - pass.startedAtMs
    this._effects.recordDuration('wait_for_pass', pass.waitMs)
    this._effects.recordDuration('pass', pass.workMs)
    this._effects.recordDuration('pass_span', spanMs)
    if (pass.workMs >= SLOW_PASS_MS || pass.waitMs >= LATE_PASS_MS) this._logSlow(pass, spanMs)
  }

  private _logSlow ({ workMs, waitMs, slices, steps }: IPass, spanMs: number): void {
    this._slowPasses += 1
    const nowMs = this._clock.nowMs()
    if (nowMs - this._loggedAtMs < LOG_INTERVAL_MS) return
    this._loggedAtMs = nowMs
    const times = { durationMs: Math.round(workMs), spanMs: Math.round(spanMs), waitMs: Math.round(waitMs) }
    this._log.warn('pass.slow', { ...times, slices, steps, slowPasses: this._slowPasses })
    this._slowPasses = 0
  }
}
