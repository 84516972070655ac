/**
 * The gateway process: takes callers' requests and jobs, and holds nothing that can't be lost with its connections.
 */

import { ServiceBroker } from 'moleculer'
import { CallerServer } from '../gateway/CallerServer.js'
import { JobFlow } from '../gateway/JobFlow.js'
import { RequestFlow } from '../gateway/RequestFlow.js'
import { DaemonCore } from './DaemonCore.js'
import { MembersReader } from './MembersFeed.js'

import type { IFlowContext } from '../gateway/Types.js'
import type { ICallerSettings, ISettings } from '../platform/settings/Types.js'
import type { IDaemon } from './Types.js'

export class GatewayDaemon implements IDaemon {
  private readonly _broker = new ServiceBroker({ logger: false, transporter: null, skipProcessEventRegistration: true })
  private readonly _server: CallerServer
  private readonly _members: MembersReader

  private constructor (private readonly _core: DaemonCore, caller: ICallerSettings) {
    const { hub, router, config, attemptIds, hasher, clock, random, log, settings } = _core
    const flow: IFlowContext = { hub, router, config, attemptIds, hasher, clock, timers: clock, random, log }
    _core.join('')
    this._members = new MembersReader(hub, _core.store, clock, _core.agent)
    this._server = new CallerServer({
      broker: this._broker,
      settings: caller,
      limits: settings.limits,
      requests: new RequestFlow(flow),
      jobs: new JobFlow(flow),
      config,
      outcomes: { noteOutcome: () => {} },
      clock,
      log,
      isReady: () => config.entries().length > 0 && router.summaries().length > 0
    })
  }

  public static async create (settings: ISettings, caller: ICallerSettings): Promise<GatewayDaemon> {
    return new GatewayDaemon(await DaemonCore.create(settings), caller)
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
    await this._broker.stop()
  }
}
