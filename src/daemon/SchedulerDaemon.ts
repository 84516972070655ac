/**
 * The scheduler process: owns shards, and decides alone about their hosts.
 */

import { createBroker } from '../runtime/Broker.js'
import { DefaultsSeeder } from '../runtime/config/DefaultsSeeder.js'
import { errorReply, okReply } from '../runtime/OperatorRoutes.js'
import { LoadReporter } from '../scheduler/LoadReporter.js'
import { DaemonCore } from './DaemonCore.js'
import { JobSide } from './JobSide.js'
import { feedFromOwner } from './MembersFeed.js'
import { OperatorSide } from './OperatorSide.js'
import { OwnershipSide } from './OwnershipSide.js'
import { RequestSide } from './RequestSide.js'

import type { ServiceBroker } from 'moleculer'
import type { IConfigEntry } from '../common/config/Types.js'
import type { IOperatorRequest, OperatorHandlers } from '../runtime/OperatorRoutes.js'
import type { ISettings } from '../runtime/settings/Types.js'
import type { IDaemon, IDaemonAddresses } from './Types.js'

const DRAIN_CALL_MS = 2000
const TELL_AFTER_MS = 20
/** Rows of one answer to an operator. */
const MAX_LISTED_JOBS = 1000

interface ISchedulerParts {
  readonly broker: ServiceBroker
  readonly operator: OperatorSide
  readonly operatorUrl: string
  readonly ownership: OwnershipSide
}

export class SchedulerDaemon implements IDaemon {
  private readonly _ownership: OwnershipSide
  private readonly _requests: RequestSide
  private readonly _jobs: JobSide
  private readonly _load: LoadReporter
  private _draining = false
  private _toldSlots = 0

  private constructor (private readonly _core: DaemonCore, private readonly _parts: ISchedulerParts) {
    this._ownership = _parts.ownership
    this._requests = new RequestSide(_core, this._ownership)
    this._jobs = new JobSide(_core, this._ownership)
    this._load = this._createLoadReporter()
    this._ownership.connect(this._jobs.jobs, () => this._load.announce())
    this._requests.runners.onChange(() => this._tellSlotsSoon())
    _core.watcher.onApplied((entries) => this._takeTeams(entries))
    _core.hub.handle('drain', async ({ hostId }) => {
      if (hostId !== undefined) this._ownership.directory.drainHost(hostId)
      return { draining: hostId !== undefined }
    })
  }

  public static async create (settings: ISettings): Promise<SchedulerDaemon> {
    const core = await DaemonCore.create(settings)
    const broker = createBroker(core.self.processId, core.log)
    const handlers: { current: OperatorHandlers } = { current: {} }
    const operator = new OperatorSide(core, { broker, times: {}, handlers: lateHandlers(handlers) })
    await broker.start()
    const operatorUrl = await operator.listen()
    const ownership = await OwnershipSide.create(core, operatorUrl)
    const daemon = new SchedulerDaemon(core, { broker, operator, operatorUrl, ownership })
    handlers.current = daemon._operatorHandlers()
    daemon._registerDumps()
    core.join(operatorUrl)
    core.disposables.add(feedFromOwner(ownership.owner, core.agent))
    return daemon
  }

  public async start (): Promise<IDaemonAddresses> {
    const { watcher, store, config, clock, log, self, hub } = this._core
    await watcher.start()
    await new DefaultsSeeder(store, config, clock, log, self.processId).seed()
    this._ownership.start()
    return { url: hub.url ?? '', operatorUrl: this._parts.operatorUrl }
  }

  public async stop (): Promise<void> {
    const { hub, settings, disposables, agent } = this._core
    this._draining = true
    agent.leave()
    this._load.announce()
    this._jobs.tasks.drain()
    const drained = this._requests.service.drain()
    await this._ownership.release()
    await drained
    for (const part of [this._load, this._jobs, this._ownership.directory]) part.dispose()
    await hub.close(settings.limits.drainMs)
    disposables.dispose()
    await this._parts.operator.close()
    await this._parts.broker.stop()
  }

  /**
   * Tells the others when runners come into use or go, a moment later so that a rack is told of once.
   *
   * What goes wrong otherwise: a shard is told of when it is taken over, before its first host has accepted the epoch.
   * Until the next summary, a second or more later, gateways see a scheduler without slots, and callers of a region
   * whose only rack has just changed hands are refused although its hosts are ready.
   */
  private _tellSlotsSoon (): void {
    const slots = this._requests.engine.load().capacity.cores
    if (slots === this._toldSlots) return
    this._toldSlots = slots
    this._core.clock.after(TELL_AFTER_MS, () => this._load.announce())
  }

  private _operatorHandlers (): OperatorHandlers {
    return {
      hosts: () => okReply({ hosts: [...this._requests.runners.dump(), ...this._jobs.workers.dump()] }),
      jobs: () => okReply({ jobs: this._jobs.jobs.list(MAX_LISTED_JOBS) }),
      shards: () => okReply({ shards: this._ownership.owner.held() }),
      drain: async ({ body }: IOperatorRequest) => okReply(await this._drain((body as { readonly hostId?: string } | undefined)?.hostId))
    }
  }

  /**
   * Takes a host out of use, here and at all linked schedulers, so that it stays so when its shard changes hands; or
   * stops this process.
   */
  private async _drain (hostId: string | undefined): Promise<{ readonly draining: boolean }> {
    if (hostId === undefined) process.kill(process.pid, 'SIGTERM')
    else {
      this._ownership.directory.drainHost(hostId)
      await Promise.all(this._core.hub.links().map(async (link) => await link.call('drain', { hostId }, DRAIN_CALL_MS)))
    }
    return { draining: true }
  }

  private _registerDumps (): void {
    const { dumps } = this._parts.operator
    dumps.register('shards', () => this._ownership.owner.held())
    dumps.register('runners', () => this._requests.runners.dump())
    dumps.register('workers', () => this._jobs.workers.dump())
    dumps.register('jobs', () => this._jobs.jobs.dump())
    dumps.register('requestEngine', () => ({ inFlight: this._requests.service.inFlight, ...this._requests.engine.dump() }))
    dumps.register('taskEngine', () => this._jobs.engine.dump())
  }

  private _createLoadReporter (): LoadReporter {
    const { self, hub, clock, router } = this._core
    return new LoadReporter(self, hub, clock, {
      requestLoad: () => this._requests.engine.load(),
      taskLoad: () => this._jobs.engine.load(),
      shards: () => this._ownership.owner.held(),
      draining: () => this._draining,
      storeReachable: () => this._ownership.storeReachable
    }, (summary) => router.noteSummary(summary))
  }

  private _takeTeams (entries: readonly IConfigEntry[]): void {
    for (const { name } of entries.filter((entry) => entry.kind === 'team')) {
      const team = this._core.config.team(name)
      if (team === undefined) continue
      this._requests.engine.putTeam(team)
      this._jobs.engine.putTeam(team)
    }
  }
}

/** The operator listener is bound before the parts that it tells of exist, because their entry names its address. */
function lateHandlers (handlers: { readonly current: OperatorHandlers }): OperatorHandlers {
  const late = (name: 'hosts' | 'jobs' | 'shards' | 'drain') => async (request: IOperatorRequest) =>
    await (handlers.current[name]?.(request) ?? errorReply(503, 'starting', 'this process is starting; ask again'))
  return { hosts: late('hosts'), jobs: late('jobs'), shards: late('shards'), drain: late('drain') }
}
