/**
 * Configuration between processes: each change is passed on to the linked peers, and a process that starts while the
 * store is down takes everything from one of them.
 *
 * What goes wrong: an accepted change reaches only those whose watch brought it before the store went down. Callers
 * would be treated by old and new profiles at once, for as long as the outage lasts. Peers pass on what was new to
 * them, so that one process that knows a revision is enough.
 */

import { DisposableStore } from '../common/Emitter.js'

import type { IConfigEntry, IConfigReplica } from '../common/config/Types.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import type { IPeerHub, IPeerLink } from '../peer/Types.js'
import type { ConfigWatcher } from '../runtime/config/ConfigWatcher.js'

const CALL_TIMEOUT_MS = 2000
/** A process that starts has no links yet; it waits this long for the first one. */
const LINK_WAIT_MS = 3000
const LINK_POLL_MS = 50
/** Links compare digests this often, which also mends what a lost cast left out. */
const COMPARE_MS = 5000

export class ConfigExchange implements IDisposable {
  private readonly _disposables = new DisposableStore()
  private _turn = 0

  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _replica: IConfigReplica,
    private readonly _watcher: ConfigWatcher,
    private readonly _timers: ITimers
  ) {
    _hub.handle('configSince', async ({ digest }) => ({ entries: digest === _replica.digest() ? [] : _replica.entries() }))
    this._disposables.add(_hub.listen('configEntries', ({ entries }) => _watcher.applyFromPeer(entries)))
    this._disposables.add(_watcher.onApplied((entries) => this._passOn(entries)))
    this._disposables.add(_hub.onLink((link) => this._compare(link)))
    this._disposables.add(_timers.every(COMPARE_MS, () => this._compareNext()))
  }

  /** The entries of the first peer that answers; none when nobody is linked in time. */
  public async entriesOfPeers (): Promise<readonly IConfigEntry[]> {
    for (let waitedMs = 0; waitedMs < LINK_WAIT_MS; waitedMs += LINK_POLL_MS) {
      for (const link of this._hub.links()) {
        const reply = await link.call('configSince', { digest: this._replica.digest() }, CALL_TIMEOUT_MS)
        if (reply.isOk()) return reply.value.entries
      }
      await new Promise<void>((resolve) => { this._timers.after(LINK_POLL_MS, resolve) })
    }
    return []
  }

  public dispose (): void {
    this._disposables.dispose()
  }

  private _passOn (entries: readonly IConfigEntry[]): void {
    for (const link of this._hub.links()) link.cast('configEntries', { entries })
  }

  private _compareNext (): void {
    const links = this._hub.links()
    this._turn += 1
    const link = links[this._turn % Math.max(1, links.length)]
    if (link !== undefined) this._compare(link)
  }

  private async _compare (link: IPeerLink): Promise<void> {
    const reply = await link.call('configSince', { digest: this._replica.digest() }, CALL_TIMEOUT_MS)
    if (reply.isOk()) this._watcher.applyFromPeer(reply.value.entries)
  }
}
