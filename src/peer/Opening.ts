/**
 * Runs the handshake over a fresh WebSocket within bounds of time and bytes, whoever is at the other end.
 */

import type { Socket } from 'node:net'
import type { RawData, WebSocket } from 'ws'
import type { IDisposable, IProcessIdentity, ITimers } from '../common/Types.js'
import type { Handshake } from './Handshake.js'
import type { IPeerHubOptions } from './PeerHubOptions.js'
import { toBytes } from './PeerSocket.js'

export interface IOpeningListener {
  /** The peer has proved itself; called at most once, and then neither is `onFailed`. `welcome` is set on the listening side. */
  onProven (peer: IProcessIdentity, welcome: Uint8Array | undefined): void
  onFailed (reason: string): void
}

export class Opening implements IDisposable {
  private _ended = false
  private readonly _timeout: IDisposable
  private readonly _onMessage = (data: RawData, isBinary: boolean): void => this._receive(data, isBinary)
  private readonly _onData = (): void => this._checkSize()
  private readonly _onClose = (): void => this._fail('closed during the handshake')

  public constructor (
    private readonly _webSocket: WebSocket,
    private readonly _tcp: Socket,
    private readonly _handshake: Handshake,
    private readonly _options: Pick<IPeerHubOptions, 'handshakeTimeoutMs' | 'maxUnprovenBytes'>,
    timers: ITimers,
    private readonly _listener: IOpeningListener
  ) {
    this._timeout = timers.after(_options.handshakeTimeoutMs, () => this._fail('handshake timed out'))
    _webSocket.on('message', this._onMessage)
    _webSocket.on('close', this._onClose)
    _tcp.on('data', this._onData)
  }

  /** Stops without a verdict and drops the connection. */
  public dispose (): void {
    this._end()
    this._webSocket.terminate()
  }

  /**
   * Bounds what a stranger can make us buffer. The limit on messages can't do it, because it is set once per
   * connection and has to admit whole messages later on; without this check each stranger could hold 2 MB.
   */
  private _checkSize (): void {
    if (!this._ended && this._tcp.bytesRead > this._options.maxUnprovenBytes) this._fail('too many bytes before the proof')
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
      case 'proven':
        this._end()
        this._listener.onProven(step.peer, step.bytes)
    }
  }

  private _fail (reason: string): void {
    if (this._ended) return
    this.dispose()
    this._listener.onFailed(reason)
  }

  private _end (): void {
    this._ended = true
    this._timeout.dispose()
    this._webSocket.off('message', this._onMessage)
    this._webSocket.off('close', this._onClose)
    this._tcp.off('data', this._onData)
  }
}
