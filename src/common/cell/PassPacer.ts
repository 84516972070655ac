/**
 * Decides when the owner makes a scheduling pass, and reports passes that are slow or late: then the owner is short of processor time, and
 * steps wait although there are advice and room for them.
 */

import type { ILogger } from '../observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../Types.js'

export interface IPassEffects {
  /** Makes a pass. Returns the number of steps that were considered. */
  runPass (): number
  recordDuration (name: string, ms: number): void
}

/**
 * Delay of a scheduling pass after a change, so that one pass handles several changes: at least this long, in ms, and a multiple of the
 * duration of the last pass. So passes never take more than a fifth of the processor, however long the queue is.
 */
const MIN_PASS_DELAY_MS = 4
const PASS_DELAY_FACTOR = 4
/** Passes that take longer, or start later after the change, are logged. */
const SLOW_PASS_MS = 100
const LATE_PASS_MS = 500
const LOG_INTERVAL_MS = 5000

export class PassPacer implements IDisposable {
  private _timer: IDisposable | undefined
  private _lastPassMs = 0
  private _slowPasses = 0
  private _loggedAtMs: MonotonicMs = -Infinity

  public constructor (private readonly _effects: IPassEffects, private readonly _clock: IClock & ITimers, private readonly _log: ILogger) {}

  /** Requests a pass after a change. */
  public request (): void {
    if (this._timer !== undefined) return
    const requestedAtMs = this._clock.nowMs()
    this._timer = this._clock.after(Math.max(MIN_PASS_DELAY_MS, this._lastPassMs * PASS_DELAY_FACTOR), () => { this._run(requestedAtMs) })
  }

  public dispose (): void {
    this._timer?.dispose()
  }

  private _run (requestedAtMs: MonotonicMs): void {
    this._timer = undefined
    const startedAtMs = this._clock.nowMs()
    const steps = this._effects.runPass()
    this._lastPassMs = this._clock.nowMs() - startedAtMs
    this._report(startedAtMs - requestedAtMs, this._lastPassMs, steps)
  }

  private _report (waitMs: number, durationMs: number, steps: number): void {
    this._effects.recordDuration('wait_for_pass', waitMs)
    this._effects.recordDuration('pass', durationMs)
    if (durationMs < SLOW_PASS_MS && waitMs < LATE_PASS_MS) return
    this._slowPasses += 1
    const nowMs = this._clock.nowMs()
    if (nowMs - this._loggedAtMs < LOG_INTERVAL_MS) return
    this._loggedAtMs = nowMs
    this._log.warn('pass.slow', { durationMs: Math.round(durationMs), waitMs: Math.round(waitMs), steps, slowPasses: this._slowPasses })
    this._slowPasses = 0
  }
}
