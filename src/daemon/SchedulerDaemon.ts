/**
 * The scheduler process: owns shards, and is the only process that schedules work on their hosts.
 */

import { createBroker } from '../runtime/Broker.js'
import { DefaultsSeeder } from '../runtime/config/DefaultsSeeder.js'
import { errorReply, okReply } from '../runtime/OperatorRoutes.js'
import { LoadReporter } from '../scheduler/LoadReporter.js'
import { DaemonCore } from './DaemonCore.js'
import { JobSubsystem } from './JobSubsystem.js'
import { forwardMembers } from './MembersReader.js'
import { OperatorEndpoint } from './OperatorEndpoint.js'
import { ShardOwnershipSubsystem } from './ShardOwnershipSubsystem.js'
import { RequestSubsystem } from './RequestSubsystem.js'

import type { ServiceBroker } from 'moleculer'
import type { IConfigEntry } from '../common/config/Types.js'
import type { IOperatorRequest, OperatorHandlers } from '../runtime/OperatorRoutes.js'
import type { ISettings } from '../runtime/settings/Types.js'
import type { IDaemon, IDaemonAddresses } from './Types.js'

const DRAIN_CALL_TIMEOUT_MS = 2000
/** Delay before changed slots are announced, in ms, so that the hosts of a rack are announced together. */
const ANNOUNCE_DELAY_MS = 20
/** Maximum number of jobs in one response to an operator. */
const MAX_LISTED_JOBS = 1000

interface ISchedulerParts {
  readonly broker: ServiceBroker
  readonly operator: OperatorEndpoint
  readonly operatorUrl: string
  readonly ownership: ShardOwnershipSubsystem
}

export class SchedulerDaemon implements IDaemon {
  private readonly _ownership: ShardOwnershipSubsystem
  private readonly _requests: RequestSubsystem
  private readonly _jobs: JobSubsystem
  private readonly _loadReporter: LoadReporter
  private _isDraining = false
  private _announcedSlots = 0

  private constructor (private readonly _core: DaemonCore, private readonly _parts: ISchedulerParts) {
    this._ownership = _parts.ownership
    this._requests = new RequestSubsystem(_core, this._ownership)
    this._jobs = new JobSubsystem(_core, this._ownership)
    this._loadReporter = this._createLoadReporter()
    this._ownership.connect(this._jobs.jobs, () => this._loadReporter.announce())
    this._requests.runners.onChange(() => this._announceSlotsSoon())
    _core.watcher.onApplied((entries) => this._applyTeams(entries))
    _core.hub.handle('drain', async ({ hostId }) => {
      if (hostId !== undefined) this._ownership.directory.drainHost(hostId)
      return { draining: hostId !== undefined }
    })
  }

  public static async create (settings: ISettings): Promise<SchedulerDaemon> {
    const core = await DaemonCore.create(settings)
    const broker = createBroker(core.self.processId, core.log)
    const handlers: { current: OperatorHandlers } = { current: {} }
    const operator = new OperatorEndpoint(core, { broker, times: {}, handlers: createDeferredHandlers(handlers) })
    await broker.start()
    const operatorUrl = await operator.listen()
    const ownership = await ShardOwnershipSubsystem.create(core, operatorUrl)
    const daemon = new SchedulerDaemon(core, { broker, operator, operatorUrl, ownership })
    handlers.current = daemon._operatorHandlers()
    daemon._registerDumps()
    core.join(operatorUrl)
    core.disposables.add(forwardMembers(ownership.owner, core.agent))
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
    this._isDraining = true
    agent.leave()
    this._loadReporter.announce()
    this._jobs.tasks.drain()
    const drained = this._requests.service.drain()
    await this._ownership.release()
    await drained
    for (const part of [this._loadReporter, this._jobs, this._ownership.directory]) part.dispose()
    await hub.close(settings.limits.drainMs)
    disposables.dispose()
    await this._parts.operator.close()
    await this._parts.broker.stop()
  }

  /**
   * Announces the load if the number of slots has changed, after a short delay so that a rack is announced once.
   *
   * The announcement at a takeover of a shard is not enough: at that time no host has accepted the new epoch yet. Until the next
   * periodic summary, a second or more later, gateways would see a scheduler without slots. If the only rack of a region had just
   * changed its owner, callers of this region would be refused although its hosts are ready.
   */
  private _announceSlotsSoon (): void {
    const slots = this._requests.engine.load().capacity.cores
    if (slots === this._announcedSlots) return
    this._announcedSlots = slots
    this._core.clock.after(ANNOUNCE_DELAY_MS, () => this._loadReporter.announce())
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
   * Drains a host at this and all linked schedulers, so that it stays drained if its shard changes its owner. Without a host, stops
   * this process gracefully.
   */
  private async _drain (hostId: string | undefined): Promise<{ readonly draining: boolean }> {
    if (hostId === undefined) process.kill(process.pid, 'SIGTERM')
    else {
      this._ownership.directory.drainHost(hostId)
      await Promise.all(this._core.hub.links().map(async (link) => await link.call('drain', { hostId }, DRAIN_CALL_TIMEOUT_MS)))
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
      draining: () => this._isDraining,
      storeReachable: () => this._ownership.isStoreReachable
    }, (summary) => router.updateSummary(summary))
  }

  private _applyTeams (entries: readonly IConfigEntry[]): void {
    for (const { name } of entries.filter((entry) => entry.kind === 'team')) {
      const team = this._core.config.team(name)
      if (team === undefined) continue
      this._requests.engine.putTeam(team)
      this._jobs.engine.putTeam(team)
    }
  }
}

/**
 * Returns handlers that forward to the current ones. The operator listener is bound before the parts exist that its handlers read,
 * because the member entry of this process contains the listener's address.
 */
function createDeferredHandlers (handlers: { readonly current: OperatorHandlers }): OperatorHandlers {
  const defer = (name: 'hosts' | 'jobs' | 'shards' | 'drain') => async (request: IOperatorRequest) =>
    await (handlers.current[name]?.(request) ?? errorReply(503, 'starting', 'this process is starting; try again'))
  return { hosts: defer('hosts'), jobs: defer('jobs'), shards: defer('shards'), drain: defer('drain') }
}
