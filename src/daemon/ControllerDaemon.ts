/**
 * The controller process: accepts jobs from callers, requests advice on behalf of the cell's owner, and owns the cell while it
 * holds the ownership. It holds no state that must survive the process.
 */

import { randomInt } from 'node:crypto'
import { JobServer } from '../cell/JobServer.js'
import { CellOwner } from '../cell/CellOwner.js'
import { ConfigFeed } from '../cell/ConfigFeed.js'
import { registerOwnershipHandlers, handOver } from '../cell/Handover.js'
import { readLinkSecret } from '../cell/LinkSecret.js'
import { OwnerAnnouncer, registerMember } from '../cell/OwnerAnnouncer.js'
import { registerOwnerHandlers } from '../cell/OwnerHandlers.js'
import { OwnerChallenge } from '../cell/OwnerChallenge.js'
import { OwnerRelief } from '../cell/OwnerRelief.js'
import { OwnerIsolationDetector } from '../cell/OwnerIsolationDetector.js'
import { StoreLossHandover } from '../cell/StoreLossHandover.js'
import { ConfigRelay } from '../cell/ConfigRelay.js'
import { OwnerRoute } from '../cell/OwnerRoute.js'
import { Ownership } from '../cell/Ownership.js'
import { OwnerExitDetector } from '../cell/OwnerExitDetector.js'
import { StandbySelector, StandbyWatch } from '../cell/Standby.js'
import { SystemClock } from '../common/Clock.js'
import { OWNER_CORES, ownerFitness, storeProximity, unfitYieldMs } from '../common/cell/OwnerFitness.js'
import { DisposableStore } from '../common/Emitter.js'
import { Counters } from '../common/observability/Counters.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { renderMetrics } from '../common/observability/MetricsText.js'
import { clientBounds } from '../common/requests/ClientLimits.js'
import { SeededRandom } from '../common/Random.js'
import { PeerHub } from '../peer/PeerHub.js'
import { loadChart } from '../runtime/ChartLoader.js'
import { HeapGauge } from '../runtime/HeapGauge.js'
import { HttpListener } from '../runtime/HttpListener.js'
import { Logger } from '../runtime/Logger.js'
import { MetricsServer } from '../runtime/MetricsServer.js'
import { AdviceClient } from '../../platform/AdviceClient.js'
import { callerWire } from '../../platform/CallerWire.js'
import { cellRecords } from '../../platform/CellRecords.js'
import { HostOrderClient } from '../../platform/HostOrderClient.js'
import { MetadataStore } from '../../platform/MetadataStore.js'
import { READINESS_PATH } from '../../platform/Names.js'

import type { IAdviceMachine, IAdviceSender } from '../common/cell/AdviceDispatcher.js'
import type { AdviceOutcome, IAdviceRequest } from '../common/cell/Types.js'
import type { IProcessIdentity } from '../common/Types.js'
import type { ClientLimitKind } from '../runtime/ClientGuard.js'
import type { IControllerSettings } from '../runtime/settings/ControllerSettings.js'

const MAX_SEED = 0x7fffffff
/** Maximum number of names in the latency table; six are in use. */
const MAX_LATENCY_NAMES = 20
/** How long a stopping process still accepts connections, in ms: the load balancer notices after two readiness checks, one a second. */
const BALANCER_NOTICE_MS = 2300
/** Part of the stop grace period that is reserved for closing listeners and links, in ms. */
const CLOSE_RESERVE_MS = 1500
/** A process that couldn't reach the last owner may itself be unreachable, so it delays its attempt to become the owner by this time, in ms. */
const ISOLATED_YIELD_MS = 600
/** Interval of heartbeats on links, and the silence after which a link is lost, in ms: a lost link is detected about as fast as a lease ends. */
const HEARTBEAT_INTERVAL_MS = 250
const SILENCE_LIMIT_MS = 1200
/** How much longer than the advice service's own timeout a request for advice through a peer may take, in ms. */
const PEER_CALL_MARGIN_MS = 300

/** The readiness listener answers at once, so a client needs few requests at a time. */
const READINESS_LIMITS = {
  maxHeaderBytes: 8192, maxHeaderCount: 50, maxConnections: 128, maxInFlightPerConnection: 4, headersTimeoutMs: 3000, requestTimeoutMs: 5000
}

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
  private readonly _times = new LatencyTable(MAX_LATENCY_NAMES)
  private readonly _log: Logger
  private readonly _store: MetadataStore
  private readonly _orderClient = new HostOrderClient()
  private readonly _adviceClient: AdviceClient
  private readonly _self: IProcessIdentity
  private readonly _counters = new Counters()
  private readonly _heap: HeapGauge
  private readonly _metricsServer: MetricsServer
  private _config: ConfigFeed
  private _hub: PeerHub | undefined
  private _ownership: Ownership | undefined
  private _owner: CellOwner | undefined
  private _ownerAnnouncer: OwnerAnnouncer | undefined
  private _standbySelector: StandbySelector | undefined
  private _storeLossHandover: StoreLossHandover | undefined
  private _relief: OwnerRelief | undefined
  private _jobServer: JobServer | undefined
  private _route: OwnerRoute | undefined
  private _resolveRoute: (route: OwnerRoute) => void = () => {}
  private _readinessListener: HttpListener | undefined
  private _isStopping = false

  /** @param isCodeKept whether V8 accepted the cached code of the packed script; undefined if the script isn't packed */
  public constructor (private _settings: IControllerSettings, private readonly _isCodeKept?: boolean) {
    const { process: { id, region, failureDomain }, log, store, advice } = _settings
    this._log = new Logger(this._clock, { processId: id, level: log.level, maxLinesPerSecond: log.maxLinesPerSecond })
    this._self = { processId: id, incarnation: this._clock.wallMs(), region, failureDomain }
    this._store = new MetadataStore(`${store.address.ip}:${store.address.port}`)
    this._adviceClient = new AdviceClient(`${advice.address.ip}:${advice.address.port}`)
    this._metricsServer = new MetricsServer(id, {
      metrics: () => this._renderMetrics(), dump: () => this._dump(), onLimited: (kind) => { this._recordLimited('metrics', kind) }
    }, this._log)
    this._heap = this._disposables.add(new HeapGauge(this._clock))
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
    const links = {
      sharedKey, listenIp: peer.listen.ip, listenPort: peer.listen.port, heartbeatMs: HEARTBEAT_INTERVAL_MS, silenceLimitMs: SILENCE_LIMIT_MS
    }
    const hub = new PeerHub(this._self, links, environment)
    this._hub = hub
    const peerUrl = await hub.start()
    if (peerUrl.isErr()) throw peerUrl.error
    const ownership = new Ownership(this._store, {
      self: this._self,
      peerUrl: peerUrl.value,
      minLeaseMs: store.minLeaseMs,
      slowdown: Math.max(1, OWNER_CORES / this._processorCores),
      yieldMs: () => this._computeYieldMs()
    }, this._clock, this._random, this._log)
    this._ownership = this._disposables.add(ownership)
    const challenge = new OwnerChallenge(ownership, this._clock, this._random, this._log)
    const route = new OwnerRoute(hub, {
      get record () { return ownership.record },
      local: () => this._owner,
      challenge: async (from, checkOwnerReachesStore) => await challenge.challenge(from, checkOwnerReachesStore)
    }, this._clock)
    this._route = route
    this._resolveRoute(route)
    registerOwnerHandlers(hub, () => this._owner, this._adviceClient)
    this._relief = this._disposables.add(this._createRelief(hub, ownership))
    registerOwnershipHandlers(hub, ownership, this._relief)
    this._disposables.add(hub.listen('cellOwner', (record) => { ownership.receiveRecord(record) }))
    this._disposables.add(ownership.onRecordChange((record) => { route.follow(record) }))
    this._disposables.add(ownership.onOwned((revision) => { this._startOwner(revision) }))
    this._disposables.add(ownership.onLost(() => { this._stopOwner() }))
    this._disposables.add(new ConfigRelay(hub, this._config, () => ownership.record?.processId, this._clock, this._log))
    this._disposables.add(new StandbyWatch(hub, ownership, this._clock, this._log))
    this._disposables.add(new OwnerExitDetector(hub, ownership, this._clock, this._random, this._log))
    this._disposables.add(new OwnerIsolationDetector(hub, ownership, (silentPeers) => { this._giveUpOwnership(silentPeers) }, this._clock, this._log))
    ownership.start()
    registerMember(this._store, hub, peerUrl.value, this._clock, this._log)
    const metricsUrl = await this._metricsServer.listen(this._settings.metrics.listen)
    if (metricsUrl.isErr()) throw metricsUrl.error
    this._log.info('process.serving', { startupMs: Math.round(this._clock.nowMs()) })
    return { url, readinessUrl, metricsUrl: metricsUrl.value }
  }

  /** Hands the cell over, waits until the load balancer has noticed, and finishes the submissions in flight. */
  public async stop (): Promise<void> {
    if (this._isStopping) return
    this._isStopping = true
    this._log.info('process.stopping', { inFlight: this._jobServer?.inFlight })
    this._jobServer?.startClosing()
    const handedOver = this._hub !== undefined && this._ownership !== undefined ? handOver(this._hub, this._ownership, this._log) : undefined
    await new Promise<void>((resolve) => { this._clock.after(BALANCER_NOTICE_MS, resolve) })
    await handedOver
    const closeMs = Math.max(0, this._settings.stop.graceMs - BALANCER_NOTICE_MS - CLOSE_RESERVE_MS)
    await this._jobServer?.close(closeMs)
    await this._metricsServer.close()
    await this._readinessListener?.close(0)
    this._disposables.dispose()
    this._hub?.dispose()
    this._log.info('process.stopped', {})
  }

  /** Applies the settings that can change while the process runs. */
  public reload (settings: IControllerSettings): void {
    this._settings = settings
    this._log.info('process.reloaded', { level: settings.log.level })
  }

  public logReloadFailure (reason: string): void {
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

  private _renderMetrics (): string {
    return renderMetrics(this._counters, this._times, {
      owner: this._owner === undefined ? 0 : 1,
      config_version: this._config.version,
      config_age_ms: this._config.ageMs,
      owner_fitness: this._relief?.effectiveFitness ?? 0,
      links: this._hub?.links().length ?? 0,
      callers_in_flight: this._jobServer?.inFlight ?? 0,
      caller_connections: this._jobServer?.connections ?? 0,
      caller_body_bytes: this._jobServer?.bodyBytes ?? 0,
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

  public async send (machine: string, request: IAdviceRequest, timeoutMs: number): Promise<AdviceOutcome> {
    if (machine === this._self.processId) return await this._adviceClient.ask(request, timeoutMs)
    const link = this._hub?.link(machine)
    if (link === undefined) return { kind: 'failed', reason: 'no link' }
    const reply = await link.call('cellAdvise', { ...request, timeoutMs }, timeoutMs + PEER_CALL_MARGIN_MS)
    if (reply.isErr()) return { kind: 'failed', reason: reply.error.message }
    const { kind, allowed = [] } = reply.value
    if (kind === 'advised') return { kind, allowed }
    return kind === 'busy' ? { kind } : { kind, reason: 'the request through a peer failed' }
  }

  private _startOwner (revision: number): void {
    const { hosts } = this._settings
    const chart = loadChart('attempt')
    if (chart.isErr() || this._ownership === undefined) throw chart.isErr() ? chart.error : new Error('the ownership must exist before the owner starts')
    const writerId = `${this._self.processId}/${this._self.incarnation}/${revision}`
    this._owner?.dispose()
    this._ownerAnnouncer?.dispose()
    this._standbySelector?.dispose()
    this._storeLossHandover?.dispose()
    const { record } = this._ownership
    if (record !== undefined && this._hub !== undefined) {
      this._ownerAnnouncer = new OwnerAnnouncer(this._store, this._hub, record, this._clock, this._log)
      this._standbySelector = new StandbySelector(this._hub, record, this._relief?.effectiveFitness ?? this._machineFitness, this._clock, this._log)
      this._storeLossHandover = new StoreLossHandover(this._hub, this._ownership, record, this._clock, this._log)
    }
    this._owner = new CellOwner({
      store: this._store,
      orders: this._orderClient,
      advice: this,
      records: cellRecords,
      config: this._config,
      ownership: this._ownership,
      chart: chart.value,
      clock: this._clock,
      log: this._log,
      times: this._times,
      counters: this._counters,
      freeHeapBytes: () => this._heap.freeBytes
    }, { ...hosts, writerId, processorCores: this._processorCores }, revision)
  }

  private _giveUpOwnership (silentPeers: number): void {
    this._log.warn('owner.isolated', { silent: silentPeers, links: this._hub?.links().length })
    this._ownership?.stepAside('most peers are silent')
      .catch((error: unknown) => { this._log.error('owner.stepAsideFailed', { reason: String(error) }) })
  }

  /** The processor capacity of this process, in cores. */
  private get _processorCores (): number {
    const { processorShare, processorSpeed } = this._settings.process
    return processorShare * processorSpeed
  }

  private get _machineFitness (): number {
    const { linkMbps, memoryMb } = this._settings.process
    return ownerFitness({ processorCores: this._processorCores, linkMbps, memoryMb })
  }

  private _createRelief (hub: PeerHub, ownership: Ownership): OwnerRelief {
    const { linkMbps, memoryMb } = this._settings.process
    this._log.info('owner.fitness', { fitness: this._machineFitness, processorCores: this._processorCores, linkMbps, memoryMb })
    return new OwnerRelief({
      hub,
      ownership,
      counters: this._counters,
      clock: this._clock,
      log: this._log,
      machineFitness: () => this._machineFitness * storeProximity(ownership.storeLatencyMs),
      isOverloaded: () => this._owner?.isOverloaded === true,
      peerFitness: () => this._standbySelector?.peerFitness.highest ?? 0,
      isStopping: () => this._isStopping
    })
  }

  /** How long this process lets others try to become the owner first: if its machine is less fit, or if it didn't reach the last owner. */
  private _computeYieldMs (): number {
    return unfitYieldMs(this._machineFitness) + (this._route?.isIsolated === true ? ISOLATED_YIELD_MS : 0)
  }

  private _stopOwner (): void {
    this._ownerAnnouncer?.dispose()
    this._standbySelector?.dispose()
    this._storeLossHandover?.dispose()
    this._owner?.dispose()
    this._owner = undefined
  }

  /**
   * Accepts connections before the other parts have started; callers wait for these parts, about a tenth of a second. If all processes
   * were killed and connections were refused until then, a caller would use up its attempts before the first process is ready.
   */
  private async _listenForCallers (): Promise<string> {
    const { ip, port } = this._settings.callers.listen
    const route = new Promise<OwnerRoute>((resolve) => { this._resolveRoute = resolve })
    this._jobServer = new JobServer({
      wire: callerWire,
      config: this._config,
      route,
      clock: this._clock,
      log: this._log,
      times: this._times,
      counters: this._counters,
      bounds: clientBounds(this._settings.process.memoryMb)
    })
    return await this._jobServer.listen(ip, port)
  }

  private async _listenForReadiness (): Promise<string> {
    this._readinessListener = new HttpListener(READINESS_LIMITS, (request, response) => {
      const isReady = !this._isStopping && this._route?.isIsolated === false && this._config.config !== undefined
      response.writeHead(request.url === READINESS_PATH && isReady ? 200 : 503, { 'content-length': 0 })
      response.end()
    }, (kind) => { this._recordLimited('readiness', kind) })
    const url = await this._readinessListener.listen(this._settings.readiness.listen)
    if (url.isErr()) throw url.error
    return url.value
  }

  private _recordLimited (listener: string, kind: ClientLimitKind): void {
    this._counters.add('clients_limited', `${listener} ${kind}`)
    this._log.warn('client.limited', { listener, kind })
  }
}
