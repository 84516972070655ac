/**
 * An HTTP listener with limits. moleculer-web could listen itself, but it waits forever if the address is already in use;
 * this class returns an error, which the process can report.
 */

import { createServer } from 'node:http'
import { ResultAsync, err, ok } from 'neverthrow'
import { UnreachableError } from '../common/Errors.js'
import { ClientGuard, GUARDED_SERVER } from './ClientGuard.js'

import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Result } from 'neverthrow'
import type { ClientLimitKind } from './ClientGuard.js'
import type { IListenAddress } from './settings/Types.js'

export interface IHttpLimits {
  readonly maxHeaderBytes: number
  readonly maxHeaderCount: number
  readonly maxConnections: number
  /** How long a client may take to send its headers, in milliseconds. */
  readonly headersTimeoutMs: number
  /** How long a client may take to send a whole request, in milliseconds. */
  readonly requestTimeoutMs: number
  /** Requests of one connection whose answers haven't been transferred; a connection with more is closed. */
  readonly maxInFlightPerConnection?: number
}

/** How many times the server checks for slow clients within the time that a client has for its headers. */
const CHECKS_PER_TIMEOUT = 2
const MAX_IN_FLIGHT_PER_CONNECTION = 64
/** How long the transfer of an answer may take, in ms. Answers to operators may be large. */
const ANSWER_TIMEOUT_MS = 30_000

export class HttpListener {
  private readonly _server: Server

  /** @param onLimited a client met a limit */
  public constructor (limits: IHttpLimits, handler: RequestListener, onLimited: (kind: ClientLimitKind) => void = () => {}) {
    this._server = createServer({
      ...GUARDED_SERVER,
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: Math.max(limits.requestTimeoutMs, limits.headersTimeoutMs),
      connectionsCheckingInterval: limits.headersTimeoutMs / CHECKS_PER_TIMEOUT
    }, (request, response) => {
      if (guard.admit(request, response)) handler(request, response)
    })
    this._server.maxHeadersCount = limits.maxHeaderCount
    const { maxConnections, maxInFlightPerConnection = MAX_IN_FLIGHT_PER_CONNECTION } = limits
    const bounds = { maxConnections, maxInFlight: Infinity, maxInFlightPerConnection, maxBodyBytes: Infinity }
    const guard = new ClientGuard(this._server, { bounds, answerTimeoutMs: ANSWER_TIMEOUT_MS, onLimited })
  }

  /** Binds the address and returns the base URL with the actual port. */
  public listen (address: IListenAddress): ResultAsync<string, UnreachableError> {
    return new ResultAsync(this._listen(address))
  }

  /** Stops accepting connections, and closes those that are still open after `graceMs`. */
  public async close (graceMs: number): Promise<void> {
    const closeTimer = setTimeout(() => this._server.closeAllConnections(), graceMs)
    await new Promise<void>(resolve => { this._server.close(() => resolve()) })
    clearTimeout(closeTimer)
  }

  private async _listen (address: IListenAddress): Promise<Result<string, UnreachableError>> {
    return await new Promise(resolve => {
      const onError = (cause: Error) => resolve(err(toListenError(address, cause)))
      this._server.once('error', onError)
      this._server.listen(address.port, address.ip, () => {
        this._server.off('error', onError)
        resolve(ok(urlOf(this._server.address() as AddressInfo)))
      })
    })
  }
}

function urlOf (address: AddressInfo): string {
  const ip = address.family === 'IPv6' ? `[${address.address}]` : address.address
  return `http://${ip}:${address.port}`
}

function toListenError ({ ip, port }: IListenAddress, cause: Error): UnreachableError {
  return new UnreachableError('http.listen', `${ip}:${port}`, cause.message, { cause })
}
