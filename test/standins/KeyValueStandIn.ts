/**
 * Stands in for the platform's key-value service: compare-and-swap by revision, leases, watches by long poll, and a limit on calls
 * per second. Switches cause outages, slow answers, and answers that are lost after the change took effect.
 */

import { SeededRandom } from '../../src/common/Random.js'
import { dropConnection, readJson, sendJson } from './StandInServer.js'

import type { IExchange, IStandIn } from './StandInServer.js'

interface IRecord { readonly key: string, readonly value: string, readonly modRevision: number, readonly leaseId?: string | undefined }
interface IChange { readonly key: string, readonly value: string, readonly modRevision: number, readonly deleted: boolean }
interface ILease { readonly ttlMs: number, lapsesAtMs: number }
interface IWaitingWatch { readonly exchange: IExchange, readonly prefix: string, readonly afterRevision: number, readonly timer: NodeJS.Timeout }

export interface IKeyValueSwitches {
  /** `refuse` closes the listener, `reset` closes the connection of each call, `hang` leaves every call without an answer. */
  outage: 'none' | 'refuse' | 'reset' | 'hang'
  slowMs: number
  /** The share of writes that take effect but are not answered. */
  loseAnswers: number
  /** Lets leases expire during an outage; otherwise each gets its whole time again after it. */
  leasesLapseInOutage: boolean
  /** The calls that are served a second, 0 for no limit; further calls are answered 429. */
  readsPerSecond: number
  writesPerSecond: number
  /** The number of past changes that are kept for watches that start at an earlier revision. */
  historyLength: number
  seed: number
}

const MAX_VALUE_BYTES = 1024 * 1024
const SWEEP_MS = 10
const WRITE_PATHS = new Set(['/kv/cas', '/lease/grant', '/lease/keepalive', '/lease/revoke'])

export class KeyValueStandIn implements IStandIn {
  /** Applies an outage to the listener; set by the code that runs the server. */
  public onOutage: (outage: IKeyValueSwitches['outage']) => void = () => {}

  private readonly _switches: IKeyValueSwitches = {
    outage: 'none', slowMs: 0, loseAnswers: 0, leasesLapseInOutage: false, readsPerSecond: 0, writesPerSecond: 0, historyLength: 10_000, seed: 1
  }

  private readonly _records = new Map<string, IRecord>()
  private readonly _leases = new Map<string, ILease>()
  private readonly _watches = new Set<IWaitingWatch>()
  private readonly _sweepTimer = setInterval(() => { this._expireLeases() }, SWEEP_MS)
  private readonly _count = { reads: 0, writes: 0, watches: 0, refused: 0, lost: 0, mostWaitingWatches: 0 }
  private readonly _currentSecond = { startedAtMs: 0, reads: 0, writes: 0 }
  private _history: IChange[] = []
  private _forgottenRevision = 0
  private _revision = 0
  private _leaseNumber = 0
  private _random = new SeededRandom(1)

  public control (settings: Readonly<Record<string, unknown>>): void {
    const outageBefore = this._switches.outage
    Object.assign(this._switches, settings)
    if (settings['seed'] !== undefined) this._random = new SeededRandom(this._switches.seed)
    this._trimHistory()
    if (this._switches.outage === outageBefore) return
    if (this._switches.outage === 'none' && !this._switches.leasesLapseInOutage) this._renewAllLeases()
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
    clearInterval(this._sweepTimer)
    for (const watch of this._watches) clearTimeout(watch.timer)
  }

  public handle (exchange: IExchange): void {
    if (this._switches.outage === 'reset' || this._switches.outage === 'refuse') dropConnection(exchange)
    else if (this._switches.slowMs > 0 && this._switches.outage === 'none') setTimeout(() => { this._serve(exchange) }, this._switches.slowMs)
    else if (this._switches.outage === 'none') this._serve(exchange)
  }

  private _serve (exchange: IExchange): void {
    const isWrite = WRITE_PATHS.has(exchange.path)
    if (!this._countAndCheckRate(isWrite ? 'writes' : 'reads')) {
      this._count.refused += 1
      sendJson(exchange, 429, { error: 'too many calls' })
      return
    }
    if (isWrite && this._random.next() < this._switches.loseAnswers) {
      this._count.lost += 1
      this._perform({ ...exchange, response: DISCARDING_RESPONSE })
      dropConnection(exchange)
      return
    }
    this._perform(exchange)
  }

  private _countAndCheckRate (kind: 'reads' | 'writes'): boolean {
    const nowMs = performance.now()
    if (nowMs - this._currentSecond.startedAtMs >= 1000) Object.assign(this._currentSecond, { startedAtMs: nowMs, reads: 0, writes: 0 })
    this._count[kind] += 1
    this._currentSecond[kind] += 1
    const limit = kind === 'reads' ? this._switches.readsPerSecond : this._switches.writesPerSecond
    return limit === 0 || this._currentSecond[kind] <= limit
  }

  private _perform (exchange: IExchange): void {
    const call = readJson<Record<string, string>>(exchange)
    switch (exchange.path) {
      case '/kv/get': sendJson(exchange, 200, { record: this._records.get(call['key'] ?? '') }); break
      case '/kv/range': sendJson(exchange, 200, this._range(call['prefix'] ?? '')); break
      case '/kv/cas': this._compareAndSwap(exchange); break
      case '/kv/watch': this._watch(exchange); break
      case '/lease/grant': sendJson(exchange, 200, { leaseId: this._grantLease(Number(call['ttlMs'])) }); break
      case '/lease/keepalive': this._keepAlive(exchange, call['leaseId'] ?? ''); break
      case '/lease/revoke': this._expireLease(call['leaseId'] ?? ''); sendJson(exchange, 200, {}); break
      default: sendJson(exchange, 404, { error: 'no such call' })
    }
  }

  private _range (prefix: string): unknown {
    const records = [...this._records.values()].filter((record) => record.key.startsWith(prefix))
    return { records: records.sort((a, b) => a.key < b.key ? -1 : 1), revision: this._revision }
  }

  private _compareAndSwap (exchange: IExchange): void {
    const call = readJson<{ key: string, expectedModRevision: number, value?: string, leaseId?: string }>(exchange)
    const current = this._records.get(call.key)?.modRevision ?? 0
    if (call.value !== undefined && Buffer.byteLength(call.value) > MAX_VALUE_BYTES) return sendJson(exchange, 413, { error: 'value too large' })
    if (call.leaseId !== undefined && !this._leases.has(call.leaseId)) return sendJson(exchange, 404, { error: 'no such lease' })
    if (current !== call.expectedModRevision) return sendJson(exchange, 409, { currentModRevision: current })
    this._write(call.key, call.value, call.leaseId)
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
    const trimmed = this._history.splice(0, this._history.length - this._switches.historyLength)
    this._forgottenRevision = trimmed.at(-1)?.modRevision ?? this._forgottenRevision
  }

  private _watch (exchange: IExchange): void {
    const call = readJson<{ prefix: string, afterRevision: number, waitMs: number }>(exchange)
    this._count.watches += 1
    if (call.afterRevision < this._forgottenRevision) return sendJson(exchange, 410, { error: 'history is gone' })
    const timer = setTimeout(() => { this._answerWatch(watch) }, call.waitMs)
    const watch: IWaitingWatch = { exchange, prefix: call.prefix, afterRevision: call.afterRevision, timer }
    this._watches.add(watch)
    this._count.mostWaitingWatches = Math.max(this._count.mostWaitingWatches, this._watches.size)
    exchange.response.on('close', () => { this._endWatch(watch) })
    if (this._changesFor(watch).length > 0) this._answerWatch(watch)
  }

  private _changesFor (watch: IWaitingWatch): readonly IChange[] {
    return this._history.filter((change) => change.modRevision > watch.afterRevision && change.key.startsWith(watch.prefix))
  }

  private _answerWatch (watch: IWaitingWatch): void {
    this._endWatch(watch)
    sendJson(watch.exchange, 200, { changes: this._changesFor(watch), revision: this._revision })
  }

  private _endWatch (watch: IWaitingWatch): void {
    clearTimeout(watch.timer)
    this._watches.delete(watch)
  }

  private _grantLease (ttlMs: number): string {
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

  /** Ends the time of all leases, so that the next sweep expires them. */
  public expireAllLeases (): void {
    for (const lease of this._leases.values()) lease.lapsesAtMs = performance.now()
  }

  private _renewAllLeases (): void {
    for (const lease of this._leases.values()) lease.lapsesAtMs = performance.now() + lease.ttlMs
  }

  private _expireLeases (): void {
    if (this._switches.outage !== 'none' && !this._switches.leasesLapseInOutage) return
    for (const [leaseId, lease] of this._leases) {
      if (lease.lapsesAtMs <= performance.now()) this._expireLease(leaseId)
    }
  }

  private _expireLease (leaseId: string): void {
    this._leases.delete(leaseId)
    for (const record of [...this._records.values()]) {
      if (record.leaseId === leaseId) this._write(record.key, undefined)
    }
  }
}

/** A response that discards the answer. */
const DISCARDING_RESPONSE = { writeHead: () => {}, end: () => {}, on: () => {} } as unknown as IExchange['response']
