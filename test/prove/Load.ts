/**
 * Callers behind a balancer: sends a mix of requests from a seed to gateways whose health check passes, and keeps what
 * each caller saw.
 */

import { randomBytes } from 'node:crypto'
import { request } from 'undici'

import { SeededRandom } from '../../src/common/Random.js'
import { CallerClient } from '../support/CallerClient.js'

import type { Cell, ICellProcess } from '../support/Cell.js'
import type { ICall } from '../support/CallerClient.js'
import type { ICallRecord } from './Types.js'

const HEALTH_MS = 100
const TICK_MS = 5
const MAX_BODY_BYTES = 4096
/** A caller's deadline is at most a few seconds, so an answer later than this never comes. */
const HANG_LIMIT_MS = 30_000

export interface ILoadOptions {
  readonly perSecond: number
  readonly services: readonly string[]
  readonly deadlineMs: number
  readonly seed: number
  /** The share of requests that are sent again with the same id, through another gateway, at a random time. */
  readonly repeatShare: number
}

export const DEFAULT_LOAD: ILoadOptions = {
  perSecond: 200,
  services: ['chip-lookup', 'pivot-start', 'neighbour-broadcast', 'pivot-stop', 'sector-sweep'],
  deadlineMs: 3000,
  seed: 1,
  repeatShare: 0
}

export class Load {
  public readonly records: ICallRecord[] = []
  private readonly _clients = new Map<string, CallerClient>()
  private readonly _random: SeededRandom
  private readonly _open = new Set<Promise<void>>()
  private _healthy: readonly ICellProcess[] = []
  private _health: NodeJS.Timeout | undefined
  private _ticker: NodeJS.Timeout | undefined
  private _number = 0
  private _stopped = false

  public constructor (private readonly _cell: Cell, private readonly _options: ILoadOptions) {
    this._random = new SeededRandom(_options.seed)
  }

  public async start (): Promise<void> {
    await this._checkHealth()
    this._health = setInterval(() => { this._checkHealth() }, HEALTH_MS)
    const startedAtMs = performance.now()
    this._ticker = setInterval(() => {
      const due = (performance.now() - startedAtMs) / 1000 * this._options.perSecond
      while (this._number < due) this._next()
    }, TICK_MS)
  }

  /** Stops sending, waits for every open request, and says which never ended. */
  public async finish (): Promise<readonly ICallRecord[]> {
    clearInterval(this._ticker)
    this._stopped = true
    const limit = new Promise<void>((resolve) => setTimeout(resolve, HANG_LIMIT_MS).unref())
    await Promise.race([limit, this._allEnded()])
    clearInterval(this._health)
    for (const client of this._clients.values()) client.destroy()
    return this.records.filter((record) => record.endedAtMs === undefined)
  }

  private async _allEnded (): Promise<void> {
    while (this._open.size > 0) await Promise.all(this._open)
  }

  private _next (): void {
    this._number += 1
    const service = this._pick(this._options.services)
    const call: ICall = {
      service,
      caller: `caller-${this._number % 7}`,
      requestId: `r-${this._options.seed}-${this._number}`,
      deadlineMs: this._options.deadlineMs,
      contentType: `application/x-${this._number}`,
      body: randomBytes(1 + Math.floor(this._random.next() * MAX_BODY_BYTES))
    }
    this._send(call)
    if (this._random.next() < this._options.repeatShare) {
      setTimeout(() => { if (!this._stopped) this._send(call) }, this._random.next() * this._options.deadlineMs)
    }
  }

  private _send (call: ICall): void {
    const gateway = this._pick(this._healthy)
    if (gateway === undefined) return
    const record: ICallRecord = { call, gateway: gateway.processId, sentAtMs: performance.now() }
    this.records.push(record)
    const ended = this._client(gateway).send(call)
      .then((reply) => { record.reply = reply }, (error: Error) => { record.broken = error.message })
      .then(() => {
        record.endedAtMs = performance.now()
        this._open.delete(ended)
      })
    this._open.add(ended)
  }

  private _pick<T> (items: readonly T[]): T {
    return items[Math.floor(this._random.next() * items.length)] as T
  }

  private _client (gateway: ICellProcess): CallerClient {
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
