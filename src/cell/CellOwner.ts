/**
 * The cell's scheduler while this process owns the cell. It restores the jobs and hosts from the store, then schedules, orders runs and
 * records progress until it is disposed. All its orders to hosts carry the fencing token, and all its writes expect the ownership record.
 */

import { infeasibleReason } from '../common/cell/Infeasibility.js'
import { Job } from '../common/cell/Job.js'
import { CellScheduler } from '../common/cell/CellScheduler.js'
import { WorkspaceShareOrder } from '../common/cell/JobOrder.js'
import { decodeJob, queueTermsOf } from '../common/cell/JobRecord.js'
import { PassPacer } from '../common/cell/PassPacer.js'
import type { IAdviceSender } from '../common/cell/AdviceDispatcher.js'
import type {
  CancelOutcome, ICallerAccess, ICellOwnerPort, IHostEntry, IHostOrders, IMetadataStore, IQueue, IStartOrder, ISubmission, OwnerAnswer, StartOutcome,
  StateOutcome, SubmitOutcome, WaitingOutcome
} from '../common/cell/Types.js'
import { usableCores } from '../common/cell/UsableCores.js'
import type { Counters } from '../common/observability/Counters.js'
import type { LatencyTable } from '../common/observability/LatencyTable.js'
import type { ILogger } from '../common/observability/Types.js'
import type { ChartTable } from '../common/state/ChartTable.js'
import { DisposableStore } from '../common/Emitter.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import { CallerAuthorizer } from './CallerAuthorizer.js'
import type { ConfigFeed } from './ConfigFeed.js'
import { HostSessions } from './HostSessions.js'
import { JobLimiter } from './JobLimiter.js'
import { JobStore } from './JobStore.js'
import type { AcceptOutcome } from './JobStore.js'
import type { Ownership } from './Ownership.js'
import { readStoredCell, restoreJobs } from './StoredCell.js'
import type { ICellRecords } from './Types.js'

export interface ICellOwnerOptions {
  readonly writerId: string
  /** The longest lease that a host grants to an owner, in ms. */
  readonly maxHoldMs: number
  /** The interval at which hosts renew their entries in the store, in ms. */
  readonly heartbeatMs: number
  /** The processor capacity of this process, in cores. */
  readonly processorCores: number
  /** Factor by which a task takes longer when it runs away from its data. */
  readonly farFactor: number
  /** How long callers can ask for a finished job, in ms. */
  readonly statusMs: number
}

export interface ICellOwnerContext {
  readonly store: IMetadataStore
  readonly orders: IHostOrders
  readonly advice: IAdviceSender
  readonly records: ICellRecords
  readonly config: ConfigFeed
  readonly ownership: Ownership
  readonly chart: ChartTable
  readonly clock: IClock & ITimers
  readonly log: ILogger
  readonly times: LatencyTable
  readonly counters: Counters
  /** The free memory of the heap, in bytes; unlimited if absent. */
  readonly freeHeapBytes?: () => number
}

/** How long the owner keeps its leases on hosts while the store can't confirm the ownership, beyond the longest lease, in ms. */
const UNCONFIRMED_HOLD_MS = 4000
/** Factor by which hosts' clocks may run slow. */
const SLOW_CLOCK_FACTOR = 1.02
const INHERITED_MARGIN_MS = 1000
const SWEEP_INTERVAL_MS = 400
/** An owner that has not read the store within this time steps aside for another process, in ms: ten times the usual duration. */
const LOAD_TIMEOUT_MS = 4000
const CLEANUP_INTERVAL_MS = 10_000
/** Finished jobs are kept this much longer than callers may ask for them, in ms. */
const STATUS_SLACK_MS = 60_000
/** When callers should retry if the store is unavailable or the cell has no owner, in ms. */
const RETRY_AFTER_MS = 1000
const INFEASIBLE_RETRY_AFTER_MS = 60_000
const CONFIG_RETRY_DELAY_MS = 100
const ID_IN_USE = { kind: 'invalid', reason: 'another job has this id' } as const

/** A job that is being accepted. */
interface IAccepting {
  readonly workspace: string
  readonly answer: Promise<OwnerAnswer>
}

export class CellOwner implements ICellOwnerPort, IDisposable {
  private readonly _scheduler: CellScheduler
  private readonly _jobStore: Promise<JobStore>
  private readonly _hosts: HostSessions
  private readonly _pacer: PassPacer
  private readonly _disposables = new DisposableStore()
  private readonly _accepting = new Map<string, IAccepting>()
  private readonly _authorizer: CallerAuthorizer
  private readonly _limiter: JobLimiter
  private _isDisposed = false
  private _store: JobStore | undefined

  private readonly _disposed: Promise<void>
  private _resolveDisposed = (): void => {}

  /** Resolves when this owner can answer requests: it has read all jobs from the store, or is no longer the owner. */
  public readonly ready: Promise<void>

  public constructor (
    private readonly _context: ICellOwnerContext, private readonly _options: ICellOwnerOptions, private readonly _fence: number
  ) {
    const { clock, chart, log, advice, orders } = _context
    const inheritedMs = (_options.maxHoldMs + UNCONFIRMED_HOLD_MS) * SLOW_CLOCK_FACTOR + INHERITED_MARGIN_MS
    const recordDuration = (name: string, ms: number): void => { _context.times.record(name, ms) }
    this._pacer = new PassPacer({ runPass: (maxMs) => this._scheduler.runPass(maxMs), recordDuration }, clock, log)
    this._scheduler = new CellScheduler({
      save: async (job) => { await (await this._jobStore).save(job) },
      start: async (host, order) => {
        // The run is recorded, but another process may own the cell by now. A run that isn't sent can be placed again.
        if (!_context.ownership.isConfirmed) return { kind: 'unsent' }
        return await this._sendStart(host, order)
      },
      stop: async (host, ref, fence) => await orders.stop(host, ref, fence),
      stopUnknown: async (host, ref, fence) => await orders.stop(host, ref, fence),
      onFenced: (hostId) => { this._onFenced(hostId) },
      onRestartSuspected: (hostId) => { this._hosts.pollNow(hostId) },
      machines: () => advice.machines(),
      send: async (machine, ask, timeoutMs) => await advice.send(machine, ask, timeoutMs),
      requestPass: () => { this._pacer.request() },
      recordDuration,
      count: (name, kind) => { _context.counters.add(name, kind) }
    }, {
      farFactor: _options.farFactor, ownerRevision: _fence, maxHoldMs: _options.maxHoldMs, inheritedUntilMs: clock.nowMs() + inheritedMs
    }, chart, clock, log, new WorkspaceShareOrder())
    this._limiter = new JobLimiter({
      countBacklog: () => this._scheduler.countBacklog(),
      hosts: () => [...this._scheduler.hosts.values()],
      openJobs: () => this._scheduler.openJobs,
      usableCores: () => usableCores(this._scheduler.hosts.values(), clock.nowMs()),
      freeHeapBytes: _context.freeHeapBytes ?? (() => Infinity),
      logFields: () => this._scheduler.adviceLoad
    }, clock, log)
    this._hosts = new HostSessions({
      ..._context,
      scheduler: this._scheduler,
      holdUntilMs: () => this._holdUntilMs(_context.ownership.confirmedAtMs),
      onFenced: (hostId) => { this._onFenced(hostId) },
      onFenceExhausted: (hostId) => { this._onFenceExhausted(hostId) },
      requestPass: () => { this._pacer.request() }
    }, { maxHoldMs: _options.maxHoldMs, heartbeatMs: _options.heartbeatMs, processorCores: _options.processorCores })
    this._authorizer = new CallerAuthorizer(_context.config, () => this._store?.isStoreUnavailable === true)
    this._jobStore = this._load()
    this._disposed = new Promise((resolve) => { this._resolveDisposed = resolve })
    this.ready = Promise.race([this._jobStore.then(() => {}), this._disposed])
  }

  public get isOverloaded (): boolean {
    return this._limiter.isOverloaded
  }

  public async submit (submission: ISubmission): Promise<OwnerAnswer> {
    await this.ready
    const access = await this._authorizer.authorize(submission)
    if (this._isDisposed) return { kind: 'notOwner', reason: 'no longer the owner' }
    const { jobId } = submission
    const known = this._scheduler.jobs.get(jobId)
    const pending = this._accepting.get(jobId)
    if (access.kind === 'unavailable') {
      // A job that is known here can't be called refused.
      return known === undefined && pending === undefined ? this._refuseWithoutStore(jobId, access.reason) : { kind: 'inDoubt', reason: access.reason }
    }
    if (access.kind !== 'allowed') return access
    const { queue, workspace } = access
    if (known !== undefined) return known.isOpenTo(workspace) ? { kind: 'accepted' } : ID_IN_USE
    if (pending !== undefined) return pending.workspace === workspace ? await pending.answer : ID_IN_USE
    const answer = this._accept(submission, queue, workspace)
    this._accepting.set(jobId, { workspace, answer })
    return await answer.finally(() => { this._accepting.delete(jobId) })
  }

  public async state (jobId: string, callerAccess: ICallerAccess): Promise<StateOutcome> {
    await this.ready
    const access = await this._authorizer.authorize(callerAccess)
    if (access.kind !== 'allowed') return access
    const job = this._scheduler.jobs.get(jobId)
    // To callers of another workspace, the job doesn't exist.
    if (job?.isOpenTo(access.workspace) === false) return { kind: 'unknownJob' }
    if (job !== undefined) return { kind: 'known', phase: job.reportedPhase }
    return this._hasAllJobs ? { kind: 'unknownJob' } : { kind: 'unavailable', reason: 'another process may own the cell' }
  }

  public async cancel (jobId: string, callerAccess: ICallerAccess): Promise<CancelOutcome> {
    await this.ready
    const access = await this._authorizer.authorize(callerAccess)
    if (access.kind !== 'allowed') return access.kind
    const accepting = this._accepting.get(jobId)
    if (accepting !== undefined) await accepting.answer
    const job = this._scheduler.jobs.get(jobId)
    if (job?.isOpenTo(access.workspace) === false) return 'unknownJob'
    if (job === undefined) return this._hasAllJobs ? 'unknownJob' : 'unavailable'
    if (!job.isFinished) {
      job.phase = 'cancelled'
      job.finishedAtMs = this._context.clock.nowMs()
      this._context.log.info('job.cancelled', { requestId: jobId })
    }
    await Promise.race([this._jobStore.then(async (store) => { await store.save(job) }), this._disposed])
    if (this._isDisposed) return 'unavailable'
    this._scheduler.stopJob(job)
    return 'cancelled'
  }

  public async waiting (callerAccess: ICallerAccess): Promise<WaitingOutcome> {
    await this.ready
    const access = await this._authorizer.authorize(callerAccess)
    if (access.kind === 'unavailable' || this._isDisposed) return { kind: 'unavailable' }
    return access.kind === 'allowed' ? { kind: 'counted', count: this._scheduler.countWaiting(access.queue.name) } : access
  }

  public async readConfigAfter (version: number): Promise<string | undefined> {
    return await this._context.config.readRecordAfter(version)
  }

  /**
   * Whether a job that this owner doesn't have certainly does not exist. An owner that was frozen, or is cut off from the store, may have
   * been replaced without knowing it, and the next owner accepts jobs. Without this check, callers could be told that an accepted job does
   * not exist, or that a running job is gone.
   */
  private get _hasAllJobs (): boolean {
    return !this._isDisposed && this._context.ownership.isConfirmed
  }

  /** Returns the state for the state dump. */
  public dump (): unknown {
    const hosts = [...this._scheduler.hosts.values()].map((host) => host.dumpFields)
    const open = [...this._scheduler.jobs.values()].filter((job) => !job.isFinished)
    const waits = { workspaces: this._scheduler.workspaces(), waiting: this._scheduler.waitingSteps() }
    const state = { jobs: this._scheduler.jobs.size, open: open.length, hosts, ...waits }
    return { fence: this._fence, ...state, shares: this._limiter.shares(), runTimes: this._scheduler.runTimes() }
  }

  /** Returns the current values for the metrics. */
  public gauges (): Readonly<Record<string, number>> {
    return { ...this._scheduler.gauges(), ...this._limiter.gauges() }
  }

  public dispose (): void {
    this._isDisposed = true
    this._resolveDisposed()
    this._disposables.dispose()
    this._hosts.dispose()
    this._pacer.dispose()
    this._scheduler.dispose()
    this._store?.dispose()
  }

  private async _accept (submission: ISubmission, queue: IQueue, workspace: string): Promise<OwnerAnswer> {
    const { clock, config, log } = this._context
    const jobStore = await this._jobStore
    const { jobId } = submission
    if (jobStore.isStoreUnavailable) return this._refuseWithoutStore(jobId, 'the store is away')
    const job = new Job(decodeJob(submission.record), queueTermsOf(queue), clock.nowMs() - submission.ageMs, workspace)
    const infeasible = infeasibleReason(job, this._scheduler)
    if (infeasible !== undefined) return this._refuse(jobId, infeasible, INFEASIBLE_RETRY_AFTER_MS)
    if (!this._limiter.hasMemoryFor(job)) return this._refuse(jobId, 'the owner has no memory for more jobs', RETRY_AFTER_MS)
    const weight = config.workspaceOf(submission.keyDigest)?.weight ?? 0
    if (!this._limiter.tryAdmit(job, weight)) return this._refuse(jobId, 'the owner can order no more starts', this._limiter.retryAfterMs(job))
    const accepted = jobStore.accept(job)
    this._scheduler.addPending(job)
    const outcome = await accepted
    if (outcome.kind !== 'stored') {
      this._scheduler.withdraw(job)
      return this._answerNotAccepted(jobId, outcome)
    }
    this._scheduler.admit(job)
    this._updateQueueTerms(job)
    const { isBeyondShare, isBeyondWorkShare, steps, taskCount } = job
    log.info('job.accepted', { requestId: jobId, queue: queue.name, workspace, isBeyondShare, isBeyondWorkShare, steps: steps.length, tasks: taskCount })
    return { kind: 'accepted' }
  }

  private _answerNotAccepted (jobId: string, outcome: Exclude<AcceptOutcome, { kind: 'stored' }>): OwnerAnswer {
    const { reason } = outcome
    if (outcome.kind === 'refused' && outcome.cause === 'storeAway') return this._refuseWithoutStore(jobId, reason)
    const kind = outcome.kind === 'refused' ? 'notOwner' : 'inDoubt'
    this._context.log.info('job.leftToNextOwner', { requestId: jobId, kind, reason, revision: this._fence })
    return { kind, reason }
  }

  private _refuse (jobId: string, reason: string, retryAfterMs: number): Extract<SubmitOutcome, { kind: 'refused' }> {
    this._context.log.info('job.refused', { requestId: jobId, reason })
    this._context.counters.add('jobs_refused', reason)
    return { kind: 'refused', reason, retryAfterMs }
  }

  /** Refuses the job, and lets the gateway find an owner that reaches the store. */
  private _refuseWithoutStore (jobId: string, reason: string): SubmitOutcome {
    return { ...this._refuse(jobId, reason, RETRY_AFTER_MS), isStoreAway: true }
  }

  private async _load (): Promise<JobStore> {
    const { clock, log, config, store, ownership, records } = this._context
    const startedAtMs = clock.nowMs()
    this._disposables.add(clock.after(LOAD_TIMEOUT_MS, () => { if (this._store === undefined) this._abandonLoading() }))
    const [stored] = await Promise.all([readStoredCell(this._context, records.hostsPrefix, () => !this._isDisposed), this._readConfig()])
    const { laneRevisions, storeLatencyMs } = stored
    const options = { ownerRevision: this._fence, writerId: this._options.writerId, laneRevisions, storeLatencyMs }
    const jobStore = new JobStore(store, options, clock, log, (reason) => { if (!this._isDisposed) ownership.resign(reason) })
    this._store = jobStore
    if (this._isDisposed) {
      jobStore.dispose()
      return jobStore
    }
    this._hosts.applyList(stored.hosts)
    restoreJobs(stored, this._scheduler, this._hosts, this._context)
    this._limiter.restore(this._scheduler.jobs.values())
    this._applyWorkspaces()
    this._startTimers()
    this._disposables.add(config.onChange(() => {
      this._applyWorkspaces()
      this._updateAllQueueTerms()
    }))
    this._disposables.add(ownership.onConfirmed(() => { jobStore.onStoreAnswered() }))
    const durationMs = Math.round(clock.nowMs() - startedAtMs)
    log.info('owner.ready', { revision: this._fence, jobs: stored.accepted.length, hosts: this._hosts.size, durationMs })
    return jobStore
  }

  /** Reads the configuration: the previous owner may have had a newer one, and callers and hosts must not see an older one again. */
  private async _readConfig (): Promise<void> {
    const { clock, config } = this._context
    while (!this._isDisposed && !await config.refresh()) {
      await new Promise<void>((resolve) => { clock.after(CONFIG_RETRY_DELAY_MS, resolve) })
    }
  }

  private async _sendStart (host: IHostEntry, order: IStartOrder): Promise<StartOutcome> {
    const { clock, orders } = this._context
    const sentAtMs = clock.nowMs()
    const outcome = await orders.start(host, order)
    if (outcome.kind !== 'unsent') this._limiter.recordOrder(clock.nowMs() - sentAtMs, outcome.kind !== 'unanswered')
    return outcome
  }

  private _applyWorkspaces (): void {
    const workspaces = this._context.config.config?.workspaces ?? []
    this._scheduler.applyWorkspaces(workspaces)
    this._limiter.applyWorkspaces(workspaces)
  }

  /** Steps aside, because over a slow link the reading of all records may take so long that another process should own the cell. */
  private _abandonLoading (): void {
    const { ownership, log } = this._context
    ownership.stepAside('the jobs could not be read in time')
      .catch((error: unknown) => { log.error('owner.stepAsideFailed', { reason: String(error) }) })
  }

  private _startTimers (): void {
    const { clock } = this._context
    this._hosts.start()
    this._disposables.add(clock.every(SWEEP_INTERVAL_MS, () => { this._scheduler.sweep() }))
    this._disposables.add(this._limiter.start())
    this._disposables.add(clock.every(CLEANUP_INTERVAL_MS, () => { this._removeExpiredJobs() }))
  }

  /** Limit of the leases on hosts. The next owner relies on it: this owner holds no lease beyond this time after its last confirmation. */
  private _holdUntilMs (confirmedAtMs: MonotonicMs): MonotonicMs {
    return confirmedAtMs + this._options.maxHoldMs + UNCONFIRMED_HOLD_MS
  }

  private _onFenced (hostId: string): void {
    if (this._isDisposed) return
    this._context.log.warn('owner.fenced', { host: hostId, revision: this._fence })
    this._context.ownership.resign('a host has accepted orders of a newer owner')
  }

  /**
   * Without a higher token, orders for an earlier incarnation of the host can not be told from those for its present one. The next owner has new
   * ones.
   */
  private _onFenceExhausted (hostId: string): void {
    if (this._isDisposed) return
    this._context.log.warn('owner.fenceExhausted', { host: hostId, revision: this._fence })
    this._context.ownership.resign('the fencing tokens for a host are used up')
  }

  /** Applies the current terms of each queue to its accepted jobs. Jobs of a removed queue keep the terms under which they were accepted. */
  private _updateAllQueueTerms (): void {
    for (const job of this._scheduler.jobs.values()) this._updateQueueTerms(job)
    this._pacer.request()
  }

  private _updateQueueTerms (job: Job): void {
    const queue = job.isFinished ? undefined : this._context.config.queue(job.queue.name)
    if (queue !== undefined) job.queue = queueTermsOf(queue)
  }

  private _removeExpiredJobs (): void {
    const finishedBeforeMs = this._context.clock.nowMs() - this._options.statusMs - STATUS_SLACK_MS
    for (const [jobId, job] of this._scheduler.jobs) {
      if (job.finishedAtMs === undefined || job.finishedAtMs > finishedBeforeMs || job.steps.some((step) => !step.hasNoRuns)) continue
      this._scheduler.jobs.delete(jobId)
      this._store?.remove(jobId)
    }
  }
}
