/**
 * Links between the processes of a cell. A link is one connection per pair of processes, and carries calls, which have
 * a reply, and casts, which have none.
 */

import type { ResultAsync } from 'neverthrow'
import type { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'

/**
 * How a call fails. `UnreachableError`: the call was not sent, or the peer did not run its handler. `RefusedError`: the
 * handler stated that nothing took effect. `AmbiguousError`: the call was sent and may have taken effect, but the link
 * was lost, the timeout ended, or the handler threw an unexpected error.
 */
export type PeerError = UnreachableError | RefusedError | AmbiguousError

/**
 * Why a link was lost. `released`: one side closed the link on purpose, which says nothing about the peer's health.
 * `silent`: nothing was received for too long, as from a peer that is partitioned or without power. `failed`: the
 * connection broke.
 */
export type LinkLossCause = 'failed' | 'silent' | 'released'

export interface IPeerHandlers {
  /** Sets the handler of a call. A call without a handler is refused. */
  handle<N extends PeerCallName> (
    name: N, handler: (request: IPeerCalls[N]['request'], from: IProcessIdentity) => Promise<IPeerCalls[N]['reply']>): void
  /** Adds a listener for a cast. */
  listen<N extends PeerCastName> (name: N, listener: (cast: IPeerCasts[N], from: IProcessIdentity) => void): IDisposable
}

export interface IPeerLink {
  readonly peer: IProcessIdentity
  /** When something was last received from the peer, by the monotonic clock. */
  readonly lastReceivedMs: number
  call<N extends PeerCallName> (name: N, request: IPeerCalls[N]['request'], timeoutMs: number): ResultAsync<IPeerCalls[N]['reply'], PeerError>
  cast<N extends PeerCastName> (name: N, cast: IPeerCasts[N]): void
  close (): void
}

/** All links of one process. A hub dials the peers that its users name, and accepts connections from other peers. */
export interface IPeerHub extends IPeerHandlers {
  readonly self: IProcessIdentity
  /** Keeps a link to this address until disposed, and dials again with backoff if the link is lost. */
  dial (peerUrl: string, processId: string): IDisposable
  /** The link to a process, or undefined if there is none. */
  link (processId: string): IPeerLink | undefined
  links (): readonly IPeerLink[]
  onLink (listener: (link: IPeerLink) => void): IDisposable
  onLost (listener: (peer: IProcessIdentity, cause: LinkLossCause) => void): IDisposable
  /** Bytes sent and received so far, and bytes sent to other regions, for the control cost. */
  traffic (): IPeerTraffic
  /** Refuses new links and calls, waits up to `graceMs` for the calls in progress, then closes all links. */
  close (graceMs: number): Promise<void>
}

export interface IPeerTraffic {
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly crossRegionSentBytes: number
}
