/**
 * A cell without a network: the real scheduler and simulated hosts under a clock that the test advances. It records what callers
 * and hosts would observe.
 */

import { readFileSync } from 'node:fs'
import { Job } from '../../src/common/cell/Job.js'
import { DEFAULT_STEP, applyProgress, decodeAccepted, encodeAccepted, encodeProgress } from '../../src/common/cell/JobRecord.js'
import { PassPacer } from '../../src/common/cell/PassPacer.js'
import { ManualClock } from '../../src/common/Clock.js'
import { SilentLogger } from '../../src/common/observability/SilentLogger.js'
import { ChartTable } from '../../src/common/state/ChartTable.js'
import { BusyClock } from './BusyClock.js'
import { CostlyScheduler } from './CostlyScheduler.js'
import { SimulatedHost, taskKey } from './SimulatedHost.js'

import type { ILogger } from '../../src/common/observability/Types.js'
import type { HostState } from '../../src/common/cell/HostState.js'
import type { IJobOrder } from '../../src/common/cell/JobOrder.js'
import type { QueueTerms } from '../../src/common/cell/Job.js'
import type { AdviceOutcome, IAdviceRequest, IStartOrder, IStepSpec, IWorkspace, StartOutcome } from '../../src/common/cell/Types.js'
import type { IFlatChart } from '../../src/common/state/Types.js'
import type { ISimulatedHostOptions } from './SimulatedHost.js'

const CHART = ChartTable.compile(JSON.parse(
  readFileSync(new URL('../../../charts/attempt.json', import.meta.url), 'utf8')) as IFlatChart)._unsafeUnwrap()

export const STEP: IStepSpec = { ...DEFAULT_STEP, count: 1, cpuMillicores: 1000, memoryMb: 100, estimateMs: 1000 }

export const QUEUE: QueueTerms = { name: 'queue', service: 'pool', priority: 1, maxAttempts: 3, stretch: 2, targetMs: 1000, advice: undefined }

const ADVICE_MACHINES = 5
const TICK_MS = 10
const HOLD_INTERVAL_MS = 200
const SWEEP_INTERVAL_MS = 400
const MAX_HOLD_MS = 6000
const MAX_ADVICE_WAITING = 32

export interface ISimulatedCellOptions {
  readonly hosts: number
  readonly host?: Partial<ISimulatedHostOptions>
  /** What distinguishes single hosts, by number. */
  hostOf? (number: number): Partial<ISimulatedHostOptions>
  /** Whether a host may run a step, if the step's queue uses advice; by default every host may. */
  allows? (hostId: string, request: IAdviceRequest): boolean
  readonly saveMs?: number
  /** The number of machines that may request advice. */
  readonly adviceMachines?: number
  /** The time that the advice service takes for a call; zero by default. */
  adviceMs? (request: IAdviceRequest): number
  /** Whether the advice service handles one call at a time for each machine; by default it handles all at once. */
  readonly isAdviceSerial?: boolean
  /** The number of machines in another region than the owner, and the time of a message to or from these. */
  readonly farMachines?: { readonly count: number, readonly tripMs: number }
  readonly logger?: ILogger
  /** The delay between the decision of the advice service and the arrival of its answer. */
  readonly adviceReplyDelayMs?: number
  /** How long the owner waits for the answer to a start that gets none; zero by default. */
  readonly startTimeoutMs?: number
  /** How long a host waits before it answers a poll; zero by default. */
  readonly holdMs?: number
  /** The order of waiting steps; that of the product by default. */
  readonly order?: IJobOrder
  /** The time for which the hosts accept a ticket; unlimited by default. */
  readonly ticketValidMs?: number
  /** Whether a call for advice fails once the timeout that the owner has set has passed; by default it waits for its answer. */
  readonly hasAdviceTimeouts?: boolean
  /**
   * The time that a scheduling pass takes for each step that it considers, during which the owner does nothing else. Passes are paced as in
   * the product then; by default they take no time, and are made at the end of each tick.
   */
  readonly stepCostMs?: number
}

export class SimulatedCell {
  public readonly clock = new ManualClock()
  public readonly hosts: SimulatedHost[]
  /** The largest number of runs of one task that were seen at the same time. */
  public maxRunsOfOneTask = 0
  /** The largest use of a host above its capacity that was seen, in millicores. */
  public maxOverCapacity = 0
  /** The most millicores that the hosts ran for each workspace at the same time. */
  public readonly maxWorkspaceMillicores = new Map<string, number>()
  private _workspaces: readonly IWorkspace[] = []
  /** The number of starts that were refused because their ticket had expired. */
  public staleTicketCount = 0
  public scheduler: CostlyScheduler
  /** While this is set, no save completes. */
  public isStoreDown = false
  /** The machines that have disappeared: they make no calls for advice, and those that they have in flight get no answer. */
  public readonly goneMachines = new Set<string>()
  /** The machines of which every call for advice is answered as busy. */
  public readonly busyMachines = new Set<string>()
  /** An additional delay of all answers to calls for advice. */
  public adviceDelayMs = 0
  /** The time between the decision to start a run and the arrival of the order. */
  public orderDelayMs = 0
  /** The minimum time between two scheduling passes: a slow owner makes few. */
  public passIntervalMs = 0
  private _passedAtMs = -Infinity
  private readonly _ownerClock = new BusyClock(this.clock)
  private readonly _pacer: PassPacer
  private _areHoldsDue = false
  private _isSweepDue = false
  /** The stored progress record of each job, by job id. */
  public readonly stored = new Map<string, string>()
  /** The stored record of each accepted job, by job id. */
  public readonly accepted = new Map<string, string>()
  private _ownerRevision = 1
  private _isPassDue = false
  private _nextJob = 0
  /** When the poll that a host has not answered yet was sent. */
  private readonly _holdSentAtMs = new Map<SimulatedHost, number>()
  private _adviceBusyUntilMs = new Map<string, number>()
  private _adviceWaiting = new Map<string, number>()
  private _pendingSaves: { readonly job: Job, readonly atMs: number, readonly done: () => void }[] = []

  public constructor (private readonly _options: ISimulatedCellOptions) {
    this.hosts = Array.from({ length: _options.hosts }, (_, number) => this._createHost(number))
    const passEffects = { runPass: (maxMs: number) => this.scheduler.runPass(maxMs), recordDuration: () => {} }
    this._pacer = new PassPacer(passEffects, this._ownerClock, _options.logger ?? new SilentLogger())
    this.scheduler = this._createScheduler(0)
  }

  public host (number: number): SimulatedHost {
    const host = this.hosts[number]
    if (host === undefined) throw new Error('no such host')
    return host
  }

  /** The starts of tasks after a run of them was done, if the owner has acknowledged that end, with their hosts. */
  public startsAfterDone (): readonly string[] {
    const done = this.hosts.flatMap(({ acknowledgedDone }) => acknowledgedDone)
    return this.hosts.flatMap(({ options, starts }) => starts
      .filter((start) => done.some(({ task, atMs }) => task === start.task && atMs <= start.atMs))
      .map(({ task }) => `${task} on ${options.hostId}`))
  }

  /** Adds another host, which the owner learns of with its first poll. */
  public joinHost (): void {
    this.hosts.push(this._createHost(this.hosts.length))
  }

  /** Submits a job, which is accepted at once. */
  public submit (steps: readonly Partial<IStepSpec>[], queue: Partial<QueueTerms> = {}, workspace = ''): Job {
    const job = this.createJob(steps, queue, workspace)
    this.accept(job)
    return job
  }

  public createJob (steps: readonly Partial<IStepSpec>[], queue: Partial<QueueTerms> = {}, workspace = ''): Job {
    this._nextJob += 1
    const jobId = this._nextJob.toString(16).padStart(16, '0')
    const spec = { jobId, description: '', occurrences: 0, steps: steps.map((step) => ({ ...STEP, ...step })) }
    return new Job(spec, { ...QUEUE, ...queue }, this.clock.nowMs(), workspace)
  }

  public accept (job: Job): void {
    this.accepted.set(job.spec.jobId, encodeAccepted(job, this.clock.wallMs()))
    this.scheduler.admit(job)
  }

  /** Cancels a job, as an owner does once the cancellation is stored. */
  public cancel (job: Job): void {
    const { scheduler } = this
    job.phase = 'cancelled'
    job.finishedAtMs = this.clock.nowMs()
    this._save(job).then(() => { scheduler.stopJob(job) }, () => {})
  }

  public async run (forMs: number): Promise<void> {
    const untilMs = this.clock.nowMs() + forMs
    while (this.clock.nowMs() < untilMs) await this._tick()
  }

  /** Replaces the owner: a new scheduler restores the jobs from the store and learns of the runs from the hosts. */
  public takeOver (): void {
    this.scheduler.dispose()
    this._pendingSaves = []
    this._ownerRevision += 1
    this.scheduler = this._createScheduler(this.clock.nowMs() + MAX_HOLD_MS * 1.5)
    for (const [jobId, record] of this.accepted) {
      const job = decodeAccepted(record, this.clock.nowMs(), this.clock.wallMs())
      const progress = this.stored.get(jobId)
      const runs = progress === undefined ? [] : applyProgress(job, progress)
      this.scheduler.restore(job, runs, (hostId) => this._stateOf(hostId))
    }
  }

  /** Applies a configuration with these workspaces; the next owners have it as well. */
  public configure (workspaces: readonly IWorkspace[]): void {
    this._workspaces = workspaces
    this.scheduler.applyWorkspaces(workspaces)
  }

  public job (jobId: string): Job {
    const job = this.scheduler.jobs.get(jobId)
    if (job === undefined) throw new Error('no such job')
    return job
  }

  private _createHost (number: number): SimulatedHost {
    return new SimulatedHost({
      hostId: `host-${number}`,
      cpuMillicores: 8000,
      memoryMb: 64_000,
      rack: `rack-${number % 2}`,
      maxHoldMs: MAX_HOLD_MS,
      workMs: () => 1000,
      endOf: () => 'done',
      ...this._options.host,
      ...this._options.hostOf?.(number),
    }, this.clock)
  }

  private _createScheduler (inheritedUntilMs: number): CostlyScheduler {
    const machines = Array.from({ length: this._options.adviceMachines ?? ADVICE_MACHINES }, (_, number) => ({ name: `machine-${number}`, isNear: !this._isFar(number) }))
    const scheduler = new CostlyScheduler({
      save: async (job) => { await this._save(job) },
      start: async (entry, order) => await this._answerOwner(this._start(entry.hostId, order)),
      stop: async (entry, ref, fence) => this._hostOf(entry.hostId).stop(ref, fence),
      stopUnknown: async (entry, ref, fence) => this._hostOf(entry.hostId).stop(ref, fence),
      onFenced: () => {},
      onRestartSuspected: () => {},
      requestPass: () => { if (this._options.stepCostMs === undefined) this._isPassDue = true; else this._pacer.request() },
      recordDuration: () => {},
      count: () => {},
      machines: () => machines.filter(({ name }) => !this.goneMachines.has(name)),
      send: async (machine, request, timeoutMs) => await this._answerOwner(this._sendInTime(machine, request, timeoutMs))
    }, {
      farFactor: 3, ownerRevision: this._ownerRevision, maxHoldMs: MAX_HOLD_MS, inheritedUntilMs
    }, CHART, this._ownerClock, this._options.logger ?? new SilentLogger(), this._options.order)
    scheduler.onConsider = () => { this._ownerClock.work(this._options.stepCostMs ?? 0) }
    for (const host of this.hosts) if (host.isListed) scheduler.addHost(host.listedEntry)
    scheduler.applyWorkspaces(this._workspaces)
    return scheduler
  }

  /** An owner that is busy handles an answer once it is free. */
  private async _answerOwner<T> (answer: Promise<T>): Promise<T> {
    const outcome = await answer
    await this._ownerClock.whenFree()
    return outcome
  }

  private async _start (hostId: string, order: IStartOrder): Promise<StartOutcome> {
    await this._wait(this.orderDelayMs)
    if (this._isTicketStale(order.ticket)) return { kind: 'refused', reason: 'ticket' }
    const host = this._hostOf(hostId)
    const outcome = host.start(order)
    if (outcome.kind === 'unanswered') await this._wait(this._options.startTimeoutMs ?? 0)
    const { startAnswerDelayMs } = host
    if (startAnswerDelayMs > 0) await new Promise<void>((resolve) => { this.clock.after(startAnswerDelayMs, resolve) })
    return outcome
  }

  private async _save (job: Job): Promise<void> {
    await new Promise<void>((resolve) => {
      this._pendingSaves.push({ job, atMs: this.clock.nowMs() + (this._options.saveMs ?? 10), done: resolve })
    })
  }

  private async _sendInTime (machine: string, request: IAdviceRequest, timeoutMs: number): Promise<AdviceOutcome> {
    const answer = this._send(machine, request)
    if (this._options.hasAdviceTimeouts !== true) return await answer
    return await Promise.race([answer, this._wait(timeoutMs).then((): AdviceOutcome => ({ kind: 'failed', reason: 'timeout' }))])
  }

  private async _send (machine: string, request: IAdviceRequest): Promise<AdviceOutcome> {
    const tripMs = this._isFar(Number(machine.split('-')[1])) ? this._options.farMachines?.tripMs ?? 0 : 0
    await this._wait(tripMs)
    if (this.busyMachines.has(machine)) return { kind: 'busy' }
    const isAnswered = await this._serve(machine, this._options.adviceMs?.(request) ?? 0)
    const outcome: AdviceOutcome = isAnswered ? this._advise(request) : { kind: 'busy' }
    await this._wait(tripMs + (this._options.adviceReplyDelayMs ?? 0) + this.adviceDelayMs)
    if (this.goneMachines.has(machine)) return await new Promise<never>(() => {})
    return outcome
  }

  /** Waits for the machine's turn and until the service has decided. Returns false if too many of the machine's calls wait already. */
  private async _serve (machine: string, takesMs: number): Promise<boolean> {
    if (this._options.isAdviceSerial !== true) {
      await this._wait(takesMs)
      return true
    }
    const waiting = this._adviceWaiting.get(machine) ?? 0
    if (waiting >= MAX_ADVICE_WAITING) return false
    const nowMs = this.clock.nowMs()
    const endsAtMs = Math.max(nowMs, this._adviceBusyUntilMs.get(machine) ?? 0) + takesMs
    this._adviceBusyUntilMs.set(machine, endsAtMs)
    this._adviceWaiting.set(machine, waiting + 1)
    await this._wait(endsAtMs - nowMs)
    this._adviceWaiting.set(machine, (this._adviceWaiting.get(machine) ?? 1) - 1)
    return true
  }

  private async _wait (ms: number): Promise<void> {
    if (ms > 0) await new Promise<void>((resolve) => { this.clock.after(ms, resolve) })
  }

  private _isFar (machine: number): boolean {
    return machine < (this._options.farMachines?.count ?? 0)
  }

  private _isTicketStale (ticket: string): boolean {
    const isStale = ticket !== '' && this.clock.nowMs() - Number(ticket) > (this._options.ticketValidMs ?? Infinity)
    if (isStale) this.staleTicketCount += 1
    return isStale
  }

  private _advise (request: IAdviceRequest): AdviceOutcome {
    const allowed = request.hostIds.filter((hostId) => this._options.allows?.(hostId, request) ?? true)
    return { kind: 'advised', allowed: allowed.map((hostId) => ({ hostId, ticket: String(this.clock.nowMs()) })) }
  }

  private async _tick (): Promise<void> {
    this.clock.advance(TICK_MS)
    for (const host of this.hosts) host.tick()
    this._recordWorstUse()
    this._areHoldsDue ||= this.clock.nowMs() % HOLD_INTERVAL_MS === 0
    this._isSweepDue ||= this.clock.nowMs() % SWEEP_INTERVAL_MS === 0
    if (!this._ownerClock.isBusy) this._runOwner()
    await settlePromises()
    if (this._isPassDue && this.clock.nowMs() - this._passedAtMs >= this.passIntervalMs) {
      this._isPassDue = false
      this._passedAtMs = this.clock.nowMs()
      this.scheduler.runPass()
      await settlePromises()
    }
  }

  private _runOwner (): void {
    this._completeSaves()
    if (this._areHoldsDue) this._sendHolds()
    if (this._isSweepDue) this.scheduler.sweep()
    this._areHoldsDue = false
    this._isSweepDue = false
  }

  private _completeSaves (): void {
    if (this.isStoreDown) return
    const due = this._pendingSaves.filter((save) => save.atMs <= this.clock.nowMs())
    this._pendingSaves = this._pendingSaves.filter((save) => save.atMs > this.clock.nowMs())
    for (const { job, done } of due) {
      this.stored.set(job.spec.jobId, encodeProgress(job, this.clock.nowMs()))
      if (job.phase !== 'queued') job.storedPhase = job.phase
      done()
    }
  }

  private _sendHolds (): void {
    const { holdMs = 0 } = this._options
    for (const host of this.hosts) {
      const nowMs = this.clock.nowMs()
      const sentAtMs = this._holdSentAtMs.get(host) ?? nowMs
      this._holdSentAtMs.set(host, sentAtMs)
      if (nowMs - sentAtMs < holdMs) continue
      this._holdSentAtMs.delete(host)
      this._answerHold(host, sentAtMs)
    }
  }

  private _answerHold (host: SimulatedHost, sentAtMs: number): void {
    if (!host.isListed && !this.scheduler.hosts.has(host.options.hostId)) return
    const state = this._stateOf(host.options.hostId)
    state.entry = host.listedEntry
    state.isListed = host.isListed
    const deadlineMs = state.nextDeadline(sentAtMs, MAX_HOLD_MS, Infinity)
    const acknowledgedSequence = state.sequenceToAcknowledge
    const answer = host.hold({ fence: state.fence, acknowledgedSequence, deadlineMs, waitMs: 0 })
    if (answer === undefined || answer === 'fenced') {
      state.recordUnansweredPoll(this.clock.nowMs())
      if (this.scheduler.loseRunsIfLapsed(state) && !host.isListed) this.scheduler.hosts.delete(host.options.hostId)
      return
    }
    state.recordAnsweredPoll(answer.bornMs, acknowledgedSequence)
    this.scheduler.applyHoldAnswer(state, answer, sentAtMs)
  }

  private _recordWorstUse (): void {
    const runs = new Map<string, number>()
    const usedByWorkspace = new Map<string, number>()
    for (const host of this.hosts) {
      let used = 0
      for (const run of host.running.values()) {
        runs.set(taskKey(run.ref), (runs.get(taskKey(run.ref)) ?? 0) + 1)
        const job = this.scheduler.jobs.get(run.ref.jobId)
        const millicores = job?.steps[run.ref.step]?.spec.cpuMillicores ?? 0
        used += millicores
        if (job !== undefined) usedByWorkspace.set(job.workspace, (usedByWorkspace.get(job.workspace) ?? 0) + millicores)
      }
      this.maxOverCapacity = Math.max(this.maxOverCapacity, used - host.options.cpuMillicores)
    }
    this.maxRunsOfOneTask = Math.max(this.maxRunsOfOneTask, ...runs.values())
    for (const [workspace, millicores] of usedByWorkspace) {
      this.maxWorkspaceMillicores.set(workspace, Math.max(this.maxWorkspaceMillicores.get(workspace) ?? 0, millicores))
    }
  }

  private _hostOf (hostId: string): SimulatedHost {
    const host = this.hosts.find(({ options }) => options.hostId === hostId)
    if (host === undefined) throw new Error('no such host')
    return host
  }

  private _stateOf (hostId: string): HostState {
    const host = this._hostOf(hostId)
    const state = this.scheduler.addHost(host.listedEntry)
    state.isListed = host.isListed
    return state
  }
}

async function settlePromises (): Promise<void> {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}
