/**
 * Whom this process dials. Several users may ask for a link to the same process.
 */

import type { IDisposable } from '../common/Types.js'
import { PeerDialler } from './PeerDialler.js'
import type { IDialContext } from './PeerDialler.js'

interface IDial {
  readonly dialler: PeerDialler
  users: number
}

export class DialTable implements IDisposable {
  private _disposed = false
  private readonly _dials = new Map<string, IDial>()

  public constructor (private readonly _context: IDialContext) {}

  /** Keeps a link to this address until every user has disposed. */
  public dial (peerUrl: string, processId: string): IDisposable {
    const dial = this._dialFor(peerUrl, processId)
    dial.users += 1
    if (!this._disposed) dial.dialler.start()
    let disposed = false
    return {
      dispose: () => {
        if (disposed) return
        disposed = true
        this._release(processId)
      }
    }
  }

  public has (processId: string): boolean {
    return this._dials.has(processId)
  }

  public noteLinked (processId: string): void {
    this._dials.get(processId)?.dialler.noteLinked()
  }

  public noteLost (processId: string): void {
    this._dials.get(processId)?.dialler.noteLost()
  }

  /** Stops all dialling for good. */
  public dispose (): void {
    this._disposed = true
    for (const { dialler } of this._dials.values()) dialler.dispose()
  }

  private _dialFor (peerUrl: string, processId: string): IDial {
    const existing = this._dials.get(processId)
    if (existing?.dialler.peerUrl === peerUrl) return existing
    // A restarted process has a new address: those who dialled the old one are served by the new dial.
    existing?.dialler.dispose()
    const dial = { dialler: new PeerDialler(peerUrl, processId, this._context), users: existing?.users ?? 0 }
    this._dials.set(processId, dial)
    return dial
  }

  private _release (processId: string): void {
    const dial = this._dials.get(processId)
    if (dial === undefined) return
    dial.users -= 1
    if (dial.users > 0) return
    dial.dialler.dispose()
    this._dials.delete(processId)
  }
}
