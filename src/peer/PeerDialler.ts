/**
 * Keeps a link to one process: dials, and dials again with growing, jittered waits when the link is lost.
 */

import { isIP } from 'node:net'

import { WebSocket } from 'ws'

import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { IDisposable, IProcessIdentity, MonotonicMs } from '../common/Types.js'
import { Handshake } from './Handshake.js'
import { Opening } from './Opening.js'
import type { IPeerEnvironment, IPeerHubOptions } from './PeerHubOptions.js'
import { maxPacketBytes } from './PeerListener.js'

/** What the dialler needs of the hub. */
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
  private _attempt: IDisposable | undefined
  private _disposed = false

  public constructor (
    private readonly _peerUrl: string,
    private readonly _processId: string,
    private readonly _context: IDialContext
  ) {}

  public get peerUrl (): string {
    return this._peerUrl
  }

  /** Dials unless a link stands or an attempt is under way. */
  public start (): void {
    if (this._disposed || this._attempt !== undefined || this._context.hasLink(this._processId)) return
    this._retry?.dispose()
    this._retry = undefined
    this._connect()
  }

  /** The hub has a link to the process, whoever dialled it. */
  public noteLinked (): void {
    this._linkedAtMs = this._context.environment.clock.nowMs()
  }

  /**
   * The link is gone: dial again. The wait starts from the shortest only when the link had lasted; for one that is
   * proven and then fails at once, over and over, the waits go on growing.
   */
  public noteLost (): void {
    const { clock } = this._context.environment
    const lastedMs = this._linkedAtMs === undefined ? 0 : clock.nowMs() - this._linkedAtMs
    this._linkedAtMs = undefined
    if (lastedMs > this._context.options.maxBackoffMs) this._failures = 0
    this._scheduleRetry()
  }

  public dispose (): void {
    this._disposed = true
    this._retry?.dispose()
    this._attempt?.dispose()
  }

  private _scheduleRetry (): void {
    if (this._disposed || this._retry !== undefined) return
    this._retry = this._context.environment.timers.after(this._nextDelayMs(), () => {
      this._retry = undefined
      this.start()
    })
  }

  /**
   * Doubles with each failure, and takes a random part of it: after a failure domain comes back, hundreds of peers
   * would otherwise dial the same process in the same instant, again and again.
   */
  private _nextDelayMs (): number {
    const { minBackoffMs, maxBackoffMs } = this._context.options
    const boundMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(this._failures, 16))
    this._failures += 1
    return boundMs * (0.5 + this._context.environment.random.next() / 2)
  }

  private _connect (): void {
    const { options } = this._context
    if (!isPeerUrl(this._peerUrl)) return this._onFailed('not the url of a peer')
    const webSocket = new WebSocket(this._peerUrl, {
      perMessageDeflate: false, maxPayload: maxPacketBytes(options), handshakeTimeout: options.handshakeTimeoutMs, generateMask: noMask
    })
    this._attempt = { dispose: () => webSocket.terminate() }
    let tcp: Socket | undefined
    const failBeforeOpen = (): void => this._onFailed('can\'t connect')
    webSocket.on('error', () => {})
    webSocket.on('upgrade', (response: IncomingMessage) => { tcp = response.socket })
    webSocket.once('close', failBeforeOpen)
    webSocket.once('open', () => {
      webSocket.off('close', failBeforeOpen)
      if (tcp !== undefined) this._open(webSocket, tcp)
    })
  }

  private _open (webSocket: WebSocket, tcp: Socket): void {
    const { self, options, environment } = this._context
    const handshake = new Handshake('dialler', self, options.sharedKey, this._processId)
    this._attempt = new Opening(webSocket, tcp, handshake, options, environment.timers, {
      onProven: (peer) => {
        this._attempt = undefined
        this._context.onDialled(peer, webSocket, tcp)
      },
      onFailed: (reason) => this._onFailed(reason)
    })
    webSocket.send(handshake.hello())
  }

  private _onFailed (reason: string): void {
    this._attempt = undefined
    if (this._disposed) return
    this._context.onDialFailed(this._processId, reason)
    this._scheduleRetry()
  }
}

/** `ws://ip:port`, by IP number: an address from another process must neither throw nor make us look up a name. */
export function isPeerUrl (text: string): boolean {
  if (!URL.canParse(text)) return false
  const { protocol, hostname } = new URL(text)
  return protocol === 'ws:' && isIP(hostname.replace(/^\[|\]$/g, '')) !== 0
}

/**
 * Masks guard caches between a browser and a server against forged requests; between our own processes they would
 * only cost the time to mask every byte: 144,000 requests/s of 1 KB with masks, 249,000/s without, one run each. An
 * all-zero mask keeps to the protocol and is skipped by the library.
 */
function noMask (mask: Buffer): void {
  mask.fill(0)
}
