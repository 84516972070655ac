/**
 * What the own links say of members: who is linked, and whose link has been gone for long enough to tell others.
 */

import type { IProcessIdentity } from '../Types.js'
import type { IMembershipOptions } from './Options.js'

interface IWatchedLink {
  readonly peer: IProcessIdentity
  readonly up: boolean
  /** When it came up or was lost, in awake milliseconds. */
  readonly sinceMs: number
  /** Losses in a row of links that did not last. */
  readonly losses: number
  readonly reported: boolean
}

export type LinkWatchOptions = Pick<IMembershipOptions, 'suspectHoldMs' | 'maxSuspectHoldMs' | 'steadyLinkMs'>

export class LinkWatch {
  private readonly _links = new Map<string, IWatchedLink>()

  public constructor (private readonly _options: LinkWatchOptions) {}

  public noteUp (peer: IProcessIdentity, awakeMs: number): void {
    const losses = this._links.get(peer.processId)?.losses ?? 0
    this._links.set(peer.processId, { peer, up: true, sinceMs: awakeMs, losses, reported: false })
  }

  /** Notes a failed link, or a failed attempt to get one. */
  public noteLost (peer: IProcessIdentity, awakeMs: number): void {
    const before = this._links.get(peer.processId)
    if (before !== undefined && before.peer.incarnation > peer.incarnation) return
    if (before?.up === false) return
    const wasSteady = before === undefined || awakeMs - before.sinceMs >= this._options.steadyLinkMs
    const losses = wasSteady ? 1 : before.losses + 1
    this._links.set(peer.processId, { peer, up: false, sinceMs: awakeMs, losses, reported: false })
  }

  /** Notes that a link was given up in good order, which says nothing about the member. */
  public noteReleased (peer: IProcessIdentity): void {
    if (this._links.get(peer.processId)?.peer.incarnation === peer.incarnation) this._links.delete(peer.processId)
  }

  public forget (processId: string): void {
    this._links.delete(processId)
  }

  public isUp (peer: { readonly processId: string, readonly incarnation: number }): boolean {
    return this._matching(peer)?.up === true
  }

  /** Lost and not back. */
  public isDown (peer: { readonly processId: string, readonly incarnation: number }): boolean {
    return this._matching(peer)?.up === false
  }

  public linkedPeers (): readonly IProcessIdentity[] {
    return [...this._links.values()].filter((link) => link.up).map((link) => link.peer)
  }

  /**
   * Links whose loss others should hear of now, each once.
   *
   * Made for a link that flaps: told of at once, every loss and every return would go to all members, and one would
   * see the traffic of the whole cell follow one bad cable. The hold doubles with each loss until the link has
   * lasted.
   */
  public takeDue (awakeMs: number): readonly IProcessIdentity[] {
    const due: IProcessIdentity[] = []
    for (const [processId, link] of this._links) {
      if (link.up || link.reported || awakeMs - link.sinceMs < this._holdMs(link)) continue
      this._links.set(processId, { ...link, reported: true })
      due.push(link.peer)
    }
    return due
  }

  private _matching (peer: { readonly processId: string, readonly incarnation: number }): IWatchedLink | undefined {
    const link = this._links.get(peer.processId)
    return link?.peer.incarnation === peer.incarnation ? link : undefined
  }

  private _holdMs (link: IWatchedLink): number {
    const { suspectHoldMs, maxSuspectHoldMs } = this._options
    return Math.min(maxSuspectHoldMs, suspectHoldMs * 2 ** Math.min(link.losses - 1, 16))
  }
}
