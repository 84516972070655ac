/**
 * Applies the limits on clients to an HTTP server: closes connections, refuses requests, and notices answers that aren't read.
 */

import { BodyReader } from './BodyReader.js'
import { feedInPieces } from './ParserFeed.js'
import { ClientLimits } from '../common/requests/ClientLimits.js'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { IClientBounds } from '../common/requests/ClientLimits.js'

/** What a client met: too many connections, requests in flight, requests sent ahead on a connection, or an answer that it doesn't read. */
export type ClientLimitKind = 'connections' | 'requests' | 'sentAhead' | 'unread'

/** The options of an HTTP server with a guard: the guard answers requests without a host itself, so that they count. */
export const GUARDED_SERVER = { requireHostHeader: false } as const

const RETRY_AFTER_S = 1

interface IExchange {
  readonly response: ServerResponse
  end (): void
  /** When the answer was first seen complete and not transferred. */
  unreadSinceMs: number | undefined
}

export interface IClientGuardOptions {
  readonly bounds: IClientBounds
  /** How long the transfer of an answer may take, in ms. */
  readonly answerTimeoutMs: number
  onLimited (kind: ClientLimitKind): void
}

export class ClientGuard {
  public readonly bodies: BodyReader
  private readonly _limits: ClientLimits<Socket, IncomingMessage>
  /** The requests of each connection whose answers haven't been transferred, in the order of the answers. */
  private readonly _exchanges = new Map<Socket, Set<IExchange>>()

  public constructor (server: Server, private readonly _options: IClientGuardOptions) {
    this._limits = new ClientLimits(_options.bounds)
    this.bodies = new BodyReader(this._limits)
    server.on('connection', (socket: Socket) => { this._openConnection(socket) })
    const timer = setInterval(() => { this._closeUnread() }, _options.answerTimeoutMs / 2).unref()
    server.once('close', () => { clearInterval(timer) })
  }

  public get connections (): number {
    return this._limits.connections
  }

  public get bodyBytes (): number {
    return this._limits.bodyBytes
  }

  /**
   * Whether to serve the request; otherwise it has been refused, or its connection closed.
   *
   * @param onEnd called once the answer has been transferred or the connection is closed
   */
  public admit (request: IncomingMessage, response: ServerResponse, onEnd: () => void = () => {}): boolean {
    const { socket } = request
    // Requests that arrived together with those beyond the limit may still be parsed.
    if (socket.destroyed) return false
    const { admission, release } = this._limits.admit(socket)
    if (admission === 'close') {
      this._options.onLimited('sentAhead')
      socket.destroy()
      return false
    }
    this._track(request, response, () => {
      release()
      if (admission === 'serve') onEnd()
    })
    if (admission === 'refuse') {
      this._options.onLimited('requests')
      answer(response, 503, { 'retry-after': String(RETRY_AFTER_S) }, 'too many requests in flight')
      return false
    }
    if (request.headers.host !== undefined || request.httpVersion !== '1.1') return true
    answer(response, 400, { connection: 'close' }, 'the host header is missing')
    return false
  }

  private _openConnection (socket: Socket): void {
    this._exchanges.set(socket, new Set())
    feedInPieces(socket)
    socket.once('close', () => {
      this._limits.closeConnection(socket)
      const exchanges = this._exchanges.get(socket) ?? []
      this._exchanges.delete(socket)
      for (const { end } of exchanges) end()
    })
    const closed = this._limits.openConnection(socket)
    if (closed === undefined) return
    this._options.onLimited('connections')
    closed.destroy()
  }

  private _track (request: IncomingMessage, response: ServerResponse, onEnd: () => void): void {
    const exchanges = this._exchanges.get(request.socket)
    let hasEnded = false
    const exchange: IExchange = {
      response,
      unreadSinceMs: undefined,
      end: () => {
        if (hasEnded) return
        hasEnded = true
        exchanges?.delete(exchange)
        this._limits.endBody(request)
        onEnd()
      }
    }
    exchanges?.add(exchange)
    // Responses that wait for an earlier one on their connection get no event when it closes.
    response.once('close', exchange.end)
  }

  /** Closes the connections whose first answer hasn't been transferred for too long. */
  private _closeUnread (): void {
    const nowMs = performance.now()
    for (const [socket, [first]] of this._exchanges) {
      if (first?.response.writableEnded !== true) continue
      first.unreadSinceMs ??= nowMs
      if (nowMs - first.unreadSinceMs < this._options.answerTimeoutMs) continue
      this._options.onLimited('unread')
      socket.destroy()
    }
  }
}

function answer (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, error: string): void {
  const body = JSON.stringify({ error })
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...headers })
  response.end(body)
}
