/**
 * Checks, while a soak runs, the guarantees that callers and hosts are given. It uses only the answers that callers received and
 * the runs that hosts started and ended.
 */

import { AcknowledgedEnds } from './AcknowledgedEnds.js'
import { StalledJobs } from './StalledJobs.js'

import type { IHostEvents } from '../../platform/standins/HostStandIn.js'
import type { PlatformStandIn } from '../../platform/standins/PlatformStandIn.js'

export interface ICheckedJob {
  readonly jobId: string
  readonly gang: boolean
  readonly cpu: number
  /** The number of tasks of each step; a step starts after the step before it is done. */
  readonly counts: readonly number[]
  readonly workspace?: string
  /** Whether the job's queue needs advice. */
  readonly isAdvised?: boolean
  /** Whether no host may run any of its tasks. */
  readonly neverRuns?: boolean
  accepted: boolean
  /** Whether a submission was accepted, or may have been because its answer was lost or left the result open. */
  isPossiblyAccepted: boolean
  refusedSubmissions: number
  cancelledAtMs?: number
  finalState?: string
  completedAtMs?: number
}

interface IRunningTask { readonly hostId: string, readonly run: number }
interface IDoneTask { readonly hostId: string, readonly atMs: number }

/** A start later than this after the cancellation was acknowledged is a violation, in ms. */
const CANCEL_SLACK_MS = 3000
/** If a host was disturbed after, or at most this long before, a run ended there, the owner may never learn of the end; in ms. */
const UNREPORTED_END_MS = 3000
/** A start later than this after its job was shown as completed is a violation, in ms. */
const COMPLETED_SLACK_MS = 1000
const MAX_ATTEMPTS = 6

export class InvariantChecker implements IHostEvents {
  public readonly violations: string[] = []
  public readonly jobs = new Map<string, ICheckedJob>()
  public starts = 0
  /** What hosts did and what was done to them, for tracing a failure. */
  public readonly hostLog: string[] = []
  private readonly _runningByHost = new Map<string, Set<string>>()
  private readonly _runs = new Map<string, IRunningTask>()
  private readonly _doneTasks = new Map<string, IDoneTask>()
  private readonly _failures = new Map<string, number>()
  private readonly _ends = new AcknowledgedEnds((violation) => { this._report(violation) })
  private readonly _stalled = new StalledJobs()
  private readonly _disturbedAtMs = new Map<string, number>()
  /** The starts that a host carried out late. Bounds in time don't hold for these. */
  private readonly _lateStarts = new Set<string>()
  private readonly _lastingDisturbances = new Map<string, number>()
  /** The highest limit that each workspace has had, in millicores. */
  private readonly _limits = new Map<string, number>()

  public constructor (private readonly _hostCpu: number) {}

  /**
   * Records that the host restarted or that its network path changed, so that its reports may be lost.
   *
   * @param change 1 if it lasts, -1 when one that lasted has ended
   */
  public recordDisturbance (hostId: string, kind: string, change: -1 | 0 | 1 = 0): void {
    this._logHost(hostId, kind)
    this._disturbedAtMs.set(hostId, performance.now())
    this._lastingDisturbances.set(hostId, (this._lastingDisturbances.get(hostId) ?? 0) + change)
  }

  /** Records a limit of a workspace. Processes may learn of a lower one only after a fault, so the highest limit counts. */
  public recordLimit (workspace: string, maxCpu: number): void {
    this._limits.set(workspace, Math.max(maxCpu, this._limits.get(workspace) ?? 0))
  }

  /** Records that a caller of one workspace could read a job of another one. */
  public reportForeignRead (jobId: string): void {
    this._report(`${jobId} was shown to another workspace`)
  }

  public onStart (hostId: string, task: string, run: number): void {
    this._logHost(hostId, 'start', task, run)
    this.starts += 1
    const job = this._jobOf(task)
    if (job === undefined) return this._report(`${task} run ${run} on ${hostId}: the job was never submitted`)
    this._stalled.recordRun(job.jobId)
    if (job.neverRuns === true) this._report(`${task} run ${run} started on ${hostId} although no host may run it`)
    const running = [...this._runs].filter(([key]) => key.startsWith(`${task}@`))
    if (running.length > 0) this._report(`${task} run ${run} started on ${hostId} while it runs on ${running.map(([, each]) => each.hostId).join()}`)
    this._checkNotDone(job, task, run, hostId)
    this._ends.recordStart(hostId, task, run, job.gang)
    this._checkStepOrder(job, task)
    if (!this._lateStarts.has(`${task}@${hostId} ${run}`)) this._checkInTime(job, task)
    if (!job.isPossiblyAccepted && job.refusedSubmissions > 0) this._report(`${task} started although every submission of its job was refused`)
    if ((this._failures.get(task) ?? 0) >= MAX_ATTEMPTS) this._report(`${task} started again after ${MAX_ATTEMPTS} failed runs`)
    this._runs.set(`${task}@${hostId}`, { hostId, run })
    const tasksOnHost = this._runningByHost.get(hostId) ?? new Set<string>()
    tasksOnHost.add(task)
    this._runningByHost.set(hostId, tasksOnHost)
    this._checkCapacity(hostId, tasksOnHost)
    this._checkLimit(job.workspace)
  }

  public onEnd (hostId: string, task: string, run: number, outcome: string, sequence: number): void {
    this._logHost(hostId, 'end', task, run, outcome, sequence)
    this._runs.delete(`${task}@${hostId}`)
    this._runningByHost.get(hostId)?.delete(task)
    this._stalled.recordRun(task.slice(0, 16))
    if (outcome === 'failed') this._failures.set(task, (this._failures.get(task) ?? 0) + 1)
    if (outcome !== 'done') return
    this._doneTasks.set(task, { hostId, atMs: performance.now() })
    this._ends.recordDone({ hostId, task, run, sequence })
  }

  public onLateOrder (hostId: string, path: string, body: string): void {
    this._logHost(hostId, 'late', path, body)
    if (path !== '/run-start') return
    const { task, run } = JSON.parse(body) as { readonly task: string, readonly run: number }
    this._lateStarts.add(`${task}@${hostId} ${run}`)
  }

  public onAcknowledged (hostId: string, sequence: number): void {
    this._logHost(hostId, 'acknowledged', sequence)
    this._ends.recordAcknowledged(hostId, sequence)
  }

  public onLapse (hostId: string): void {
    this._logHost(hostId, 'lapse')
    this._ends.excuse(hostId)
  }

  public onListLost (hostId: string): void {
    this._ends.excuse(hostId)
  }

  public recordState (jobId: string, state: string): void {
    const job = this.jobs.get(jobId)
    if (job === undefined) return
    if (job.finalState !== undefined && job.finalState !== state) this._report(`${jobId} was ${job.finalState} and is ${state}`)
    if (state === 'completed' || state === 'failed' || state === 'cancelled') job.finalState = state
    if (state === 'completed') {
      job.completedAtMs ??= performance.now()
      this._checkCompleted(job)
    }
    if (state === 'failed' && !this._hasFailed(job)) this._report(`${jobId} is failed although not enough of its runs failed`)
    if (state === 'cancelled' && job.cancelledAtMs === undefined) this._report(`${jobId} is cancelled although no caller cancelled it`)
  }

  public recordUnknownJob (jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job?.accepted === true) this._report(`${jobId} was accepted and is unknown now`)
  }

  /** Records that a process no longer serves a queue of a version that it has served since it started. */
  public reportConfigRollback (controllerId: string, version: number): void {
    this._report(`${controllerId} went back to a configuration older than version ${version}`)
  }

  /** Records that a process doesn't have the newest version although the faults have ended. */
  public reportOutdatedConfig (controllerId: string, version: number): void {
    this._report(`${controllerId} does not have version ${version} of the configuration after the faults have ended`)
  }

  /** Records that an accepted job has not ended although the faults have ended. */
  public reportUnfinishedJob (jobId: string, state: string): void {
    this._report(`${jobId} is still ${state} after the faults have ended`)
  }

  /** Reports jobs that have stalled. To be called again and again once traffic and faults have ended and earlier leases are over. */
  public checkStalledJobs (platform: PlatformStandIn): void {
    const roomByHost = new Map(platform.hosts.map(({ hostId }) => [hostId, this._hostCpu - this._usedCpu(this._runningByHost.get(hostId) ?? [])]))
    const freeCpu = [...roomByHost.values()].reduce((sum, room) => sum + room, 0)
    const isMostlyFree = freeCpu > roomByHost.size * this._hostCpu / 2
    const running = new Set([...this._runningByHost.values()].flatMap((tasks) => [...tasks].map((task) => task.slice(0, 16))))
    const waiting = [...this.jobs.values()].filter((job) => job.accepted && job.neverRuns !== true && !running.has(job.jobId) &&
      job.finalState === undefined && job.cancelledAtMs === undefined && !this._hasFailed(job))
    const startable = isMostlyFree ? waiting.filter((job) => this._couldStart(job, platform, roomByHost)) : []
    for (const jobId of this._stalled.record(startable.map((job) => job.jobId))) {
      const { gang = false, cpu = 0, counts = [] } = this.jobs.get(jobId) ?? {}
      this._report(`${jobId} (${gang ? 'gang, ' : ''}${counts.join()} tasks of ${cpu} millicores) could go on and has had nothing running for a while`)
    }
  }

  /** Whether a task of the job's next step, or all of a gang, has room on the allowed hosts and within a limit of which less than half is in use. */
  private _couldStart (job: ICheckedJob, platform: PlatformStandIn, roomByHost: ReadonlyMap<string, number>): boolean {
    const step = job.counts.findIndex((_, number) => !this._isStepDone(job, number))
    if (step === -1) return false
    const needed = job.gang ? job.counts[step] ?? 0 : 1
    const allowed = [...roomByHost].filter(([hostId]) => job.isAdvised !== true || platform.advicePolicy.isAllowed(`${job.jobId}.0.${step}`, hostId))
    const places = allowed.reduce((sum, [, room]) => sum + Math.floor(room / job.cpu), 0)
    const limit = platform.workspaces.find(({ name }) => name === job.workspace)?.maxCpu ?? Infinity
    const used = this._usedByWorkspace(job.workspace)
    return places >= needed && used < limit / 2 && used + needed * job.cpu <= limit
  }

  private _checkInTime (job: ICheckedJob, task: string): void {
    const nowMs = performance.now()
    if (!job.gang && nowMs - (job.completedAtMs ?? Infinity) > COMPLETED_SLACK_MS) this._report(`${task} started after its job was completed`)
    if (job.cancelledAtMs !== undefined && nowMs - job.cancelledAtMs > CANCEL_SLACK_MS) this._report(`${task} started after its job was cancelled`)
  }

  private _checkNotDone (job: ICheckedJob, task: string, run: number, hostId: string): void {
    const done = this._doneTasks.get(task)
    if (done === undefined || job.gang) return
    const disturbedAtMs = this._disturbedAtMs.get(done.hostId) ?? -Infinity
    if ((this._lastingDisturbances.get(done.hostId) ?? 0) > 0) return
    if (disturbedAtMs > done.atMs - UNREPORTED_END_MS) return
    this._report(
      `${task} run ${run} started on ${hostId} although it was done on ${done.hostId} ${Math.round(performance.now() - done.atMs)} ms before`)
  }

  private _checkStepOrder (job: ICheckedJob, task: string): void {
    const step = Number(task.split('.')[2])
    if (step === 0) return
    if (!this._isStepDone(job, step - 1)) this._report(`${task} started before step ${step - 1} was done`)
  }

  private _checkCompleted (job: ICheckedJob): void {
    job.counts.forEach((_, step) => {
      if (!this._isStepDone(job, step)) this._report(`${job.jobId} is completed although step ${step} is not done`)
    })
  }

  private _isStepDone (job: ICheckedJob, step: number): boolean {
    const tasks = Array.from({ length: job.counts[step] ?? 0 }, (_, index) => `${job.jobId}.0.${step}.${index}`)
    return job.gang ? tasks.some((task) => this._doneTasks.has(task)) : tasks.every((task) => this._doneTasks.has(task))
  }

  private _hasFailed (job: ICheckedJob): boolean {
    const failures = [...this._failures].filter(([task]) => task.startsWith(job.jobId)).map(([, count]) => count)
    return job.gang ? failures.reduce((sum, count) => sum + count, 0) >= MAX_ATTEMPTS : Math.max(0, ...failures) >= MAX_ATTEMPTS
  }

  private _checkCapacity (hostId: string, tasks: ReadonlySet<string>): void {
    const used = this._usedCpu(tasks)
    if (used > this._hostCpu) this._report(`${hostId} runs ${used} of ${this._hostCpu} millicores`)
  }

  private _checkLimit (workspace: string | undefined): void {
    if (workspace === undefined) return
    const limit = this._limits.get(workspace) ?? Infinity
    const used = this._usedByWorkspace(workspace)
    if (used > limit) this._report(`${workspace} runs ${used} of ${limit} millicores`)
  }

  private _usedByWorkspace (workspace: string | undefined): number {
    const tasks = [...this._runningByHost.values()].flatMap((each) => [...each])
    return this._usedCpu(tasks.filter((task) => this._jobOf(task)?.workspace === workspace))
  }

  private _usedCpu (tasks: Iterable<string>): number {
    return [...tasks].reduce((sum, task) => sum + (this._jobOf(task)?.cpu ?? 0), 0)
  }

  private _jobOf (task: string): ICheckedJob | undefined {
    return this.jobs.get(task.slice(0, 16))
  }

  private _logHost (hostId: string, ...event: readonly (string | number)[]): void {
    this.hostLog.push([new Date().toISOString(), hostId, ...event].join(' '))
  }

  private _report (violation: string): void {
    this.hostLog.push(`${new Date().toISOString()} VIOLATION ${violation}`)
    this.violations.push(violation)
  }
}
