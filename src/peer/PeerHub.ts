/**
 * All links of one process: accepts connections, dials peers, keeps one link per peer, and passes messages to their
 * handlers.
 */

import { errAsync } from 'neverthrow'

import type { ResultAsync } from 'neverthrow'
import type { Socket } from 'node:net'
import type { WebSocket } from 'ws'
import { InvalidInputError } from '../common/Errors.js'
import type { UnreachableError } from '../common/Errors.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity, ITimers } from '../common/Types.js'
import { DialTable } from './DialTable.js'
import { Handshake } from './Handshake.js'
import { HandlerTable } from './HandlerTable.js'
import { LinkSet } from './LinkSet.js'
import { HandshakeRunner } from './HandshakeRunner.js'
import { PeerCounters } from './PeerCounters.js'
import type { IDialContext } from './PeerDialler.js'
import { PEER_HUB_DEFAULTS } from './PeerHubOptions.js'
import type { IPeerEnvironment, IPeerHubOptions, PeerHubSettings } from './PeerHubOptions.js'
import { PeerListener } from './PeerListener.js'
import type { IPeerHub, IPeerLink, IPeerTraffic, LinkLossCause } from './Types.js'

/** Time that a refused peer has to read the reason before its connection is terminated, in milliseconds. */
const REFUSAL_READ_MS = 1_000
const MIN_KEY_BYTES = 16

export class PeerHub implements IPeerHub, IDisposable {
  private readonly _options: IPeerHubOptions
  private readonly _counters = new PeerCounters()
  private readonly _handlers = new HandlerTable()
  private readonly _links: LinkSet
  private readonly _handshakes = new Set<HandshakeRunner>()
  private readonly _dials: DialTable
  private readonly _listener: PeerListener
  private readonly _heartbeat: IDisposable
  private _url: string | undefined
  private _isClosing = false

  /**
   * @param self this process
   * @param settings the shared key and overrides of `PEER_HUB_DEFAULTS`
   * @param environment clock, timers, random numbers and log
   */
  public constructor (
    public readonly self: IProcessIdentity,
    settings: PeerHubSettings,
    private readonly _environment: IPeerEnvironment
  ) {
    this._options = { ...PEER_HUB_DEFAULTS, ...settings }
    this._links = new LinkSet({
      self,
      selfId: self.processId,
      options: this._options,
      environment: _environment,
      counters: this._counters,
      handlers: this._handlers,
      isDialled: (processId) => this._dials.has(processId)
    })
    this._dials = new DialTable(this._createDialContext())
    this._listener = new PeerListener(this._options, _environment, this._counters, (webSocket, tcp) => this._onAccepted(webSocket, tcp))
    this._heartbeat = this._timers.every(this._options.heartbeatMs, () => this._links.tick())
    this._links.onLink((link) => this._dials.onLinked(link.peer.processId))
    this._links.onLost(({ peer }) => this._dials.onLinkLost(peer.processId))
  }

  /** Binds the listen address and accepts peers. Returns the address as `ws://ip:port`. */
  public start (): ResultAsync<string, UnreachableError | InvalidInputError> {
    if (Buffer.byteLength(this._options.sharedKey) < MIN_KEY_BYTES) {
      return errAsync(new InvalidInputError('peer.start', this.self.processId, 'sharedKey', `shorter than ${MIN_KEY_BYTES} bytes`))
    }
    return this._listener.listen().map((url) => {
      this._url = url
      return url
    })
  }

  /** `ws://ip:port` of the listener, once `start` has succeeded. */
  public get url (): string | undefined {
    return this._url
  }

  /** Counts of what was dropped or refused so far, for the state dump. */
  public get counters (): Readonly<PeerCounters> {
    return this._counters
  }

  public handle<N extends PeerCallName> (
    name: N, handler: (request: IPeerCalls[N]['request'], from: IProcessIdentity) => Promise<IPeerCalls[N]['reply']>): void {
    this._handlers.setHandler(name, (request, from) => handler(request as IPeerCalls[N]['request'], from))
  }

  public listen<N extends PeerCastName> (name: N, listener: (cast: IPeerCasts[N], from: IProcessIdentity) => void): IDisposable {
    return this._handlers.addListener(name, (cast, from) => listener(cast as IPeerCasts[N], from))
  }

  /**
   * Keeps a link to this address until disposed. Several users may dial the same process. After the last of them has
   * disposed, the link is closed as soon as it is idle. A link that the peer dialled stays open.
   */
  public dial (peerUrl: string, processId: string): IDisposable {
    return this._dials.dial(peerUrl, processId)
  }

  public onLink (listener: (link: IPeerLink) => void): IDisposable {
    return this._links.onLink(listener)
  }

  public onLost (listener: (peer: IProcessIdentity, cause: LinkLossCause) => void): IDisposable {
    return this._links.onLost(({ peer, cause }) => listener(peer, cause))
  }

  public link (processId: string): IPeerLink | undefined {
    return this._links.get(processId)
  }

  public links (): readonly IPeerLink[] {
    return this._links.all()
  }

  public traffic (): IPeerTraffic {
    return this._links.traffic()
  }

  public async close (graceMs: number): Promise<void> {
    if (this._isClosing) return
    this._stopConnecting()
    await this._links.drain(graceMs)
    this.dispose()
  }

  /** Closes all connections at once. */
  public dispose (): void {
    this._stopConnecting()
    this._heartbeat.dispose()
    this._links.dispose()
  }

  private get _timers (): ITimers {
    return this._environment.timers
  }

  private _createDialContext (): IDialContext {
    return {
      self: this.self,
      options: this._options,
      environment: this._environment,
      hasLink: (processId) => this._links.get(processId) !== undefined,
      onDialled: (peer, webSocket, tcp) => this._onDialled(peer, webSocket, tcp),
      onDialFailed: (processId, reason) => this._onHandshakeFailed(processId, reason)
    }
  }

  private _onAccepted (webSocket: WebSocket, tcp: Socket): void {
    const handshake = new Handshake('listener', this.self, this._options.sharedKey)
    const runner = new HandshakeRunner(webSocket, tcp, handshake, this._options, this._timers, {
      onAuthenticated: (peer, welcome) => {
        this._handshakes.delete(runner)
        this._listener.markAuthenticated(tcp)
        if (welcome !== undefined) this._acceptPeer(peer, welcome, webSocket, tcp)
      },
      onFailed: (reason) => {
        this._handshakes.delete(runner)
        this._onHandshakeFailed(tcp.remoteAddress ?? 'unknown', reason)
      }
    })
    this._handshakes.add(runner)
  }

  private _acceptPeer (peer: IProcessIdentity, welcome: Uint8Array, webSocket: WebSocket, tcp: Socket): void {
    const admission = this._links.admit(peer, false)
    if (admission.kind !== 'admitted' || this._isClosing) {
      this._refuse(webSocket, admission.kind === 'refused' ? admission.reason : 'this connection is not needed')
      return
    }
    webSocket.send(welcome)
    this._links.install(admission, this._links.create(peer, false, webSocket, tcp))
  }

  private _refuse (webSocket: WebSocket, reason: string): void {
    webSocket.send(Handshake.createRefusal(reason))
    webSocket.close()
    this._timers.after(REFUSAL_READ_MS, () => webSocket.terminate())
  }

  private _onDialled (peer: IProcessIdentity, webSocket: WebSocket, tcp: Socket): void {
    const admission = this._links.admit(peer, true)
    if (admission.kind === 'refused' || this._isClosing) webSocket.terminate()
    else if (admission.kind === 'surplus') this._links.retire(this._links.create(peer, true, webSocket, tcp), admission.kept)
    else this._links.install(admission, this._links.create(peer, true, webSocket, tcp))
  }

  private _onHandshakeFailed (peer: string, reason: string): void {
    this._counters.failedHandshakes += 1
    this._environment.log?.warn('peer.handshakeFailed', { step: 'peer.handshake', peer, reason })
  }

  private _stopConnecting (): void {
    this._isClosing = true
    this._listener.close()
    this._dials.dispose()
    for (const runner of this._handshakes) runner.dispose()
    this._handshakes.clear()
  }
}
