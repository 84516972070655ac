/**
 * Asks the owner of the cell for the configuration while the store doesn't answer this process. Otherwise a process that the store refuses
 * would serve removed queues for as long as that lasts, and would not know new ones.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { ConfigFeed } from './ConfigFeed.js'

/** How often a process without the store asks, in ms: several times within the shortest time in which a change has to be in force. */
const ASK_INTERVAL_MS = 500
/** Timeout of a request, in ms: the owner reads the configuration, and a large one takes a second over a slow link. */
const ASK_TIMEOUT_MS = 3000

export class ConfigRelay implements IDisposable {
  private readonly _timer: IDisposable
  private _isAsking = false

  /** @param _ownerId returns the process that owns the cell, if it is known */
  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _config: ConfigFeed,
    private readonly _ownerId: () => string | undefined,
    timers: ITimers,
    private readonly _log: ILogger
  ) {
    this._timer = timers.every(ASK_INTERVAL_MS, () => {
      this._ask().catch((error: unknown) => { this._log.error('config.relayFailed', { reason: String(error) }) })
    })
  }

  public dispose (): void {
    this._timer.dispose()
  }

  private async _ask (): Promise<void> {
    const owner = this._ownerId()
    if (this._isAsking || this._config.isCurrent || owner === undefined) return
    this._isAsking = true
    const reply = await this._hub.link(owner)?.call('cellConfig', { version: Math.max(0, this._config.version) }, ASK_TIMEOUT_MS)
    this._isAsking = false
    if (reply?.isOk() === true && reply.value.record !== undefined) this._config.applyRecord(reply.value.record, owner)
  }
}
