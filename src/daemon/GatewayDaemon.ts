/**
 * The gateway process: accepts requests and jobs from callers. It holds no state that must survive its connections.
 */

import { LatencyTable } from '../common/observability/LatencyTable.js'
import { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import { CallerServer } from '../gateway/CallerServer.js'
import { JobForwarder } from '../gateway/JobForwarder.js'
import { RequestForwarder } from '../gateway/RequestForwarder.js'
import { createBroker } from '../runtime/Broker.js'
import { okReply } from '../runtime/OperatorRoutes.js'
import { DaemonCore } from './DaemonCore.js'
import { MembersReader } from './MembersReader.js'
import { OperatorEndpoint } from './OperatorEndpoint.js'

import type { ServiceBroker } from 'moleculer'
import type { IForwarderContext, IOutcomeSink } from '../gateway/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { ICallerSettings, ISettings } from '../runtime/settings/Types.js'
import type { IDaemon, IDaemonAddresses } from './Types.js'

/** Maximum number of rows, one for each service and caller; the callers beyond it are counted together. A row takes about 3 KB. */
const MAX_OUTCOME_ROWS = 2000
const MAX_SERVICES = 500

export class GatewayDaemon implements IDaemon, IOutcomeSink {
  private readonly _broker: ServiceBroker
  private readonly _outcomes = new OutcomeCounters(MAX_OUTCOME_ROWS)
  private readonly _waitTimes = new LatencyTable(MAX_SERVICES)
  private readonly _serviceTimes = new LatencyTable(MAX_SERVICES)
  private readonly _callerServer: CallerServer
  private readonly _operatorEndpoint: OperatorEndpoint
  private _membersReader: MembersReader | undefined

  private constructor (private readonly _core: DaemonCore, caller: ICallerSettings) {
    const { hub, router, config, attemptIds, hasher, clock, random, log, settings, self } = _core
    const flowContext: IForwarderContext = { hub, router, config, attemptIds, hasher, clock, timers: clock, random, log }
    this._broker = createBroker(self.processId, log)
    this._callerServer = new CallerServer({
      broker: this._broker,
      settings: caller,
      limits: settings.limits,
      requests: new RequestForwarder(flowContext),
      jobs: new JobForwarder(flowContext),
      config,
      outcomes: this,
      clock,
      log,
      isReady: () => config.entries().length > 0 && router.summaries().length > 0
    })
    this._operatorEndpoint = new OperatorEndpoint(_core, {
      broker: this._broker,
      times: { waitMs: this._waitTimes, serviceMs: this._serviceTimes },
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

  public recordOutcome (service: string, caller: string, answer: IFinalAnswer, isLate: boolean): void {
    this._outcomes.recordOutcome(service, caller, answer, isLate)
    if (answer.waitMs !== undefined) this._waitTimes.record(service, answer.waitMs)
    if (answer.serviceMs !== undefined) this._serviceTimes.record(service, answer.serviceMs)
  }

  public async start (): Promise<IDaemonAddresses> {
    const { hub, store, clock, watcher } = this._core
    await this._broker.start()
    const operatorUrl = await this._operatorEndpoint.listen()
    this._core.join(operatorUrl)
    this._membersReader = new MembersReader(hub, store, clock, this._core.agent)
    await this._membersReader.start()
    await watcher.start()
    return { url: await this._callerServer.listen(), operatorUrl }
  }

  public async stop (): Promise<void> {
    const { clock, hub, settings, disposables, agent } = this._core
    this._callerServer.startDraining()
    agent.leave()
    await new Promise<void>((resolve) => { clock.after(settings.limits.drainNoticeMs, resolve) })
    await this._callerServer.close(settings.limits.drainMs)
    this._membersReader?.dispose()
    await hub.close(settings.limits.drainMs)
    disposables.dispose()
    await this._operatorEndpoint.close()
    await this._broker.stop()
  }
}
