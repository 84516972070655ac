/**
 * A controller: takes callers' jobs, asks for advice on behalf of the owner, and owns the cell when its turn comes. It
 * keeps nothing that can't be lost with it.
 */

import { createServer } from 'node:http'
import { randomInt } from 'node:crypto'
import { JobServer } from '../cell/JobServer.js'
import { CellOwner } from '../cell/CellOwner.js'
import { ConfigFeed } from '../cell/ConfigFeed.js'
import { registerOwnershipHandlers, handOver } from '../cell/Handover.js'
import { readLinkSecret } from '../cell/LinkSecret.js'
import { OwnerAnnouncer, registerMember } from '../cell/OwnerAnnouncer.js'
import { registerOwnerHandlers } from '../cell/OwnerHandlers.js'
import { OwnerChallenge } from '../cell/OwnerChallenge.js'
import { OwnerIsolationDetector } from '../cell/OwnerIsolationDetector.js'
import { StoreLossHandover } from '../cell/StoreLossHandover.js'
import { OwnerRoute } from '../cell/OwnerRoute.js'
import { Ownership } from '../cell/Ownership.js'
import { OwnerExitDetector } from '../cell/OwnerExitDetector.js'
import { StandbySelector, StandbyWatch } from '../cell/Standby.js'
import { SystemClock } from '../common/Clock.js'
import { DisposableStore } from '../common/Emitter.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { renderMetrics } from '../common/observability/MetricsText.js'
import { SeededRandom } from '../common/Random.js'
import { PeerHub } from '../peer/PeerHub.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { Logger } from '../runtime/Logger.js'
import { MetricsServer } from '../runtime/MetricsServer.js'
import { AdviceClient } from '../../platform/AdviceClient.js'
import { callerWire } from '../../platform/CallerWire.js'
import { cellRecords } from '../../platform/CellRecords.js'
import { HostOrderClient } from '../../platform/HostOrderClient.js'
import { MetadataStore } from '../../platform/MetadataStore.js'
import { READINESS_PATH } from '../../platform/Names.js'

import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { IAdviceMachine, IAdviceSender } from '../common/cell/AdviceDispatcher.js'
import type { AdviceOutcome, IAdviceRequest } from '../common/cell/Types.js'
import type { IProcessIdentity } from '../common/Types.js'
import type { IControllerSettings } from '../runtime/settings/ControllerSettings.js'

const MAX_SEED = 0x7fffffff
/** Names in the table of answer times; there are six. */
const MAX_TIMES = 20
/** How long a stopping process goes on taking connections: the balancer notices within two looks, one a second. */
const NOTICE_MS = 2300
/** Of the time to stop, this is kept for closing, in ms. */
const CLOSE_RESERVE_MS = 1500
/**
 * Processor that an owner should have, in cores: at 250 hosts and 80 jobs a second it takes half of one. A machine with less
 * lets others go first, for this long in ms; it still owns the cell where nobody else does.
 */
const OWNER_CORES = 0.6
const WEAK_YIELD_MS = 600
/** One that couldn't reach the last owner may be out of reach itself: it lets others go first for this long, in ms. */
const ISOLATED_YIELD_MS = 600
/** How often links are used at least, and after how much silence they are lost, in ms: a cut is noticed about as fast as a lease ends. */
const HEARTBEAT_MS = 250
const SILENCE_MS = 1200
/** What a call for advice through a peer may take beyond the service's own time, in ms. */
const PEER_SLACK_MS = 300

const MICROS_PER_S = 1_000_000

export interface IControllerAddresses {
  readonly url: string
  readonly readinessUrl: string
  readonly metricsUrl: string
}

export class ControllerDaemon implements IAdviceSender {
  private readonly _clock = new SystemClock()
  private readonly _random = new SeededRandom(randomInt(MAX_SEED))
  private readonly _disposables = new DisposableStore()
  private readonly _times = new LatencyTable(MAX_TIMES)
  private readonly _log: Logger
  private readonly _store: MetadataStore
  private readonly _orders = new HostOrderClient()
  private readonly _adviser: AdviceClient
  private readonly _self: IProcessIdentity
  private readonly _counters = new Counters()
  private readonly _metrics: MetricsServer
  private _config: ConfigFeed
  private _hub: PeerHub | undefined
  private _ownership: Ownership | undefined
  private _owner: CellOwner | undefined
  private _memberCalls: OwnerAnnouncer | undefined
  private _standbyChoice: StandbySelector | undefined
  private _relief: StoreLossHandover | undefined
  private _entry: JobServer | undefined
  private _route: OwnerRoute | undefined
  private _noteRoute: (route: OwnerRoute) => void = () => {}
  private _readiness: Server | undefined
  private _isStopping = false

  /** @param isCodeKept whether the code of the packed script was taken as it was kept; absent where it isn't packed */
  public constructor (private _settings: IControllerSettings, private readonly _isCodeKept?: boolean) {
    const { process: { id, region, failureDomain }, log, store, advice } = _settings
    this._log = new Logger(this._clock, { processId: id, level: log.level, maxLinesPerSecond: log.maxLinesPerSecond })
    this._self = { processId: id, incarnation: this._clock.wallMs(), region, failureDomain }
    this._store = new MetadataStore(`${store.address.ip}:${store.address.port}`)
    this._adviser = new AdviceClient(`${advice.address.ip}:${advice.address.port}`)
    this._metrics = new MetricsServer(id, { metrics: () => this._metricsText(), dump: () => this._dump() }, this._log)
    this._config = this._disposables.add(new ConfigFeed(this._store, cellRecords, this._clock, this._log))
  }

  public async start (): Promise<IControllerAddresses> {
    const { peer, store } = this._settings
    this._log.info('process.started', { incarnation: this._self.incarnation, startupMs: Math.round(this._clock.nowMs()), isCodeKept: this._isCodeKept })
    const readinessUrl = await this._listenForReadiness()
    const url = await this._listenForCallers()
    this._config.start()
    const sharedKey = await readLinkSecret(this._store, this._clock, this._log)
    const environment = { clock: this._clock, timers: this._clock, random: this._random, log: this._log }
    const links = { sharedKey, listenIp: peer.listen.ip, listenPort: peer.listen.port, heartbeatMs: HEARTBEAT_MS, silenceLimitMs: SILENCE_MS }
    const hub = new PeerHub(this._self, links, environment)
    this._hub = hub
    const peerUrl = await hub.start()
    if (peerUrl.isErr()) throw peerUrl.error
    const ownership = new Ownership(this._store, {
      self: this._self, peerUrl: peerUrl.value, minLeaseMs: store.minLeaseMs, yieldMs: () => this._yieldMs()
    }, this._clock, this._random, this._log)
    this._ownership = this._disposables.add(ownership)
    const challenge = new OwnerChallenge(ownership, this._clock, this._random, this._log)
    const route = new OwnerRoute(hub, {
      get record () { return ownership.record },
      local: () => this._owner,
      challenge: async (from, ownerReaches) => await challenge.challenge(from, ownerReaches)
    }, this._clock)
    this._route = route
    this._noteRoute(route)
    registerOwnerHandlers(hub, () => this._owner, this._adviser)
    registerOwnershipHandlers(hub, ownership)
    this._disposables.add(hub.listen('cellOwner', (record) => { ownership.receiveRecord(record) }))
    this._disposables.add(ownership.onRecordChange((record) => { route.follow(record) }))
    this._disposables.add(ownership.onOwned((revision) => { this._own(revision) }))
    this._disposables.add(ownership.onLost(() => { this._disown() }))
    this._disposables.add(new StandbyWatch(hub, ownership, this._clock, this._log))
    this._disposables.add(new OwnerExitDetector(hub, ownership, this._clock, this._random, this._log))
    this._disposables.add(new OwnerIsolationDetector(hub, ownership, (silent) => { this._stepAside(silent) }, this._clock, this._log))
    ownership.start()
    registerMember(this._store, hub, peerUrl.value, this._clock, this._log)
    const metricsUrl = await this._metrics.listen(this._settings.metrics.listen)
    if (metricsUrl.isErr()) throw metricsUrl.error
    this._log.info('process.serving', { startupMs: Math.round(this._clock.nowMs()) })
    return { url, readinessUrl, metricsUrl: metricsUrl.value }
  }

  /** Gives the cell away, lets the balancer notice, finishes what is in flight. */
  public async stop (): Promise<void> {
    if (this._isStopping) return
    this._isStopping = true
    this._log.info('process.stopping', { inFlight: this._entry?.inFlight })
    this._entry?.startClosing()
    const handedOver = this._hub !== undefined && this._ownership !== undefined ? handOver(this._hub, this._ownership, this._log) : undefined
    await new Promise<void>((resolve) => { this._clock.after(NOTICE_MS, resolve) })
    await handedOver
    const closeMs = Math.max(0, this._settings.stop.graceMs - NOTICE_MS - CLOSE_RESERVE_MS)
    await this._entry?.close(closeMs)
    await this._metrics.close()
    this._disposables.dispose()
    this._hub?.dispose()
    this._log.info('process.stopped', {})
  }

  /** Takes what can change while the process runs: how much is logged. */
  public reload (settings: IControllerSettings): void {
    this._settings = settings
    this._log.info('process.reloaded', { level: settings.log.level })
  }

  public noteReload (reason: string): void {
    this._log.error('process.reloadFailed', { reason })
  }

  public dumpToLog (): void {
    this._log.warn('process.dump', { state: this._dump() })
  }

  private _dump (): string {
    const { record } = this._ownership ?? {}
    const links = this._hub?.links().map(({ peer }) => peer.processId)
    return JSON.stringify({
      process: this._self, owner: record, configVersion: this._config.version, links, cell: this._owner?.dump(), times: this._times.summaries()
    })
  }

  private _metricsText (): string {
    return renderMetrics(this._counters, this._times, {
      owner: this._owner === undefined ? 0 : 1,
      config_version: this._config.version,
      config_age_ms: this._config.ageMs,
      links: this._hub?.links().length ?? 0,
      callers_in_flight: this._entry?.inFlight ?? 0,
      store_calls: this._store.callCount,
      peer_sent_bytes: this._hub?.traffic().sentBytes ?? 0,
      cross_region_sent_bytes: this._hub?.traffic().crossRegionSentBytes ?? 0,
      resident_bytes: process.memoryUsage.rss(),
      processor_seconds: (process.cpuUsage().user + process.cpuUsage().system) / MICROS_PER_S,
      ...this._owner?.gauges()
    })
  }

  public machines (): readonly IAdviceMachine[] {
    const { processId, region } = this._self
    const peers = this._hub?.links().map(({ peer }) => ({ name: peer.processId, isNear: peer.region === region })) ?? []
    return [{ name: processId, isNear: true }, ...peers]
  }

  public async send (machine: string, ask: IAdviceRequest, timeoutMs: number): Promise<AdviceOutcome> {
    if (machine === this._self.processId) return await this._adviser.ask(ask, timeoutMs)
    const link = this._hub?.link(machine)
    if (link === undefined) return { kind: 'failed', reason: 'no link' }
    const reply = await link.call('cellAdvise', { ...ask, timeoutMs }, timeoutMs + PEER_SLACK_MS)
    if (reply.isErr()) return { kind: 'failed', reason: reply.error.message }
    const { kind, allowed = [] } = reply.value
    if (kind === 'advised') return { kind, allowed }
    return kind === 'busy' ? { kind } : { kind, reason: 'asked through a peer' }
  }

  private _own (revision: number): void {
    const { hosts } = this._settings
    const chart = loadChart('attempt')
    if (chart.isErr() || this._ownership === undefined) throw chart.isErr() ? chart.error : new Error('ownership comes first')
    const writerId = `${this._self.processId}/${this._self.incarnation}/${revision}`
    this._owner?.dispose()
    this._memberCalls?.dispose()
    this._standbyChoice?.dispose()
    this._relief?.dispose()
    const { record } = this._ownership
    if (record !== undefined && this._hub !== undefined) {
      this._memberCalls = new OwnerAnnouncer(this._store, this._hub, record, this._clock, this._log)
      this._standbyChoice = new StandbySelector(this._hub, record, this._clock, this._log)
      this._relief = new StoreLossHandover(this._hub, this._ownership, record, this._clock, this._log)
    }
    this._owner = new CellOwner({
      store: this._store,
      orders: this._orders,
      advice: this,
      records: cellRecords,
      config: this._config,
      ownership: this._ownership,
      chart: chart.value,
      clock: this._clock,
      log: this._log,
      times: this._times,
      counters: this._counters
    }, { writerId, maxHoldMs: hosts.maxHoldMs, farFactor: hosts.farFactor, statusMs: hosts.statusMs }, revision)
  }

  private _stepAside (silent: number): void {
    this._log.warn('owner.isolated', { silent, links: this._hub?.links().length })
    this._ownership?.stepAside('most peers are silent')
      .catch((error: unknown) => { this._log.error('owner.stepAsideFailed', { reason: String(error) }) })
  }

  /** A weak machine, and one that didn't reach the last owner, leave the cell to others first. */
  private _yieldMs (): number {
    const { processorShare, processorSpeed } = this._settings.process
    const weakMs = processorShare * processorSpeed < OWNER_CORES ? WEAK_YIELD_MS : 0
    return weakMs + (this._route?.isIsolated === true ? ISOLATED_YIELD_MS : 0)
  }

  private _disown (): void {
    this._memberCalls?.dispose()
    this._standbyChoice?.dispose()
    this._relief?.dispose()
    this._owner?.dispose()
    this._owner = undefined
  }

  /**
   * Takes callers before anything else is there to answer them; they wait for the rest, a tenth of a second. After a kill of all processes
   * a caller whose connection is refused has used up its tries before the first of them is back.
   */
  private async _listenForCallers (): Promise<string> {
    const { ip, port } = this._settings.callers.listen
    const route = new Promise<OwnerRoute>((resolve) => { this._noteRoute = resolve })
    this._entry = new JobServer({
      wire: callerWire, config: this._config, route, clock: this._clock, log: this._log, times: this._times, counters: this._counters
    })
    return await this._entry.listen(ip, port)
  }

  private async _listenForReadiness (): Promise<string> {
    const { ip, port } = this._settings.readiness.listen
    const server = createServer((request, response) => {
      const isReady = !this._isStopping && this._route?.isIsolated === false && this._config.config !== undefined
      response.writeHead(request.url === READINESS_PATH && isReady ? 200 : 503, { 'content-length': 0 })
      response.end()
    })
    this._readiness = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, ip, resolve)
    })
    return `http://${ip}:${(server.address() as AddressInfo).port}`
  }
}
