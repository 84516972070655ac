/**
 * Stands in for a runner: runs calls in its slots, refuses older epochs and records the calls. By its switches it fails calls,
 * cuts answers short, or doesn't answer.
 */

import { createHash } from 'node:crypto'

import { SeededRandom } from '../../src/common/Random.js'
import { dropConnection, readJson, sendJson } from './StandInServer.js'

import type { IExchange, IStandIn } from './StandInServer.js'

export interface IRunnerStandInOptions {
  readonly hostId: string
  readonly slots: number
  readonly maxConnections: number
  readonly seed: number
  /** The most calls that are recorded; later calls are only counted. */
  readonly maxRecords: number
}

/** How the calls of a service behave; set by `POST /control` with `{ "services": { "name": … } }`, where `*` means all others. */
export interface IServiceBehaviour {
  readonly runMs?: number
  /** The share of calls that are answered 500 after they ran. */
  readonly failRate?: number
  /** The share of calls whose answer ends before its declared length. */
  readonly cutRate?: number
  /** The share of calls that run and are never answered. */
  readonly hangRate?: number
  /** Calls are answered with this many bytes instead of the echo of their body. */
  readonly answerBytes?: number
}

interface IRunRecord {
  readonly attemptId: string
  readonly requestId: string
  readonly caller: string
  readonly service: string
  readonly shardId: string
  readonly bodyHash: string
  readonly bodyBytes: number
  readonly startedAt: number
  endedAt?: number
  end?: string
}

export class RunnerStandIn implements IStandIn {
  private readonly _epochs = new Map<string, number>()
  private readonly _running = new Map<string, IRunRecord>()
  private readonly _records: IRunRecord[] = []
  private readonly _count = {
    started: 0, ended: 0, refusedSlot: 0, refusedLeaving: 0, refusedFenced: 0, overConnections: 0, mostConnections: 0, mostRunning: 0
  }

  private readonly _random: SeededRandom
  private _services: Readonly<Record<string, IServiceBehaviour>> = {}
  private _switches = { leaving: false, failEverything: false, hang: false, reset: false }
  private _connections = 0

  public constructor (private readonly _options: IRunnerStandInOptions) {
    this._random = new SeededRandom(_options.seed)
  }

  public control (settings: Readonly<Record<string, unknown>>): void {
    const { services, ...switches } = settings as { services?: Record<string, IServiceBehaviour> }
    this._services = { ...this._services, ...services }
    this._switches = { ...this._switches, ...switches }
  }

  public dump (): unknown {
    return {
      ...this._status(),
      ...this._count,
      hostId: this._options.hostId,
      connections: this._connections,
      switches: this._switches,
      epochs: Object.fromEntries(this._epochs),
      services: this._services,
      records: this._records
    }
  }

  public onConnectionCountChange (count: number): void {
    if (count > this._connections && count > this._options.maxConnections) this._count.overConnections += 1
    this._connections = count
    this._count.mostConnections = Math.max(this._count.mostConnections, count)
  }

  public handle (exchange: IExchange): void {
    if (this._switches.hang) return
    if (this._switches.reset) dropConnection(exchange)
    else if (exchange.path.startsWith('/run/')) this._run(exchange)
    else if (exchange.path === '/fence') this._fence(exchange)
    else if (exchange.path === '/status') sendJson(exchange, 200, this._status())
    else sendJson(exchange, 404, { error: 'no such call' })
  }

  private _status (): object {
    return {
      slots: this._options.slots, slotsInUse: this._running.size, leaving: this._switches.leaving, attemptIds: [...this._running.keys()]
    }
  }

  private _fence (exchange: IExchange): void {
    const call = readJson<{ shardId: string, epoch: number }>(exchange)
    if (this._acceptEpoch(call.shardId, call.epoch)) sendJson(exchange, 200, this._status())
    else this._refuseFenced(exchange, call.shardId)
  }

  private _acceptEpoch (shardId: string, epoch: number): boolean {
    const current = this._epochs.get(shardId) ?? 0
    if (epoch < current) return false
    this._epochs.set(shardId, epoch)
    return true
  }

  private _refuseFenced (exchange: IExchange, shardId: string): void {
    this._count.refusedFenced += 1
    sendJson(exchange, 409, {}, { 'x-refused': 'fenced', 'x-current-epoch': String(this._epochs.get(shardId)) })
  }

  private _run (exchange: IExchange): void {
    const header = (name: string): string => String(exchange.headers[name] ?? '')
    const shardId = header('x-shard-id')
    if (!this._acceptEpoch(shardId, Number(header('x-epoch')))) return this._refuseFenced(exchange, shardId)
    if (this._switches.leaving) {
      this._count.refusedLeaving += 1
      return sendJson(exchange, 503, {}, { 'x-refused': 'leaving' })
    }
    if (this._running.size >= this._options.slots) {
      this._count.refusedSlot += 1
      return sendJson(exchange, 503, {}, { 'x-refused': 'noSlot' })
    }
    const service = decodeURIComponent(exchange.path.slice('/run/'.length))
    this._start(exchange, {
      attemptId: header('x-attempt-id'),
      requestId: decodeURIComponent(header('x-request-id')),
      caller: decodeURIComponent(header('x-caller')),
      service,
      shardId,
      bodyHash: createHash('sha1').update(exchange.body).digest('hex'),
      bodyBytes: exchange.body.length,
      startedAt: Date.now()
    })
  }

  private _start (exchange: IExchange, record: IRunRecord): void {
    this._running.set(record.attemptId, record)
    if (this._records.length < this._options.maxRecords) this._records.push(record)
    this._count.started += 1
    this._count.mostRunning = Math.max(this._count.mostRunning, this._running.size)
    const behaviour = this._services[record.service] ?? this._services['*'] ?? {}
    const runMs = behaviour.runMs ?? 0
    if (runMs > 0) setTimeout(() => { this._finish(exchange, record, behaviour) }, runMs)
    else this._finish(exchange, record, behaviour)
  }

  private _finish (exchange: IExchange, record: IRunRecord, behaviour: IServiceBehaviour): void {
    this._running.delete(record.attemptId)
    this._count.ended += 1
    record.endedAt = Date.now()
    record.end = this._drawEnd(behaviour)
    if (record.end === 'failed') sendJson(exchange, 500, { error: 'the service failed' })
    else if (record.end === 'answered') this._answer(exchange, behaviour)
    else if (record.end === 'cut') this._cutAnswer(exchange)
  }

  private _drawEnd (behaviour: IServiceBehaviour): string {
    if (this._switches.failEverything || this._random.next() < (behaviour.failRate ?? 0)) return 'failed'
    if (this._random.next() < (behaviour.cutRate ?? 0)) return 'cut'
    if (this._random.next() < (behaviour.hangRate ?? 0)) return 'hung'
    return 'answered'
  }

  private _answer (exchange: IExchange, behaviour: IServiceBehaviour): void {
    const body = behaviour.answerBytes === undefined ? exchange.body : Buffer.alloc(behaviour.answerBytes, 'x')
    const contentType = String(exchange.headers['content-type'] ?? 'application/octet-stream')
    exchange.response.writeHead(200, { 'content-type': contentType, 'content-length': body.length })
    exchange.response.end(body)
  }

  private _cutAnswer (exchange: IExchange): void {
    exchange.response.writeHead(200, { 'content-length': exchange.body.length + 1 })
    exchange.response.write(exchange.body, () => { dropConnection(exchange) })
    exchange.response.flushHeaders()
  }
}
