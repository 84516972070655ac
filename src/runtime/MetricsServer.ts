/**
 * The metrics server of a controller: counters and histograms as text, and the state dump as JSON. moleculer and its HTTP
 * service are loaded with the first request. They take 220 ms of processor time and 37 MiB, which would delay a process that
 * was just restarted and must take over a cell.
 */

import { HttpListener } from './HttpListener.js'

import type { RequestListener, ServerResponse } from 'node:http'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import type { ResultAsync } from 'neverthrow'
import type { UnreachableError } from '../common/Errors.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ClientLimitKind } from './ClientGuard.js'
import type { IListenAddress } from './settings/Types.js'

export interface IMetricsSources {
  /** Counters and histograms as text. */
  metrics (): string
  /** The state of the process, as JSON. */
  dump (): string
  /** A client of the metrics server met a limit. */
  onLimited (kind: ClientLimitKind): void
}

const LIMITS = {
  maxHeaderBytes: 8192, maxHeaderCount: 50, maxConnections: 20, maxInFlightPerConnection: 2, headersTimeoutMs: 3000, requestTimeoutMs: 5000
}
const CLOSE_GRACE_MS = 200

export class MetricsServer {
  private readonly _listener: HttpListener
  private _broker: ServiceBroker | undefined
  private _handler: Promise<RequestListener> | undefined

  public constructor (private readonly _processId: string, private readonly _sources: IMetricsSources, private readonly _log: ILogger) {
    this._listener = new HttpListener(LIMITS, (request, response) => {
      this._handler ??= this._loadHandler()
      this._handler.then((handler) => { handler(request, response) }, (error: unknown) => {
        this._log.error('metrics.failed', { reason: String(error) })
        response.writeHead(500).end()
      })
    }, (kind) => { this._sources.onLimited(kind) })
  }

  public listen (address: IListenAddress): ResultAsync<string, UnreachableError> {
    return this._listener.listen(address)
  }

  public async close (): Promise<void> {
    await this._listener.close(CLOSE_GRACE_MS)
    await this._broker?.stop()
  }

  private async _loadHandler (): Promise<RequestListener> {
    const [{ createBroker }, { default: ApiGateway }] = await Promise.all([import('./Broker.js'), import('moleculer-web')])
    const broker = createBroker(this._processId, this._log)
    this._broker = broker
    const service = broker.createService(this._schema(ApiGateway as unknown as ServiceSchema)) as unknown as { readonly httpHandler: RequestListener }
    await broker.start()
    return service.httpHandler
  }

  private _schema (gateway: ServiceSchema): ServiceSchema {
    const aliases = {
      'GET /metrics': (_request: unknown, response: ServerResponse) => { send(response, 'text/plain; version=0.0.4', this._sources.metrics()) },
      'GET /dump': (_request: unknown, response: ServerResponse) => { send(response, 'application/json', this._sources.dump()) }
    }
    const settings = { server: false, logRequest: null, logResponse: null, logRouteRegistration: null, routes: [{ path: '/', aliases }] }
    return { name: 'metrics', mixins: [gateway], settings }
  }
}

function send (response: ServerResponse, contentType: string, body: string): void {
  response.writeHead(200, { 'content-type': contentType, 'content-length': Buffer.byteLength(body) })
  response.end(body)
}
