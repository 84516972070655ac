/**
 * Keeps a link to one process: dials it, and dials again with jittered exponential backoff after a failure or the loss
 * of the link.
 */

import { isIP } from 'node:net'

import { WebSocket } from 'ws'

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { IDisposable, IProcessIdentity, MonotonicMs } from '../common/Types.js'
import { Handshake } from './Handshake.js'
import { HandshakeRunner } from './HandshakeRunner.js'
import type { IPeerEnvironment, IPeerHubOptions } from './PeerHubOptions.js'
import { maxPacketBytes } from './PeerListener.js'

/** What a dialler uses of the hub. */
export interface IDialContext {
  readonly self: IProcessIdentity
  readonly options: IPeerHubOptions
  readonly environment: IPeerEnvironment
  hasLink (processId: string): boolean
  onDialled (peer: IProcessIdentity, webSocket: WebSocket, tcp: Socket): void
  onDialFailed (processId: string, reason: string): void
}

export class PeerDialler implements IDisposable {
  private _failures = 0
  private _linkedAtMs: MonotonicMs | undefined
  private _retry: IDisposable | undefined
  private _currentAttempt: IDisposable | undefined
  private _isDisposed = false

  public constructor (
    private readonly _peerUrl: string,
    private readonly _processId: string,
    private readonly _context: IDialContext
  ) {}

  public get peerUrl (): string {
    return this._peerUrl
  }

  /** Dials unless there is a link or an attempt is in progress. */
  public start (): void {
    if (this._isDisposed || this._currentAttempt !== undefined || this._context.hasLink(this._processId)) return
    this._retry?.dispose()
    this._retry = undefined
    this._connect()
  }

  /** Called when the hub has a link to the process, whichever side dialled. */
  public onLinked (): void {
    this._linkedAtMs = this._context.environment.clock.nowMs()
  }

  /**
   * Called when the link is lost; schedules the next dial. The backoff is reset only if the link lasted longer than
   * `maxBackoffMs`. It goes on growing for links that are established and lost again at once.
   */
  public onLinkLost (): void {
    const { clock } = this._context.environment
    const linkDurationMs = this._linkedAtMs === undefined ? 0 : clock.nowMs() - this._linkedAtMs
    this._linkedAtMs = undefined
    if (linkDurationMs > this._context.options.maxBackoffMs) this._failures = 0
    this._scheduleRetry()
  }

  public dispose (): void {
    this._isDisposed = true
    this._retry?.dispose()
    this._currentAttempt?.dispose()
  }

  private _scheduleRetry (): void {
    if (this._isDisposed || this._retry !== undefined) return
    this._retry = this._context.environment.timers.after(this._nextDelayMs(), () => {
      this._retry = undefined
      this.start()
    })
  }

  /**
   * The delay doubles with each failure and has jitter. Without jitter, after the return of a failure domain, hundreds
   * of peers would dial the same process at the same moment, again and again.
   */
  private _nextDelayMs (): number {
    const { minBackoffMs, maxBackoffMs } = this._context.options
    const maxDelayMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(this._failures, 16))
    this._failures += 1
    return maxDelayMs * (0.5 + this._context.environment.random.next() / 2)
  }

  private _connect (): void {
    const { options } = this._context
    if (!isPeerUrl(this._peerUrl)) return this._onAttemptFailed('the URL does not have the form ws://ip:port')
    const webSocket = new WebSocket(this._peerUrl, {
      perMessageDeflate: false, maxPayload: maxPacketBytes(options), handshakeTimeout: options.handshakeTimeoutMs, generateMask: zeroMask
    })
    this._currentAttempt = { dispose: () => webSocket.terminate() }
    let tcp: Socket | undefined
    const failBeforeOpen = (): void => this._onAttemptFailed('could not connect')
    webSocket.on('error', () => {})
    webSocket.on('upgrade', (response: IncomingMessage) => { tcp = response.socket })
    webSocket.once('close', failBeforeOpen)
    webSocket.once('open', () => {
      webSocket.off('close', failBeforeOpen)
      if (tcp !== undefined) this._startHandshake(webSocket, tcp)
    })
  }

  private _startHandshake (webSocket: WebSocket, tcp: Socket): void {
    const { self, options, environment } = this._context
    const handshake = new Handshake('dialler', self, options.sharedKey, this._processId)
    this._currentAttempt = new HandshakeRunner(webSocket, tcp, handshake, options, environment.timers, {
      onAuthenticated: (peer) => {
        this._currentAttempt = undefined
        this._context.onDialled(peer, webSocket, tcp)
      },
      onFailed: (reason) => this._onAttemptFailed(reason)
    })
    webSocket.send(handshake.createHello())
  }

  private _onAttemptFailed (reason: string): void {
    this._currentAttempt = undefined
    if (this._isDisposed) return
    this._context.onDialFailed(this._processId, reason)
    this._scheduleRetry()
  }
}

/** Accepts `ws://ip:port` only. The address may come from another process: it must not throw an error or start a DNS look-up. */
export function isPeerUrl (text: string): boolean {
  if (!URL.canParse(text)) return false
  const { protocol, hostname } = new URL(text)
  return protocol === 'ws:' && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0
}

/**
 * Disables masking. Masks protect caches between a browser and a server from forged requests. Between the processes
 * of a cell they only cost the time to mask every byte: the throughput for requests of 1 KB is 144,000/s with masks
 * and 249,000/s without. An all-zero mask conforms to the protocol, and the library skips it.
 */
function zeroMask (mask: Buffer): void {
  mask.fill(0)
}
