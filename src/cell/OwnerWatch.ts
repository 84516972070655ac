/**
 * Notices that the owner's process is gone before its lease has run out, and takes over.
 *
 * A process that was killed leaves a closed connection and a port that nobody listens on. Waiting for its lease would
 * leave the cell without an owner for a second and a half, and callers of urgent work would be told to come back. Being
 * wrong costs a takeover and no more: the store and the hosts refuse the old owner from then on.
 */

import { connect } from 'node:net'
import type { ILogger } from '../common/observability/Types.js'
import type { IDisposable, IRandom, ITimers } from '../common/Types.js'
import type { IPeerHub } from '../peer/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

/** A takeover begins after a random part of this, in ms, so that one of the processes is clearly first. */
const TAKE_JITTER_MS = 150
const PROBE_TIMEOUT_MS = 500

export class OwnerWatch implements IDisposable {
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
      if (cause !== 'released' && record !== undefined && record.processId === peer.processId) this._probe(record)
    })
  }

  public dispose (): void {
    this._subscription.dispose()
  }

  private _probe (record: IOwnerRecord): void {
    this._timers.after(this._ownership.yieldMs + this._random.next() * TAKE_JITTER_MS, () => {
      if (this._ownership.record?.revision !== record.revision) return
      isRefused(record.peerUrl).then((refused) => {
        this._log.warn('owner.linkLost', { peer: record.processId, revision: record.revision, refused })
        if (refused) this._ownership.takeOver(record)
      }, (error: unknown) => { this._log.error('owner.probeFailed', { reason: String(error) }) })
    })
  }
}

/** Whether nobody listens there: the machine answers, the process doesn't. */
async function isRefused (peerUrl: string): Promise<boolean> {
  const { hostname, port } = new URL(peerUrl)
  return await new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) })
    const end = (refused: boolean): void => {
      socket.destroy()
      resolve(refused)
    }
    socket.setTimeout(PROBE_TIMEOUT_MS, () => { end(false) })
    socket.once('connect', () => { end(false) })
    socket.once('error', (error: Error & { readonly code?: string }) => { end(error.code === 'ECONNREFUSED') })
  })
}
