/**
 * The hosts of the cell as the store lists them, with one session for each.
 */

import { DepartureDetector } from '../common/cell/DepartureDetector.js'
import { PollWait } from '../common/cell/PollWait.js'
import { HostSession } from './HostSession.js'
import { MalformedRecords } from './MalformedRecords.js'

import type { CellScheduler } from '../common/cell/CellScheduler.js'
import type { IHostList } from '../common/cell/DepartureDetector.js'
import type { HostState } from '../common/cell/HostState.js'
import type { IHostEntry, IHostOrders, IMetadataItem, IMetadataRange, IMetadataStore } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { EpochMs, IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { ICellRecords } from './Types.js'

export interface IHostSessionsContext {
  readonly store: IMetadataStore
  readonly orders: IHostOrders
  readonly records: ICellRecords
  readonly scheduler: CellScheduler
  readonly clock: IClock & ITimers
  readonly log: ILogger
  /** Until when the owner may hold leases on hosts, by the monotonic clock. */
  holdUntilMs (): MonotonicMs
  /** The host accepts only orders of a newer owner. */
  onFenced (hostId: string): void
  /** This owner has no further fencing token for the host. */
  onFenceExhausted (hostId: string): void
  requestPass (): void
}

export interface IHostSessionsOptions {
  /** The longest lease that a host grants to an owner, in ms. */
  readonly maxHoldMs: number
  /** The interval at which hosts renew their entries, in ms. */
  readonly heartbeatMs: number
  /** The processor capacity of this process, in cores. */
  readonly processorCores: number
}

const POLL_INTERVAL_MS = 600
/** Between two turns that open sessions, in ms: the shortest delay of a timer. */
const SESSIONS_DELAY_MS = 1
/**
 * The number of sessions that are opened in one turn of the event loop. Opening a session connects to its host. If a new owner opened hundreds
 * of them on end, its lease would not be renewed, and its peers would get no answers meanwhile.
 */
const SESSIONS_PER_TURN = 32

export class HostSessions implements IDisposable {
  private readonly _sessions = new Map<string, HostSession>()
  /** Ids of hosts whose sessions are not open yet. */
  private readonly _unopened = new Set<string>()
  private _opening: IDisposable | undefined
  private _polling: IDisposable | undefined
  /** Revision of the newest list that was applied. */
  private _listRevision = 0
  private readonly _departures: DepartureDetector
  private readonly _pollWait: PollWait
  private readonly _malformed: MalformedRecords
  private _isDisposed = false

  public constructor (private readonly _context: IHostSessionsContext, private readonly _options: IHostSessionsOptions) {
    this._malformed = new MalformedRecords(_context.log)
    this._pollWait = new PollWait(_options.processorCores, _options.maxHoldMs)
    this._departures = new DepartureDetector(_options.heartbeatMs, (entry) => this._renewedAfterMs(entry))
  }

  public get size (): number {
    return this._sessions.size + this._unopened.size
  }

  /** Starts to poll the list. */
  public start (): void {
    this._polling = this._context.clock.every(POLL_INTERVAL_MS, () => { this._poll() })
  }

  public dispose (): void {
    this._isDisposed = true
    this._polling?.dispose()
    this._opening?.dispose()
    for (const session of this._sessions.values()) session.dispose()
    this._sessions.clear()
  }

  /** Applies the list of hosts as it was read from the store. */
  public applyList ({ items, revision }: IMetadataRange): void {
    const { scheduler, log } = this._context
    const list = items.map((item) => ({ key: item.key, revision: item.revision, entry: this._decode(item) }))
    this._malformed.forgetOthers(items)
    const listed = new Set<string>()
    for (const { entry } of list) {
      if (entry === undefined) continue
      listed.add(entry.hostId)
      if (this._isWorthLogging(entry)) this._logHost(entry)
      if (scheduler.hosts.get(entry.hostId)?.isListed === false) log.info('host.listedAgain', { host: entry.hostId, bornMs: entry.bornMs })
      const listedBornMs = scheduler.hosts.get(entry.hostId)?.entry.bornMs
      const host = scheduler.addHost(entry)
      host.isListed = true
      // Its poll may hang: a host that crashes without a word breaks no connection.
      if (entry.bornMs > host.bornMs && entry.bornMs !== listedBornMs) this.pollNow(entry.hostId)
      if (!this._sessions.has(entry.hostId)) this._unopened.add(entry.hostId)
    }
    for (const host of scheduler.hosts.values()) {
      if (host.isListed && !listed.has(host.hostId)) {
        host.isListed = false
        log.warn('host.unlisted', { host: host.hostId, bornMs: host.bornMs, runs: host.attempts.size, revision })
      }
    }
    this._scheduleOpening()
    this._applyDepartures({ items: list, revision, receivedAtMs: this._context.clock.nowMs() })
    this._context.requestPass()
  }

  private _decode (item: IMetadataItem): IHostEntry | undefined {
    const decoded = this._context.records.decodeHostEntry(item)
    this._malformed.record(item.key, decoded.isErr() ? [decoded.error] : [])
    return decoded.unwrapOr(undefined)
  }

  /** Returns a host on which a run is recorded, and adds it if it isn't listed any more: it may go on with the run until its lease has ended. */
  public getOrAddHost (hostId: string, bornMs: EpochMs): HostState {
    const { scheduler } = this._context
    const known = scheduler.hosts.get(hostId)
    if (known !== undefined) return known
    const host = scheduler.addHost({
      hostId,
      bornMs,
      service: '',
      address: '',
      failureDomain: '',
      draining: true,
      clockMs: undefined,
      cpuMillicores: 0,
      memoryMb: 0,
      accelerators: 0,
      labels: [],
      rack: ''
    })
    host.isListed = false
    return host
  }

  /** Polls the host at once, whether or not its present poll has an answer. */
  public pollNow (hostId: string): void {
    this._sessions.get(hostId)?.pollNow()
  }

  private _poll (): void {
    const { store, records, log } = this._context
    store.range(records.hostsPrefix).then((read) => {
      if (this._isDisposed) return
      if (read.kind === 'read') this._applyIfNewer(read.value)
      this._removeLapsedHosts()
    }).catch((error: unknown) => { log.error('hosts.pollFailed', { reason: String(error) }) })
  }

  /** Ignores a list that a newer one has overtaken: polls overlap while the store is slow. */
  private _applyIfNewer (range: IMetadataRange): void {
    if (range.revision < this._listRevision) return
    this._listRevision = range.revision
    this.applyList(range)
  }

  private _renewedAfterMs ({ hostId, bornMs, clockMs }: IHostEntry): MonotonicMs {
    const host = this._context.scheduler.hosts.get(hostId)
    if (host === undefined || host.bornMs !== bornMs || clockMs === undefined) return -Infinity
    return host.earliestTimeOf(clockMs, this._context.clock.nowMs())
  }

  private _applyDepartures (list: IHostList): void {
    const { scheduler, log } = this._context
    for (const { hostId, bornMs, unrenewedMs } of this._departures.recordList(list)) {
      const host = scheduler.hosts.get(hostId)
      if (host?.bornMs !== bornMs) continue
      log.info('host.unregistered', { host: hostId, bornMs, runs: host.attempts.size, unrenewedMs: Math.round(unrenewedMs), revision: list.revision })
      host.markUnregistered(list.receivedAtMs)
      this.pollNow(hostId)
    }
  }

  /**
   * Whether the host is new or has changed. Of the list that a new owner reads first, only draining hosts are logged, because the others
   * would fill the log while the owner is busiest.
   */
  private _isWorthLogging (entry: IHostEntry): boolean {
    const known = this._context.scheduler.hosts.get(entry.hostId)
    if (known === undefined) return entry.draining || this._polling !== undefined
    return known.entry.draining !== entry.draining || known.bornMs !== entry.bornMs
  }

  private _logHost ({ hostId, draining, bornMs, service }: IHostEntry): void {
    this._context.log.info('host.seen', { host: hostId, draining, bornMs, service })
  }

  private _scheduleOpening (): void {
    if (this._unopened.size === 0) return
    this._opening ??= this._context.clock.after(SESSIONS_DELAY_MS, () => {
      this._opening = undefined
      this._openSessions()
      this._scheduleOpening()
    })
  }

  /** Opens the next sessions: first on the hosts with runs, whose leases have to be renewed. */
  private _openSessions (): void {
    const { hosts } = this._context.scheduler
    const runsOn = (hostId: string): number => hosts.get(hostId)?.attempts.size ?? 0
    const next = [...this._unopened].sort((a, b) => Number(runsOn(b) > 0) - Number(runsOn(a) > 0)).slice(0, SESSIONS_PER_TURN)
    for (const hostId of next) {
      this._unopened.delete(hostId)
      this._openSession(hostId)
    }
  }

  private _openSession (hostId: string): void {
    const { clock, log, orders, scheduler } = this._context
    const host = scheduler.hosts.get(hostId)
    if (host === undefined) return
    const session = new HostSession(host, {
      hold: async (entry, order, signal) => await orders.hold(entry, order, signal),
      holdUntilMs: () => this._context.holdUntilMs(),
      onHeld: (held, answer, sentAtMs) => { if (!this._isDisposed) scheduler.applyHoldAnswer(held, answer, sentAtMs) },
      onFenced: (held) => { this._context.onFenced(held.hostId) },
      onFenceExhausted: (held) => { this._context.onFenceExhausted(held.hostId) },
      onRegained: (regained) => { orders.reconnect(regained.hostId) },
      onFailure: (silent) => { scheduler.loseRunsIfLapsed(silent) },
      pollWaitMs: (polled) => this._pollWaitMs(polled)
    }, this._options.maxHoldMs, clock, log)
    this._sessions.set(hostId, session)
    session.start()
  }

  private _pollWaitMs ({ attempts, absenceConfirmableAtMs }: HostState): number {
    const waitMs = this._pollWait.waitMs(attempts.size === 0, this._sessions.size)
    return Math.min(waitMs, Math.max(0, Math.ceil(absenceConfirmableAtMs - this._context.clock.nowMs())))
  }

  /** Removes hosts that are neither listed nor answer, once nothing can run on them any more. */
  private _removeLapsedHosts (): void {
    const { scheduler, orders, log } = this._context
    for (const host of [...scheduler.hosts.values()]) {
      if (host.isListed || !scheduler.loseRunsIfLapsed(host)) continue
      this._sessions.get(host.hostId)?.dispose()
      this._sessions.delete(host.hostId)
      this._unopened.delete(host.hostId)
      scheduler.hosts.delete(host.hostId)
      orders.forget(host.hostId)
      log.info('host.forgotten', { host: host.hostId })
    }
  }
}
