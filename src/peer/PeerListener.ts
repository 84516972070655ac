/**
 * Accepts connections from peers, and limits the memory and sockets that unauthenticated connections can occupy.
 */

import { createServer } from 'node:http'
import { isIPv6 } from 'node:net'

import { ResultAsync } from 'neverthrow'
import { WebSocketServer } from 'ws'

import type { IncomingMessage, Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { WebSocket } from 'ws'
import { UnreachableError } from '../common/Errors.js'
import { feedInPieces } from '../runtime/ParserFeed.js'
import type { PeerCounters } from './PeerCounters.js'
import type { IPeerEnvironment, IPeerHubOptions } from './PeerHubOptions.js'

/** Size of a batch of frames that a packet may contain in addition to one frame of `maxFrameBytes`. */
const PACKET_SLACK_BYTES = 128 * 1024
const MAX_HEADER_BYTES = 4_096

export function maxPacketBytes (options: Pick<IPeerHubOptions, 'maxFrameBytes'>): number {
  return options.maxFrameBytes + PACKET_SLACK_BYTES
}

export class PeerListener {
  private readonly _server: Server
  private readonly _webSockets: WebSocketServer
  private readonly _unauthenticated = new Set<Socket>()
  /** Ends the feed of the HTTP parser of each connection that isn't a WebSocket yet. */
  private readonly _endFeeds = new WeakMap<Socket, () => void>()

  public constructor (
    private readonly _options: IPeerHubOptions,
    private readonly _environment: IPeerEnvironment,
    private readonly _counters: PeerCounters,
    onWebSocket: (webSocket: WebSocket, tcp: Socket) => void
  ) {
    this._server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false }, refuseRequest)
    this._server.on('connection', (socket: Socket) => this._onConnection(socket))
    this._server.on('upgrade', ({ socket }: IncomingMessage) => { this._endFeeds.get(socket)?.() })
    this._webSockets = new WebSocketServer({
      server: this._server, clientTracking: false, perMessageDeflate: false, maxPayload: maxPacketBytes(_options)
    })
    this._webSockets.on('error', () => {})
    this._webSockets.on('connection', (webSocket: WebSocket, request: IncomingMessage) => {
      webSocket.on('error', () => {})
      onWebSocket(webSocket, request.socket)
    })
  }

  /** Binds the address and returns it as `ws://ip:port`. */
  public listen (): ResultAsync<string, UnreachableError> {
    const { listenIp, listenPort } = this._options
    const bound = new Promise<string>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(listenPort, listenIp, () => {
        this._server.off('error', reject)
        resolve(`ws://${isIPv6(listenIp) ? `[${listenIp}]` : listenIp}:${(this._server.address() as AddressInfo).port}`)
      })
    })
    return ResultAsync.fromPromise(bound, (cause) =>
      new UnreachableError('peer.listen', `${listenIp}:${listenPort}`, String(cause), { cause }))
  }

  /** Marks a connection as authenticated, which lifts its time limit. */
  public markAuthenticated (socket: Socket): void {
    this._unauthenticated.delete(socket)
  }

  public close (): void {
    this._webSockets.close()
    this._server.close()
    for (const socket of this._unauthenticated) socket.destroy()
  }

  /**
   * Limits the time until every new connection must be authenticated. A connection that sends nothing, or half a
   * request, never reaches the handshake and its timeout. Such connections would accumulate until peers can't connect.
   */
  private _onConnection (socket: Socket): void {
    if (this._unauthenticated.size >= this._options.maxUnauthenticated) {
      this._counters.crowdedOut += 1
      socket.destroy()
      return
    }
    this._unauthenticated.add(socket)
    this._endFeeds.set(socket, feedInPieces(socket))
    const timeout = this._environment.timers.after(this._options.handshakeTimeoutMs, () => {
      if (this._unauthenticated.has(socket)) socket.destroy()
    })
    socket.on('close', () => {
      timeout.dispose()
      this._unauthenticated.delete(socket)
    })
  }
}

/** Closes the connection of a request that opens no WebSocket: it would never be answered. */
function refuseRequest ({ socket }: IncomingMessage): void {
  socket.destroy()
}
