/**
 * One runner of an owned shard: fences it, then asks it again and again what runs there.
 */

import { FencedError } from '../../common/Errors.js'

import type { ILogger } from '../../common/observability/Types.js'
import type { IDisposable, ITimers } from '../../common/Types.js'
import type { IFence, IHostRecord, IRunnerClient, IRunnerStatus, UpstreamError } from '../../runtime/Types.js'

/** Also bounds how late a runner's own word that it leaves is heard; 3 s are allowed. */
const POLL_MS = 1000
/** While an attempt's end is not known its slot is held, so this is asked more often. */
const UNSETTLED_POLL_MS = 200
/** A single lost poll says little; three in a row cost at most 3 s of placing on a dead host. */
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
  private _disposed = false
  private _unsettled = false

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
    this._disposed = true
    this._timer?.dispose()
  }

  /** The host list has news of this host. */
  public update (host: IHostRecord): void {
    this._host = host
    if (host.state === 'leaving' && this._state === 'ready') this._change('leaving')
  }

  /** The runner itself refused new work because it leaves: believed at once, before the next poll. */
  public noteLeaving (): void {
    if (this._state === 'ready') this._change('leaving')
  }

  /** Polls faster while some attempt's end is not known. */
  public setUnsettled (unsettled: boolean): void {
    if (unsettled && !this._unsettled) this._schedule(UNSETTLED_POLL_MS)
    this._unsettled = unsettled
  }

  private async _poll (): Promise<void> {
    const result = await this._client.fence(this._host, this.fence)
    if (this._disposed) return
    result.match((status) => this._answered(status), (error) => this._failed(error))
    this._schedule(this._unsettled ? UNSETTLED_POLL_MS : POLL_MS)
  }

  private _schedule (delayMs: number): void {
    this._timer?.dispose()
    if (!this._disposed) this._timer = this._timers.after(delayMs, () => { this._poll() })
  }

  private _answered (status: IRunnerStatus): void {
    this._missedPolls = 0
    this._events.onStatus(this, status)
    this._change(status.leaving || this._host.state === 'leaving' ? 'leaving' : 'ready')
  }

  private _failed (error: UpstreamError): void {
    if (error instanceof FencedError) {
      this._events.onFenced(this, error.currentEpoch)
      return
    }
    this._missedPolls += 1
    if (this._missedPolls < MAX_MISSED_POLLS) return
    this._log.warn('runner.unreachable', { peer: this._host.hostId, step: error.step })
    this._change('unreachable')
  }

  private _change (state: RunnerState): void {
    if (state === this._state) return
    this._log.info('runner.state', { peer: this._host.hostId, from: this._state, to: state })
    this._state = state
    this._events.onStateChange(this)
  }
}
