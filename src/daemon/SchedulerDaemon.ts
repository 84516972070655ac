/**
 * The scheduler process: owns shards, and decides alone about their hosts.
 */

import { DecisionEngine } from '../common/policy/DecisionEngine.js'
import { createHash32, ShardAssignment } from '../common/state/ShardAssignment.js'
import { loadChart } from '../platform/ChartLoader.js'
import { DefaultsSeeder } from '../platform/config/DefaultsSeeder.js'
import { createBroker } from '../platform/Broker.js'
import { HostListClient } from '../platform/HostListClient.js'
import { faultReply, okReply } from '../platform/OperatorRoutes.js'
import { RunnerClient } from '../platform/RunnerClient.js'
import { WorkerClient } from '../platform/WorkerClient.js'
import { HostDirectory } from '../scheduler/hosts/HostDirectory.js'
import { RunnerPool } from '../scheduler/hosts/RunnerPool.js'
import { shardOfHost } from '../scheduler/hosts/Types.js'
import { JobOwner, JobPeers, serveJobs, TaskService, WorkerPool } from '../scheduler/jobs/index.js'
import { LoadReporter } from '../scheduler/LoadReporter.js'
import {
  ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS, DEFAULT_MEMBER_REGISTRATION_OPTIONS, DEFAULT_SHARD_OWNER_OPTIONS,
  idShardSpecs, MemberRegistration, ShardOwner
} from '../scheduler/ownership/index.js'
import { ClaimClient } from '../scheduler/requests/ClaimClient.js'
import { adoptedItem } from '../scheduler/requests/AdoptedItem.js'
import { QueueShifter } from '../scheduler/requests/QueueShifter.js'
import { RequestService } from '../scheduler/requests/RequestService.js'
import { DaemonCore } from './DaemonCore.js'
import { feedFromOwner } from './MembersFeed.js'
import { OperatorSide } from './OperatorSide.js'

import type { ServiceBroker } from 'moleculer'
import type { IConfigEntry } from '../common/config/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IOperatorRequest, OperatorHandlers } from '../platform/OperatorRoutes.js'
import type { IShardEvents } from '../scheduler/hosts/Types.js'
import type { IShardSpec } from '../common/state/Types.js'
import type { IShardAcquired, IShardLost } from '../scheduler/ownership/index.js'
import type { ISettings } from '../platform/settings/Types.js'
import type { IDaemon, IDaemonAddresses } from './Types.js'

/** Releasing the shards waits for the store; in an outage the lease has to lapse instead. */
const RELEASE_LIMIT_MS = 5000
/** Of one answer to an operator; some 100 bytes each. */
const MAX_LISTED_JOBS = 1000
/** Two renewals may be lost before the lease lapses. */
const RENEWALS_PER_LEASE = 3

const DRAIN_CALL_MS = 2000
/** Summaries come once a second; in between there is little new to decide by. */
const SHIFT_MS = 500

interface ISchedulerParts {
  readonly broker: ServiceBroker
  readonly operator: OperatorSide
  readonly hash: Awaited<ReturnType<typeof createHash32>>
}

export class SchedulerDaemon implements IDaemon {
  private readonly _runnerClient = new RunnerClient()
  private readonly _engine: DecisionEngine
  private readonly _taskEngine: DecisionEngine
  private readonly _directory: HostDirectory
  private readonly _registration: MemberRegistration
  private readonly _claims: ClaimService
  private readonly _owner: ShardOwner
  private readonly _runners: RunnerPool
  private readonly _requests: RequestService
  private readonly _tasks: TaskService
  private readonly _workers: WorkerPool
  private readonly _jobs: JobOwner
  private readonly _load: LoadReporter
  private readonly _broker: ServiceBroker
  private readonly _operator: OperatorSide
  private _draining = false
  private _storeReachable = true

  private constructor (private readonly _core: DaemonCore, operatorUrl: string, parts: ISchedulerParts) {
    const { clock, log, settings, random } = _core
    this._broker = parts.broker
    this._operator = parts.operator
    this._engine = new DecisionEngine(clock, random, { kind: 'slots' })
    this._taskEngine = new DecisionEngine(clock, random, { kind: 'resources' })
    const hostList = new HostListClient({ url: settings.hostList.url, callTimeoutMs: settings.store.callTimeoutMs })
    this._directory = new HostDirectory(hostList, clock, settings.hostList.pollMs, log)
    this._registration = this._createRegistration(operatorUrl)
    this._claims = this._createClaims()
    this._owner = this._createOwner(parts.hash)
    this._runners = this._createRunners()
    this._requests = this._createRequests()
    const peers = new JobPeers(_core.hub, clock)
    this._tasks = this._createTasks(peers)
    this._workers = this._createWorkers()
    this._jobs = this._createJobs(peers)
    this._load = this._createLoadReporter()
    this._follow()
    this._handle()
    serveJobs(peers, this._tasks, this._jobs)
  }

  public static async create (settings: ISettings): Promise<SchedulerDaemon> {
    const core = await DaemonCore.create(settings)
    const broker = createBroker(core.self.processId, core.log)
    const handlers: { current: OperatorHandlers } = { current: {} }
    const operator = new OperatorSide(core, { broker, times: {}, handlers: lateHandlers(handlers) })
    await broker.start()
    const operatorUrl = await operator.listen()
    const daemon = new SchedulerDaemon(core, operatorUrl, { broker, operator, hash: await createHash32() })
    handlers.current = daemon._operatorHandlers()
    daemon._registerDumps()
    core.join(operatorUrl)
    core.disposables.add(feedFromOwner(daemon._owner, core.agent))
    return daemon
  }

  public async start (): Promise<IDaemonAddresses> {
    await this._core.watcher.start()
    await this._seeder().seed()
    this._directory.start()
    this._registration.start()
    this._owner.start()
    return { url: this._core.hub.url ?? '', operatorUrl: this._registration.entry.operatorUrl }
  }

  public async stop (): Promise<void> {
    const { clock, hub, settings, disposables } = this._core
    this._draining = true
    this._core.agent.leave()
    this._load.announce()
    this._tasks.drain()
    const drained = this._requests.drain()
    const released = this._owner.releaseAll().then(async () => { await this._registration.stop() })
    await Promise.race([released, new Promise<void>((resolve) => { clock.after(RELEASE_LIMIT_MS, resolve) })])
    await drained
    for (const part of [this._load, this._jobs, this._workers, this._tasks, this._directory]) part.dispose()
    await hub.close(settings.limits.drainMs)
    disposables.dispose()
    await this._operator.close()
    await this._broker.stop()
  }

  private _operatorHandlers (): OperatorHandlers {
    return {
      hosts: () => okReply({ hosts: [...this._runners.dump(), ...this._workers.dump()] }),
      jobs: () => okReply({ jobs: this._jobs.list(MAX_LISTED_JOBS) }),
      shards: () => okReply({ shards: this._owner.held() }),
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
      this._directory.drain(hostId)
      await Promise.all(this._core.hub.links().map(async (link) => await link.call('drain', { hostId }, DRAIN_CALL_MS)))
    }
    return { draining: true }
  }

  private _registerDumps (): void {
    const { dumps } = this._operator
    dumps.register('shards', () => this._owner.held())
    dumps.register('runners', () => this._runners.dump())
    dumps.register('workers', () => this._workers.dump())
    dumps.register('jobs', () => this._jobs.dump())
    dumps.register('requestEngine', () => ({ inFlight: this._requests.inFlight, ...this._engine.dump() }))
    dumps.register('taskEngine', () => this._taskEngine.dump())
  }

  private _createRegistration (operatorUrl: string): MemberRegistration {
    const { self, peerUrl, store, clock, settings } = this._core
    const { leaseTtlMs } = settings.store
    const entry = { ...self, role: 'scheduler' as const, peerUrl, operatorUrl, draining: false }
    const keepAliveMs = leaseTtlMs / RENEWALS_PER_LEASE
    return new MemberRegistration(store, clock, entry, { ...DEFAULT_MEMBER_REGISTRATION_OPTIONS, leaseTtlMs, keepAliveMs })
  }

  private _createClaims (): ClaimService {
    const { self, store, clock, settings } = this._core
    return new ClaimService(store, clock, () => this._core.nonce(), {
      ...DEFAULT_CLAIM_SERVICE_OPTIONS,
      owner: self.processId,
      idShardCount: settings.ids.idShards,
      fleetWritesPerSecond: settings.ids.storeWritesPerSecond,
      retentionMs: settings.ids.claimRetentionMs
    })
  }

  private _createOwner (hash: Awaited<ReturnType<typeof createHash32>>): ShardOwner {
    const { store, clock } = this._core
    const chart = loadChart('shardOwnership')._unsafeUnwrap()
    const user = { beforeRelease: async (shardId: string) => { await this._claims.close(shardId) } }
    const nonce = (): string => this._core.nonce()
    return new ShardOwner(store, clock, this._registration, chart, new ShardAssignment(hash), user, nonce, DEFAULT_SHARD_OWNER_OPTIONS)
  }

  private _seeder (): DefaultsSeeder {
    const { store, config, clock, log, self } = this._core
    return new DefaultsSeeder(store, config, clock, log, self.processId)
  }

  private _shardEvents (): IShardEvents {
    return {
      onAcquired: this._owner.onAcquired,
      onLost: this._owner.onLost,
      noteFenced: (shardId: string, currentEpoch: number) => this._owner.fenced(shardId, currentEpoch),
      confirm: async (shardId: string, epoch: number) => await this._owner.confirm(shardId, epoch)
    }
  }

  private _createRunners (): RunnerPool {
    const { clock, log } = this._core
    return new RunnerPool({
      engine: this._engine,
      client: this._runnerClient,
      directory: this._directory,
      shards: this._shardEvents(),
      clock,
      timers: clock,
      log,
      adoptedItem
    })
  }

  private _createTasks (peers: JobPeers): TaskService {
    const { router: shards, config, hasher, clock, log } = this._core
    const idShardOf = (jobId: string): string => hasher.idShard(jobId)
    return new TaskService({ engine: this._taskEngine, peers, shards, config, idShardOf, clock, timers: clock, log })
  }

  private _createWorkers (): WorkerPool {
    const { clock, log } = this._core
    const pool = new WorkerPool({
      client: new WorkerClient(), engine: this._taskEngine, directory: this._directory, shards: this._shardEvents(), clock, timers: clock, log
    }, this._tasks.runner)
    this._tasks.runner.setPool(pool)
    return pool
  }

  private _createJobs (peers: JobPeers): JobOwner {
    const { router: shards, config, hasher, clock, random, log } = this._core
    return new JobOwner({
      jobLog: this._claims,
      peers,
      shards,
      config,
      hosts: () => this._directory.hosts,
      idShardOf: (jobId) => hasher.idShard(jobId),
      taskChart: loadChart('task')._unsafeUnwrap(),
      clock,
      timers: clock,
      random,
      log
    })
  }

  private _createRequests (): RequestService {
    const { self, hub, router, config, hasher, clock, random, log } = this._core
    const localOutcomeOf = async (attemptId: string, waitMs: number): Promise<IFinalAnswer> => await this._requests.outcomeOf(attemptId, waitMs)
    const claims = new ClaimClient({ self, hub, router, local: this._claims, localOutcomeOf, clock, timers: clock })
    return new RequestService({
      self,
      engine: this._engine,
      runners: this._runners,
      client: this._runnerClient,
      claims,
      bounds: this._core.settings.limits,
      config,
      hasher,
      clock,
      timers: clock,
      random,
      log
    })
  }

  private _createLoadReporter (): LoadReporter {
    const { self, hub, clock, router } = this._core
    return new LoadReporter(self, hub, clock, {
      requestLoad: () => this._engine.load(),
      taskLoad: () => this._taskEngine.load(),
      shards: () => this._owner.held(),
      draining: () => this._draining,
      storeReachable: () => this._storeReachable
    }, (summary) => router.noteSummary(summary))
  }

  private _follow (): void {
    this._directory.onChange((hosts) => {
      const racks = new Map(hosts.map((host) => [shardOfHost(host), host]))
      const specs = [...racks].map(([shardId, host]): IShardSpec => ({ shardId, kind: `${host.kind}s`, region: host.region }))
      this._owner.setShards(specs)
    })
    this._owner.setShards(idShardSpecs(this._core.settings.ids.idShards))
    this._owner.onAcquired((shard) => this._acquired(shard))
    this._owner.onLost((shard) => this._lost(shard))
    this._owner.onReachable((reachable) => { this._storeReachable = reachable })
    this._core.watcher.onApplied((entries) => this._takeTeams(entries))
    this._followQueues()
    this._claims.onLost(({ shardId, epoch }) => this._owner.fenced(shardId, epoch + 1))
  }

  private _followQueues (): void {
    const { self, hub, clock, random, disposables } = this._core
    const shifter = new QueueShifter(self, clock, random)
    disposables.add(hub.listen('loadSummary', (summary) => shifter.noteSummary(summary)))
    disposables.add(hub.onLost((peer) => shifter.forget(peer.processId)))
    disposables.add(clock.every(SHIFT_MS, () => this._requests.shift(shifter)))
  }

  private _takeTeams (entries: readonly IConfigEntry[]): void {
    for (const { name } of entries.filter((entry) => entry.kind === 'team')) {
      const team = this._core.config.team(name)
      if (team === undefined) continue
      this._engine.putTeam(team)
      this._taskEngine.putTeam(team)
    }
  }

  private async _acquired (shard: IShardAcquired): Promise<void> {
    this._core.log.info('shard.acquired', { shardId: shard.shardId, epoch: shard.epoch })
    if (shard.kind === 'ids') {
      const recovered = await this._claims.takeOver(shard.shardId, shard.epoch)
      if (recovered.isErr()) {
        this._core.log.error('shard.recoveryFailed', { shardId: shard.shardId, step: recovered.error.step, peer: recovered.error.peer })
        return
      }
      this._jobs.takeOver(shard.shardId, shard.epoch, recovered.value)
    }
    this._owner.ready(shard.shardId, shard.epoch)
    this._load.announce()
  }

  private _lost (shard: IShardLost): void {
    this._core.log.info('shard.lost', { shardId: shard.shardId, epoch: shard.epoch, reason: shard.reason })
    if (shard.kind === 'ids') {
      this._jobs.drop(shard.shardId)
      this._claims.drop(shard.shardId)
    }
    this._load.announce()
  }

  private _handle (): void {
    const { hub } = this._core
    hub.handle('submit', async (ask) => await this._requests.submit(ask))
    hub.handle('cancel', async ({ attemptId }) => ({ cancelled: this._requests.cancel(attemptId) }))
    hub.handle('outcomeOf', async ({ attemptId, waitMs }) => await this._requests.outcomeOf(attemptId, waitMs))
    hub.handle('claim', async (ask) => await this._claims.claim(ask))
    hub.handle('block', async (ask) => await this._claims.block(ask))
    hub.handle('release', async (ask) => await this._claims.release(ask))
    hub.handle('drain', async ({ hostId }) => {
      if (hostId !== undefined) this._directory.drain(hostId)
      return { draining: hostId !== undefined }
    })
  }
}

/** The operator listener is bound before the parts that it tells of exist, because their entry names its address. */
function lateHandlers (handlers: { readonly current: OperatorHandlers }): OperatorHandlers {
  const late = (name: 'hosts' | 'jobs' | 'shards' | 'drain') => async (request: IOperatorRequest) =>
    await (handlers.current[name]?.(request) ?? faultReply(503, 'starting', 'this process is starting; ask again'))
  return { hosts: late('hosts'), jobs: late('jobs'), shards: late('shards'), drain: late('drain') }
}
