/**
 * The loopback HTTP server of every stand-in. It reads whole bodies, serves `/dump` and `/control`, and can refuse new connections
 * or cut open ones.
 */

import { createServer } from 'node:http'

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

/** A request that was read whole, and the response to it. */
export interface IExchange {
  readonly method: string
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  readonly response: ServerResponse
}

export interface IStandIn {
  /** Answers a request other than `/dump` and `/control`. */
  handle (exchange: IExchange): void
  /** Applies the switches of `POST /control`. */
  control (settings: Readonly<Record<string, unknown>>): void
  /** The state and the records of the stand-in, to be encoded as JSON. */
  dump (): unknown
  /** Is called with the number of open connections whenever it changes. */
  onConnectionCountChange? (count: number): void
  /** Stops the timers of the stand-in. */
  close? (): void
}

export const LOOPBACK = '127.0.0.1'

export class StandInServer {
  private readonly _server = createServer((request, response) => { this._receive(request, response) })
  private readonly _sockets = new Set<Socket>()
  private _port = 0

  public constructor (private readonly _standIn: IStandIn) {
    this._server.on('connection', (socket) => { this._trackSocket(socket) })
  }

  public get url (): string {
    return `http://${LOOPBACK}:${this._port}`
  }

  /** Listens on `port`; 0 means a free one. Without an argument it listens on the same port as before the connections were refused. */
  public listen (port = this._port): Promise<string> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, LOOPBACK, () => {
        this._server.off('error', reject)
        this._port = (this._server.address() as AddressInfo).port
        resolve(this.url)
      })
    })
  }

  /** Closes the listener and all connections, so that new connections are refused. */
  public refuseConnections (): void {
    this._server.close()
    this.cutConnections()
  }

  /** Closes all open connections; new connections are still accepted. */
  public cutConnections (): void {
    for (const socket of this._sockets) socket.destroy()
  }

  public close (): void {
    this._standIn.close?.()
    this.refuseConnections()
  }

  private _trackSocket (socket: Socket): void {
    this._sockets.add(socket)
    this._standIn.onConnectionCountChange?.(this._sockets.size)
    socket.on('error', () => { socket.destroy() })
    socket.on('close', () => {
      this._sockets.delete(socket)
      this._standIn.onConnectionCountChange?.(this._sockets.size)
    })
  }

  private _receive (request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const body = chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
      this._answer({ method: request.method ?? '', path: request.url ?? '/', headers: request.headers, body, response })
    })
  }

  private _answer (exchange: IExchange): void {
    if (exchange.path === '/dump') {
      sendJson(exchange, 200, this._standIn.dump())
    } else if (exchange.path === '/control') {
      this._standIn.control(readJson(exchange))
      sendJson(exchange, 200, {})
    } else {
      this._standIn.handle(exchange)
    }
  }
}

export function readJson<T = Record<string, unknown>> (exchange: IExchange): T {
  return (exchange.body.length === 0 ? {} : JSON.parse(exchange.body.toString())) as T
}

export function sendJson (exchange: IExchange, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
  const body = Buffer.from(JSON.stringify(value))
  exchange.response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers })
  exchange.response.end(body)
}

/** Closes the connection of a request without an answer. */
export function dropConnection (exchange: IExchange): void {
  exchange.response.socket?.destroy()
}
