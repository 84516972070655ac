/**
 * Exchanges configuration between processes: each process forwards changes to its linked peers, and a process that starts
 * while the store is unavailable fetches all entries from a peer.
 *
 * Without the exchange, an accepted change would reach only the processes whose watch delivered it before the store went
 * down, and different processes would apply old and new profiles to callers until the outage ends. A process forwards every
 * entry that was new to it, so a revision spreads to all linked processes as soon as one of them has it.
 */

import { DisposableStore } from '../common/Emitter.js'

import type { IConfigEntry, IConfigReplica } from '../common/config/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { IPeerHub, IPeerLink } from '../peer/Types.js'
import type { ConfigWatcher } from '../runtime/config/ConfigWatcher.js'

const CALL_TIMEOUT_MS = 2000
/** How long a starting process, which has no links yet, waits for a peer that answers, in ms. */
const LINK_TIMEOUT_MS = 3000
const LINK_POLL_INTERVAL_MS = 50
/** How often the configuration is compared with one peer's, in ms. The comparison also delivers changes whose cast was lost. */
const COMPARE_INTERVAL_MS = 5000

export class ConfigExchange implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private _nextPeerIndex = 0

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _replica: IConfigReplica,
    private readonly _watcher: ConfigWatcher,
    private readonly _timers: ITimers
  ) {
    _hub.handle('configSince', async ({ digest }) => ({ entries: digest === _replica.digest() ? [] : _replica.entries() }))
    this._disposables.add(_hub.listen('configEntries', ({ entries }) => _watcher.applyFromPeer(entries)))
    this._disposables.add(_watcher.onApplied((entries) => this._forward(entries)))
    this._disposables.add(_hub.onLink((link) => this._compareWith(link)))
    this._disposables.add(_timers.every(COMPARE_INTERVAL_MS, () => this._compareWithNextPeer()))
  }

  /** Returns the entries of the first peer that answers, or none if no peer is linked and answers in time. */
  public async fetchPeerEntries (): Promise<readonly IConfigEntry[]> {
    for (let waitedMs = 0; waitedMs < LINK_TIMEOUT_MS; waitedMs += LINK_POLL_INTERVAL_MS) {
      for (const link of this._hub.links()) {
        const reply = await link.call('configSince', { digest: this._replica.digest() }, CALL_TIMEOUT_MS)
        if (reply.isOk()) return reply.value.entries
      }
      await new Promise<void>((resolve) => { this._timers.after(LINK_POLL_INTERVAL_MS, resolve) })
    }
    return []
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  private _forward (entries: readonly IConfigEntry[]): void {
    for (const link of this._hub.links()) link.cast('configEntries', { entries })
  }

  private _compareWithNextPeer (): void {
    const links = this._hub.links()
    this._nextPeerIndex += 1
    const link = links[this._nextPeerIndex % Math.max(1, links.length)]
    if (link !== undefined) this._compareWith(link)
  }

  private async _compareWith (link: IPeerLink): Promise<void> {
    const reply = await link.call('configSince', { digest: this._replica.digest() }, CALL_TIMEOUT_MS)
    if (reply.isOk()) this._watcher.applyFromPeer(reply.value.entries)
  }
}
