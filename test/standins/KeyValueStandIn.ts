/**
 * Stands in for the platform's key-value service: compare-and-swap by revision, leases, watches by long poll, a
 * counted call budget, and switches for outage, slowness and answers lost after the change took effect.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { drop, readJson, sendJson } from './StandInServer.js'

import type { IExchange, IStandIn } from './StandInServer.js'

interface IRecord { readonly key: string, readonly value: string, readonly modRevision: number, readonly leaseId?: string | undefined }
interface IChange { readonly key: string, readonly value: string, readonly modRevision: number, readonly deleted: boolean }
interface ILease { readonly ttlMs: number, lapsesAtMs: number }
interface IWaitingWatch { readonly exchange: IExchange, readonly prefix: string, readonly afterRevision: number, readonly timer: NodeJS.Timeout }

export interface IKeyValueSwitches {
  /** `refuse` closes the listener, `reset` cuts each call, `hang` answers none. */
  outage: 'none' | 'refuse' | 'reset' | 'hang'
  slowMs: number
  /** The share of writes that take effect and are not answered. */
  loseAnswers: number
  /** Lets leases lapse in an outage; otherwise they get their whole time after it. */
  leasesLapseInOutage: boolean
  /** Calls a second, 0 for no limit; beyond it 429. */
  readsPerSecond: number
  writesPerSecond: number
  /** Changes that a watch can be given after the fact. */
  historyLength: number
  seed: number
}

const MAX_VALUE_BYTES = 1024 * 1024
const SWEEP_MS = 10
const WRITES = new Set(['/kv/cas', '/lease/grant', '/lease/keepalive', '/lease/revoke'])

export class KeyValueStandIn implements IStandIn {
  /** What the outage switch does to the listener; set by whoever runs the server. */
  public onOutage: (outage: IKeyValueSwitches['outage']) => void = () => {}

  private readonly _switches: IKeyValueSwitches = {
    outage: 'none', slowMs: 0, loseAnswers: 0, leasesLapseInOutage: false, readsPerSecond: 0, writesPerSecond: 0, historyLength: 10_000, seed: 1
  }

  private readonly _records = new Map<string, IRecord>()
  private readonly _leases = new Map<string, ILease>()
  private readonly _watches = new Set<IWaitingWatch>()
  private readonly _sweep = setInterval(() => { this._lapseLeases() }, SWEEP_MS)
  private readonly _count = { reads: 0, writes: 0, watches: 0, refused: 0, lost: 0, mostWaitingWatches: 0 }
  private readonly _second = { startedAtMs: 0, reads: 0, writes: 0 }
  private _history: IChange[] = []
  private _forgottenRevision = 0
  private _revision = 0
  private _leaseNumber = 0
  private _random = new SeededRandom(1)

  public control (settings: Readonly<Record<string, unknown>>): void {
    const before = this._switches.outage
    Object.assign(this._switches, settings)
    if (settings['seed'] !== undefined) this._random = new SeededRandom(this._switches.seed)
    this._trimHistory()
    if (this._switches.outage === before) return
    if (this._switches.outage === 'none' && !this._switches.leasesLapseInOutage) this._renewAll()
    this.onOutage(this._switches.outage)
  }

  public dump (): unknown {
    return {
      revision: this._revision,
      records: [...this._records.values()],
      leases: [...this._leases].map(([leaseId, lease]) => ({ leaseId, ...lease })),
      waitingWatches: this._watches.size,
      calls: this._count,
      switches: this._switches
    }
  }

  public close (): void {
    clearInterval(this._sweep)
    for (const watch of this._watches) clearTimeout(watch.timer)
  }

  public handle (exchange: IExchange): void {
    if (this._switches.outage === 'reset' || this._switches.outage === 'refuse') drop(exchange)
    else if (this._switches.slowMs > 0 && this._switches.outage === 'none') setTimeout(() => { this._serve(exchange) }, this._switches.slowMs)
    else if (this._switches.outage === 'none') this._serve(exchange)
  }

  private _serve (exchange: IExchange): void {
    const write = WRITES.has(exchange.path)
    if (!this._withinRate(write ? 'writes' : 'reads')) {
      this._count.refused += 1
      sendJson(exchange, 429, { error: 'too many calls' })
      return
    }
    if (write && this._random.next() < this._switches.loseAnswers) {
      this._count.lost += 1
      this._perform({ ...exchange, response: LOST })
      drop(exchange)
      return
    }
    this._perform(exchange)
  }

  private _withinRate (kind: 'reads' | 'writes'): boolean {
    const nowMs = performance.now()
    if (nowMs - this._second.startedAtMs >= 1000) Object.assign(this._second, { startedAtMs: nowMs, reads: 0, writes: 0 })
    this._count[kind] += 1
    this._second[kind] += 1
    const limit = kind === 'reads' ? this._switches.readsPerSecond : this._switches.writesPerSecond
    return limit === 0 || this._second[kind] <= limit
  }

  private _perform (exchange: IExchange): void {
    const ask = readJson<Record<string, string>>(exchange)
    switch (exchange.path) {
      case '/kv/get': sendJson(exchange, 200, { record: this._records.get(ask['key'] ?? '') }); break
      case '/kv/range': sendJson(exchange, 200, this._range(ask['prefix'] ?? '')); break
      case '/kv/cas': this._compareAndSwap(exchange); break
      case '/kv/watch': this._watch(exchange); break
      case '/lease/grant': sendJson(exchange, 200, { leaseId: this._grant(Number(ask['ttlMs'])) }); break
      case '/lease/keepalive': this._keepAlive(exchange, ask['leaseId'] ?? ''); break
      case '/lease/revoke': this._lapse(ask['leaseId'] ?? ''); sendJson(exchange, 200, {}); break
      default: sendJson(exchange, 404, { error: 'no such call' })
    }
  }

  private _range (prefix: string): unknown {
    const records = [...this._records.values()].filter((record) => record.key.startsWith(prefix))
    return { records: records.sort((a, b) => a.key < b.key ? -1 : 1), revision: this._revision }
  }

  private _compareAndSwap (exchange: IExchange): void {
    const ask = readJson<{ key: string, expectedModRevision: number, value?: string, leaseId?: string }>(exchange)
    const current = this._records.get(ask.key)?.modRevision ?? 0
    if (ask.value !== undefined && Buffer.byteLength(ask.value) > MAX_VALUE_BYTES) return sendJson(exchange, 413, { error: 'value too large' })
    if (ask.leaseId !== undefined && !this._leases.has(ask.leaseId)) return sendJson(exchange, 404, { error: 'no such lease' })
    if (current !== ask.expectedModRevision) return sendJson(exchange, 409, { currentModRevision: current })
    this._write(ask.key, ask.value, ask.leaseId)
    sendJson(exchange, 200, { modRevision: this._revision })
  }

  private _write (key: string, value: string | undefined, leaseId?: string): void {
    if (value === undefined && !this._records.has(key)) return
    this._revision += 1
    const change = { key, value: value ?? '', modRevision: this._revision, deleted: value === undefined }
    if (value === undefined) this._records.delete(key)
    else this._records.set(key, { key, value, modRevision: this._revision, leaseId })
    this._history.push(change)
    this._trimHistory()
    for (const watch of this._watches) {
      if (key.startsWith(watch.prefix)) this._answerWatch(watch)
    }
  }

  private _trimHistory (): void {
    if (this._history.length <= 2 * this._switches.historyLength) return
    const gone = this._history.splice(0, this._history.length - this._switches.historyLength)
    this._forgottenRevision = gone.at(-1)?.modRevision ?? this._forgottenRevision
  }

  private _watch (exchange: IExchange): void {
    const ask = readJson<{ prefix: string, afterRevision: number, waitMs: number }>(exchange)
    this._count.watches += 1
    if (ask.afterRevision < this._forgottenRevision) return sendJson(exchange, 410, { error: 'history is gone' })
    const timer = setTimeout(() => { this._answerWatch(watch) }, ask.waitMs)
    const watch: IWaitingWatch = { exchange, prefix: ask.prefix, afterRevision: ask.afterRevision, timer }
    this._watches.add(watch)
    this._count.mostWaitingWatches = Math.max(this._count.mostWaitingWatches, this._watches.size)
    exchange.response.on('close', () => { this._endWatch(watch) })
    if (this._changes(watch).length > 0) this._answerWatch(watch)
  }

  private _changes (watch: IWaitingWatch): readonly IChange[] {
    return this._history.filter((change) => change.modRevision > watch.afterRevision && change.key.startsWith(watch.prefix))
  }

  private _answerWatch (watch: IWaitingWatch): void {
    this._endWatch(watch)
    sendJson(watch.exchange, 200, { changes: this._changes(watch), revision: this._revision })
  }

  private _endWatch (watch: IWaitingWatch): void {
    clearTimeout(watch.timer)
    this._watches.delete(watch)
  }

  private _grant (ttlMs: number): string {
    this._leaseNumber += 1
    const leaseId = `lease-${this._leaseNumber}`
    this._leases.set(leaseId, { ttlMs, lapsesAtMs: performance.now() + ttlMs })
    return leaseId
  }

  private _keepAlive (exchange: IExchange, leaseId: string): void {
    const lease = this._leases.get(leaseId)
    if (lease === undefined) return sendJson(exchange, 404, { error: 'no such lease' })
    lease.lapsesAtMs = performance.now() + lease.ttlMs
    sendJson(exchange, 200, {})
  }

  /** The time of all leases has run out. */
  public lapseAll (): void {
    for (const lease of this._leases.values()) lease.lapsesAtMs = performance.now()
  }

  private _renewAll (): void {
    for (const lease of this._leases.values()) lease.lapsesAtMs = performance.now() + lease.ttlMs
  }

  private _lapseLeases (): void {
    if (this._switches.outage !== 'none' && !this._switches.leasesLapseInOutage) return
    for (const [leaseId, lease] of this._leases) {
      if (lease.lapsesAtMs <= performance.now()) this._lapse(leaseId)
    }
  }

  private _lapse (leaseId: string): void {
    this._leases.delete(leaseId)
    for (const record of [...this._records.values()]) {
      if (record.leaseId === leaseId) this._write(record.key, undefined)
    }
  }
}

/** Takes an answer that nobody will see. */
const LOST = { writeHead: () => {}, end: () => {}, on: () => {} } as unknown as IExchange['response']
