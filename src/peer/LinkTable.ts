/**
 * Decides which connection becomes the link to a process, if both sides have dialled or the process has restarted.
 */

import type { IProcessIdentity } from '../common/Types.js'

/** The properties of a connection that the decision depends on. */
export interface IConnection {
  readonly peer: IProcessIdentity
  readonly dialledBySelf: boolean
}

export type Admission<T extends IConnection> =
  /** `replaced` must be closed: at once if `isImmediate` is set, otherwise when its calls have ended. */
  | { readonly kind: 'admitted', readonly replaced?: T, readonly isImmediate: boolean }
  /** The existing connection `kept` takes precedence. */
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

  /** Removes a link unless another one has replaced it. Returns whether the link was in the table. */
  public remove (link: T): boolean {
    if (this._links.get(link.peer.processId) !== link) return false
    return this._links.delete(link.peer.processId)
  }

  /**
   * Decides about a new authenticated connection.
   *
   * If two processes dial each other at the same time, they may see the two connections become ready in a different
   * order. If each process kept its first or its last connection, they could keep different ones, and both
   * connections would be closed. So the decision depends only on facts that both sides know: the connection that the
   * smaller process id dialled is kept. A process dials only if it has no link. So a second connection in the same
   * direction means that the dialling side has lost the first one, and the newer connection is kept.
   */
  public admit (peer: IProcessIdentity, dialledBySelf: boolean): Admission<T> {
    if (peer.processId === this._selfId) return { kind: 'refused', reason: 'the peer has the process id of this process' }
    const existing = this._links.get(peer.processId)
    if (existing === undefined) return { kind: 'admitted', isImmediate: false }
    if (peer.incarnation < existing.peer.incarnation) return { kind: 'refused', reason: 'a newer incarnation of this process id is linked' }
    if (peer.incarnation > existing.peer.incarnation) return { kind: 'admitted', replaced: existing, isImmediate: true }
    if (dialledBySelf === existing.dialledBySelf) return { kind: 'admitted', replaced: existing, isImmediate: true }
    if (this._isPreferred(peer, dialledBySelf)) return { kind: 'admitted', replaced: existing, isImmediate: false }
    return { kind: 'surplus', kept: existing }
  }

  private _isPreferred (peer: IProcessIdentity, dialledBySelf: boolean): boolean {
    return dialledBySelf === (this._selfId < peer.processId)
  }
}
