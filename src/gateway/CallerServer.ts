/**
 * The callers' side of a gateway: requests, jobs and the health check over HTTP, by moleculer-web.
 */

import ApiGateway from 'moleculer-web'
import { answerBody, answerHeaders, answerStatus, HEADER_OUTCOME, HEADER_REASON } from '../common/requests/AnswerHeaders.js'
import { parseName, parseRequestHead } from '../common/requests/RequestParser.js'
import { InFlightLimit } from '../common/requests/InFlightLimit.js'
import { HttpListener } from '../runtime/HttpListener.js'
import { readBody } from '../runtime/BodyReader.js'
import { lingeringEnd } from './lingeringEnd.js'
import { parseJob } from './JobFlow.js'
import { route } from './RouteRequest.js'

import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import type { ServiceBroker, ServiceSchema } from 'moleculer'
import type { IBadInput } from '../common/requests/Types.js'
import type { IConfigReplica } from '../common/config/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IJobStatus } from '../common/protocol/Types.js'
import type { IClock, IFinalAnswer } from '../common/Types.js'
import type { ICallerSettings, ILimitSettings } from '../runtime/settings/Types.js'
import type { JobFlow } from './JobFlow.js'
import type { RequestFlow } from './RequestFlow.js'
import type { IOutcomeSink } from './Types.js'

const MAX_JOB_BYTES = 1024 * 1024
const OVERLOADED_RETRY_MS = 500

/** What moleculer-web adds to a request. */
interface IApiRequest extends IncomingMessage {
  readonly $params: Readonly<Record<string, string>>
}

export interface ICallerServerContext {
  readonly broker: ServiceBroker
  readonly settings: ICallerSettings
  readonly limits: ILimitSettings
  readonly requests: RequestFlow
  readonly jobs: JobFlow
  readonly config: IConfigReplica
  readonly outcomes: IOutcomeSink
  readonly clock: IClock
  readonly log: ILogger
  /** Whether this gateway can serve: it knows the configuration and a scheduler. */
  readonly isReady: () => boolean
}

export class CallerServer {
  private readonly _listener: HttpListener
  private readonly _limit: InFlightLimit
  private _draining = false

  public constructor (private readonly _context: ICallerServerContext) {
    this._limit = new InFlightLimit(_context.limits)
    const service = _context.broker.createService(this._schema()) as unknown as { readonly httpHandler: RequestListener }
    this._listener = new HttpListener({ ..._context.limits, requestTimeoutMs: _context.settings.requestTimeoutMs }, service.httpHandler)
  }

  public get inFlight (): number {
    return this._limit.count
  }

  /** Binds the address of the settings; gives the base URL. */
  public async listen (): Promise<string> {
    const url = await this._listener.listen(this._context.settings.listen)
    if (url.isErr()) throw url.error
    return url.value
  }

  /** From now on the health check fails and answers close their connections; requests are still taken. */
  public startDraining (): void {
    this._draining = true
  }

  /**
   * Refuses new connections and waits until every request in flight has its answer, or `graceMs` has passed.
   *
   * Called some time after `startDraining`, when the balancer has seen the health check fail: refusing connections
   * earlier would cut off callers that it still sends here.
   */
  public async close (graceMs: number): Promise<void> {
    await this._listener.close(graceMs)
  }

  private _schema (): ServiceSchema {
    return {
      name: 'callers',
      mixins: [ApiGateway as unknown as ServiceSchema],
      settings: {
        // The listener is ours; moleculer-web routes and answers.
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
            'GET health': (_request: IApiRequest, response: ServerResponse) => this._health(response),
            'POST requests/:service': (request: IApiRequest, response: ServerResponse) => this._limited(request, response, () => this._request(request, response)),
            'POST jobs': (request: IApiRequest, response: ServerResponse) => this._limited(request, response, () => this._submitJob(request, response)),
            'GET jobs/:jobId': (request: IApiRequest, response: ServerResponse) => this._limited(request, response, () => this._job(request, response, 'status')),
            'DELETE jobs/:jobId': (request: IApiRequest, response: ServerResponse) => this._limited(request, response, () => this._job(request, response, 'cancel'))
          }
        }]
      }
    }
  }

  /** Refuses at once what goes over the bounds, before its body is read. */
  private async _limited (request: IApiRequest, response: ServerResponse, serve: () => Promise<void>): Promise<void> {
    const room = this._limit.take(declaredBytes(request, this._context.settings.maxBodyBytes))
    if (room.isErr()) {
      const detail = `too many ${room.error} in flight`
      this._sendUnread(request, response, { outcome: 'refused', reason: 'overloaded', detail, retryAfterMs: OVERLOADED_RETRY_MS })
      return
    }
    try {
      await serve()
    } finally {
      room.value()
    }
  }

  private _health (response: ServerResponse): void {
    const healthy = !this._draining && this._context.isReady()
    this._sendJson(response, healthy ? 200 : 503, { healthy, draining: this._draining })
  }

  private async _request (request: IApiRequest, response: ServerResponse): Promise<void> {
    const arrivedAtMs = this._context.clock.nowMs()
    const head = parseRequestHead(request.$params.service ?? '', request.headers)
    if (head.isErr()) return this._sendBadInput(request, response, head.error)
    const body = await readBody(request, this._context.settings.maxBodyBytes)
    if (body.isErr()) return this._sendBadInput(request, response, body.error)
    const routed = route(head.value, body.value, this._context.config, arrivedAtMs)
    if (routed.isErr()) return this._sendBadInput(request, response, routed.error)
    const gone = new AbortController()
    response.once('close', () => gone.abort())
    const answer = await this._context.requests.run(routed.value, gone.signal)
    const late = this._context.clock.nowMs() > routed.value.deadlineAtMs
    this._context.outcomes.noteOutcome(head.value.service, head.value.caller, answer, late)
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

  private async _job (request: IApiRequest, response: ServerResponse, what: 'status' | 'cancel'): Promise<void> {
    const jobId = parseName(request.$params.jobId, 'jobId')
    if (jobId.isErr()) return this._sendBadInput(request, response, jobId.error)
    const found = await this._context.jobs[what](jobId.value)
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
    this._endUnread(request, response, fault.status, { 'content-type': 'application/json', [HEADER_OUTCOME]: 'refused', [HEADER_REASON]: 'badInput' }, text)
  }

  private _sendUnread (request: IncomingMessage, response: ServerResponse, answer: IFinalAnswer): void {
    this._endUnread(request, response, answerStatus(answer), answerHeaders(answer), String(answerBody(answer)))
  }

  /** Answers a request whose body may not have been read. */
  private _endUnread (
    request: IncomingMessage, response: ServerResponse, status: number, headers: Readonly<Record<string, string>>, text: string): void {
    if (request.complete) return this._send(response, status, headers, text)
    response.writeHead(status, { ...headers, 'content-length': String(Buffer.byteLength(text)), connection: 'close' })
    lingeringEnd(request, response, text)
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

/** What a body may take: its declared length, or the largest allowed when it declares none. */
function declaredBytes (request: IncomingMessage, maxBytes: number): number {
  const declared = request.headers['content-length']
  if (declared !== undefined) return Math.min(Number(declared), maxBytes)
  return request.headers['transfer-encoding'] === undefined ? 0 : maxBytes
}
