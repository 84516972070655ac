/**
 * The gateway process: takes callers' requests and jobs, and holds nothing that can't be lost with its connections.
 */

import { LatencyTable } from '../common/observability/LatencyTable.js'
import { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import { CallerServer } from '../gateway/CallerServer.js'
import { JobFlow } from '../gateway/JobFlow.js'
import { RequestFlow } from '../gateway/RequestFlow.js'
import { createBroker } from '../runtime/Broker.js'
import { okReply } from '../runtime/OperatorRoutes.js'
import { DaemonCore } from './DaemonCore.js'
import { MembersReader } from './MembersFeed.js'
import { OperatorSide } from './OperatorSide.js'

import type { ServiceBroker } from 'moleculer'
import type { IFlowContext, IOutcomeSink } from '../gateway/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { ICallerSettings, ISettings } from '../runtime/settings/Types.js'
import type { IDaemon, IDaemonAddresses } from './Types.js'

/** Rows of services and callers; beyond it callers are counted together. A row takes about 3 KB. */
const MAX_OUTCOME_ROWS = 2000
const MAX_SERVICES = 500

export class GatewayDaemon implements IDaemon, IOutcomeSink {
  private readonly _broker: ServiceBroker
  private readonly _outcomes = new OutcomeCounters(MAX_OUTCOME_ROWS)
  private readonly _waits = new LatencyTable(MAX_SERVICES)
  private readonly _serviceTimes = new LatencyTable(MAX_SERVICES)
  private readonly _server: CallerServer
  private readonly _operator: OperatorSide
  private _members: MembersReader | undefined

  private constructor (private readonly _core: DaemonCore, caller: ICallerSettings) {
    const { hub, router, config, attemptIds, hasher, clock, random, log, settings, self } = _core
    const flow: IFlowContext = { hub, router, config, attemptIds, hasher, clock, timers: clock, random, log }
    this._broker = createBroker(self.processId, log)
    this._server = new CallerServer({
      broker: this._broker,
      settings: caller,
      limits: settings.limits,
      requests: new RequestFlow(flow),
      jobs: new JobFlow(flow),
      config,
      outcomes: this,
      clock,
      log,
      isReady: () => config.entries().length > 0 && router.summaries().length > 0
    })
    this._operator = new OperatorSide(_core, {
      broker: this._broker,
      times: { waitMs: this._waits, serviceMs: this._serviceTimes },
      outcomes: this._outcomes,
      handlers: {
        drain: () => {
          process.kill(process.pid, 'SIGTERM')
          return okReply({ draining: true })
        }
      }
    })
  }

  public static async create (settings: ISettings, caller: ICallerSettings): Promise<GatewayDaemon> {
    return new GatewayDaemon(await DaemonCore.create(settings), caller)
  }

  public noteOutcome (service: string, caller: string, answer: IFinalAnswer, late: boolean): void {
    this._outcomes.noteOutcome(service, caller, answer, late)
    if (answer.waitMs !== undefined) this._waits.record(service, answer.waitMs)
    if (answer.serviceMs !== undefined) this._serviceTimes.record(service, answer.serviceMs)
  }

  public async start (): Promise<IDaemonAddresses> {
    const { hub, store, clock, watcher } = this._core
    await this._broker.start()
    const operatorUrl = await this._operator.listen()
    this._core.join(operatorUrl)
    this._members = new MembersReader(hub, store, clock, this._core.agent)
    await this._members.start()
    await watcher.start()
    return { url: await this._server.listen(), operatorUrl }
  }

  public async stop (): Promise<void> {
    const { clock, hub, settings, disposables, agent } = this._core
    this._server.startDraining()
    agent.leave()
    await new Promise<void>((resolve) => { clock.after(settings.limits.drainNoticeMs, resolve) })
    await this._server.close(settings.limits.drainMs)
    this._members?.dispose()
    await hub.close(settings.limits.drainMs)
    disposables.dispose()
    await this._operator.close()
    await this._broker.stop()
  }
}
