/**
 * The processes that this process dials, with a count of users each: several users may dial the same process.
 */

import type { IDisposable } from '../common/Types.js'
import { PeerDialler } from './PeerDialler.js'
import type { IDialContext } from './PeerDialler.js'

interface IDial {
  readonly dialler: PeerDialler
  users: number
}

export class DialTable implements IDisposable {
  private _isDisposed = false
  private readonly _dials = new Map<string, IDial>()

  public constructor (private readonly _context: IDialContext) {}

  /** Keeps a link to this address until all users have disposed. */
  public dial (peerUrl: string, processId: string): IDisposable {
    const dial = this._findOrCreateDial(peerUrl, processId)
    dial.users += 1
    if (!this._isDisposed) dial.dialler.start()
    let isReleased = false
    return {
      dispose: () => {
        if (isReleased) return
        isReleased = true
        this._removeUser(processId)
      }
    }
  }

  public has (processId: string): boolean {
    return this._dials.has(processId)
  }

  public onLinked (processId: string): void {
    this._dials.get(processId)?.dialler.onLinked()
  }

  public onLinkLost (processId: string): void {
    this._dials.get(processId)?.dialler.onLinkLost()
  }

  /** Stops all dialling for good. */
  public dispose (): void {
    this._isDisposed = true
    for (const { dialler } of this._dials.values()) dialler.dispose()
  }

  private _findOrCreateDial (peerUrl: string, processId: string): IDial {
    const existing = this._dials.get(processId)
    if (existing?.dialler.peerUrl === peerUrl) return existing
    // A restarted process has a new address. The new dialler takes over the users of the old one.
    existing?.dialler.dispose()
    const dial = { dialler: new PeerDialler(peerUrl, processId, this._context), users: existing?.users ?? 0 }
    this._dials.set(processId, dial)
    return dial
  }

  private _removeUser (processId: string): void {
    const dial = this._dials.get(processId)
    if (dial === undefined) return
    dial.users -= 1
    if (dial.users > 0) return
    dial.dialler.dispose()
    this._dials.delete(processId)
  }
}
