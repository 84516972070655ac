/**
 * Makes the owner's scheduling decisions: which jobs are admitted, which tasks start next and where, and which runs are stopped.
 * It performs no I/O itself: it acts through the effects that are passed to it.
 */

import type { ILogger } from '../observability/Types.js'
import type { ChartTable } from '../state/ChartTable.js'
import type { IClock, ITimers, MonotonicMs } from '../Types.js'
import { AdviceRequester } from './AdviceRequester.js'
import type { IBacklog } from './AdmissionRate.js'
import type { IAdviceEffects } from './AdviceRequester.js'
import { Attempt } from './Attempt.js'
import { BlockedSteps } from './BlockedSteps.js'
import { CapacityReservations } from './CapacityReservations.js'
import { HoldAnswerHandler } from './HoldAnswerHandler.js'
import { HostSpeeds } from './HostSpeeds.js'
import { HostFence } from './HostFence.js'
import { HostState } from './HostState.js'
import type { IHostTerms } from './HostState.js'
import { HostTrials } from './HostTrials.js'
import type { Job, Step } from './Job.js'
import { ObjectiveOrder, isLate } from './JobOrder.js'
import type { IJobOrder } from './JobOrder.js'
import { LimitReservations } from './LimitReservations.js'
import { isRecordOutdated } from './OpenStarts.js'
import type { IPassSlice } from './PassPacer.js'
import { planGang, planTasks, urgentHeadroom } from './Placement.js'
import type { IPlacement, IPlacementView } from './Placement.js'
import { countBacklog, findReadySteps } from './ReadySteps.js'
import { NO_RESOURCES, addResources } from './Resources.js'
import type { IResources } from './Resources.js'
import { RunController } from './RunController.js'
import type { IRunEffects } from './RunController.js'
import { RunTimes } from './RunTimes.js'
import type { IRunTimesRow } from './RunTimes.js'
import { SchedulingPass } from './SchedulingPass.js'
import { StalledRuns } from './StalledRuns.js'
import { StartForecast } from './StartForecast.js'
import { TicketRenewal } from './TicketRenewal.js'
import { explainWait } from './WaitCause.js'
import type { IWaitContext } from './WaitCause.js'
import { WaitingSteps } from './WaitingSteps.js'
import type { IWaitingRow, WaitStage } from './WaitingSteps.js'
import type { IHoldAnswer, IHostEntry, IRecordedRun, IRunRef, IWorkspace, StopOutcome } from './Types.js'
import { WorkspaceUsage } from './WorkspaceUsage.js'

export interface ICellEffects extends Omit<IRunEffects, 'onChange' | 'requestTickets' | 'onStarted'>, IAdviceEffects {
  stopUnknown (host: IHostEntry, ref: IRunRef, fence: number): Promise<StopOutcome>
}

export interface ICellSchedulerOptions extends IHostTerms {
  /** The revision of the ownership record, with which the fencing tokens of this owner begin. */
  readonly ownerRevision: number
  readonly farFactor: number
}

/** Once a job has waited for this share of the time to its objective, it may use capacity that is reserved for late gangs. */
const AT_RISK_WAIT_SHARE = 0.5

export class CellScheduler {
  public readonly jobs = new Map<string, Job>()
  public readonly hosts = new Map<string, HostState>()
  private readonly _openJobs = new Set<Job>()
  /** The fencing tokens for each host that this owner has known. */
  private readonly _fences = new Map<string, HostFence>()
  private readonly _speeds = new HostSpeeds()
  private readonly _times = new RunTimes()
  private readonly _workspaces = new WorkspaceUsage()
  private readonly _blocked: BlockedSteps
  private readonly _forecast: StartForecast
  private readonly _limits: LimitReservations
  private readonly _runController: RunController
  private readonly _holdHandler: HoldAnswerHandler
  private readonly _advice: AdviceRequester
  private readonly _tickets: TicketRenewal
  private readonly _stalled: StalledRuns
  private readonly _trials: HostTrials
  private readonly _waiting: WaitingSteps
  private _pass: SchedulingPass | undefined
  private readonly _awaitingAdvice = new WeakSet<Step>()
  private _lastReservations: CapacityReservations | undefined
  private _slowHosts: ReadonlySet<HostState> = new Set()

  public constructor (
    private readonly _effects: ICellEffects,
    private readonly _options: ICellSchedulerOptions,
    private readonly _chart: ChartTable,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger,
    private readonly _order: IJobOrder = new ObjectiveOrder()
  ) {
    const onChange = (): void => { _effects.requestPass() }
    this._blocked = new BlockedSteps(this.hosts, this._workspaces, _clock)
    this._forecast = new StartForecast(this.hosts, this._workspaces, this._times, (step) => this._lastReservations?.waitOf(step), _clock)
    this._limits = new LimitReservations(this._workspaces, this._blocked, this._forecast)
    this._runController = new RunController({
      save: async (job) => { await _effects.save(job) },
      start: async (host, order) => await _effects.start(host, order),
      stop: async (host, ref, fence) => await _effects.stop(host, ref, fence),
      onFenced: (hostId) => { _effects.onFenced(hostId) },
      onRestartSuspected: (hostId) => { _effects.onRestartSuspected(hostId) },
      requestTickets: (step) => { this._tickets.requestMissing(step) },
      onStarted: (job, waitedMs) => {
        _effects.count('starts', job.queue.name)
        _effects.recordDuration('wait_for_start', waitedMs)
      },
      onChange
    }, _chart, _clock, _log)
    this._holdHandler = new HoldAnswerHandler(this._runController, this._speeds, this._times, {
      save: async (job) => { await _effects.save(job) },
      count: (name, kind) => { _effects.count(name, kind) },
      findTask: ({ jobId, step, index }) => this.jobs.get(jobId)?.steps[step]?.tasks[index],
      stopUnknown: async (host, ref) => await _effects.stopUnknown(host.entry, ref, host.fence)
    }, _clock, _log)
    this._advice = new AdviceRequester(this.hosts, this._blocked, _effects, _clock, _log)
    this._tickets = new TicketRenewal(this.hosts, this._advice, this._runController, _clock, (host, step) => this._headroomOf(host, step))
    this._stalled = new StalledRuns(this._runController, _clock, _log)
    this._trials = new HostTrials(this.hosts, {
      findReady: () => this._sort(findReadySteps(this._openJobs, () => {})),
      createView: () => this._createView(new CapacityReservations(this.hosts.values(), this._forecast, this._lastReservations)),
      mayStart: (step) => this._limits.countAllowed(step, _clock.nowMs()) > 0,
      start: (step, placement) => { this._prepareRuns(step, [placement]) }
    }, _log)
    const waitContext = (): IWaitContext =>
      ({ hosts: this.hosts, nowMs: _clock.nowMs(), blocked: this._blocked, limits: this._limits, reservations: this._lastReservations })
    this._waiting = new WaitingSteps((step, stage) => explainWait(step, stage, waitContext()), _clock, _log)
  }

  /** Restores a job that an earlier owner recorded, with the runs that may still exist. */
  public restore (job: Job, runs: readonly IRecordedRun[], hostOf: (hostId: string, bornMs: number) => HostState): void {
    job.acceptance = 'stored'
    this.jobs.set(job.spec.jobId, job)
    if (!job.isFinished) this._openJobs.add(job)
    for (const recorded of runs) {
      const task = job.steps[recorded.step]?.tasks[recorded.index]
      if (task === undefined) continue
      const host = hostOf(recorded.hostId, recorded.bornMs)
      const attempt = new Attempt(task, recorded.run, host, this._chart, this._clock.nowMs(), recorded)
      task.attempt = attempt
      host.addAttempt(attempt)
    }
  }

  /**
   * Makes a job schedulable while it is being stored. Capacity is allocated and the first runs are recorded at the same time, but
   * no run is ordered before the job and the runs are both stored. Writing one after the other would take twice as long, which is
   * a large part of an urgent job's time if the store is slow.
   */
  public addPending (job: Job): void {
    this._openJobs.add(job)
    this._effects.requestPass()
  }

  /** Makes a stored job schedulable. */
  public admit (job: Job): void {
    job.acceptance = 'stored'
    this.jobs.set(job.spec.jobId, job)
    this._openJobs.add(job)
    this._effects.requestPass()
  }

  /** Drops a job that was not stored, and frees the capacity allocated to it. */
  public withdraw (job: Job): void {
    job.phase = 'cancelled'
    this.stopJob(job)
  }

  /** Stops all runs of a job whose cancellation is stored. */
  public stopJob (job: Job): void {
    this._openJobs.delete(job)
    this._runController.stopAll(job)
    this._effects.requestPass()
  }

  public addHost (entry: IHostEntry): HostState {
    const known = this.hosts.get(entry.hostId)
    if (known !== undefined) {
      known.entry = entry
      known.markRegistered()
      return known
    }
    const host = new HostState(entry, this._options, this._createFence(entry.hostId), this._workspaces, this._clock.nowMs())
    this.hosts.set(entry.hostId, host)
    return host
  }

  /** A host that was forgotten and comes back may have seen the last token, and may have been sent orders under it that are still in flight. */
  private _createFence (hostId: string): HostFence {
    const earlier = this._fences.get(hostId)
    earlier?.raise()
    const fence = earlier ?? new HostFence(this._options.ownerRevision)
    this._fences.set(hostId, fence)
    return fence
  }

  /**
   * Applies the workspaces' limits. Runs that were not ordered yet are dropped in a workspace that now has more than it may have; the
   * others run to their end.
   */
  public applyWorkspaces (workspaces: readonly IWorkspace[]): void {
    this._workspaces.setLimits(workspaces)
    for (const job of this._openJobs) {
      for (const step of job.steps) {
        const preparing = step.tasks.flatMap(({ attempt }) => attempt?.phase === 'preparing' ? [attempt] : [])
        if (preparing.length > 0 && this._workspaces.isOverLimit(job.workspace)) this._runController.drop(preparing)
      }
    }
    this._effects.requestPass()
  }

  /** Whether the workspace could ever run all steps of the job within its limit. */
  public isWithinLimit (job: Job): boolean {
    return job.spec.steps.every((step) => this._workspaces.couldRun(job.workspace, step))
  }

  public applyHoldAnswer (host: HostState, answer: IHoldAnswer, sentAtMs: MonotonicMs): void {
    this._holdHandler.applyAnswer(host, answer, sentAtMs)
    this._effects.requestPass()
  }

  /** Gives up the runs of a host that has left, or has been silent for longer than their leases. Returns whether the host has no runs left. */
  public loseRunsIfLapsed (host: HostState): boolean {
    if (host.attempts.size > 0) this._holdHandler.loseLapsedRuns(host)
    return host.attempts.size === 0 && host.hasLapsed(this._clock.nowMs())
  }

  /** The accepted jobs that aren't finished, and those that are being accepted. */
  public get openJobs (): ReadonlySet<Job> {
    return this._openJobs
  }

  /** The number of accepted jobs of the queue that have not started. */
  public countWaiting (queue: string): number {
    let count = 0
    for (const job of this._openJobs) if (job.acceptance === 'stored' && job.queue.name === queue && !job.hasStarted) count += 1
    return count
  }

  /** The accepted tasks that the owner has to start as soon as there is room. */
  public countBacklog (): IBacklog {
    return countBacklog(this._openJobs, this._blocked)
  }

  /**
   * Stops stalled runs, repeats stops that had no answer, corrects outdated records and requests missing tickets again. It has to be called about
   * twice a second.
   */
  public sweep (): void {
    const nowMs = this._clock.nowMs()
    const preparing = new Set<Step>()
    const outdated = new Set<Job>()
    for (const host of this.hosts.values()) {
      for (const attempt of [...host.attempts]) {
        if (attempt.phase === 'stopping') this._runController.stop(attempt)
        if (attempt.phase === 'preparing') preparing.add(attempt.task.step)
        if (isRecordOutdated(attempt, nowMs)) outdated.add(attempt.task.step.job)
      }
    }
    for (const job of outdated) this._correctRecord(job)
    this._stalled.stopStalled([...this.hosts.values()])
    for (const step of preparing) this._runController.orderReady(step)
    this._advice.sendWaiting()
    this._waiting.log()
    this._effects.requestPass()
  }

  /**
   * Places every task that can be placed now, the most urgent first: for about `maxMs`, then the next call continues the pass. Returns the
   * number of steps that were considered, and whether the pass is complete.
   */
  public runPass (maxMs = Infinity): IPassSlice {
    if (this._pass === undefined) {
      this._slowHosts = this._speeds.findSlowHosts(this.hosts.values())
      this._limits.beginPass(this._clock.nowMs())
      this._trials.startDue()
      this._pass = new SchedulingPass({
        findReady: () => findReadySteps(this._openJobs, (step) => { this._waiting.recordResult(step) }),
        sort: (steps) => this._sort(steps),
        createReservations: () => new CapacityReservations(this.hosts.values(), this._forecast, this._lastReservations),
        createView: (reservations) => this._createView(reservations),
        place: (step, reservations, view) => {
          const stage = this._placeStep(step, reservations, view)
          this._waiting.recordResult(step, stage)
          return stage
        }
      }, this._awaitingAdvice, this._clock)
    }
    const steps = this._pass.runSlice(maxMs)
    if (!this._pass.isComplete) return { steps, isComplete: false }
    this._waiting.endPass()
    this._lastReservations = this._pass.reservations
    this._pass = undefined
    return { steps, isComplete: true }
  }

  /** The calls for advice that wait and that are in flight, and how many may occupy the owner at once. */
  public get adviceLoad (): { readonly adviceWaiting: number, readonly adviceInFlight: number, readonly adviceLimit: number } {
    const { waitingCount, inFlightCount, limit } = this._advice
    return { adviceWaiting: waitingCount, adviceInFlight: inFlightCount, adviceLimit: limit }
  }

  /** Current values for the metrics. */
  public gauges (): Readonly<Record<string, number>> {
    let runs = 0
    let usedCpu = 0
    let cpu = 0
    let failing = 0
    for (const host of this.hosts.values()) {
      if (!host.breaker.isClosed) failing += 1
      runs += host.attempts.size
      usedCpu += host.usedCpu
      cpu += host.entry.cpuMillicores
    }
    const limited = this._workspaces.rows().filter(({ maxMillicores = Infinity, usedMillicores }) => usedMillicores >= maxMillicores).length
    const jobs = { workspaces_at_limit: limited, jobs: this.jobs.size, jobs_open: this._openJobs.size }
    const { adviceWaiting, adviceInFlight, adviceLimit } = this.adviceLoad
    const advice = { advice_waiting: adviceWaiting, advice_in_flight: adviceInFlight, advice_limit: adviceLimit }
    const waiting = Object.fromEntries([...this._waiting.counts()].map(([reason, count]) => [`steps_waiting{kind="${reason}"}`, count]))
    return { ...jobs, ...advice, ...waiting, hosts: this.hosts.size, hosts_failing: failing, runs, used_millicores: usedCpu, host_millicores: cpu }
  }

  /** What each workspace uses and may use, for the state dump. */
  public workspaces (): ReturnType<WorkspaceUsage['rows']> {
    return this._workspaces.rows()
  }

  /** How long the runs of each queue take, for the state dump. */
  public runTimes (): readonly IRunTimesRow[] {
    return this._times.rows()
  }

  /** The steps that have waited for long, and why, for the state dump. */
  public waitingSteps (): readonly IWaitingRow[] {
    return this._waiting.rows()
  }

  public dispose (): void {
    this._advice.dispose()
  }

  private _correctRecord (job: Job): void {
    this._effects.count('records_corrected', job.queue.name)
    this._effects.save(job).catch((error: unknown) => { this._log.error('run.recordFailed', { requestId: job.spec.jobId, reason: String(error) }) })
  }

  private _sort (steps: Step[]): readonly Step[] {
    return this._order.sort(steps, this._clock.nowMs(), this._workspaces, this._times)
  }

  private _createView (reservations: CapacityReservations): IPlacementView {
    const nowMs = this._clock.nowMs()
    return {
      nowMs,
      hosts: this.hosts,
      farFactor: this._options.farFactor,
      times: this._times,
      slowHosts: this._slowHosts,
      headroom: (host, step) => addResources(urgentHeadroom(host, step), reservations.reservedOn(host, step, isAtRisk(step, nowMs))),
      // Uses the reservations of the previous pass: urgent work is placed first, before this pass knows which gangs have to wait.
      hasReservation: (host) => this._lastReservations?.hasReservation(host) === true
    }
  }

  /** Places what can be placed of the step. Returns what it waits for if that is nothing. */
  protected _placeStep (step: Step, reservations: CapacityReservations, view: IPlacementView): WaitStage | undefined {
    const allowed = this._limits.countAllowed(step, view.nowMs)
    if (allowed === 0) return this._waitForLimit(step, reservations, view)
    const advice = this._advice.ensureAdvice(step)
    if (step.job.queue.advice !== undefined && !advice.hasAnswer) return 'advice'
    if (!step.spec.gang) return this._placeTasks(step, allowed, view) ? undefined : 'room'
    // All runs of the previous attempt must be gone, or one of the gang's tasks could run twice.
    if (!step.hasNoRuns || step.tasks.some((task) => task.notBeforeMs > view.nowMs)) return 'earlierRuns'
    if (this._placeGang(step, view)) return undefined
    this._reserveForGang(step, reservations, view)
    return 'room'
  }

  /** A step that its workspace may run soon gets advice and room on the hosts meanwhile. */
  private _waitForLimit (step: Step, reservations: CapacityReservations, view: IPlacementView): WaitStage {
    if (!this._limits.isNext(step)) return 'limit'
    const isAdvised = this._advice.ensureAdvice(step).hasAnswer || step.job.queue.advice === undefined
    if (isAdvised && step.spec.gang && step.hasNoRuns) this._reserveForGang(step, reservations, view)
    return 'limit'
  }

  private _placeTasks (step: Step, allowed: number, view: IPlacementView): boolean {
    const idle = step.tasks.filter((task) => task.isIdle && task.notBeforeMs <= view.nowMs)
    if (idle.length === 0) return false
    // What is kept free from other work is for the restarts alone.
    const restarts = idle.filter((task) => task.isRestart)
    const plan = planTasks(step, (restarts.length > 0 ? restarts : idle).slice(0, allowed), view)
    this._prepareRuns(step, plan)
    return plan.length > 0
  }

  private _placeGang (step: Step, view: IPlacementView): boolean {
    const plan = planGang(step, view)
    if (plan === undefined) return false
    this._prepareRuns(step, plan)
    return true
  }

  /** Reserves capacity for a waiting gang, and renews its tickets so that they are valid when that capacity becomes free. */
  private _reserveForGang (step: Step, reservations: CapacityReservations, view: IPlacementView): void {
    // Between two slices of a pass, the gang may be considered again.
    if (reservations.waitOf(step) !== undefined) return
    const reservation = reservations.reserve(step, view, isLate(step.job, view.nowMs, this._times))
    if (reservation !== undefined) this._tickets.renewForReservation(step, reservation)
  }

  /** What a less urgent step had to leave free in the last pass: the reservations of the present one are not complete while it runs. */
  private _headroomOf (host: HostState, step: Step): IResources {
    return addResources(urgentHeadroom(host, step), this._lastReservations?.reservedOn(host, step, false) ?? NO_RESOURCES)
  }

  private _prepareRuns (step: Step, plan: readonly IPlacement[]): void {
    if (plan.length === 0) return
    this._runController.prepare(step, plan)
    this._tickets.requestMissing(step)
  }
}

/**
 * Whether a job can still meet its objective but has used a good part of the time for it. Gangs are excluded: they are ordered
 * among themselves by their objectives.
 */
function isAtRisk ({ spec, job: { receivedAtMs, dueMs } }: Step, nowMs: MonotonicMs): boolean {
  return !spec.gang && nowMs < dueMs && nowMs - receivedAtMs > (dueMs - receivedAtMs) * AT_RISK_WAIT_SHARE
}
