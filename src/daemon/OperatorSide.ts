/**
 * The operators' side of one process, put together: listener, configuration, dumps, metrics. The process adds what only
 * it has, such as hosts or outcomes, as its parts come into being.
 */

import { DumpRegistry } from '../common/observability/DumpRegistry.js'
import { LatencyTable } from '../common/observability/LatencyTable.js'
import { ProcessMetrics } from '../common/observability/ProcessMetrics.js'
import { createBroker } from '../platform/Broker.js'
import { ConfigEditor, EDITOR_DEFAULTS } from '../platform/config/ConfigEditor.js'
import { ConfigRoutes } from '../platform/ConfigRoutes.js'
import { DumpOnSignal } from '../platform/DumpOnSignal.js'
import { NodeReadings } from '../platform/NodeReadings.js'
import { faultReply, okReply } from '../platform/OperatorRoutes.js'
import { OperatorServer } from '../platform/OperatorServer.js'
import { stateHandlers } from '../platform/StateRoutes.js'
import { packageVersion } from '../platform/Version.js'
import { RevisionPlaces } from './RevisionPlaces.js'

import type { ServiceBroker } from 'moleculer'
import type { IOperatorReply, IOperatorRequest, OperatorHandlers } from '../platform/OperatorRoutes.js'
import type { DaemonCore } from './DaemonCore.js'

/** Services and profiles with times of their own; each takes 14 KB. */
const MAX_TIMED_NAMES = 64

export class OperatorSide {
  public readonly dumps: DumpRegistry
  /** From arrival to dispatch, by service. */
  public readonly waitTimes = new LatencyTable(MAX_TIMED_NAMES)
  /** From dispatch to the whole answer, by service. */
  public readonly serviceTimes = new LatencyTable(MAX_TIMED_NAMES)
  private readonly _handlers: OperatorHandlers = {}
  private readonly _metrics: ProcessMetrics
  private readonly _server: OperatorServer
  private _url = ''

  private constructor (private readonly _core: DaemonCore, broker: ServiceBroker) {
    const { settings, clock, disposables, log, self } = _core
    this.dumps = new DumpRegistry(settings.limits.maxDumpBytes)
    this._metrics = disposables.add(new ProcessMetrics(clock, readingsOf(_core)))
    disposables.add(new DumpOnSignal(this.dumps, log))
    this._registerSections()
    this._server = new OperatorServer(broker, settings.operator, settings.limits, this._handlers, log)
    const times = { wait: this.waitTimes, service: this.serviceTimes }
    this.add(stateHandlers({ processId: self.processId, dumps: this.dumps, metrics: this._metrics, times }))
    this.add(this._configRoutes().handlers())
    this.add({ members: () => okReply({ members: _core.agent.members() }), drain: request => drain(request) })
  }

  /** Listens at once, so that the address is known before the process joins the others. */
  public static async create (core: DaemonCore, broker = createBroker(core.self.processId, core.log)): Promise<OperatorSide> {
    const side = new OperatorSide(core, broker)
    const url = await side._server.listen()
    if (url.isErr()) throw url.error
    side._url = url.value
    core.log.info('operator.listening', { url: side._url })
    return side
  }

  /** The base URL of the listener. */
  public get url (): string {
    return this._url
  }

  /** Answers further routes. */
  public add (handlers: OperatorHandlers): void {
    Object.assign(this._handlers, handlers)
  }

  public async close (): Promise<void> {
    await this._server.close()
  }

  private _configRoutes (): ConfigRoutes {
    const { store, config, clock } = this._core
    const editor = new ConfigEditor(store, config, clock, { ...EDITOR_DEFAULTS, newNonce: () => this._core.nonce() })
    const places = new RevisionPlaces(this._core)
    return new ConfigRoutes(editor, config, (kind, name) => places.ask(kind, name))
  }

  private _registerSections (): void {
    const { self, hub, router, config, settings, clock } = this._core
    this.dumps.register('process', () => ({ ...self, role: settings.process.role, version: packageVersion(), pid: process.pid }))
    this.dumps.register('metrics', () => this._metrics.current())
    this.dumps.register('config', () => ({ digest: config.digest(), revisions: revisionsOf(this._core) }))
    this.dumps.register('members', () => this._core.agent.members())
    this.dumps.register('links', () => hub.links().map(link => ({ peer: link.peer, silentMs: clock.nowMs() - link.lastHeardMs })))
    this.dumps.register('loads', () => router.summaries())
  }
}

function readingsOf ({ hub, store }: DaemonCore): NodeReadings {
  return new NodeReadings({
    peerSentBytes: () => hub.traffic().sentBytes,
    peerReceivedBytes: () => hub.traffic().receivedBytes,
    crossRegionSentBytes: () => hub.traffic().crossRegionSentBytes,
    storeCalls: () => store.callCount
  })
}

function revisionsOf ({ config }: DaemonCore): object {
  return Object.fromEntries(config.entries().map(({ kind, name, revision }) => [`${kind}/${name}`, revision]))
}

/** Draining a process is its planned stop: as on SIGTERM, work in flight gets its answers first. */
function drain ({ body }: IOperatorRequest): IOperatorReply {
  const hostId = (body as { readonly hostId?: unknown } | undefined)?.hostId
  if (hostId !== undefined) {
    return faultReply(400, 'notSupported', 'a host leaves by the platform\'s host list; mark it as leaving there')
  }
  process.kill(process.pid, 'SIGTERM')
  return okReply({ draining: true })
}
