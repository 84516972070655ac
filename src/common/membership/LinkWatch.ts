/**
 * Evidence about members from the links of this process: which members are linked, and whose link has been lost for
 * long enough to report it to others.
 */

import type { IProcessIdentity } from '../Types.js'
import type { IMembershipOptions } from './Options.js'

interface IWatchedLink {
  readonly peer: IProcessIdentity
  readonly isUp: boolean
  /** When the link came up or was lost, in awake milliseconds. */
  readonly sinceMs: number
  /** Consecutive losses of links that did not last for `steadyLinkMs`. */
  readonly losses: number
  readonly isReported: boolean
}

export type LinkWatchOptions = Pick<IMembershipOptions, 'suspectHoldMs' | 'maxSuspectHoldMs' | 'steadyLinkMs'>

export class LinkWatch {
  private readonly _links = new Map<string, IWatchedLink>()

  public constructor (private readonly _options: LinkWatchOptions) {}

  public recordUp (peer: IProcessIdentity, awakeMs: number): void {
    const losses = this._links.get(peer.processId)?.losses ?? 0
    this._links.set(peer.processId, { peer, isUp: true, sinceMs: awakeMs, losses, isReported: false })
  }

  /** Records a link that failed, or a failed attempt to establish one. */
  public recordLost (peer: IProcessIdentity, awakeMs: number): void {
    const before = this._links.get(peer.processId)
    if (before !== undefined && before.peer.incarnation > peer.incarnation) return
    if (before?.isUp === false) return
    const wasSteady = before === undefined || awakeMs - before.sinceMs >= this._options.steadyLinkMs
    const losses = wasSteady ? 1 : before.losses + 1
    this._links.set(peer.processId, { peer, isUp: false, sinceMs: awakeMs, losses, isReported: false })
  }

  /** Records that a link was closed on purpose, which says nothing about the member's health. */
  public recordReleased (peer: IProcessIdentity): void {
    if (this._links.get(peer.processId)?.peer.incarnation === peer.incarnation) this._links.delete(peer.processId)
  }

  public forget (processId: string): void {
    this._links.delete(processId)
  }

  public isUp (peer: { readonly processId: string, readonly incarnation: number }): boolean {
    return this._findLink(peer)?.isUp === true
  }

  /** Whether the link was lost and has not come up again. */
  public isDown (peer: { readonly processId: string, readonly incarnation: number }): boolean {
    return this._findLink(peer)?.isUp === false
  }

  public linkedPeers (): readonly IProcessIdentity[] {
    return [...this._links.values()].filter((link) => link.isUp).map((link) => link.peer)
  }

  /**
   * Returns the peers whose link loss is due to be reported to others. Each loss is returned once.
   *
   * Reports are delayed because of links that flap. If they were immediate, each loss and each return would be sent to
   * all members, and one bad cable would cause traffic in the whole cell. The delay doubles with each loss until a
   * link has lasted for `steadyLinkMs`.
   */
  public collectDueLosses (awakeMs: number): readonly IProcessIdentity[] {
    const due: IProcessIdentity[] = []
    for (const [processId, link] of this._links) {
      if (link.isUp || link.isReported || awakeMs - link.sinceMs < this._reportDelayMs(link)) continue
      this._links.set(processId, { ...link, isReported: true })
      due.push(link.peer)
    }
    return due
  }

  private _findLink (peer: { readonly processId: string, readonly incarnation: number }): IWatchedLink | undefined {
    const link = this._links.get(peer.processId)
    return link?.peer.incarnation === peer.incarnation ? link : undefined
  }

  private _reportDelayMs (link: IWatchedLink): number {
    const { suspectHoldMs, maxSuspectHoldMs } = this._options
    return Math.min(maxSuspectHoldMs, suspectHoldMs * 2 ** Math.min(link.losses - 1, 16))
  }
}
