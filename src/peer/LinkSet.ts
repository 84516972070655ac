/**
 * The connections of one hub: puts new ones in, drains or drops those they replace, and lets go what nobody wants.
 */

import { AwakeClock } from '../common/AwakeClock.js'
import { Emitter } from '../common/Emitter.js'

import type { Socket } from 'node:net'
import type { WebSocket } from 'ws'
import type { IProcessIdentity } from '../common/Types.js'
import { LinkTable } from './LinkTable.js'
import type { Admission } from './LinkTable.js'
import { PeerLink, SILENT_REASON } from './PeerLink.js'
import type { ILinkContext } from './PeerLink.js'
import { PeerSocket } from './PeerSocket.js'
import { TrafficMeter } from './TrafficMeter.js'
import type { IPeerLink, IPeerTraffic, LinkLossCause } from './Types.js'
import { within } from './Within.js'

/** How long a close waits for the peer's side of it after the calls have ended, in milliseconds. */
const CLOSE_FLUSH_MS = 1_000

export interface ILostLink {
  readonly peer: IProcessIdentity
  readonly cause: LinkLossCause
}

export type LinkSetContext = Omit<ILinkContext, 'awake' | 'onGone'> & {
  readonly self: IProcessIdentity
  /** Whether this process dials the other one, so that its link is to be kept. */
  isWanted (processId: string): boolean
}

export class LinkSet {
  private readonly _links: LinkTable<PeerLink>
  /** Every connection that is not gone, those included that are being replaced. */
  private readonly _open = new Set<PeerLink>()
  private readonly _awake: AwakeClock
  private readonly _linkContext: ILinkContext
  private readonly _traffic: TrafficMeter
  private readonly _linkEmitter = new Emitter<IPeerLink>()
  private readonly _lostEmitter = new Emitter<ILostLink>()

  public readonly onLink = this._linkEmitter.event
  public readonly onLost = this._lostEmitter.event

  public constructor (private readonly _context: LinkSetContext) {
    const { self, options, environment } = _context
    this._links = new LinkTable(self.processId)
    this._traffic = new TrafficMeter(self.region)
    this._awake = new AwakeClock(environment.clock, options.heartbeatMs)
    this._linkContext = { ..._context, awake: this._awake, onGone: (link, reason) => this._onGone(link, reason) }
  }

  public get (processId: string): PeerLink | undefined {
    return this._links.get(processId)
  }

  public all (): readonly PeerLink[] {
    return this._links.all()
  }

  public traffic (): IPeerTraffic {
    return this._traffic.total(this._open)
  }

  /** Whether a new connection that has proved itself should become the link to its process. */
  public admit (peer: IProcessIdentity, dialledBySelf: boolean): Admission<PeerLink> {
    return this._links.admit(peer, dialledBySelf)
  }

  /** Puts a connection in as the link to its process, in place of the one it was admitted against. */
  public install (admission: Admission<PeerLink> & { readonly kind: 'admitted' }, link: PeerLink): void {
    const { replaced, atOnce } = admission
    if (replaced !== undefined && atOnce) replaced.lose('replaced by a newer connection')
    this._open.add(link)
    this._links.set(link)
    if (replaced !== undefined && !atOnce) replaced.retire(link)
    const { processId, incarnation } = link.peer
    this._context.environment.log?.info('peer.linked', { peer: processId, incarnation, dialledBySelf: link.dialledBySelf })
    this._linkEmitter.fire(link)
  }

  /**
   * The peer has welcomed a connection that we no longer need, and may have sent calls on it already. If we just
   * closed it, they would end as ambiguous although nothing failed; so it is drained like one that was in use.
   */
  public retire (link: PeerLink, kept: PeerLink): void {
    this._open.add(link)
    link.retire(kept)
  }

  public create (peer: IProcessIdentity, dialledBySelf: boolean, webSocket: WebSocket, tcp: Socket): PeerLink {
    return new PeerLink(peer, dialledBySelf, new PeerSocket(webSocket, tcp), this._linkContext)
  }

  /** To be called every heartbeat. */
  public tick (): void {
    this._awake.tick()
    for (const link of [...this._open]) {
      link.tick()
      if (this._isUnwanted(link)) this._letGo(link)
    }
  }

  /** Takes no more calls, waits up to `graceMs` for those in flight, then closes all connections. */
  public async drain (graceMs: number): Promise<void> {
    const { timers } = this._context.environment
    const links = [...this._open]
    for (const link of links) link.stopTakingCalls()
    await within(timers, graceMs, whenAllDrained(links))
    const gone = Promise.all(links.map((link) => link.whenGone()))
    for (const link of links) link.finish()
    await within(timers, CLOSE_FLUSH_MS, gone)
  }

  /** Drops everything at once. */
  public dispose (): void {
    for (const link of [...this._open]) link.lose('closed here')
    this._linkEmitter.dispose()
    this._lostEmitter.dispose()
  }

  private _isUnwanted (link: PeerLink): boolean {
    return link.dialledBySelf && !link.isDraining && link.busy === 0 && !this._context.isWanted(link.peer.processId)
  }

  private async _letGo (link: PeerLink): Promise<void> {
    link.stopTakingCalls()
    await link.whenDrained()
    link.finish()
  }

  private _onGone (link: PeerLink, reason: string): void {
    this._open.delete(link)
    this._traffic.addEnded(link)
    if (!this._links.remove(link)) return
    this._context.environment.log?.info('peer.lost', { peer: link.peer.processId, incarnation: link.peer.incarnation, reason })
    this._lostEmitter.fire({ peer: link.peer, cause: link.isReleased ? 'released' : reason === SILENT_REASON ? 'silent' : 'failed' })
  }
}

/** A handler in progress on one link may still make a call on another one that was drained before. */
async function whenAllDrained (links: readonly PeerLink[]): Promise<void> {
  while (!links.every((link) => link.isDrained)) await Promise.all(links.map((link) => link.whenDrained()))
}
