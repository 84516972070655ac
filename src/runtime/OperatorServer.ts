/**
 * The HTTP server for operators, with its own listener, separate from that for callers. It checks the token of the settings
 * before it reads anything else of a request.
 */

import ApiGateway from 'moleculer-web'
import { errorFields } from '../common/observability/ErrorFields.js'
import { BearerToken } from './BearerToken.js'
import { HttpListener } from './HttpListener.js'
import { OPERATOR_ROUTES, errorReply } from './OperatorRoutes.js'

import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import type { ResultAsync } from 'neverthrow'
import type { ILogger } from '../common/observability/Types.js'
import type { UnreachableError } from '../common/Errors.js'
import type { IHttpLimits } from './HttpListener.js'
import type { IOperatorReply, IOperatorRequest, OperatorHandlers, OperatorRouteName } from './OperatorRoutes.js'
import type { ILimitSettings, IOperatorSettings } from './settings/Types.js'

/** Far more than a profile, which takes less than 1 KB. */
const MAX_BODY_BYTES = 64 * 1024
const MAX_CONNECTIONS = 100
const REQUEST_TIMEOUT_MS = 10_000
const CLOSE_GRACE_MS = 1000
const MAX_OPERATOR_CHARS = 64
const UNAUTHORIZED = errorReply(401, 'unauthorized', 'send the token of [operator] in the settings as "Authorization: Bearer <token>"')
const UNKNOWN_PATH = errorReply(404, 'notFound', 'there is no such path; docs/API.md lists the paths')

/** A request with the properties that moleculer-web adds. */
interface IApiRequest extends IncomingMessage {
  readonly $params: { readonly params?: Record<string, string>, readonly query?: Record<string, unknown>, readonly body?: unknown }
}

export class OperatorServer {
  private readonly _token: BearerToken
  private readonly _listener: HttpListener

  /** Registers a service with the broker; call `listen` after the broker has started. */
  public constructor (
    broker: ServiceBroker,
    private readonly _settings: IOperatorSettings,
    limits: ILimitSettings,
    private readonly _handlers: OperatorHandlers,
    private readonly _logger: ILogger
  ) {
    this._token = new BearerToken(_settings.token)
    const service = broker.createService(this._schema()) as unknown as { readonly httpHandler: RequestListener }
    this._listener = new HttpListener(toHttpLimits(limits), (request, response) => {
      if (this._token.matches(request.headers.authorization)) service.httpHandler(request, response)
      else this._refuseUnauthorized(request, response)
    })
  }

  /** Binds the address of the settings and returns the base URL. */
  public listen (): ResultAsync<string, UnreachableError> {
    return this._listener.listen(this._settings.listen)
  }

  public async close (): Promise<void> {
    await this._listener.close(CLOSE_GRACE_MS)
  }

  private _schema (): ServiceSchema {
    const names = Object.keys(OPERATOR_ROUTES) as OperatorRouteName[]
    const aliases = names.map(name => {
      const serve = (request: IApiRequest, response: ServerResponse) => this._serve(name, request, response)
      return [OPERATOR_ROUTES[name], serve]
    })
    return {
      name: 'operators',
      mixins: [ApiGateway as unknown as ServiceSchema],
      settings: {
        // HttpListener listens; moleculer-web only routes, parses and responds.
        server: false,
        logRequest: null,
        logResponse: null,
        logRouteRegistration: null,
        onError: (_request: IncomingMessage, response: ServerResponse, error: unknown) => send(response, toErrorReply(error)),
        routes: [{
          path: '/',
          mergeParams: false,
          bodyParsers: { json: { limit: MAX_BODY_BYTES, strict: false } },
          aliases: Object.fromEntries(aliases)
        }]
      }
    }
  }

  private async _serve (name: OperatorRouteName, request: IApiRequest, response: ServerResponse): Promise<void> {
    const handler = this._handlers[name]
    if (handler === undefined) return send(response, errorReply(404, 'notHere', `this process has no ${name}; ask another one`))
    try {
      send(response, await handler(toOperatorRequest(request)))
    } catch (error) {
      this._logger.error('operator.failed', { route: name, ...errorFields(error) })
      send(response, errorReply(500, 'internal', 'the request failed inside the process; see the operator.failed event in its log'))
    }
  }

  private _refuseUnauthorized (request: IncomingMessage, response: ServerResponse): void {
    this._logger.warn('operator.unauthorized', { peer: request.socket.remoteAddress })
    response.setHeader('www-authenticate', 'Bearer')
    // The rest of the request isn't read, so the connection can't be reused.
    response.setHeader('connection', 'close')
    send(response, UNAUTHORIZED)
  }
}

function toHttpLimits (limits: ILimitSettings): IHttpLimits {
  return { ...limits, maxConnections: MAX_CONNECTIONS, requestTimeoutMs: REQUEST_TIMEOUT_MS }
}

function toOperatorRequest (request: IApiRequest): IOperatorRequest {
  const { params = {}, query = {}, body } = request.$params
  const texts = Object.entries(query).filter((pair): pair is [string, string] => typeof pair[1] === 'string')
  const operator = String(request.headers['x-jackdawreel-operator'] ?? 'unnamed').slice(0, MAX_OPERATOR_CHARS)
  return { params, query: Object.fromEntries(texts), body, ifMatch: parseRevision(request.headers['if-match']), operator }
}

/** Parses the entity tag, which is quoted by the standard; a number without quotes is accepted too. */
function parseRevision (ifMatch: string | undefined): number | undefined {
  const digits = /^"?(\d{1,15})"?$/.exec(ifMatch ?? '')?.[1]
  return digits === undefined ? undefined : Number(digits)
}

/** The response to an error of moleculer-web: an unknown path, or a body that is malformed or too long. */
function toErrorReply (error: unknown): IOperatorReply {
  const { code, status } = error as { readonly code?: unknown, readonly status?: unknown }
  if (code === 404) return UNKNOWN_PATH
  if (code === 413 || status === 413) return errorReply(413, 'tooLarge', `the body exceeds the limit of ${MAX_BODY_BYTES} bytes`)
  return errorReply(400, 'badRequest', 'the request is malformed: send a JSON body and a well-formed path')
}

function send (response: ServerResponse, reply: IOperatorReply): void {
  if (response.destroyed || response.headersSent) return
  const body = JSON.stringify(reply.value)
  response.writeHead(reply.status, { 'content-type': 'application/json; charset=utf-8', 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
