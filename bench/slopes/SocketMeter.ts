/**
 * Counts the bytes on all connections that `undici` opens during the lifetime of the meter, without TCP and IP headers.
 */

import { subscribe, unsubscribe } from 'node:diagnostics_channel'

import type { Socket } from 'node:net'

const CONNECTED = 'undici:client:connected'

export class SocketMeter {
  private readonly _sockets: Socket[] = []
  private readonly _onConnected = (message: unknown): void => { this._sockets.push((message as { readonly socket: Socket }).socket) }

  public constructor () {
    subscribe(CONNECTED, this._onConnected)
  }

  public get bytes (): number {
    return this._sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
  }

  public get connections (): number {
    return this._sockets.length
  }

  public dispose (): void {
    unsubscribe(CONNECTED, this._onConnected)
  }
}
