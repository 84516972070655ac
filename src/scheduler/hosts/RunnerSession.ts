/**
 * The session with one runner of an owned shard: fences the runner, then polls it for the attempts that run there.
 */

import { FencedError } from '../../common/Errors.js'

import type { ILogger } from '../../common/observability/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IFence, IHostRecord, IRunnerClient, IRunnerStatus, UpstreamError } from '../../runtime/Types.js'

/** Also bounds the delay until a runner's report that it leaves is seen, which may be 3 s. */
const POLL_MS = 1000
/** Shorter while the end of an attempt is unknown, because its slot is held until then. */
const UNSETTLED_POLL_MS = 200
/** A single lost poll is no evidence of a failure. Waiting for three in a row means at most 3 s of placing work on a dead host. */
const MAX_MISSED_POLLS = 3

export type RunnerState = 'unfenced' | 'ready' | 'leaving' | 'unreachable'

export interface IRunnerSessionEvents {
  onStatus (session: RunnerSession, status: IRunnerStatus): void
  onStateChange (session: RunnerSession): void
  onFenced (session: RunnerSession, currentEpoch: number): void
}

export class RunnerSession implements IDisposable {
  private _state: RunnerState = 'unfenced'
  private _missedPolls = 0
  private _timer: IDisposable | undefined
  private _isDisposed = false
  private _hasUnsettled = false

  public constructor (
    private _host: IHostRecord,
    public readonly fence: IFence,
    private readonly _client: IRunnerClient,
    private readonly _timers: ITimers,
    private readonly _log: ILogger,
    private readonly _events: IRunnerSessionEvents
  ) {}

  public get host (): IHostRecord {
    return this._host
  }

  public get state (): RunnerState {
    return this._state
  }

  public start (): void {
    this._poll()
  }

  public dispose (): void {
    this._isDisposed = true
    this._timer?.dispose()
  }

  /** Updates the session to the host's current record in the host list. */
  public update (host: IHostRecord): void {
    this._host = host
    if (host.state === 'leaving' && this._state === 'ready') this._setState('leaving')
  }

  /** Marks the runner as leaving before the next poll, because it refused a call for that reason. */
  public markLeaving (): void {
    if (this._state === 'ready') this._setState('leaving')
  }

  /** Polls more often while the end of some attempt is unknown. */
  public setUnsettled (unsettled: boolean): void {
    if (unsettled && !this._hasUnsettled) this._schedule(UNSETTLED_POLL_MS)
    this._hasUnsettled = unsettled
  }

  private async _poll (): Promise<void> {
    const result = await this._client.fence(this._host, this.fence)
    if (this._isDisposed) return
    result.match((status) => this._handleStatus(status), (error) => this._handleError(error))
    this._schedule(this._hasUnsettled ? UNSETTLED_POLL_MS : POLL_MS)
  }

  private _schedule (delayMs: number): void {
    this._timer?.dispose()
    if (!this._isDisposed) this._timer = this._timers.after(delayMs, () => { this._poll() })
  }

  private _handleStatus (status: IRunnerStatus): void {
    this._missedPolls = 0
    this._events.onStatus(this, status)
    this._setState(status.leaving || this._host.state === 'leaving' ? 'leaving' : 'ready')
  }

  private _handleError (error: UpstreamError): void {
    if (error instanceof FencedError) {
      this._events.onFenced(this, error.currentEpoch)
      return
    }
    this._missedPolls += 1
    if (this._missedPolls < MAX_MISSED_POLLS) return
    this._log.warn('runner.unreachable', { peer: this._host.hostId, step: error.step })
    this._setState('unreachable')
  }

  private _setState (state: RunnerState): void {
    if (state === this._state) return
    this._log.info('runner.state', { peer: this._host.hostId, from: this._state, to: state })
    this._state = state
    this._events.onStateChange(this)
  }
}
