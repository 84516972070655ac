/**
 * The connections of one hub: installs new links, drains or closes the links that they replace, and closes links that
 * are no longer needed.
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
import { waitAtMost } from './WaitAtMost.js'

/** How long `drain` waits for the peers to close their side after the calls have ended, in milliseconds. */
const CLOSE_FLUSH_MS = 1_000

export interface ILostLink {
  readonly peer: IProcessIdentity
  readonly cause: LinkLossCause
}

export type LinkSetContext = Omit<ILinkContext, 'awakeClock' | 'onLinkClosed'> & {
  readonly self: IProcessIdentity
  /** Whether a user of this hub dials the process, so that the link to it must be kept. */
  isDialled (processId: string): boolean
}

export class LinkSet {
  private readonly _links: LinkTable<PeerLink>
  /** All open connections, including those that are being replaced. */
  private readonly _openLinks = new Set<PeerLink>()
  private readonly _awakeClock: AwakeClock
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
    this._awakeClock = new AwakeClock(environment.clock, options.heartbeatMs)
    this._linkContext = { ..._context, awakeClock: this._awakeClock, onLinkClosed: (link, reason) => this._onLinkClosed(link, reason) }
  }

  public get (processId: string): PeerLink | undefined {
    return this._links.get(processId)
  }

  public all (): readonly PeerLink[] {
    return this._links.all()
  }

  public traffic (): IPeerTraffic {
    return this._traffic.total(this._openLinks)
  }

  /** Decides whether a new authenticated connection becomes the link to its process. */
  public admit (peer: IProcessIdentity, dialledBySelf: boolean): Admission<PeerLink> {
    return this._links.admit(peer, dialledBySelf)
  }

  /** Installs an admitted connection as the link to its process, in place of `admission.replaced`. */
  public install (admission: Admission<PeerLink> & { readonly kind: 'admitted' }, link: PeerLink): void {
    const { replaced, isImmediate } = admission
    if (replaced !== undefined && isImmediate) replaced.terminate('replaced by a newer connection')
    this._openLinks.add(link)
    this._links.set(link)
    if (replaced !== undefined && !isImmediate) replaced.retire(link)
    const { processId, incarnation } = link.peer
    this._context.environment.log?.info('peer.linked', { peer: processId, incarnation, dialledBySelf: link.dialledBySelf })
    this._linkEmitter.fire(link)
  }

  /**
   * Drains a connection that is not needed because `kept` exists. The peer has accepted the connection and may have
   * sent calls on it. If the connection were closed at once, these calls would end as ambiguous although nothing failed.
   */
  public retire (link: PeerLink, kept: PeerLink): void {
    this._openLinks.add(link)
    link.retire(kept)
  }

  public create (peer: IProcessIdentity, dialledBySelf: boolean, webSocket: WebSocket, tcp: Socket): PeerLink {
    return new PeerLink(peer, dialledBySelf, new PeerSocket(webSocket, tcp), this._linkContext)
  }

  /** Must be called once per heartbeat period. */
  public tick (): void {
    this._awakeClock.tick()
    for (const link of [...this._openLinks]) {
      link.tick()
      if (this._isUnused(link)) this._drainAndClose(link)
    }
  }

  /** Accepts no more calls, waits up to `graceMs` for the calls in flight, then closes all connections. */
  public async drain (graceMs: number): Promise<void> {
    const { timers } = this._context.environment
    const links = [...this._openLinks]
    for (const link of links) link.stopAcceptingCalls()
    await waitAtMost(timers, graceMs, whenAllDrained(links))
    const closed = Promise.all(links.map((link) => link.whenClosed()))
    for (const link of links) link.closeGracefully()
    await waitAtMost(timers, CLOSE_FLUSH_MS, closed)
  }

  /** Closes all connections at once. */
  public dispose (): void {
    for (const link of [...this._openLinks]) link.terminate('closed by this process')
    this._linkEmitter.dispose()
    this._lostEmitter.dispose()
  }

  private _isUnused (link: PeerLink): boolean {
    return link.dialledBySelf && !link.isDraining && link.callsInFlight === 0 && !this._context.isDialled(link.peer.processId)
  }

  private async _drainAndClose (link: PeerLink): Promise<void> {
    link.stopAcceptingCalls()
    await link.whenDrained()
    link.closeGracefully()
  }

  private _onLinkClosed (link: PeerLink, reason: string): void {
    this._openLinks.delete(link)
    this._traffic.addClosed(link)
    if (!this._links.remove(link)) return
    this._context.environment.log?.info('peer.lost', { peer: link.peer.processId, incarnation: link.peer.incarnation, reason })
    this._lostEmitter.fire({ peer: link.peer, cause: link.isReleased ? 'released' : reason === SILENT_REASON ? 'silent' : 'failed' })
  }
}

/** Checks all links again after each wait: a handler in progress on one link may make a call on a link that was drained before. */
async function whenAllDrained (links: readonly PeerLink[]): Promise<void> {
  while (!links.every((link) => link.isDrained)) await Promise.all(links.map((link) => link.whenDrained()))
}
