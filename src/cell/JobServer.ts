/**
 * HTTP server for callers: submits and cancels jobs, and reports the state of a job and the number of jobs that wait in a queue.
 */

import { createServer } from 'node:http'
import { encodeJob } from '../common/cell/JobRecord.js'
import { digestKey } from '../runtime/KeyDigest.js'
import type { AccessRefusal, ICallerAccess, IQueue, SubmitOutcome } from '../common/cell/Types.js'
import { clientBounds } from '../common/requests/ClientLimits.js'
import type { IClientBounds } from '../common/requests/ClientLimits.js'
import type { Counters } from '../common/observability/Counters.js'
import type { LatencyTable } from '../common/observability/LatencyTable.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, ITimers, MonotonicMs } from '../common/Types.js'
import { OVERLOADED_STATUS } from '../runtime/BodyReader.js'
import { ClientGuard, GUARDED_SERVER } from '../runtime/ClientGuard.js'
import type { IBadInput } from '../common/requests/Types.js'
import type { ConfigFeed } from './ConfigFeed.js'
import type { OwnerRoute } from './OwnerRoute.js'
import type { ICallerWire } from './Types.js'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface IJobServerContext {
  readonly wire: ICallerWire
  readonly config: ConfigFeed
  /** Resolves once this process can reach its peers. Requests are accepted before that. */
  readonly route: Promise<OwnerRoute>
  readonly clock: IClock & ITimers
  readonly log: ILogger
  readonly times: LatencyTable
  readonly counters: Counters
  /** What the clients may occupy; if absent, the limits of a small machine. */
  readonly bounds?: IClientBounds
}

/** How long a caller waits if its request doesn't say so, in ms. */
const DEFAULT_WAIT_MS = 3000
/** Part of the caller's time that is reserved for the transfer of the answer, in ms. */
const ANSWER_MARGIN_MS = 50
/** How long an idle connection is kept open, in ms. The platform's callers reuse their connections. */
const KEEP_ALIVE_MS = 30_000
const HEADERS_TIMEOUT_MS = 5000
/** How often connections are checked for requests that don't arrive in time, in ms. */
const CHECK_INTERVAL_MS = 1000
/** How long the transfer of an answer to a caller may take, in ms. */
const ANSWER_TIMEOUT_MS = 5000
const MAX_HEADER_BYTES = 32_768
const RETRY_AFTER_MS = 1000
/** How long a request waits for a process that is starting, in ms: several times what the process takes to find its peers while the store works. */
const STARTUP_WAIT_MS = 300
/** Time for the last answers of a stopping process to be transferred, in ms: several round trips to callers. */
const FLUSH_MS = 150
const MS_PER_S = 1000

/** A request to an existing queue. */
interface ICallerRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly route: OwnerRoute
  readonly access: ICallerAccess
  /** When this process received the request. */
  readonly receivedAtMs: MonotonicMs
}

export class JobServer {
  private readonly _server: Server
  private readonly _guard: ClientGuard
  /** Requests that have not been answered yet. */
  private readonly _openRequests = new Map<ServerResponse, IncomingMessage>()
  private _isClosing = false
  private _route: OwnerRoute | undefined

  public constructor (private readonly _context: IJobServerContext) {
    this._server = createServer({
      ...GUARDED_SERVER,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: HEADERS_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      maxHeaderSize: MAX_HEADER_BYTES
    }, (request, response) => {
      if (!this._guard.admit(request, response, () => { this._openRequests.delete(response) })) return
      this._openRequests.set(response, request)
      this._serve(request, response).catch((error: unknown) => { this._answerInternalError(response, error) })
    })
    this._guard = new ClientGuard(this._server, {
      bounds: _context.bounds ?? clientBounds(), answerTimeoutMs: ANSWER_TIMEOUT_MS, onLimited: (kind) => { this._recordLimited(kind) }
    })
  }

  public get connections (): number {
    return this._guard.connections
  }

  /** The memory of the bodies that are being read, or whose requests are in flight, in bytes. Small ones don't count. */
  public get bodyBytes (): number {
    return this._guard.bodyBytes
  }

  public get inFlight (): number {
    return this._openRequests.size
  }

  /** Starts to listen, and returns the base URL with the actual port. */
  public async listen (ip: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, ip, resolve)
    })
    return `http://${ip}:${(this._server.address() as AddressInfo).port}`
  }

  /** From now on, closes the connection after each answer, so that callers connect to another process. */
  public startClosing (): void {
    this._isClosing = true
  }

  /** Accepts no more connections, waits for the requests in flight, then answers the remaining ones and closes. */
  public async close (graceMs: number): Promise<void> {
    this._isClosing = true
    const giveUpTimer = setTimeout(() => { this._answerOpenRequests() }, graceMs)
    const cutTimer = setTimeout(() => { this._server.closeAllConnections() }, graceMs + FLUSH_MS)
    await new Promise<void>((resolve) => {
      this._server.close(() => { resolve() })
      this._server.closeIdleConnections()
    })
    clearTimeout(giveUpTimer)
    clearTimeout(cutTimer)
  }

  /**
   * Answers the open requests because the process is about to end. If their connections were closed instead, callers would wait for their
   * own timeout, or could not tell a failed process from a failed network.
   */
  private _answerOpenRequests (): void {
    const openRequests = [...this._openRequests]
    if (openRequests.length > 0) this._context.log.warn('caller.givenUp', { requests: openRequests.length })
    for (const [response, { method }] of openRequests) {
      if (method === 'GET') this._refuse(response, 'this process is stopping', RETRY_AFTER_MS)
      else this._send(response, 504, { error: 'it is not known whether the request was carried out: this process is stopping' })
    }
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAtMs = this._context.clock.nowMs()
    const { config } = this._context
    const route = await this._awaitRoute()
    if (route === undefined) return this._refuse(response, 'this process is starting', RETRY_AFTER_MS)
    if (config.config === undefined) return this._refuse(response, 'this process has no configuration yet', RETRY_AFTER_MS)
    const path = request.url ?? '/'
    const queue = config.findQueue(hostNameOf(request), path)
    if (queue === undefined) return this._answerNoQueue(request, response, path)
    const access = this._accessOf(request, queue)
    if (this._isKeyUnknown(queue, access)) return this._answerUnauthorized(response, queue.name)
    const jobId = path.slice(queue.pathPrefix.length)
    const call: ICallerRequest = { request, response, route, access, receivedAtMs }
    if (jobId === '' && request.method === 'GET') return await this._answerWaiting(call)
    if (!this._context.wire.isJobId(jobId)) return this._send(response, 404, { error: 'no such job' })
    switch (request.method) {
      case 'POST': return await this._submit(call, jobId)
      case 'GET': return await this._answerState(call, jobId)
      case 'DELETE': return await this._cancel(call, jobId)
      default: this._send(response, 405, { error: 'the method must be POST, GET or DELETE' })
    }
  }

  private _accessOf (request: IncomingMessage, queue: IQueue): ICallerAccess {
    const { config, wire } = this._context
    return { queue: queue.name, keyDigest: queue.isPublic ? '' : digestKey(wire.key(request.headers)), configVersion: config.version }
  }

  /** Whether no workspace has the caller's key. If the configuration may be old, the owner decides. */
  private _isKeyUnknown (queue: IQueue, { keyDigest }: ICallerAccess): boolean {
    const { config } = this._context
    return !queue.isPublic && config.isCurrent && config.workspaceOf(keyDigest) === undefined
  }

  private _answerUnauthorized (response: ServerResponse, queue: string): void {
    const { config, log, counters } = this._context
    counters.add('callers_refused', 'unauthorized')
    log.info('caller.unauthorized', { queue, configVersion: config.version, configAgeMs: Math.round(config.ageMs) })
    this._send(response, 401, { error: 'no workspace has this key' })
  }

  private _answerAccessRefusal (response: ServerResponse, { kind }: AccessRefusal, queue: string): void {
    if (kind === 'unauthorized') return this._answerUnauthorized(response, queue)
    this._send(response, 404, { error: 'no such queue' })
  }

  /** Answers that the queue does not exist only if the configuration is current. Otherwise another process may know a queue that was just added. */
  private _answerNoQueue (request: IncomingMessage, response: ServerResponse, path: string): void {
    const { config, log } = this._context
    const { isCurrent, version, ageMs } = config
    log.info('caller.noQueue', {
      method: request.method, host: hostNameOf(request), path, isCurrent, configVersion: version, configAgeMs: Math.round(ageMs)
    })
    if (isCurrent) this._send(response, 404, { error: 'no such queue' })
    else this._refuse(response, 'no such queue in a configuration that may be old', RETRY_AFTER_MS)
  }

  /** Undefined if this process does not find its peers in time, for example because the store is unavailable while it starts. */
  private async _awaitRoute (): Promise<OwnerRoute | undefined> {
    const { route, clock } = this._context
    if (this._route !== undefined) return this._route
    const timeout = new Promise<undefined>((resolve) => { clock.after(STARTUP_WAIT_MS, () => { resolve(undefined) }) })
    this._route = await Promise.race([route, timeout])
    return this._route
  }

  private async _submit ({ request, response, route, access, receivedAtMs }: ICallerRequest, jobId: string): Promise<void> {
    const { config, wire, clock, log, times, counters } = this._context
    const body = await this._guard.bodies.read(request, config.config?.maxBodyBytes ?? 0)
    if (body.isErr()) return this._refuseBody(response, body.error)
    const job = wire.decodeJob(jobId, body.value)
    if (job.isErr()) return this._send(response, 400, { error: job.error })
    const remainingMs = (wire.remainingMs(request.headers) ?? DEFAULT_WAIT_MS) - ANSWER_MARGIN_MS
    const ageMs = clock.nowMs() - receivedAtMs
    const submission = { jobId, record: encodeJob(job.value), ageMs, ...access }
    const outcome = await route.submit(submission, remainingMs - ageMs)
    const durationMs = Math.round(clock.nowMs() - receivedAtMs)
    times.record(`submit ${outcome.kind}`, durationMs)
    counters.add('submissions', outcome.kind)
    const reason = 'reason' in outcome ? outcome.reason : undefined
    log.info('caller.answered', { requestId: jobId, queue: access.queue, outcome: outcome.kind, reason, durationMs, configVersion: access.configVersion })
    this._sendSubmitOutcome(response, outcome, access.queue)
  }

  private _refuseBody (response: ServerResponse, { status, message }: IBadInput): void {
    if (status !== OVERLOADED_STATUS) return this._send(response, status, { error: message })
    this._recordLimited('bodies')
    response.setHeader('connection', 'close')
    this._refuse(response, message, RETRY_AFTER_MS)
  }

  private _recordLimited (kind: string): void {
    const { counters, log } = this._context
    counters.add('clients_limited', `callers ${kind}`)
    log.warn('client.limited', { listener: 'callers', kind, connections: this.connections, inFlight: this.inFlight, bodyBytes: this.bodyBytes })
  }

  private _sendSubmitOutcome (response: ServerResponse, outcome: SubmitOutcome, queue: string): void {
    switch (outcome.kind) {
      case 'accepted': return this._send(response, 200, { state: 'queued' })
      case 'refused': return this._refuse(response, outcome.reason, outcome.retryAfterMs)
      case 'noQueue': case 'unauthorized': return this._answerAccessRefusal(response, outcome, queue)
      case 'invalid': return this._send(response, 400, { error: outcome.reason })
      // The job may be stored, so neither "accepted" nor "not accepted" would be correct.
      case 'inDoubt': return this._send(response, 504, { error: `it is not known whether the job is stored: ${outcome.reason}` })
    }
  }

  private async _answerState ({ route, response, access }: ICallerRequest, jobId: string): Promise<void> {
    const outcome = await route.state(jobId, access)
    this._context.counters.add('states', outcome.kind)
    if (outcome.kind === 'known') return this._sendText(response, 200, this._context.wire.encodePhase(outcome.phase))
    if (outcome.kind === 'unknownJob') return this._send(response, 410, { error: 'no such job' })
    if (outcome.kind !== 'unavailable') return this._answerAccessRefusal(response, outcome, access.queue)
    this._context.log.warn('caller.stateUnknown', { requestId: jobId, reason: outcome.reason })
    this._refuse(response, outcome.reason, RETRY_AFTER_MS)
  }

  private async _cancel ({ route, response, access }: ICallerRequest, jobId: string): Promise<void> {
    const outcome = await route.cancel(jobId, access)
    this._context.counters.add('cancels', outcome)
    this._context.log.info('caller.cancelAnswered', { requestId: jobId, outcome })
    switch (outcome) {
      case 'cancelled': return this._send(response, 200, { state: 'cancelled' })
      case 'unknownJob': return this._send(response, 410, { error: 'no such job' })
      case 'unavailable': return this._send(response, 504, { error: 'it is not known whether the job is cancelled' })
      case 'noQueue': case 'unauthorized': return this._answerAccessRefusal(response, { kind: outcome }, access.queue)
    }
  }

  private async _answerWaiting ({ route, response, access }: ICallerRequest): Promise<void> {
    const outcome = await route.waiting(access)
    if (outcome.kind === 'unavailable') return this._refuse(response, 'the owner can\'t be reached', RETRY_AFTER_MS)
    if (outcome.kind !== 'counted') return this._answerAccessRefusal(response, outcome, access.queue)
    this._sendText(response, 200, this._context.wire.encodeWaiting(outcome.count))
  }

  private _refuse (response: ServerResponse, reason: string, retryAfterMs: number): void {
    response.setHeader('retry-after', String(Math.ceil(retryAfterMs / MS_PER_S)))
    this._send(response, 503, { error: reason })
  }

  private _send (response: ServerResponse, status: number, value: Readonly<Record<string, string>>): void {
    this._sendText(response, status, JSON.stringify(value))
  }

  private _sendText (response: ServerResponse, status: number, body: string): void {
    if (response.destroyed || response.headersSent) return
    if (this._isClosing) response.setHeader('connection', 'close')
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
    response.end(body)
  }

  private _answerInternalError (response: ServerResponse, error: unknown): void {
    this._context.log.error('caller.failed', { reason: error instanceof Error ? error.stack ?? error.message : String(error) })
    this._send(response, 500, { error: 'internal' })
  }
}

/** Returns the host name without the port, and does not normalise it. */
function hostNameOf (request: IncomingMessage): string {
  const host = request.headers.host ?? ''
  const colon = host.lastIndexOf(':')
  return colon === -1 ? host : host.slice(0, colon)
}
