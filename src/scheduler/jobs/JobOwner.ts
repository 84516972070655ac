/**
 * Manages the jobs of the id shards that this process owns: accepts them, has their tasks placed, tracks the tasks, and
 * stores the end of each job.
 *
 * Accepted jobs are in the store, but the places of their tasks are known only to the hosts that run them. So a new owner
 * reads the accepted jobs from the log and asks the schedulers for their tasks. The success of a task is known to its
 * scheduler and its host for a limited time. If both are lost in that time, together with the job's owner, the task of a
 * job with several tasks runs again.
 */

import { JobAdmission } from './JobAdmission.js'
import { JobRun } from './JobRun.js'
import { SchedulerChoice } from './SchedulerChoice.js'
import { TaskSender } from './TaskSender.js'
import { TaskSurvey } from './TaskSurvey.js'

import type { IJobSpec, IJobStatus, ITaskUpdate, JobState } from '../../common/protocol/Types.js'
import type { IDisposable, IFinalAnswer } from '../../common/Types.js'
import type { IJobRules } from './JobRun.js'
import type { IJobOwnerContext } from './Types.js'

/** Interval of the check of all jobs. The check is level-triggered: it finds what is to be done even if updates were missed. */
const CHECK_INTERVAL_MS = 250
const NOT_STORED_YET = 'its tasks are being stopped; the cancellation is not stored yet'

export interface IJobReply {
  readonly status?: IJobStatus
  /** False: another process owns the job's id shard. */
  readonly owner: boolean
}

/** An entry of the list of jobs. */
export interface IJobSummary {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  readonly state: JobState
  /** Number of all tasks. */
  readonly tasks: number
  readonly running: number
}

export class JobOwner implements IDisposable {
  private readonly _surveys = new Map<string, TaskSurvey>()
  private readonly _runs = new Map<string, JobRun>()
  private readonly _admission: JobAdmission
  private readonly _sender: TaskSender
  private readonly _registrations: readonly IDisposable[]

  public constructor (private readonly _context: IJobOwnerContext) {
    const { peers, shards, hosts, random, timers } = _context
    const schedulerChoice = new SchedulerChoice(peers.self.region, shards, hosts, random)
    this._admission = new JobAdmission(_context)
    this._sender = new TaskSender(_context, schedulerChoice)
    this._registrations = [
      peers.onLost((peer) => { this._handleSchedulerLost(peer.processId) }),
      timers.every(CHECK_INTERVAL_MS, () => { this._checkJobs() })
    ]
  }

  public get liveCount (): number {
    return this._runs.size
  }

  public dispose (): void {
    for (const registration of this._registrations) registration.dispose()
    this._surveys.clear()
    this._runs.clear()
  }

  /** Takes over an id shard with its accepted jobs that haven't ended. */
  public takeOver (idShard: string, epoch: number, jobs: readonly IJobSpec[]): void {
    this.removeShard(idShard)
    this._surveys.set(idShard, this._createSurvey(idShard, epoch))
    for (const job of jobs) this._createRun(job, epoch).markRecovered(this._context.clock.nowMs())
    this._surveys.get(idShard)?.runIfDue()
  }

  /** Gives up an id shard that this process has lost; its jobs continue under the next owner. */
  public removeShard (idShard: string): void {
    this._surveys.delete(idShard)
    for (const jobId of [...this._runs.keys()]) {
      if (this._context.idShardOf(jobId) === idShard) this._runs.delete(jobId)
    }
  }

  /** Accepts a job once it is in the store. A repeated submission of the same job gets the same answer. */
  public async submit (job: IJobSpec): Promise<IFinalAnswer> {
    const idShard = this._context.idShardOf(job.jobId)
    const survey = this._surveys.get(idShard)
    if (survey === undefined) return this._admission.notOwnerAnswer()
    const refusal = this._admission.refuseInfeasible(job)
    if (refusal !== undefined) return refusal
    const outcome = await this._context.jobLog.acceptJob(idShard, job)
    if (outcome !== 'durable') return this._admission.notStoredAnswer(outcome)
    const record = this._context.jobLog.job(idShard, job.jobId)
    if (record !== undefined && !this._admission.isSameJob(record.job, job)) return this._admission.duplicateAnswer()
    if (record?.end === undefined && this._surveys.get(idShard) === survey && !this._runs.has(job.jobId)) {
      this._advanceJob(this._createRun(job, survey.epoch))
    }
    return this._admission.acceptedAnswer(job)
  }

  public status (jobId: string): IJobReply {
    const idShard = this._context.idShardOf(jobId)
    if (!this._surveys.has(idShard)) return { owner: false }
    const status = this._runs.get(jobId)?.status() ?? this._endedStatus(idShard, jobId)
    return status === undefined ? { owner: true } : { owner: true, status }
  }

  /**
   * Stops all tasks of a job. The status is `cancelled` once the cancellation is in the store, so that no later owner
   * continues the job; until then it gives the reason why the job isn't cancelled yet.
   */
  public async cancel (jobId: string): Promise<IJobReply> {
    const run = this._runs.get(jobId)
    if (run === undefined) return this.status(jobId)
    run.cancel(this._context.clock.nowMs())
    this._advanceJob(run)
    await this._storeEnd(run)
    if (run.storedEnd !== undefined) return { owner: true, status: { ...run.status(), state: run.storedEnd } }
    return { owner: true, status: { ...run.status(), state: 'running', reason: NOT_STORED_YET } }
  }

  /** Handles an update of a task from the scheduler that holds it. */
  public onTaskUpdate (update: ITaskUpdate, from: string): void {
    const { jobId, place } = update
    if (!this._surveys.has(this._context.idShardOf(jobId))) return
    const run = this._runs.get(jobId)
    const isOurs = run?.applyUpdate(place, from, this._context.clock.nowMs()) ?? false
    const isLive = place.state === 'running' || place.state === 'queued'
    if (!isOurs && isLive) this._sender.stopStray(jobId, place, from)
    if (run !== undefined) this._advanceJob(run)
  }

  /** Up to `maxJobs` live jobs with their numbers of tasks, for operators. */
  public list (maxJobs: number): readonly IJobSummary[] {
    return [...this._runs.values()].slice(0, maxJobs).map(run => {
      const { jobId, service, caller, state, tasks } = run.status()
      return { jobId, service, caller, state, tasks: tasks.length, running: tasks.filter(task => task.state === 'running').length }
    })
  }

  public dump (): Readonly<Record<string, unknown>> {
    const states: Record<string, number> = {}
    for (const run of this._runs.values()) {
      for (const task of run.tasks) states[task.state] = (states[task.state] ?? 0) + 1
    }
    const epochs = [...this._surveys].map(([idShard, { epoch }]) => [idShard, epoch] as const)
    return { idShards: Object.fromEntries(epochs), jobs: this._runs.size, taskStates: states }
  }

  private _createRun (job: IJobSpec, epoch: number): JobRun {
    const { taskChart, random } = this._context
    const run = new JobRun(job, epoch, { taskChart, random, rules: () => this._rulesOf(job) })
    this._runs.set(job.jobId, run)
    return run
  }

  private _rulesOf (job: IJobSpec): IJobRules {
    const service = this._context.config.service(job.service)
    const profile = service === undefined ? undefined : this._context.config.profile(service.profile)?.profile
    return { allAtOnce: profile?.allAtOnce ?? false, maxRetries: profile?.maxRetries ?? 0 }
  }

  private _handleSchedulerLost (processId: string): void {
    const nowMs = this._context.clock.nowMs()
    for (const run of this._runs.values()) run.markLostAt(processId, nowMs)
    for (const survey of this._surveys.values()) survey.resetPause()
  }

  private _checkJobs (): void {
    for (const survey of this._surveys.values()) survey.runIfDue()
    for (const run of [...this._runs.values()]) {
      this._sender.moveWaiting(run)
      this._advanceJob(run)
    }
  }

  /** Sends and stops tasks of a job as needed, and stores its end once it is over. */
  private _advanceJob (run: JobRun): void {
    this._sender.sendTasks(run, () => { this._advanceJob(run) })
    this._sender.stopTasks(run)
    if (run.end !== undefined && run.isOver) this._storeEnd(run)
  }

  private async _storeEnd (run: JobRun): Promise<void> {
    const { end } = run
    if (end === undefined) return
    if (run.storedEnd === undefined) await this._appendEnd(run, end)
    if (run.storedEnd !== undefined && run.isOver && this._runs.get(run.job.jobId) === run) this._runs.delete(run.job.jobId)
  }

  private async _appendEnd (run: JobRun, end: JobState): Promise<void> {
    if (run.isStoringEnd) return
    run.isStoringEnd = true
    const outcome = await this._context.jobLog.endJob(this._context.idShardOf(run.job.jobId), run.job.jobId, end)
    run.isStoringEnd = false
    if (outcome === 'durable') run.storedEnd = end
  }

  private _createSurvey (idShard: string, epoch: number): TaskSurvey {
    const { peers, shards, hosts, clock } = this._context
    return new TaskSurvey(idShard, epoch, {
      peers,
      shards,
      hosts,
      clock,
      runs: () => [...this._runs.values()].filter((run) => this._context.idShardOf(run.job.jobId) === idShard),
      onTaskUpdate: (update, from) => { this.onTaskUpdate(update, from) }
    })
  }

  private _endedStatus (idShard: string, jobId: string): IJobStatus | undefined {
    const record = this._context.jobLog.job(idShard, jobId)
    if (record === undefined) return undefined
    const { service, caller } = record.job
    return { jobId, service, caller, state: record.end ?? 'accepted', tasks: [] }
  }
}
