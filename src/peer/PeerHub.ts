/**
 * All links of one process: listens, dials, keeps one link per peer, and hands messages to their handlers.
 */

import { AwakeClock } from '../common/AwakeClock.js'
import { Emitter } from '../common/Emitter.js'

import type { ResultAsync } from 'neverthrow'
import type { Socket } from 'node:net'
import type { WebSocket } from 'ws'
import type { UnreachableError } from '../common/Errors.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity, ITimers } from '../common/Types.js'
import { DialTable } from './DialTable.js'
import { Handshake } from './Handshake.js'
import { HandlerTable } from './HandlerTable.js'
import { LinkTable } from './LinkTable.js'
import { Opening } from './Opening.js'
import { PeerCounters } from './PeerCounters.js'
import type { IDialContext } from './PeerDialler.js'
import { PEER_HUB_DEFAULTS } from './PeerHubOptions.js'
import type { IPeerEnvironment, IPeerHubOptions, PeerHubSettings } from './PeerHubOptions.js'
import { PeerLink } from './PeerLink.js'
import type { ILinkContext } from './PeerLink.js'
import { PeerListener } from './PeerListener.js'
import { PeerSocket } from './PeerSocket.js'
import { TrafficMeter } from './TrafficMeter.js'
import type { IPeerHub, IPeerLink, IPeerTraffic, LinkLossCause } from './Types.js'

/** How long a close waits for the peer's side of it after the calls have ended, in milliseconds. */
const CLOSE_FLUSH_MS = 1_000

interface ILostLink {
  readonly peer: IProcessIdentity
  readonly cause: LinkLossCause
}

export class PeerHub implements IPeerHub, IDisposable {
  private readonly _options: IPeerHubOptions
  private readonly _counters = new PeerCounters()
  private readonly _handlers = new HandlerTable()
  private readonly _links: LinkTable<PeerLink>
  /** Every connection that is not gone, those included that are being replaced. */
  private readonly _open = new Set<PeerLink>()
  private readonly _openings = new Set<Opening>()
  private readonly _dials: DialTable
  private readonly _linkEmitter = new Emitter<IPeerLink>()
  private readonly _lostEmitter = new Emitter<ILostLink>()
  private readonly _traffic: TrafficMeter
  private readonly _listener: PeerListener
  private readonly _linkContext: ILinkContext
  private readonly _heartbeat: IDisposable
  private _url: string | undefined
  private _closing = false

  public readonly onLink = this._linkEmitter.event

  /**
   * @param self this process
   * @param settings the shared key and what differs from `PEER_HUB_DEFAULTS`
   * @param environment time, chance, log
   */
  public constructor (
    public readonly self: IProcessIdentity,
    settings: PeerHubSettings,
    private readonly _environment: IPeerEnvironment
  ) {
    this._options = { ...PEER_HUB_DEFAULTS, ...settings }
    this._links = new LinkTable(self.processId)
    this._traffic = new TrafficMeter(self.region)
    const awake = new AwakeClock(_environment.clock, this._options.heartbeatMs)
    this._linkContext = this._createLinkContext(awake)
    this._dials = new DialTable(this._createDialContext())
    this._listener = new PeerListener(this._options, _environment, this._counters, (webSocket, tcp) => this._onAccepted(webSocket, tcp))
    this._heartbeat = this._timers.every(this._options.heartbeatMs, () => this._tick(awake))
  }

  /** Binds the listen address and accepts peers; gives `ws://ip:port`. */
  public start (): ResultAsync<string, UnreachableError> {
    return this._listener.listen().map((url) => {
      this._url = url
      return url
    })
  }

  /** `ws://ip:port` of the listener, once `start` has succeeded. */
  public get url (): string | undefined {
    return this._url
  }

  /** What was dropped and refused so far; for the state dump. */
  public get counters (): Readonly<PeerCounters> {
    return this._counters
  }

  public handle<N extends PeerCallName> (
    name: N, handler: (ask: IPeerCalls[N]['ask'], from: IProcessIdentity) => Promise<IPeerCalls[N]['reply']>): void {
    this._handlers.setHandler(name, (ask, from) => handler(ask as IPeerCalls[N]['ask'], from))
  }

  public listen<N extends PeerCastName> (name: N, listener: (cast: IPeerCasts[N], from: IProcessIdentity) => void): IDisposable {
    return this._handlers.addListener(name, (cast, from) => listener(cast as IPeerCasts[N], from))
  }

  /**
   * Keeps a link to this address until disposed. Several users may dial the same process. After the last one has
   * disposed, the link is let go as soon as it is idle; a link that the peer dialled stays.
   */
  public dial (peerUrl: string, processId: string): IDisposable {
    return this._dials.dial(peerUrl, processId)
  }

  public onLost (listener: (peer: IProcessIdentity, cause: LinkLossCause) => void): IDisposable {
    return this._lostEmitter.event(({ peer, cause }) => listener(peer, cause))
  }

  public link (processId: string): IPeerLink | undefined {
    return this._links.get(processId)
  }

  public links (): readonly IPeerLink[] {
    return this._links.all()
  }

  public traffic (): IPeerTraffic {
    return this._traffic.total(this._open)
  }

  public async close (graceMs: number): Promise<void> {
    if (this._closing) return
    this._stopOpening()
    const links = [...this._open]
    for (const link of links) link.stopTakingCalls()
    await this._within(graceMs, this._whenAllDrained(links))
    const gone = Promise.all(links.map((link) => link.whenGone()))
    for (const link of links) link.finish()
    await this._within(CLOSE_FLUSH_MS, gone)
    this.dispose()
  }

  /** Drops everything at once. */
  public dispose (): void {
    this._stopOpening()
    this._heartbeat.dispose()
    for (const link of [...this._open]) link.lose('closed here')
    this._linkEmitter.dispose()
    this._lostEmitter.dispose()
  }

  private get _timers (): ITimers {
    return this._environment.timers
  }

  private _createLinkContext (awake: AwakeClock): ILinkContext {
    return {
      selfId: this.self.processId,
      options: this._options,
      environment: this._environment,
      counters: this._counters,
      handlers: this._handlers,
      awake,
      onGone: (link, reason) => this._onGone(link, reason)
    }
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

  private _tick (awake: AwakeClock): void {
    awake.tick()
    for (const link of [...this._open]) {
      link.tick()
      if (this._isUnwanted(link)) this._letGo(link)
    }
  }

  private _isUnwanted (link: PeerLink): boolean {
    return link.dialledBySelf && !link.isDraining && link.busy === 0 && !this._dials.has(link.peer.processId)
  }

  private async _letGo (link: PeerLink): Promise<void> {
    link.stopTakingCalls()
    await link.whenDrained()
    link.finish()
  }

  private _onAccepted (webSocket: WebSocket, tcp: Socket): void {
    const handshake = new Handshake('listener', this.self, this._options.sharedKey)
    const opening = new Opening(webSocket, tcp, handshake, this._options, this._timers, {
      onProven: (peer, welcome) => {
        this._openings.delete(opening)
        this._listener.release(tcp)
        if (welcome !== undefined) this._welcome(peer, welcome, webSocket, tcp)
      },
      onFailed: (reason) => {
        this._openings.delete(opening)
        this._onHandshakeFailed(tcp.remoteAddress ?? 'unknown', reason)
      }
    })
    this._openings.add(opening)
  }

  private _welcome (peer: IProcessIdentity, welcome: Uint8Array, webSocket: WebSocket, tcp: Socket): void {
    const admission = this._links.admit(peer, false)
    if (admission.kind !== 'admitted' || this._closing) {
      this._refuse(webSocket, admission.kind === 'refused' ? admission.reason : 'not needed now')
      return
    }
    webSocket.send(welcome)
    this._install(this._createLink(peer, false, webSocket, tcp), admission.replaced, admission.atOnce)
  }

  private _refuse (webSocket: WebSocket, reason: string): void {
    webSocket.send(Handshake.refusal(reason))
    webSocket.close()
    this._timers.after(CLOSE_FLUSH_MS, () => webSocket.terminate())
  }

  private _onDialled (peer: IProcessIdentity, webSocket: WebSocket, tcp: Socket): void {
    const admission = this._links.admit(peer, true)
    if (admission.kind === 'refused' || this._closing) webSocket.terminate()
    else if (admission.kind === 'surplus') this._retireAtOnce(this._createLink(peer, true, webSocket, tcp), admission.kept)
    else this._install(this._createLink(peer, true, webSocket, tcp), admission.replaced, admission.atOnce)
  }

  private _createLink (peer: IProcessIdentity, dialledBySelf: boolean, webSocket: WebSocket, tcp: Socket): PeerLink {
    return new PeerLink(peer, dialledBySelf, new PeerSocket(webSocket, tcp), this._linkContext)
  }

  /**
   * The peer has welcomed a connection that we no longer need, and may have sent calls on it already. If we just
   * closed it, they would end as ambiguous although nothing failed; so it is drained like one that was in use.
   */
  private _retireAtOnce (link: PeerLink, kept: PeerLink): void {
    this._open.add(link)
    link.retire(kept)
  }

  private _install (link: PeerLink, replaced: PeerLink | undefined, atOnce: boolean): void {
    const { processId, incarnation } = link.peer
    if (replaced !== undefined && atOnce) replaced.lose('replaced by a newer connection')
    this._open.add(link)
    this._links.set(link)
    if (replaced !== undefined && !atOnce) replaced.retire(link)
    this._dials.noteLinked(processId)
    this._environment.log?.info('peerLinked', { peer: processId, incarnation, dialledBySelf: link.dialledBySelf })
    this._linkEmitter.fire(link)
  }

  private _onGone (link: PeerLink, reason: string): void {
    this._open.delete(link)
    this._traffic.addEnded(link)
    if (!this._links.remove(link)) return
    this._environment.log?.info('peerLost', { peer: link.peer.processId, incarnation: link.peer.incarnation, reason })
    this._dials.noteLost(link.peer.processId)
    this._lostEmitter.fire({ peer: link.peer, cause: link.isReleased ? 'released' : 'failed' })
  }

  private _onHandshakeFailed (peer: string, reason: string): void {
    this._counters.failedHandshakes += 1
    this._environment.log?.warn('peerHandshakeFailed', { step: 'peer.handshake', peer, reason })
  }

  private _stopOpening (): void {
    this._closing = true
    this._listener.close()
    this._dials.dispose()
    for (const opening of this._openings) opening.dispose()
    this._openings.clear()
  }

  /** A handler in progress on one link may still make a call on another one that was drained before. */
  private async _whenAllDrained (links: readonly PeerLink[]): Promise<void> {
    while (!links.every((link) => link.isDrained)) await Promise.all(links.map((link) => link.whenDrained()))
  }

  private async _within (limitMs: number, wait: Promise<unknown>): Promise<void> {
    let timer: IDisposable | undefined
    const limit = new Promise<void>((resolve) => { timer = this._timers.after(limitMs, resolve) })
    await Promise.race([limit, wait])
    timer?.dispose()
  }
}
