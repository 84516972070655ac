/**
 * Detects that this process owns the cell while most of its peers can't reach it.
 *
 * The store and the hosts may still be reachable, so the lease goes on. The owner works, but most callers are refused. The sign of it is
 * that most links have fallen silent. The owner then steps aside, and a process that the others reach takes over.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'

const CHECK_INTERVAL_MS = 200
/** How long most links have to be silent, in ms, in addition to the time after which a link is considered silent. */
const MIN_CUT_MS = 400
/**
 * Machines that lost power are back and linked within this time, in ms, once the store answers. Peers that stay silent longer are cut off
 * by the network, whatever the peers that this process still reaches report.
 */
const POWER_RECOVERY_MS = 5000
/** With fewer silent peers, the peers are just as likely to be the ones that are cut off. */
const MIN_SILENT_PEERS = 2
/** A reachable peer answers from memory within this time, in ms: six round trips between regions. */
const LINKS_TIMEOUT_MS = 250

export class OwnerIsolationDetector implements IDisposable {
  /** Ids of the peers whose links have fallen silent. */
  private readonly _silentPeers = new Set<string>()
  private readonly _registrations: readonly IDisposable[]
  /** Since when most links have been silent. */
  private _cutSinceMs: MonotonicMs | undefined
  /** Since when most links have been silent while the store answered: peers could have found this owner since. */
  private _confirmedCutSinceMs: MonotonicMs | undefined
  private _isAsking = false

  /** @param _onIsolated called once for each detected isolation, while this process owns the cell */
  public constructor (
    private readonly _hub: IPeerHub,
    private readonly _ownership: Pick<Ownership, 'isOwner' | 'isConfirmed'>,
    private readonly _onIsolated: (silent: number) => void,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {
    this._registrations = [
      _hub.onLink(({ peer }) => { this._silentPeers.delete(peer.processId) }),
      _hub.onLost((peer, cause) => { if (cause === 'silent') this._silentPeers.add(peer.processId) }),
      _clock.every(CHECK_INTERVAL_MS, () => { this._checkLinks() })
    ]
    _hub.handle('cellLinks', async () => ({ processIds: _hub.links().map(({ peer }) => peer.processId) }))
  }

  public dispose (): void {
    for (const registration of this._registrations) registration.dispose()
  }

  private _checkLinks (): void {
    if (!this._ownership.isOwner) {
      this._silentPeers.clear()
      this._cutSinceMs = undefined
      this._confirmedCutSinceMs = undefined
      return
    }
    const nowMs = this._clock.nowMs()
    const isCut = this._silentPeers.size >= MIN_SILENT_PEERS && this._silentPeers.size > this._hub.links().length
    this._cutSinceMs = isCut ? this._cutSinceMs ?? nowMs : undefined
    this._confirmedCutSinceMs = isCut && this._ownership.isConfirmed ? this._confirmedCutSinceMs ?? nowMs : undefined
    if (this._cutSinceMs === undefined || nowMs - this._cutSinceMs < MIN_CUT_MS) return
    // While this process can't reach the store, other processes probably can't either, and none could take a record that is released.
    if (!this._ownership.isConfirmed || this._isAsking) return
    this._cutSinceMs = undefined
    this._confirmIsolation().catch((error: unknown) => { this._log.error('owner.isolationUnknown', { reason: String(error) }) })
  }

  /**
   * Asks the other peers first. If many machines lose power at once, their links fall silent just as to an isolated owner, and no other
   * process could serve the cell better.
   */
  private async _confirmIsolation (): Promise<void> {
    this._isAsking = true
    const isReached = await this._areReachedByOthers().finally(() => { this._isAsking = false })
    const isCutOff = isReached || this._isPowerRecoveryOver
    if (isCutOff && this._ownership.isConfirmed) this._onIsolated(this._silentPeers.size)
  }

  /** Whether the silent peers have had enough time to recover from a power loss. */
  private get _isPowerRecoveryOver (): boolean {
    return this._confirmedCutSinceMs !== undefined && this._clock.nowMs() - this._confirmedCutSinceMs > POWER_RECOVERY_MS
  }

  /** Whether a linked peer has a link to a silent one; also true if there is no peer to ask. */
  private async _areReachedByOthers (): Promise<boolean> {
    const replies = await Promise.all(this._hub.links().map(async (link) => await link.call('cellLinks', {}, LINKS_TIMEOUT_MS)))
    const answered = replies.flatMap((reply) => reply.isOk() ? [reply.value.processIds] : [])
    const isReached = answered.length === 0 || answered.some((processIds) => processIds.some((processId) => this._silentPeers.has(processId)))
    this._log.info('owner.peersSilent', { silent: this._silentPeers.size, asked: replies.length, answered: answered.length, isReached })
    return isReached
  }
}
