/**
 * Limits what the clients of a listener may occupy: connections, requests in flight and the bodies that are being read.
 *
 * Clients that aren't controlled open connections and leave them idle, send requests ahead without reading the answers, or stop short of
 * the end of their bodies. Each of these holds memory and descriptors until the process ends. At a limit, what is least likely to belong
 * to an ordinary caller makes room for a newcomer: an idle connection, a request that was sent ahead, the oldest incomplete body.
 */

import { InFlightLimit } from './InFlightLimit.js'

export interface IClientBounds {
  readonly maxConnections: number
  /** Requests without an answer, of all connections. */
  readonly maxInFlight: number
  /** Requests of one connection whose answers haven't been transferred; a connection with more is closed. */
  readonly maxInFlightPerConnection: number
  /** Bytes that incomplete bodies may occupy, and the same again for complete ones. Bodies up to `SMALL_BODY_BYTES` don't count. */
  readonly maxBodyBytes: number
}

export type RequestAdmission = 'serve' | 'refuse' | 'close'

/** Bodies up to this size are never given up for others. */
export const SMALL_BODY_BYTES = 16_384

const DEFAULT_MEMORY_MB = 200
const CONNECTIONS_PER_MB = 2
const REQUESTS_PER_MB = 10
const MAX_IN_FLIGHT_PER_CONNECTION = 64
/** The part of the memory for incomplete bodies, and for complete ones. */
const BODY_SHARE = 1 / 16
const BYTES_PER_MB = 1_000_000
/** The part of the requests in flight that requests behind others on their connection may use. */
const SENT_AHEAD_SHARE = 0.5

/** The limits of a process on a machine with this memory, in MB. */
export function clientBounds (memoryMb = DEFAULT_MEMORY_MB): IClientBounds {
  return {
    maxConnections: Math.ceil(memoryMb * CONNECTIONS_PER_MB),
    maxInFlight: Math.ceil(memoryMb * REQUESTS_PER_MB),
    maxInFlightPerConnection: MAX_IN_FLIGHT_PER_CONNECTION,
    maxBodyBytes: Math.ceil(memoryMb * BODY_SHARE * BYTES_PER_MB)
  }
}

interface IConnectionUse {
  inFlight: number
  hasBeenServed: boolean
}

/** @typeParam Connection identifies a connection; @typeParam Body identifies a body */
export class ClientLimits<Connection, Body> {
  /** Those that have been idle longest first. */
  private readonly _connections = new Map<Connection, IConnectionUse>()
  private readonly _requests: InFlightLimit
  private _sentAhead = 0
  /** The bytes of each incomplete body that is not small; the oldest first. */
  private readonly _incompleteBodies = new Map<Body, number>()
  private readonly _completeBodies = new Map<Body, number>()
  private _incompleteBytes = 0
  private _completeBytes = 0

  public constructor (private readonly _bounds: IClientBounds) {
    this._requests = new InFlightLimit({ maxInFlight: _bounds.maxInFlight, maxInFlightBytes: Infinity })
  }

  public get connections (): number {
    return this._connections.size
  }

  public get bodyBytes (): number {
    return this._incompleteBytes + this._completeBytes
  }

  /** Adds a connection. Returns the connection to close if there are too many: an idle one, or the new one if none is idle. */
  public openConnection (connection: Connection): Connection | undefined {
    this._connections.set(connection, { inFlight: 0, hasBeenServed: false })
    if (this._connections.size <= this._bounds.maxConnections) return undefined
    const closed = this._leastUsedConnection(connection)
    this._connections.delete(closed)
    return closed
  }

  public closeConnection (connection: Connection): void {
    this._connections.delete(connection)
  }

  /** Whether a request may use resources. Call `release` once its answer has been transferred, or its connection is closed. */
  public admit (connection: Connection): { readonly admission: RequestAdmission, release (): void } {
    const use = this._connections.get(connection)
    if (use === undefined || use.inFlight >= this._bounds.maxInFlightPerConnection) return { admission: 'close', release: () => {} }
    const isSentAhead = use.inFlight > 0
    use.inFlight += 1
    const hasRoom = !isSentAhead || this._sentAhead < this._bounds.maxInFlight * SENT_AHEAD_SHARE
    const reservation = hasRoom ? this._requests.reserve(0).unwrapOr(undefined) : undefined
    if (reservation !== undefined && isSentAhead) this._sentAhead += 1
    return {
      admission: reservation === undefined ? 'refuse' : 'serve',
      release: () => {
        use.inFlight -= 1
        reservation?.()
        if (reservation !== undefined && isSentAhead) this._sentAhead -= 1
        this._recordServed(connection, use)
      }
    }
  }

  /**
   * Records the memory that an incomplete body occupies. Returns the bodies to give up so that it fits, the oldest first; the body itself
   * may be among them.
   */
  public growBody (body: Body, bytes: number): readonly Body[] {
    if (bytes <= SMALL_BODY_BYTES) return []
    this._incompleteBytes += bytes - (this._incompleteBodies.get(body) ?? 0)
    this._incompleteBodies.set(body, bytes)
    const givenUp: Body[] = []
    while (this._incompleteBytes > this._bounds.maxBodyBytes && this._incompleteBodies.size > 1) {
      const [oldest] = this._incompleteBodies.keys()
      if (oldest === undefined) break
      givenUp.push(oldest)
      this.endBody(oldest)
    }
    return givenUp
  }

  /** Records that the body has arrived. False if it has to be refused; it no longer counts then. */
  public completeBody (body: Body, bytes: number): boolean {
    this.endBody(body)
    if (bytes <= SMALL_BODY_BYTES) return true
    if (this._completeBytes > 0 && this._completeBytes + bytes > this._bounds.maxBodyBytes) return false
    this._completeBodies.set(body, bytes)
    this._completeBytes += bytes
    return true
  }

  /** The memory of the body is free. */
  public endBody (body: Body): void {
    this._incompleteBytes -= this._incompleteBodies.get(body) ?? 0
    this._completeBytes -= this._completeBodies.get(body) ?? 0
    this._incompleteBodies.delete(body)
    this._completeBodies.delete(body)
  }

  private _recordServed (connection: Connection, use: IConnectionUse): void {
    use.hasBeenServed = true
    if (!this._connections.delete(connection)) return
    this._connections.set(connection, use)
  }

  /** A connection that has not been served yet, or otherwise the one that has been idle longest. */
  private _leastUsedConnection (newcomer: Connection): Connection {
    let idle: Connection | undefined
    for (const [connection, { inFlight, hasBeenServed }] of this._connections) {
      if (inFlight > 0 || connection === newcomer) continue
      if (!hasBeenServed) return connection
      idle ??= connection
    }
    return idle ?? newcomer
  }
}
