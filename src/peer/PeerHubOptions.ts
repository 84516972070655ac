/**
 * The settings of the peer links in one place, with their defaults and the reason for each limit.
 */

import type { IClock, IRandom, ITimers } from '../common/Types.js'

export interface IPeerHubOptions {
  /** IP number to listen on. */
  readonly listenIp: string
  /** TCP port; 0 lets the system choose one. */
  readonly listenPort: number
  /** The secret that all processes of a cell share, at least 16 bytes. */
  readonly sharedKey: string | Uint8Array
  /** From accepting or dialling a connection until it must have proved itself. Covers three round trips of 40 ms many times. */
  readonly handshakeTimeoutMs: number
  /** Bytes that a connection may send before it has proved itself. */
  readonly maxUnprovenBytes: number
  /** Connections that may be unproven at once; more are closed on sight, so that strangers can't use up the memory. */
  readonly maxUnproven: number
  readonly heartbeatMs: number
  /** Silence after which a link is lost: four heartbeats, so that a single late one does no harm. */
  readonly silenceLimitMs: number
  /** Wait before the first redial; doubles up to `maxBackoffMs`, with jitter, so that a restart meets no burst of dials. */
  readonly minBackoffMs: number
  readonly maxBackoffMs: number
  /** The largest message, in encoded bytes. */
  readonly maxFrameBytes: number
  /** Calls without a reply yet, per link and direction: bounds the memory for them. */
  readonly maxCallsInFlight: number
  /** Unsent bytes on a link above which casts are dropped and calls refused. */
  readonly maxBufferedBytes: number
  /** Unsent bytes on a link, replies included, above which it is closed: the peer reads too slowly to be of use. */
  readonly maxBacklogBytes: number
}

export type PeerHubSettings = Pick<IPeerHubOptions, 'sharedKey'> & Partial<IPeerHubOptions>

export const PEER_HUB_DEFAULTS: Omit<IPeerHubOptions, 'sharedKey'> = {
  listenIp: '127.0.0.1',
  listenPort: 0,
  handshakeTimeoutMs: 3_000,
  maxUnprovenBytes: 8_192,
  maxUnproven: 128,
  heartbeatMs: 500,
  silenceLimitMs: 2_000,
  minBackoffMs: 50,
  maxBackoffMs: 2_000,
  maxFrameBytes: 2 * 1024 * 1024,
  maxCallsInFlight: 10_000,
  maxBufferedBytes: 4 * 1024 * 1024,
  maxBacklogBytes: 16 * 1024 * 1024
}

/** What a log line of the links is made of; the binaries pass their logger. */
export type PeerLogFields = Readonly<Record<string, string | number | boolean>>

export interface IPeerLog {
  info (event: string, fields: PeerLogFields): void
  warn (event: string, fields: PeerLogFields): void
}

/** What the links take from outside: time, chance and a place for news. */
export interface IPeerEnvironment {
  readonly clock: IClock
  readonly timers: ITimers
  readonly random: IRandom
  readonly log?: IPeerLog
}
