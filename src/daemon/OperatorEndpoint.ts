/**
 * Serves operators' requests to a process: state dump, metrics, configuration, members, and the routes of the process's own role.
 */

import { request } from 'undici'
import { DumpRegistry } from '../common/observability/DumpRegistry.js'
import { ProcessMetrics } from '../common/observability/ProcessMetrics.js'
import { ConfigEditor, EDITOR_DEFAULTS } from '../runtime/config/ConfigEditor.js'
import { ConfigRoutes } from '../runtime/ConfigRoutes.js'
import { SignalDumpWriter } from '../runtime/SignalDumpWriter.js'
import { NodeReadings } from '../runtime/NodeReadings.js'
import { okReply } from '../runtime/OperatorRoutes.js'
import { OperatorServer } from '../runtime/OperatorServer.js'
import { stateHandlers } from '../runtime/StateRoutes.js'

import type { ServiceBroker } from 'moleculer'
import type { ConfigKind } from '../common/config/Types.js'
import type { LatencyTable } from '../common/observability/LatencyTable.js'
import type { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import type { IMember } from '../common/protocol/Types.js'
import type { IProcessRevision } from '../runtime/ConfigRoutes.js'
import type { OperatorHandlers } from '../runtime/OperatorRoutes.js'
import type { DaemonCore } from './DaemonCore.js'

const CALL_TIMEOUT_MS = 2000

export interface IOperatorEndpointOptions {
  readonly broker: ServiceBroker
  /** Further routes of this kind of process. */
  readonly handlers: OperatorHandlers
  readonly times: Readonly<Record<string, LatencyTable>>
  readonly outcomes?: OutcomeCounters
}

export class OperatorEndpoint {
  public readonly dumps: DumpRegistry
  private readonly _server: OperatorServer

  public constructor (private readonly _core: DaemonCore, options: IOperatorEndpointOptions) {
    const { settings, clock, store, hub, config, self, log, disposables } = _core
    this.dumps = new DumpRegistry(settings.limits.maxDumpBytes)
    const metrics = disposables.add(new ProcessMetrics(clock, new NodeReadings({
      peerSentBytes: () => hub.traffic().sentBytes,
      peerReceivedBytes: () => hub.traffic().receivedBytes,
      crossRegionSentBytes: () => hub.traffic().crossRegionSentBytes,
      storeCalls: () => store.callCount
    })))
    disposables.add(new SignalDumpWriter(this.dumps, log))
    const editor = new ConfigEditor(store, config, clock, { ...EDITOR_DEFAULTS, newNonce: () => _core.createNonce() })
    const { broker, handlers, times, outcomes } = options
    this._server = new OperatorServer(broker, settings.operator, settings.limits, {
      ...stateHandlers({ processId: self.processId, dumps: this.dumps, metrics, times, ...(outcomes === undefined ? {} : { outcomes }) }),
      ...new ConfigRoutes(editor, config, async (kind, name) => await this._fetchRevisions(kind, name)).handlers(),
      members: () => okReply({ members: _core.agent.members() }),
      ...handlers
    }, log)
    this._registerDumps()
  }

  /** Binds the listener and returns its base URL. */
  public async listen (): Promise<string> {
    const url = await this._server.listen()
    if (url.isErr()) throw url.error
    return url.value
  }

  public async close (): Promise<void> {
    await this._server.close()
  }

  private _registerDumps (): void {
    const { hub, config, router, clock } = this._core
    this.dumps.register('links', () => hub.links().map((link) => ({ ...link.peer, silentMs: clock.nowMs() - link.lastReceivedMs })))
    this.dumps.register('traffic', () => ({ ...hub.traffic(), ...hub.counters }))
    this.dumps.register('config', () => config.entries().map(({ kind, name, revision, deleted }) => ({ kind, name, revision, deleted })))
    this.dumps.register('load', () => router.summaries())
    this.dumps.register('members', () => this._core.agent.members())
  }

  private async _fetchRevisions (kind: ConfigKind, name: string): Promise<readonly IProcessRevision[]> {
    const aliveMembers = this._core.agent.members().filter((member) => member.state !== 'dead')
    return await Promise.all(aliveMembers.map(async (member) => await this._fetchRevision(member, kind, name)))
  }

  private async _fetchRevision (member: IMember, kind: ConfigKind, name: string): Promise<IProcessRevision> {
    const { processId, region } = member
    try {
      const response = await request(`${member.operatorUrl}/v1/config/${kind}/${name}?source=replica`, {
        headers: { authorization: `Bearer ${this._core.settings.operator.token}` },
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS
      })
      const { entry } = await response.body.json() as { readonly entry?: { readonly revision: number } }
      return entry === undefined ? { processId, region } : { processId, region, revision: entry.revision }
    } catch (error) {
      return { processId, region, error: error instanceof Error ? error.message : String(error) }
    }
  }
}
