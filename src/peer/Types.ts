/**
 * Links between the system's own processes: calls with replies and casts without, over one connection per pair.
 */

import type { ResultAsync } from 'neverthrow'
import type { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IDisposable, IProcessIdentity } from '../common/Types.js'

/**
 * `UnreachableError`: never sent, or sent and not handled. `RefusedError`: the handler said that nothing took effect.
 * `AmbiguousError`: sent, and the link went, the time ran out before the reply or the handler broke off.
 */
export type PeerError = UnreachableError | RefusedError | AmbiguousError

/**
 * `released`: one side gave the link up in good order, which says nothing of the peer's health. `silent`: nothing was heard for
 * too long, as of a peer that is cut off or without power; `failed`: the connection broke.
 */
export type LinkLossCause = 'failed' | 'silent' | 'released'

export interface IPeerHandlers {
  /** What answers each call; a call without a handler is refused. */
  handle<N extends PeerCallName> (
    name: N, handler: (ask: IPeerCalls[N]['ask'], from: IProcessIdentity) => Promise<IPeerCalls[N]['reply']>): void
  /** What hears each cast. */
  listen<N extends PeerCastName> (name: N, listener: (cast: IPeerCasts[N], from: IProcessIdentity) => void): IDisposable
}

export interface IPeerLink {
  readonly peer: IProcessIdentity
  /** Time of the last sign of life, by the monotonic clock. */
  readonly lastHeardMs: number
  call<N extends PeerCallName> (name: N, ask: IPeerCalls[N]['ask'], timeoutMs: number): ResultAsync<IPeerCalls[N]['reply'], PeerError>
  cast<N extends PeerCastName> (name: N, cast: IPeerCasts[N]): void
  close (): void
}

/** All links of one process. It dials the peers it is told of, and takes those that dial it. */
export interface IPeerHub extends IPeerHandlers {
  readonly self: IProcessIdentity
  /** Keeps a link to this address, with backoff, until disposed. */
  dial (peerUrl: string, processId: string): IDisposable
  link (processId: string): IPeerLink | undefined
  links (): readonly IPeerLink[]
  onLink (listener: (link: IPeerLink) => void): IDisposable
  onLost (listener: (peer: IProcessIdentity, cause: LinkLossCause) => void): IDisposable
  /** Bytes sent and received so far, and those to other regions, for the control cost. */
  traffic (): IPeerTraffic
  /** Refuses new links and calls, waits for calls in progress up to `graceMs`, then closes. */
  close (graceMs: number): Promise<void>
}

export interface IPeerTraffic {
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly crossRegionSentBytes: number
}
