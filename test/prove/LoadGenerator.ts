/**
 * Generates the load of callers behind a load balancer: sends a mix of requests, drawn from a seed, to the gateways whose health
 * check passes, and records the answer to each.
 */

import { randomBytes } from 'node:crypto'
import { request } from 'undici'

import { SeededRandom } from '../../src/common/Random.js'
import { CallerClient } from '../support/CallerClient.js'

import type { Cell, ICellProcess } from '../support/Cell.js'
import type { ICall } from '../support/CallerClient.js'
import type { ICallRecord } from './Types.js'

const HEALTH_INTERVAL_MS = 100
const TICK_MS = 5
const MAX_BODY_BYTES = 4096
/** Deadlines are at most a few seconds, so a request without an answer after this time counts as never ended. */
const HANG_LIMIT_MS = 30_000

export interface ILoadOptions {
  readonly perSecond: number
  readonly services: readonly string[]
  readonly deadlineMs: number
  readonly seed: number
  /** The share of requests that are sent again with the same id at a random time, through a random gateway. */
  readonly repeatShare: number
}

export const DEFAULT_LOAD: ILoadOptions = {
  perSecond: 200,
  services: ['chip-lookup', 'pivot-start', 'neighbour-broadcast', 'pivot-stop', 'sector-sweep'],
  deadlineMs: 3000,
  seed: 1,
  repeatShare: 0
}

export class LoadGenerator {
  public readonly records: ICallRecord[] = []
  private readonly _clients = new Map<string, CallerClient>()
  private readonly _random: SeededRandom
  private readonly _openCalls = new Set<Promise<void>>()
  private _healthy: readonly ICellProcess[] = []
  private _healthTimer: NodeJS.Timeout | undefined
  private _sendTimer: NodeJS.Timeout | undefined
  private _requestCount = 0
  private _isStopped = false

  public constructor (private readonly _cell: Cell, private readonly _options: ILoadOptions) {
    this._random = new SeededRandom(_options.seed)
  }

  public async start (): Promise<void> {
    await this._checkHealth()
    this._healthTimer = setInterval(() => { this._checkHealth() }, HEALTH_INTERVAL_MS)
    const startedAtMs = performance.now()
    this._sendTimer = setInterval(() => {
      const due = (performance.now() - startedAtMs) / 1000 * this._options.perSecond
      while (this._requestCount < due) this._sendNext()
    }, TICK_MS)
  }

  /** Stops sending, waits for the open requests, and returns those that never ended. */
  public async finish (): Promise<readonly ICallRecord[]> {
    clearInterval(this._sendTimer)
    this._isStopped = true
    const limit = new Promise<void>((resolve) => setTimeout(resolve, HANG_LIMIT_MS).unref())
    await Promise.race([limit, this._allEnded()])
    clearInterval(this._healthTimer)
    for (const client of this._clients.values()) client.destroy()
    return this.records.filter((record) => record.endedAtMs === undefined)
  }

  private async _allEnded (): Promise<void> {
    while (this._openCalls.size > 0) await Promise.all(this._openCalls)
  }

  private _sendNext (): void {
    this._requestCount += 1
    const service = this._pickRandom(this._options.services)
    const call: ICall = {
      service,
      caller: `caller-${this._requestCount % 7}`,
      requestId: `r-${this._options.seed}-${this._requestCount}`,
      deadlineMs: this._options.deadlineMs,
      contentType: `application/x-${this._requestCount}`,
      body: randomBytes(1 + Math.floor(this._random.next() * MAX_BODY_BYTES))
    }
    this._send(call)
    if (this._random.next() < this._options.repeatShare) {
      setTimeout(() => { if (!this._isStopped) this._send(call) }, this._random.next() * this._options.deadlineMs)
    }
  }

  private _send (call: ICall): void {
    const gateway = this._pickRandom(this._healthy)
    if (gateway === undefined) return
    const record: ICallRecord = { call, gateway: gateway.processId, sentAtMs: performance.now() }
    this.records.push(record)
    const ended = this._clientOf(gateway).send(call)
      .then((reply) => { record.reply = reply }, (error: Error) => { record.broken = error.message })
      .then(() => {
        record.endedAtMs = performance.now()
        this._openCalls.delete(ended)
      })
    this._openCalls.add(ended)
  }

  private _pickRandom<T> (items: readonly T[]): T {
    return items[Math.floor(this._random.next() * items.length)] as T
  }

  private _clientOf (gateway: ICellProcess): CallerClient {
    const known = this._clients.get(gateway.url)
    if (known !== undefined) return known
    const client = new CallerClient(gateway.url, 256)
    this._clients.set(gateway.url, client)
    return client
  }

  private async _checkHealth (): Promise<void> {
    const all = this._cell.processes.filter(({ role }) => role === 'gateway')
    const healthy = await Promise.all(all.map(async (gateway) => await isHealthy(gateway.url)))
    this._healthy = all.filter((_, index) => healthy[index])
  }
}

async function isHealthy (url: string): Promise<boolean> {
  try {
    const answer = await request(`${url}/v1/health`, { headersTimeout: 500 })
    await answer.body.dump()
    return answer.statusCode === 200
  } catch {
    return false
  }
}
