/**
 * The job services of several schedulers in one process, with fakes for links, store log, host list and workers, all under one
 * manual clock. A test can end a scheduler and assign its shards to others.
 */

import { errAsync, ResultAsync } from 'neverthrow'

import { ManualClock } from '../../src/common/Clock.js'
import { ConfigReplica } from '../../src/common/config/ConfigReplica.js'
import { ALL_AT_ONCE_PROFILE, PATIENT_PROFILE } from '../../src/common/config/DefaultProfiles.js'
import { Emitter } from '../../src/common/Emitter.js'
import { UnreachableError } from '../../src/common/Errors.js'
import { SilentLogger } from '../../src/common/observability/SilentLogger.js'
import { DecisionEngine } from '../../src/common/policy/DecisionEngine.js'
import { SeededRandom } from '../../src/common/Random.js'
import { JobTable } from '../../src/common/state/JobTable.js'
import { loadChart } from '../../src/runtime/ChartLoader.js'
import { JobOwner } from '../../src/scheduler/jobs/JobOwner.js'
import { TaskService } from '../../src/scheduler/jobs/TaskService.js'
import { WorkerPool } from '../../src/scheduler/jobs/WorkerPool.js'
import { advance } from './advance.js'
import { FakeWorkers, workerHost } from './FakeWorkers.js'

import type { ExecutionContext } from 'ava'
import type { ConfigKind, IConfigEntry } from '../../src/common/config/Types.js'
import type { IJobSpec, ILoadSummary, IPeerCalls, IPeerCasts, ITaskSpec, JobState, PeerCallName } from '../../src/common/protocol/Types.js'
import type { IProcessIdentity, IResources } from '../../src/common/Types.js'
import type { PeerError } from '../../src/peer/Types.js'
import type { IHostRecord } from '../../src/runtime/Types.js'
import type { IHostDirectory, IOwnedShard } from '../../src/scheduler/hosts/Types.js'
import type { IJobLog, IJobPeers, IShardView } from '../../src/scheduler/jobs/Types.js'

export const ID_SHARD = 'ids/00'
const REGION = 'lakes-west'
const CORES = 4
const CAPACITY: IResources = { cores: CORES, memoryBytes: 2 ** 30, accelerators: 0 }
const CLOCK_OFFSET_STEP_MS = 1_000_000
const SUMMARY_MS = 1000

/** The stored log of the only id shard; it outlives the schedulers. */
export class FakeJobLog implements IJobLog {
  public readonly table = new JobTable()
  public outcome: 'durable' | 'dropped' | 'inDoubt' = 'durable'

  public owns (): boolean {
    return true
  }

  public async acceptJob (_idShard: string, job: IJobSpec): Promise<'durable' | 'dropped' | 'inDoubt'> {
    if (this.outcome === 'durable') this.table.apply({ type: 'job', job, at: 0 })
    return this.outcome
  }

  public async endJob (_idShard: string, jobId: string, state: JobState): Promise<'durable' | 'dropped' | 'inDoubt'> {
    if (this.outcome === 'durable') this.table.apply({ type: 'jobEnd', jobId, state, at: 0 })
    return this.outcome
  }

  public job (_idShard: string, jobId: string): ReturnType<JobTable['get']> {
    return this.table.get(jobId)
  }
}

export class FakeScheduler implements IJobPeers {
  public readonly self: IProcessIdentity
  public readonly owned = new Map<string, number>()
  public readonly tasks: TaskService
  public readonly jobs: JobOwner
  public readonly peerLost = new Emitter<IProcessIdentity>()
  public readonly shardAcquired = new Emitter<IOwnedShard>()
  public readonly shardLost = new Emitter<IOwnedShard>()
  public readonly onLost = this.peerLost.event
  public isAlive = true
  /** The task updates that this scheduler sends are lost, as on a link whose send queue is full. */
  public losesUpdates = false
  /** The scheduler no longer has a reservation when it is asked to start it. */
  public losesReservations = false
  private readonly _engine: DecisionEngine
  private readonly _pool: WorkerPool

  public constructor (processId: string, private readonly _cell: JobsCell) {
    const { clock, workers, config, directory, log } = _cell
    this.self = { processId, incarnation: 1, region: REGION, failureDomain: `${REGION}-a` }
    this._engine = new DecisionEngine(clock, new SeededRandom(1))
    const shards = {
      onAcquired: this.shardAcquired.event,
      onLost: this.shardLost.event,
      reportFenced: (shardId: string) => { this.loseShard(shardId) },
      confirm: async (shardId: string, epoch: number) => !_cell.isStoreDown && _cell.epochs.get(shardId) === epoch
    }
    const common = { peers: this, shards: _cell.shardView, config, idShardOf: () => ID_SHARD, clock, timers: clock, log: new SilentLogger() }
    this.tasks = new TaskService({ ...common, engine: this._engine })
    this._pool = new WorkerPool({ ...common, client: workers, engine: this._engine, directory, shards }, this.tasks.runner)
    this.tasks.runner.setPool(this._pool)
    const taskChart = loadChart('task')._unsafeUnwrap()
    this.jobs = new JobOwner({ ...common, jobLog: log, hosts: () => directory.hosts, taskChart, random: new SeededRandom(2) })
  }

  public acquireShard (shardId: string, epoch: number): void {
    this.owned.set(shardId, epoch)
    this._cell.epochs.set(shardId, epoch)
    if (shardId === ID_SHARD) this.jobs.takeOver(shardId, epoch, this._cell.log.table.liveJobs())
    else this.shardAcquired.fire({ shardId, epoch })
    this._cell.publishSummaries()
  }

  public loseShard (shardId: string): void {
    const epoch = this.owned.get(shardId)
    if (epoch === undefined) return
    this.owned.delete(shardId)
    if (shardId === ID_SHARD) this.jobs.removeShard(shardId)
    else this.shardLost.fire({ shardId, epoch })
    this._cell.publishSummaries()
  }

  public die (): void {
    this.isAlive = false
    this.jobs.dispose()
    this._pool.dispose()
    this.tasks.dispose()
    this._cell.publishSummaries()
    for (const other of this._cell.schedulers) {
      if (other.isAlive) other.peerLost.fire(this.self)
    }
  }

  public summary (): ILoadSummary {
    const load = this._engine.load()
    const free = {
      cores: load.capacity.cores - load.used.cores,
      memoryBytes: load.capacity.memoryBytes - load.used.memoryBytes,
      accelerators: load.capacity.accelerators - load.used.accelerators
    }
    const noResources = { cores: 0, memoryBytes: 0, accelerators: 0 }
    const shards = [...this.owned].map(([shardId, epoch], index) => ({
      shardId,
      kind: shardId === ID_SHARD ? 'ids' as const : 'workers' as const,
      epoch,
      freeSlots: 0,
      totalSlots: 0,
      free: index === 0 ? free : noResources,
      largestFree: load.largestFree
    }))
    return { ...this.self, draining: false, storeReachable: true, shards, expectedWaitMs: load.expectedWaitMs, queued: load.queued }
  }

  public processIds (): readonly string[] {
    return this._cell.schedulers.filter((scheduler) => scheduler.isAlive).map((scheduler) => scheduler.self.processId)
  }

  public hasRecentContact (processId: string): boolean {
    return this.processIds().includes(processId)
  }

  public call<N extends PeerCallName> (
    processId: string, name: N, ask: IPeerCalls[N]['request']): ResultAsync<IPeerCalls[N]['reply'], PeerError> {
    const to = this._cell.schedulers.find((scheduler) => scheduler.isAlive && scheduler.self.processId === processId)
    if (to === undefined || !this.isAlive) return errAsync(new UnreachableError(name, processId, 'dead'))
    return ResultAsync.fromSafePromise(Promise.resolve().then(() => to._handleCall(name, ask) as IPeerCalls[N]['reply']))
  }

  public cast (processId: string, _name: 'taskUpdate', cast: IPeerCasts['taskUpdate']): void {
    const to = this._cell.schedulers.find((scheduler) => scheduler.isAlive && scheduler.self.processId === processId)
    if (to !== undefined && this.isAlive && !this.losesUpdates) queueMicrotask(() => { to.jobs.onTaskUpdate(cast, this.self.processId) })
  }

  private _handleCall (name: PeerCallName, ask: unknown): unknown {
    switch (name) {
      case 'placeTask': return this.tasks.place(ask as IPeerCalls['placeTask']['request'])
      case 'placeGroup': return this.tasks.placeGroup(ask as IPeerCalls['placeGroup']['request'])
      case 'reserve': return this.tasks.reservations.reserve(ask as IPeerCalls['reserve']['request'])
      case 'startReserved': return this.losesReservations ? { started: false } : this.tasks.reservations.start(ask as IPeerCalls['startReserved']['request'])
      case 'dropReservation': return this.tasks.reservations.drop(ask as IPeerCalls['dropReservation']['request'])
      case 'cancelTask': return this.tasks.cancel(ask as IPeerCalls['cancelTask']['request'])
      default: return this.tasks.tasksOf(ask as IPeerCalls['tasksOf']['request'])
    }
  }
}

export class JobsCell {
  public readonly clock = new ManualClock()
  public readonly workers = new FakeWorkers(this.clock)
  public readonly config = testConfig()
  public readonly log = new FakeJobLog()
  public readonly schedulers: FakeScheduler[] = []
  /** The epoch of each shard as recorded in the store. */
  public readonly epochs = new Map<string, number>()
  public isStoreDown = false
  public readonly shardView: IShardView
  public readonly directory: IHostDirectory
  private readonly _hostsChanged = new Emitter<readonly IHostRecord[]>()
  private _hosts: readonly IHostRecord[] = []
  private _summaries: readonly ILoadSummary[] = []

  /** Each scheduler owns one rack of `hostsPerRack` workers; the first scheduler also owns the id shard with the jobs. */
  public constructor (schedulers: number, hostsPerRack: number) {
    this.shardView = { summaries: () => this._summaries, ownerOf: (shardId) => this._ownerOf(shardId) }
    this.clock.every(SUMMARY_MS, () => { this.publishSummaries() })
    const hosts = (): readonly IHostRecord[] => this._hosts
    this.directory = { get hosts () { return hosts() }, onChange: this._hostsChanged.event }
    this._hosts = Array.from({ length: schedulers * hostsPerRack }, (_, index) => workerHost(`w${index}`, `r${Math.floor(index / hostsPerRack)}`, CAPACITY))
    for (const [index, host] of this._hosts.entries()) this.workers.add(host, index * CLOCK_OFFSET_STEP_MS)
    for (let index = 0; index < schedulers; index += 1) this.schedulers.push(new FakeScheduler(`s${index}`, this))
    this.schedulers.forEach((scheduler, index) => { scheduler.acquireShard(`workers/r${index}`, 1) })
    this.scheduler(0).acquireShard(ID_SHARD, 1)
  }

  public scheduler (index: number): FakeScheduler {
    return this.schedulers[index] as FakeScheduler
  }

  public async advance (byMs: number): Promise<void> {
    await advance(this.clock, byMs)
  }

  /** Changes the state of a host in the platform's host list. */
  public setHostState (hostId: string, state: IHostRecord['state']): void {
    this._hosts = this._hosts.map((host) => host.hostId === hostId ? { ...host, state } : host)
    this._hostsChanged.fire(this._hosts)
  }

  public status (jobId = 'job'): JobState | undefined {
    const owner = this.schedulers.find((scheduler) => scheduler.isAlive && scheduler.owned.has(ID_SHARD))
    return owner?.jobs.status(jobId).status?.state
  }

  /** Publishes the load summaries of all live schedulers. */
  public publishSummaries (): void {
    this._summaries = this.schedulers.filter((each) => each.isAlive).map((each) => each.summary())
  }

  private _ownerOf (shardId: string): string | undefined {
    const owners = this.schedulers.filter((scheduler) => scheduler.isAlive && scheduler.owned.has(shardId))
    owners.sort((a, b) => (b.owned.get(shardId) ?? 0) - (a.owned.get(shardId) ?? 0))
    return owners[0]?.self.processId
  }
}

/** A configuration with two services: the tasks of one run independently, those of the other start all at once. */
export function testConfig (): ConfigReplica {
  const config = new ConfigReplica()
  const entry = (kind: ConfigKind, name: string, value: NonNullable<IConfigEntry['value']>): IConfigEntry => ({
    kind, name, revision: 1, deleted: false, value, writer: 'test', nonce: name, changedAt: 0
  })
  config.apply([
    entry('profile', 'patient', PATIENT_PROFILE),
    entry('profile', 'all-at-once', ALL_AT_ONCE_PROFILE),
    entry('service', 'season-budget', { name: 'season-budget', profile: 'patient', team: 'water' }),
    entry('service', 'sector-sweep', { name: 'sector-sweep', profile: 'all-at-once', team: 'water' })
  ])
  return config
}

/** Creates a job whose tasks all have the same size and run time. */
export function createJob (tasks: number, runMs: number | undefined, fields: Partial<IJobSpec> & { readonly cores?: number } = {}): IJobSpec {
  const { cores = 1, ...rest } = fields
  const resources = { cores, memoryBytes: 1, accelerators: 0 }
  const specs = Array.from({ length: tasks }, (_, index): ITaskSpec => ({ taskId: `t${index}`, resources, ...(runMs === undefined ? {} : { runMs }) }))
  return { jobId: 'job', service: 'season-budget', caller: 'farm', longRunning: false, tasks: specs, ...rest }
}

/** Asserts what must hold at any time: no task runs twice at once, and no host is used above its capacity. */
export function checkInvariants (t: ExecutionContext, cell: JobsCell): void {
  t.deepEqual(cell.workers.overlaps(), [])
  t.true(cell.workers.maxCoreShare() <= 1)
}

export async function startJobsCell (schedulers: number, hostsPerRack: number): Promise<JobsCell> {
  const cell = new JobsCell(schedulers, hostsPerRack)
  await cell.advance(1200)
  return cell
}
