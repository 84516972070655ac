/**
 * Detects that the owner's process has ended before its lease has run out, and takes the cell over.
 *
 * A killed process leaves a closed connection and a port on which no process listens. If the lease had to run out first, the cell would
 * have no owner for a second and a half, and callers with urgent work would be told to retry. A wrong conclusion costs only a takeover: the
 * store and the hosts refuse the previous owner from then on.
 */

import { connect } from 'node:net'
import type { ILogger } from '../common/observability/Types.js'
import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

/** A takeover is delayed by a random part of this, in ms, so that two processes rarely start at the same time. */
const TAKEOVER_JITTER_MS = 150
const PROBE_TIMEOUT_MS = 500

export class OwnerExitDetector implements IDisposable {
  private readonly _subscription: IDisposable

  public constructor (
    hub: IPeerHub,
    private readonly _ownership: Ownership,
    private readonly _timers: ITimers,
    private readonly _random: IRandom,
    private readonly _log: ILogger
  ) {
    this._subscription = hub.onLost((peer, cause) => {
      const { record } = _ownership
      if (cause !== 'released' && record !== undefined && record.processId === peer.processId) this._probeOwner(record)
    })
  }

  public dispose (): void {
    this._subscription.dispose()
  }

  private _probeOwner (record: IOwnerRecord): void {
    this._timers.after(this._ownership.yieldMs + this._random.next() * TAKEOVER_JITTER_MS, () => {
      if (this._ownership.record?.revision !== record.revision) return
      isConnectionRefused(record.peerUrl).then((refused) => {
        this._log.warn('owner.linkLost', { peer: record.processId, revision: record.revision, refused })
        if (refused) this._ownership.takeOver(record)
      }, (error: unknown) => { this._log.error('owner.probeFailed', { reason: String(error) }) })
    })
  }
}

/** Whether the machine answers but no process listens on the port. */
async function isConnectionRefused (peerUrl: string): Promise<boolean> {
  const { hostname, port } = new URL(peerUrl)
  return await new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) })
    const finish = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.setTimeout(PROBE_TIMEOUT_MS, () => { finish(false) })
    socket.once('connect', () => { finish(false) })
    socket.once('error', (error: Error & { readonly code?: string }) => { finish(error.code === 'ECONNREFUSED') })
  })
}
