/**
 * Callers' requests over HTTP: jobs handed in, asked for and cancelled, and the number that wait in a queue.
 */

import { createServer } from 'node:http'
import { encodeJob } from '../common/cell/JobRecord.js'
import type { IQueue, SubmitOutcome } from '../common/cell/Types.js'
import type { Counters } from '../common/observability/Counters.js'
import type { LatencyTable } from '../common/observability/LatencyTable.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, ITimers, MonotonicMs } from '../common/Types.js'
import { readBody } from '../runtime/BodyReader.js'
import type { ConfigFeed } from './ConfigFeed.js'
import type { OwnerRoute } from './OwnerRoute.js'
import type { ICallerWire } from './Types.js'

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

export interface ICallerEntryContext {
  readonly wire: ICallerWire
  readonly config: ConfigFeed
  /** There once this process has found its peers; callers are taken before that. */
  readonly route: Promise<OwnerRoute>
  readonly clock: IClock & ITimers
  readonly log: ILogger
  readonly times: LatencyTable
  readonly counters: Counters
}

/** How long a caller waits where it doesn't say so, in ms. */
const DEFAULT_WAIT_MS = 3000
/** Kept back from the caller's time, in ms: an answer has to reach it. */
const ANSWER_MARGIN_MS = 50
/** Connections are kept open while idle for this long, in ms; the platform's callers reuse theirs. */
const KEEP_ALIVE_MS = 30_000
const HEADERS_TIMEOUT_MS = 5000
const MAX_HEADER_BYTES = 32_768
const RETRY_AFTER_MS = 1000
/** How long callers wait for a process that is starting, in ms: several times what it takes to find its peers while the store is well. */
const START_WAIT_MS = 300
/** The last answers of a process that stops have so long to go out, in ms: several round trips to callers. */
const FLUSH_MS = 150
const MS_PER_S = 1000

interface ISubmitCall {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly route: OwnerRoute
  /** When the request was begun here. */
  readonly beganAtMs: MonotonicMs
}

export class CallerEntry {
  private readonly _server: Server
  /** Requests without an answer so far. */
  private readonly _open = new Map<ServerResponse, IncomingMessage>()
  private _isClosing = false
  private _route: OwnerRoute | undefined

  public constructor (private readonly _context: ICallerEntryContext) {
    this._server = createServer({
      keepAliveTimeout: KEEP_ALIVE_MS, headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: HEADERS_TIMEOUT_MS, maxHeaderSize: MAX_HEADER_BYTES
    }, (request, response) => {
      this._serve(request, response).catch((error: unknown) => { this._fail(response, error) })
    })
  }

  public get inFlight (): number {
    return this._open.size
  }

  /** Binds, and gives the base URL with the port that was taken. */
  public async listen (ip: string, port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(port, ip, resolve)
    })
    return `http://${ip}:${(this._server.address() as AddressInfo).port}`
  }

  /** From now on each answer ends its connection, so that callers go elsewhere. */
  public startClosing (): void {
    this._isClosing = true
  }

  /** Takes no more connections, waits for requests in flight, then answers what is left and closes. */
  public async close (graceMs: number): Promise<void> {
    this._isClosing = true
    const givenUp = setTimeout(() => { this._giveUpOpen() }, graceMs)
    const cut = setTimeout(() => { this._server.closeAllConnections() }, graceMs + FLUSH_MS)
    await new Promise<void>((resolve) => {
      this._server.close(() => { resolve() })
      this._server.closeIdleConnections()
    })
    clearTimeout(givenUp)
    clearTimeout(cut)
  }

  /**
   * The process is about to end. A connection that was cut would tell a caller less than an answer does: it would wait for its own
   * timeout, or not know whether it was this process or the network that failed.
   */
  private _giveUpOpen (): void {
    const open = [...this._open]
    if (open.length > 0) this._context.log.warn('caller.givenUp', { requests: open.length })
    for (const [response, { method }] of open) {
      if (method === 'GET') this._refuse(response, 'this process stops', RETRY_AFTER_MS)
      else this._send(response, 504, { error: 'not known whether it is done: this process stops' })
    }
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const beganAtMs = this._context.clock.nowMs()
    this._open.set(response, request)
    response.once('close', () => { this._open.delete(response) })
    const { config } = this._context
    const route = await this._routeSoon()
    if (route === undefined) return this._refuse(response, 'this process is starting', RETRY_AFTER_MS)
    if (config.config === undefined) return this._refuse(response, 'no configuration yet', RETRY_AFTER_MS)
    const path = request.url ?? '/'
    const queue = config.find(hostNameOf(request), path)
    if (queue === undefined) return this._tellNoQueue(request, response, path)
    const jobId = path.slice(queue.pathPrefix.length)
    if (jobId === '' && request.method === 'GET') return await this._tellWaiting(route, response, queue)
    if (!this._context.wire.isJobId(jobId)) return this._send(response, 404, { error: 'no such job' })
    switch (request.method) {
      case 'POST': return await this._submit({ request, response, route, beganAtMs }, queue, jobId)
      case 'GET': return await this._tellState(route, response, jobId)
      case 'DELETE': return await this._cancel(route, response, jobId)
      default: this._send(response, 405, { error: 'POST, GET or DELETE' })
    }
  }

  /** Only a current configuration can tell that a queue does not exist: another process may have one that was just added. */
  private _tellNoQueue (request: IncomingMessage, response: ServerResponse, path: string): void {
    const { config, log } = this._context
    const { isCurrent, version, ageMs } = config
    log.info('caller.noQueue', {
      method: request.method, host: hostNameOf(request), path, isCurrent, configVersion: version, configAgeMs: Math.round(ageMs)
    })
    if (isCurrent) this._send(response, 404, { error: 'no such queue' })
    else this._refuse(response, 'no such queue in a configuration that may be old', RETRY_AFTER_MS)
  }

  /** Absent where this process has not found its peers in time, as when the store is away while it starts. */
  private async _routeSoon (): Promise<OwnerRoute | undefined> {
    const { route, clock } = this._context
    if (this._route !== undefined) return this._route
    const late = new Promise<undefined>((resolve) => { clock.after(START_WAIT_MS, () => { resolve(undefined) }) })
    this._route = await Promise.race([route, late])
    return this._route
  }

  private async _submit ({ request, response, route, beganAtMs }: ISubmitCall, queue: IQueue, jobId: string): Promise<void> {
    const { config, wire, clock, log, times, counters } = this._context
    const configVersion = config.version
    const body = await readBody(request, config.config?.maxBodyBytes ?? 0)
    if (body.isErr()) return this._send(response, body.error.status, { error: body.error.message })
    const job = wire.decodeJob(jobId, body.value)
    if (job.isErr()) return this._send(response, 400, { error: job.error })
    const remainingMs = (wire.remainingMs(request.headers) ?? DEFAULT_WAIT_MS) - ANSWER_MARGIN_MS
    const ageMs = clock.nowMs() - beganAtMs
    const submission = { jobId, queue: queue.name, record: encodeJob(job.value), ageMs, configVersion }
    const outcome = await route.submit(submission, remainingMs - ageMs)
    const durationMs = Math.round(clock.nowMs() - beganAtMs)
    times.record(`submit ${outcome.kind}`, durationMs)
    counters.add('submissions', outcome.kind)
    const reason = outcome.kind === 'accepted' || outcome.kind === 'noQueue' ? undefined : outcome.reason
    log.info('caller.answered', { requestId: jobId, queue: queue.name, outcome: outcome.kind, reason, durationMs, configVersion })
    this._sendSubmitted(response, outcome)
  }

  private _sendSubmitted (response: ServerResponse, outcome: SubmitOutcome): void {
    switch (outcome.kind) {
      case 'accepted': return this._send(response, 200, { state: 'queued' })
      case 'refused': return this._refuse(response, outcome.reason, outcome.retryAfterMs)
      case 'noQueue': return this._send(response, 404, { error: 'no such queue' })
      case 'invalid': return this._send(response, 400, { error: outcome.reason })
      // It may be stored: neither "taken" nor "not taken" would be true.
      case 'inDoubt': return this._send(response, 504, { error: `not known whether it is stored: ${outcome.reason}` })
    }
  }

  private async _tellState (route: OwnerRoute, response: ServerResponse, jobId: string): Promise<void> {
    const outcome = await route.state(jobId)
    this._context.counters.add('states', outcome.kind)
    if (outcome.kind === 'known') return this._sendText(response, 200, this._context.wire.encodePhase(outcome.phase))
    if (outcome.kind === 'unknownJob') return this._send(response, 410, { error: 'no such job' })
    this._context.log.warn('caller.stateUnknown', { requestId: jobId, reason: outcome.reason })
    this._refuse(response, outcome.reason, RETRY_AFTER_MS)
  }

  private async _cancel (route: OwnerRoute, response: ServerResponse, jobId: string): Promise<void> {
    const outcome = await route.cancel(jobId)
    this._context.counters.add('cancels', outcome)
    this._context.log.info('caller.cancelAnswered', { requestId: jobId, outcome })
    switch (outcome) {
      case 'cancelled': return this._send(response, 200, { state: 'cancelled' })
      case 'unknownJob': return this._send(response, 410, { error: 'no such job' })
      case 'unavailable': return this._send(response, 504, { error: 'not known whether it is cancelled' })
    }
  }

  private async _tellWaiting (route: OwnerRoute, response: ServerResponse, queue: IQueue): Promise<void> {
    const count = await route.waiting(queue.name)
    if (count === undefined) return this._refuse(response, 'the owner can\'t be asked', RETRY_AFTER_MS)
    this._sendText(response, 200, this._context.wire.encodeWaiting(count))
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

  private _fail (response: ServerResponse, error: unknown): void {
    this._context.log.error('caller.failed', { reason: error instanceof Error ? error.stack ?? error.message : String(error) })
    this._send(response, 500, { error: 'internal' })
  }
}

/** Without a port; names are compared as they come. */
function hostNameOf (request: IncomingMessage): string {
  const host = request.headers.host ?? ''
  const colon = host.lastIndexOf(':')
  return colon === -1 ? host : host.slice(0, colon)
}
