/**
 * Runs the handshake over a new WebSocket, with limits on time and bytes, as the other side is not authenticated yet.
 */

import type { Socket } from 'node:net'
import type { RawData, WebSocket } from 'ws'
import type { IDisposable, IProcessIdentity, ITimers } from '../common/Types.js'
import type { Handshake } from './Handshake.js'
import type { IPeerHubOptions } from './PeerHubOptions.js'
import { toBytes } from './PeerSocket.js'

export interface IHandshakeListener {
  /** Called when the peer is authenticated. Either this or `onFailed` is called, and only once. `welcome` is set on the listening side. */
  onAuthenticated (peer: IProcessIdentity, welcome: Uint8Array | undefined): void
  onFailed (reason: string): void
}

export class HandshakeRunner implements IDisposable {
  private _hasEnded = false
  private readonly _timeout: IDisposable
  private readonly _onMessage = (data: RawData, isBinary: boolean): void => this._receive(data, isBinary)
  private readonly _onData = (): void => this._checkReceivedBytes()
  private readonly _onClose = (): void => this._fail('closed during the handshake')

  public constructor (
    private readonly _webSocket: WebSocket,
    private readonly _tcp: Socket,
    private readonly _handshake: Handshake,
    private readonly _options: Pick<IPeerHubOptions, 'handshakeTimeoutMs' | 'maxUnauthenticatedBytes'>,
    timers: ITimers,
    private readonly _listener: IHandshakeListener
  ) {
    this._timeout = timers.after(_options.handshakeTimeoutMs, () => this._fail('handshake timed out'))
    _webSocket.on('message', this._onMessage)
    _webSocket.on('close', this._onClose)
    _tcp.on('data', this._onData)
  }

  /** Aborts the handshake without calling the listener, and closes the connection. */
  public dispose (): void {
    this._removeListeners()
    this._webSocket.terminate()
  }

  /**
   * Limits the bytes that an unauthenticated connection can make this process buffer. The limit on the message size
   * is not enough: it is set once per connection and must allow full-size messages after the handshake. Without this
   * check each unauthenticated connection could occupy 2 MB.
   */
  private _checkReceivedBytes (): void {
    if (!this._hasEnded && this._tcp.bytesRead > this._options.maxUnauthenticatedBytes) this._fail('too many bytes before authentication')
  }

  private _receive (data: RawData, isBinary: boolean): void {
    if (!isBinary) return this._fail('text message')
    const step = this._handshake.receive(toBytes(data))
    switch (step.kind) {
      case 'send':
        this._webSocket.send(step.bytes)
        break
      case 'failed':
        this._fail(step.reason)
        break
      case 'authenticated':
        this._removeListeners()
        this._listener.onAuthenticated(step.peer, step.bytes)
    }
  }

  private _fail (reason: string): void {
    if (this._hasEnded) return
    this.dispose()
    this._listener.onFailed(reason)
  }

  private _removeListeners (): void {
    this._hasEnded = true
    this._timeout.dispose()
    this._webSocket.off('message', this._onMessage)
    this._webSocket.off('close', this._onClose)
    this._tcp.off('data', this._onData)
  }
}
