/**
 * Which connection is the link to a process, when both sides dialled or the process has restarted.
 */

import type { IProcessIdentity } from '../common/Types.js'

/** What the choice depends on. */
export interface IConnection {
  readonly peer: IProcessIdentity
  readonly dialledBySelf: boolean
}

export type Admission<T extends IConnection> =
  /** `replaced` has to go: at once when `atOnce`, else when its calls have ended. */
  | { readonly kind: 'admitted', readonly replaced?: T, readonly atOnce: boolean }
  /** A better connection stands: `kept`. */
  | { readonly kind: 'surplus', readonly kept: T }
  | { readonly kind: 'refused', readonly reason: string }

export class LinkTable<T extends IConnection> {
  private readonly _links = new Map<string, T>()

  public constructor (private readonly _selfId: string) {}

  public get (processId: string): T | undefined {
    return this._links.get(processId)
  }

  public all (): readonly T[] {
    return [...this._links.values()]
  }

  public set (link: T): void {
    this._links.set(link.peer.processId, link)
  }

  /** Forgets a link, unless another one has taken its place; tells whether it was the one in use. */
  public remove (link: T): boolean {
    if (this._links.get(link.peer.processId) !== link) return false
    return this._links.delete(link.peer.processId)
  }

  /**
   * Decides about a new connection that has proved itself.
   *
   * When both processes dial at the same time, each sees the two connections become ready in its own order. If each
   * kept its first or its last, they could keep different ones, and close both. So the choice depends only on what
   * both know alike: the connection dialled by the smaller process id stays. A second one in the same direction
   * means that the dialling side has lost the first, as it dials only without a link, so the newer one stays.
   */
  public admit (peer: IProcessIdentity, dialledBySelf: boolean): Admission<T> {
    if (peer.processId === this._selfId) return { kind: 'refused', reason: 'the same process id' }
    const existing = this._links.get(peer.processId)
    if (existing === undefined) return { kind: 'admitted', atOnce: false }
    if (peer.incarnation < existing.peer.incarnation) return { kind: 'refused', reason: 'an older incarnation' }
    if (peer.incarnation > existing.peer.incarnation) return { kind: 'admitted', replaced: existing, atOnce: true }
    if (dialledBySelf === existing.dialledBySelf) return { kind: 'admitted', replaced: existing, atOnce: true }
    if (this._isPreferred(peer, dialledBySelf)) return { kind: 'admitted', replaced: existing, atOnce: false }
    return { kind: 'surplus', kept: existing }
  }

  private _isPreferred (peer: IProcessIdentity, dialledBySelf: boolean): boolean {
    return dialledBySelf === (this._selfId < peer.processId)
  }
}
