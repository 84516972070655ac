/**
 * The gateway process: takes callers' requests and jobs, and holds nothing that can't be lost with its connections.
 */

import { OutcomeCounters } from '../common/observability/OutcomeCounters.js'
import { CallerServer } from '../gateway/CallerServer.js'
import { JobFlow } from '../gateway/JobFlow.js'
import { RequestFlow } from '../gateway/RequestFlow.js'
import { createBroker } from '../platform/Broker.js'
import { outcomeHandlers } from '../platform/StateRoutes.js'
import { DaemonCore } from './DaemonCore.js'
import { MembersReader } from './MembersFeed.js'
import { OperatorSide } from './OperatorSide.js'

import type { ServiceBroker } from 'moleculer'
import type { IFinalAnswer } from '../common/Types.js'
import type { IFlowContext } from '../gateway/Types.js'
import type { ICallerSettings, ISettings } from '../platform/settings/Types.js'
import type { IDaemon } from './Types.js'

/** Callers with a row of their own in the outcomes, 3 KB each. */
const MAX_OUTCOME_ROWS = 1000

export class GatewayDaemon implements IDaemon {
  private readonly _outcomes = new OutcomeCounters(MAX_OUTCOME_ROWS)
  private readonly _server: CallerServer
  private readonly _members: MembersReader

  private constructor (
    private readonly _core: DaemonCore, private readonly _broker: ServiceBroker, private readonly _operator: OperatorSide, caller: ICallerSettings
  ) {
    const { hub, router, config, attemptIds, hasher, clock, random, log, settings } = _core
    const flow: IFlowContext = { hub, router, config, attemptIds, hasher, clock, timers: clock, random, log }
    _core.join(_operator.url)
    this._members = new MembersReader(hub, _core.store, clock, _core.agent)
    this._server = new CallerServer({
      broker: this._broker,
      settings: caller,
      limits: settings.limits,
      requests: new RequestFlow(flow),
      jobs: new JobFlow(flow),
      config,
      outcomes: { noteOutcome: (service, name, answer, late) => this._noteOutcome(service, name, answer, late) },
      clock,
      log,
      isReady: () => config.entries().length > 0 && router.summaries().length > 0
    })
    _operator.add(outcomeHandlers(_core.self.processId, this._outcomes))
    _operator.dumps.register('requests', () => ({ inFlight: this._server.inFlight }))
  }

  public static async create (settings: ISettings, caller: ICallerSettings): Promise<GatewayDaemon> {
    const core = await DaemonCore.create(settings)
    const broker = createBroker(core.self.processId, core.log)
    return new GatewayDaemon(core, broker, await OperatorSide.create(core, broker), caller)
  }

  public async start (): Promise<string> {
    await this._members.start()
    await this._core.watcher.start()
    await this._broker.start()
    return this._server.url
  }

  public async stop (): Promise<void> {
    const { clock, hub, settings, disposables } = this._core
    this._server.startDraining()
    this._core.agent.leave()
    await new Promise<void>((resolve) => { clock.after(settings.limits.drainNoticeMs, resolve) })
    await this._server.close(settings.limits.drainMs)
    this._members.dispose()
    disposables.dispose()
    await hub.close(settings.limits.drainMs)
    await this._operator.close()
    await this._broker.stop()
  }

  private _noteOutcome (service: string, caller: string, answer: IFinalAnswer, late: boolean): void {
    this._outcomes.noteOutcome(service, caller, answer, late)
    if (answer.waitMs !== undefined) this._operator.waitTimes.record(service, answer.waitMs)
    if (answer.serviceMs !== undefined) this._operator.serviceTimes.record(service, answer.serviceMs)
  }
}
