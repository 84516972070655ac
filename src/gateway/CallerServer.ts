/**
 * The HTTP server of a gateway for its callers: requests, jobs and the health check, routed by moleculer-web.
 */

import ApiGateway from 'moleculer-web'
import { answerBody, answerHeaders, answerStatus, HEADER_OUTCOME, HEADER_REASON } from '../common/requests/AnswerHeaders.js'
import { parseName, parseRequestHead } from '../common/requests/RequestParser.js'
import { InFlightLimit } from '../common/requests/InFlightLimit.js'
import { HttpListener } from '../runtime/HttpListener.js'
import { readBody } from '../runtime/BodyReader.js'
import { endUnreadRequest } from './endUnreadRequest.js'
import { parseJob } from './JobForwarder.js'
import { routeRequest } from './RouteRequest.js'

import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import type { IBadInput } from '../common/requests/Types.js'
import type { IConfigReplica } from '../common/config/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IJobStatus } from '../common/protocol/Types.js'
import type { IClock, IFinalAnswer } from '../common/Types.js'
import type { ICallerSettings, ILimitSettings } from '../runtime/settings/Types.js'
import type { JobForwarder } from './JobForwarder.js'
import type { RequestForwarder } from './RequestForwarder.js'
import type { IOutcomeSink } from './Types.js'

const MAX_JOB_BYTES = 1024 * 1024
const OVERLOADED_RETRY_MS = 500

/** A request with the path parameters that moleculer-web adds. */
interface IApiRequest extends IncomingMessage {
  readonly $params: Readonly<Record<string, string>>
}

export interface ICallerServerContext {
  readonly broker: ServiceBroker
  readonly settings: ICallerSettings
  readonly limits: ILimitSettings
  readonly requests: RequestForwarder
  readonly jobs: JobForwarder
  readonly config: IConfigReplica
  readonly outcomes: IOutcomeSink
  readonly clock: IClock
  readonly log: ILogger
  /** Whether this gateway can serve requests: it has the configuration and knows a scheduler. */
  readonly isReady: () => boolean
}

export class CallerServer {
  private readonly _listener: HttpListener
  private readonly _inFlightLimit: InFlightLimit
  private _draining = false

  public constructor (private readonly _context: ICallerServerContext) {
    this._inFlightLimit = new InFlightLimit(_context.limits)
    const service = _context.broker.createService(this._serviceSchema()) as unknown as { readonly httpHandler: RequestListener }
    this._listener = new HttpListener({ ..._context.limits, requestTimeoutMs: _context.settings.requestTimeoutMs }, service.httpHandler)
  }

  public get inFlight (): number {
    return this._inFlightLimit.count
  }

  /** Binds the configured address and returns the base URL. */
  public async listen (): Promise<string> {
    const url = await this._listener.listen(this._context.settings.listen)
    if (url.isErr()) throw url.error
    return url.value
  }

  /** Makes the health check fail and closes each connection after its answer; requests are still accepted. */
  public startDraining (): void {
    this._draining = true
  }

  /**
   * Refuses new connections and waits until every request in flight has its answer, or `graceMs` has passed.
   *
   * Call this some time after `startDraining`, once the load balancer has seen the health check fail: refusing
   * connections earlier would cut off callers that it still sends to this gateway.
   */
  public async close (graceMs: number): Promise<void> {
    await this._listener.close(graceMs)
  }

  private _serviceSchema (): ServiceSchema {
    return {
      name: 'callers',
      mixins: [ApiGateway as unknown as ServiceSchema],
      settings: {
        // HttpListener accepts the connections; moleculer-web routes the requests and answers them.
        server: false,
        path: '/v1',
        logRequest: null,
        logResponse: null,
        logRouteRegistration: null,
        routes: [{
          path: '/',
          bodyParsers: false,
          mergeParams: true,
          aliases: {
            'GET health': (_request: IApiRequest, response: ServerResponse) => this._sendHealth(response),
            'POST requests/:service': (request: IApiRequest, response: ServerResponse) =>
              this._serveWithinLimits(request, response, () => this._serveRequest(request, response)),
            'POST jobs': (request: IApiRequest, response: ServerResponse) =>
              this._serveWithinLimits(request, response, () => this._submitJob(request, response)),
            'GET jobs/:jobId': (request: IApiRequest, response: ServerResponse) =>
              this._serveWithinLimits(request, response, () => this._serveJobCall(request, response, 'status')),
            'DELETE jobs/:jobId': (request: IApiRequest, response: ServerResponse) =>
              this._serveWithinLimits(request, response, () => this._serveJobCall(request, response, 'cancel'))
          }
        }]
      }
    }
  }

  /** Serves a request within the limits on requests in flight; refuses one over a limit before its body is read. */
  private async _serveWithinLimits (request: IApiRequest, response: ServerResponse, serve: () => Promise<void>): Promise<void> {
    const reservation = this._inFlightLimit.reserve(bytesToReserve(request, this._context.settings.maxBodyBytes))
    if (reservation.isErr()) {
      const detail = `too many ${reservation.error} in flight`
      this._sendAnswerBeforeBody(request, response, { outcome: 'refused', reason: 'overloaded', detail, retryAfterMs: OVERLOADED_RETRY_MS })
      return
    }
    try {
      await serve()
    } finally {
      reservation.value()
    }
  }

  private _sendHealth (response: ServerResponse): void {
    const healthy = !this._draining && this._context.isReady()
    this._sendJson(response, healthy ? 200 : 503, { healthy, draining: this._draining })
  }

  private async _serveRequest (request: IApiRequest, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this._context.clock.nowMs()
    const head = parseRequestHead(request.$params.service ?? '', request.headers)
    if (head.isErr()) return this._sendBadInput(request, response, head.error)
    const body = await readBody(request, this._context.settings.maxBodyBytes)
    if (body.isErr()) return this._sendBadInput(request, response, body.error)
    const routed = routeRequest(head.value, body.value, this._context.config, arrivedAtMs)
    if (routed.isErr()) return this._sendBadInput(request, response, routed.error)
    const disconnected = new AbortController()
    response.once('close', () => disconnected.abort())
    const answer = await this._context.requests.run(routed.value, disconnected.signal)
    const late = this._context.clock.nowMs() > routed.value.deadlineAtMs
    this._context.outcomes.recordOutcome(head.value.service, head.value.caller, answer, late)
    this._sendAnswer(response, answer)
  }

  private async _submitJob (request: IApiRequest, response: ServerResponse): Promise<void> {
    const body = await readBody(request, MAX_JOB_BYTES)
    if (body.isErr()) return this._sendBadInput(request, response, body.error)
    const job = parseJob(Buffer.from(body.value).toString('utf8'))
    if (job.isErr()) return this._sendBadInput(request, response, job.error)
    if (this._context.config.service(job.value.service) === undefined) {
      return this._sendBadInput(request, response, { status: 404, field: 'service', message: `${job.value.service} does not exist` })
    }
    const answer = await this._context.jobs.submit(job.value)
    if (answer.outcome !== 'done') return this._sendAnswer(response, answer)
    this._sendJson(response, 202, { jobId: job.value.jobId, state: 'accepted' }, { [HEADER_OUTCOME]: 'done' })
  }

  private async _serveJobCall (request: IApiRequest, response: ServerResponse, operation: 'status' | 'cancel'): Promise<void> {
    const jobId = parseName(request.$params.jobId, 'jobId')
    if (jobId.isErr()) return this._sendBadInput(request, response, jobId.error)
    const found = await this._context.jobs[operation](jobId.value)
    if (found === undefined) return this._sendBadInput(request, response, { status: 404, field: 'jobId', message: `no job named ${jobId.value}` })
    if (isJobStatus(found)) return this._sendJson(response, 200, found)
    this._sendAnswer(response, found)
  }

  private _sendAnswer (response: ServerResponse, answer: IFinalAnswer): void {
    const body = answerBody(answer)
    this._send(response, answerStatus(answer), answerHeaders(answer), body)
  }

  private _sendBadInput (request: IncomingMessage, response: ServerResponse, fault: IBadInput): void {
    const text = JSON.stringify({ outcome: 'refused', reason: 'badInput', field: fault.field, detail: `${fault.field} ${fault.message}` })
    this._sendBeforeBody(request, response, fault.status,
      { 'content-type': 'application/json', [HEADER_OUTCOME]: 'refused', [HEADER_REASON]: 'badInput' }, text)
  }

  private _sendAnswerBeforeBody (request: IncomingMessage, response: ServerResponse, answer: IFinalAnswer): void {
    this._sendBeforeBody(request, response, answerStatus(answer), answerHeaders(answer), String(answerBody(answer)))
  }

  /** Answers a request whose body may not have been read to the end. */
  private _sendBeforeBody (
    request: IncomingMessage, response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, text: string): void {
    if (request.complete) return this._send(response, status, headers, text)
    response.writeHead(status, { ...headers, 'content-length': String(Buffer.byteLength(text)), connection: 'close' })
    endUnreadRequest(request, response, text)
  }

  private _sendJson (response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}): void {
    this._send(response, status, { 'content-type': 'application/json', ...headers }, JSON.stringify(value))
  }

  private _send (response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, body: Uint8Array | string): void {
    if (response.destroyed) return
    const length = typeof body === 'string' ? Buffer.byteLength(body) : body.byteLength
    if (this._draining) response.setHeader('connection', 'close')
    response.writeHead(status, { ...headers, 'content-length': String(length) })
    response.end(body)
  }
}

function isJobStatus (found: IJobStatus | IFinalAnswer): found is IJobStatus {
  return 'jobId' in found
}

/** How many bytes to reserve for a body: its declared length, or the largest allowed size if it declares none. */
function bytesToReserve (request: IncomingMessage, maxBytes: number): number {
  const declared = request.headers['content-length']
  if (declared !== undefined) return Math.min(Number(declared), maxBytes)
  return request.headers['transfer-encoding'] === undefined ? 0 : maxBytes
}
