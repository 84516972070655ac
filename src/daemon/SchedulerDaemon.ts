/**
 * The scheduler process: owns shards, and decides alone about their hosts.
 */

import { DecisionEngine } from '../common/policy/DecisionEngine.js'
import { createHash32, ShardAssignment } from '../common/state/ShardAssignment.js'
import { loadChart } from '../platform/ChartLoader.js'
import { DefaultsSeeder } from '../platform/config/DefaultsSeeder.js'
import { HostListClient } from '../platform/HostListClient.js'
import { okReply } from '../platform/OperatorRoutes.js'
import { RunnerClient } from '../platform/RunnerClient.js'
import { HostDirectory } from '../scheduler/hosts/HostDirectory.js'
import { RunnerPool } from '../scheduler/hosts/RunnerPool.js'
import { shardOfHost } from '../scheduler/hosts/Types.js'
import { LoadReporter } from '../scheduler/LoadReporter.js'
import {
  ClaimService, DEFAULT_CLAIM_SERVICE_OPTIONS, DEFAULT_MEMBER_REGISTRATION_OPTIONS, DEFAULT_SHARD_OWNER_OPTIONS,
  idShardSpecs, MemberRegistration, ShardOwner
} from '../scheduler/ownership/index.js'
import { ClaimClient } from '../scheduler/requests/ClaimClient.js'
import { adoptedItem } from '../scheduler/requests/AdoptedItem.js'
import { RequestService } from '../scheduler/requests/RequestService.js'
import { DaemonCore } from './DaemonCore.js'
import { feedFromOwner } from './MembersFeed.js'
import { OperatorSide } from './OperatorSide.js'

import type { IConfigEntry } from '../common/config/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IShardSpec } from '../common/state/Types.js'
import type { IShardAcquired, IShardLost } from '../scheduler/ownership/index.js'
import type { ISettings } from '../platform/settings/Types.js'
import type { IDaemon } from './Types.js'

/** Releasing the shards waits for the store; in an outage the lease has to lapse instead. */
const RELEASE_LIMIT_MS = 5000
/** Two renewals may be lost before the lease lapses. */
const RENEWALS_PER_LEASE = 3

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
  private readonly _load: LoadReporter
  private _draining = false
  private _storeReachable = true

  private constructor (private readonly _core: DaemonCore, private readonly _operator: OperatorSide, hash: Awaited<ReturnType<typeof createHash32>>) {
    const { clock, hub, store, log, self, settings } = _core
    this._engine = new DecisionEngine(clock, _core.random, { kind: 'slots' })
    this._taskEngine = new DecisionEngine(clock, _core.random, { kind: 'resources' })
    const hostList = new HostListClient({ url: settings.hostList.url, callTimeoutMs: settings.store.callTimeoutMs })
    this._directory = new HostDirectory(hostList, clock, settings.hostList.pollMs, log)
    const entry = { ...self, role: 'scheduler' as const, peerUrl: hub.url ?? '', operatorUrl: _operator.url, draining: false }
    const { leaseTtlMs } = settings.store
    const keepAliveMs = leaseTtlMs / RENEWALS_PER_LEASE
    this._registration = new MemberRegistration(store, clock, entry, { ...DEFAULT_MEMBER_REGISTRATION_OPTIONS, leaseTtlMs, keepAliveMs })
    this._claims = new ClaimService(store, clock, () => _core.nonce(), {
      ...DEFAULT_CLAIM_SERVICE_OPTIONS,
      owner: self.processId,
      idShardCount: settings.ids.idShards,
      fleetWritesPerSecond: settings.ids.storeWritesPerSecond,
      retentionMs: settings.ids.claimRetentionMs
    })
    const chart = loadChart('shardOwnership')._unsafeUnwrap()
    const user = { beforeRelease: async (shardId: string) => { await this._claims.close(shardId) } }
    const assignment = new ShardAssignment(hash)
    const nonce = (): string => _core.nonce()
    this._owner = new ShardOwner(store, clock, this._registration, chart, assignment, user, nonce, DEFAULT_SHARD_OWNER_OPTIONS)
    this._runners = this._createRunners()
    this._requests = this._createRequests()
    this._load = this._createLoadReporter()
    this._follow()
    this._handle()
    this._serveOperators()
  }

  public static async create (settings: ISettings): Promise<SchedulerDaemon> {
    const core = await DaemonCore.create(settings)
    return new SchedulerDaemon(core, await OperatorSide.create(core), await createHash32())
  }

  public async start (): Promise<string> {
    await this._core.watcher.start()
    await this._seeder().seed()
    this._directory.start()
    this._registration.start()
    this._owner.start()
    return this._core.hub.url ?? ''
  }

  public async stop (): Promise<void> {
    const { clock, hub, settings, disposables } = this._core
    this._draining = true
    this._core.agent.leave()
    this._load.announce()
    const drained = this._requests.drain()
    const released = this._owner.releaseAll().then(async () => { await this._registration.stop() })
    await Promise.race([released, new Promise<void>((resolve) => { clock.after(RELEASE_LIMIT_MS, resolve) })])
    await drained
    this._load.dispose()
    this._directory.dispose()
    disposables.dispose()
    await hub.close(settings.limits.drainMs)
    await this._operator.close()
  }

  private _seeder (): DefaultsSeeder {
    const { store, config, clock, log, self } = this._core
    return new DefaultsSeeder(store, config, clock, log, self.processId)
  }

  private _createRunners (): RunnerPool {
    const { clock, log } = this._core
    const shards = {
      onAcquired: this._owner.onAcquired,
      onLost: this._owner.onLost,
      noteFenced: (shardId: string, currentEpoch: number) => this._owner.fenced(shardId, currentEpoch)
    }
    return new RunnerPool({
      engine: this._engine, client: this._runnerClient, directory: this._directory, shards, clock, timers: clock, log, adoptedItem
    })
  }

  private _createRequests (): RequestService {
    const { self, hub, router, config, hasher, clock, random, log } = this._core
    const localOutcomeOf = async (attemptId: string, waitMs: number): Promise<IFinalAnswer> => await this._requests.outcomeOf(attemptId, waitMs)
    const claims = new ClaimClient({ self, hub, router, local: this._claims, localOutcomeOf, clock, timers: clock })
    return new RequestService({
      self, engine: this._engine, runners: this._runners, client: this._runnerClient, claims, config, hasher, clock, timers: clock, random, log
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

  private _serveOperators (): void {
    const { dumps } = this._operator
    dumps.register('shards', () => this._owner.held())
    dumps.register('hosts', () => this._runners.dump())
    dumps.register('requests', () => ({ inFlight: this._requests.inFlight, draining: this._draining, storeReachable: this._storeReachable }))
    dumps.register('engine', () => this._engine.dump())
    dumps.register('taskEngine', () => this._taskEngine.dump())
    this._operator.add({
      shards: () => okReply({ shards: this._owner.held().map(shard => ({ ...shard, owner: this._core.self.processId })) }),
      hosts: () => okReply({ hosts: this._runners.dump().map(host => ({ ...host, scheduler: this._core.self.processId })) })
    })
  }

  private _follow (): void {
    this._directory.onChange((hosts) => {
      const racks = new Map(hosts.map((host) => [shardOfHost(host), host]))
      const specs = [...racks].map(([shardId, host]): IShardSpec => ({ shardId, kind: `${host.kind}s`, region: host.region }))
      this._owner.setShards(specs)
    })
    this._owner.setShards(idShardSpecs(this._core.settings.ids.idShards))
    this._core.join(this._operator.url)
    this._core.disposables.add(feedFromOwner(this._owner, this._core.agent))
    this._owner.onAcquired((shard) => this._acquired(shard))
    this._owner.onLost((shard) => this._lost(shard))
    this._owner.onReachable((reachable) => { this._storeReachable = reachable })
    this._core.watcher.onApplied((entries) => this._takeTeams(entries))
    this._claims.onLost(({ shardId, epoch }) => this._owner.fenced(shardId, epoch + 1))
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
        this._core.log.error('shard.recovery-failed', { shardId: shard.shardId, step: recovered.error.step, peer: recovered.error.peer })
        return
      }
    }
    this._owner.ready(shard.shardId, shard.epoch)
    this._load.announce()
  }

  private _lost (shard: IShardLost): void {
    this._core.log.info('shard.lost', { shardId: shard.shardId, epoch: shard.epoch, reason: shard.reason })
    if (shard.kind === 'ids') this._claims.drop(shard.shardId)
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
  }
}
