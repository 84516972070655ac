/**
 * The options of the peer links, with their defaults and the reason for each limit.
 */

import type { IClock, IRandom, ITimers } from '../common/Types.js'

export interface IPeerHubOptions {
  /** IP address to listen on. */
  readonly listenIp: string
  /** TCP port to listen on; 0 lets the operating system choose one. */
  readonly listenPort: number
  /** The secret that all processes of a cell share, at least 16 bytes. */
  readonly sharedKey: string | Uint8Array
  /** Time within which a new connection must be authenticated. Many times the three round trips of 40 ms that this takes. */
  readonly handshakeTimeoutMs: number
  /** Bytes that a connection may send before it is authenticated. */
  readonly maxUnauthenticatedBytes: number
  /** Limit on unauthenticated connections, so that they can't exhaust the memory. Any further connection is closed at once. */
  readonly maxUnauthenticated: number
  readonly heartbeatMs: number
  /** Silence after which a link is lost. Four heartbeats, so that a single late heartbeat does no harm. */
  readonly silenceLimitMs: number
  /** Delay before the first redial. Doubles up to `maxBackoffMs`, with jitter, so that a restart causes no burst of dials. */
  readonly minBackoffMs: number
  readonly maxBackoffMs: number
  /** The largest message, in encoded bytes. */
  readonly maxFrameBytes: number
  /** Calls in flight per link and direction. Limits the memory for them. */
  readonly maxCallsInFlight: number
  /** Unsent bytes on a link above which casts are dropped and calls refused. */
  readonly maxBufferedBytes: number
  /** Unsent bytes on a link, replies included, above which the link is closed because the peer reads too slowly. */
  readonly maxBacklogBytes: number
}

export type PeerHubSettings = Pick<IPeerHubOptions, 'sharedKey'> & Partial<IPeerHubOptions>

export const PEER_HUB_DEFAULTS: Omit<IPeerHubOptions, 'sharedKey'> = {
  listenIp: '127.0.0.1',
  listenPort: 0,
  handshakeTimeoutMs: 3_000,
  maxUnauthenticatedBytes: 8_192,
  maxUnauthenticated: 128,
  heartbeatMs: 500,
  silenceLimitMs: 2_000,
  minBackoffMs: 50,
  maxBackoffMs: 2_000,
  maxFrameBytes: 2 * 1024 * 1024,
  maxCallsInFlight: 10_000,
  maxBufferedBytes: 4 * 1024 * 1024,
  maxBacklogBytes: 16 * 1024 * 1024
}

/** The fields of a log line. */
export type PeerLogFields = Readonly<Record<string, string | number | boolean>>

export interface IPeerLog {
  info (event: string, fields: PeerLogFields): void
  warn (event: string, fields: PeerLogFields): void
}

/** The clock, timers, random numbers and log that the links use. The binaries pass their logger. */
export interface IPeerEnvironment {
  readonly clock: IClock
  readonly timers: ITimers
  readonly random: IRandom
  readonly log?: IPeerLog
}
