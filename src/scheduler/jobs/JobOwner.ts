/**
 * The jobs of the id shards that this process owns: accepts them, has their tasks placed, hears what becomes of them,
 * and stores how they end.
 *
 * An accepted job is in the store; where its tasks are is known to the hosts that run them. So a new owner takes the
 * accepted jobs out of the log and asks the schedulers for their tasks. That a task has succeeded is known to its
 * scheduler and to its host for a while; should both be lost in that time together with the job's owner, the task of a
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

/** Level-triggered: whatever news was missed, what has to be done next is seen again after this time. */
const SWEEP_MS = 250
const NOT_STORED_YET = 'its tasks are being stopped; that it is cancelled is not stored yet'

export interface IJobReply {
  readonly status?: IJobStatus
  /** False: ask another process. */
  readonly owner: boolean
}

/** One line of the list of jobs. */
export interface IJobSummary {
  readonly jobId: string
  readonly service: string
  readonly caller: string
  readonly state: JobState
  /** All of its tasks. */
  readonly tasks: number
  readonly running: number
}

export class JobOwner implements IDisposable {
  private readonly _owned = new Map<string, TaskSurvey>()
  private readonly _runs = new Map<string, JobRun>()
  private readonly _admission: JobAdmission
  private readonly _sender: TaskSender
  private readonly _registrations: readonly IDisposable[]

  public constructor (private readonly _context: IJobOwnerContext) {
    const { peers, shards, hosts, random, timers } = _context
    const choice = new SchedulerChoice(peers.self.region, shards, hosts, random)
    this._admission = new JobAdmission(_context)
    this._sender = new TaskSender(_context, choice)
    this._registrations = [
      peers.onLost((peer) => { this._schedulerLost(peer.processId) }),
      timers.every(SWEEP_MS, () => { this._sweep() })
    ]
  }

  public get liveCount (): number {
    return this._runs.size
  }

  public dispose (): void {
    for (const registration of this._registrations) registration.dispose()
    this._owned.clear()
    this._runs.clear()
  }

  /** An id shard is ours: these are its accepted jobs that haven't ended. */
  public takeOver (idShard: string, epoch: number, jobs: readonly IJobSpec[]): void {
    this.drop(idShard)
    this._owned.set(idShard, this._survey(idShard, epoch))
    for (const job of jobs) this._run(job, epoch).markRecovered(this._context.clock.nowMs())
    this._owned.get(idShard)?.tick()
  }

  /** An id shard is ours no longer: its jobs go on under its next owner. */
  public drop (idShard: string): void {
    this._owned.delete(idShard)
    for (const jobId of [...this._runs.keys()]) {
      if (this._context.idShardOf(jobId) === idShard) this._runs.delete(jobId)
    }
  }

  /** Accepted means that it is in the store. The same job again is answered like the first time. */
  public async submit (job: IJobSpec): Promise<IFinalAnswer> {
    const idShard = this._context.idShardOf(job.jobId)
    const owned = this._owned.get(idShard)
    if (owned === undefined) return this._admission.notOwner()
    const impossible = this._admission.whyImpossible(job)
    if (impossible !== undefined) return impossible
    const outcome = await this._context.jobLog.acceptJob(idShard, job)
    if (outcome !== 'durable') return this._admission.notStored(outcome)
    const record = this._context.jobLog.job(idShard, job.jobId)
    if (record !== undefined && !this._admission.isSame(record.job, job)) return this._admission.duplicate()
    if (record?.end === undefined && this._owned.get(idShard) === owned && !this._runs.has(job.jobId)) {
      this._advance(this._run(job, owned.epoch))
    }
    return this._admission.accepted(job)
  }

  public status (jobId: string): IJobReply {
    const idShard = this._context.idShardOf(jobId)
    if (!this._owned.has(idShard)) return { owner: false }
    const status = this._runs.get(jobId)?.status() ?? this._endedStatus(idShard, jobId)
    return status === undefined ? { owner: true } : { owner: true, status }
  }

  /**
   * Stops all its tasks. The status says `cancelled` once that is in the store, so that no later owner carries the job
   * on; until then it says why not yet.
   */
  public async cancel (jobId: string): Promise<IJobReply> {
    const run = this._runs.get(jobId)
    if (run === undefined) return this.status(jobId)
    run.cancel(this._context.clock.nowMs())
    this._advance(run)
    await this._storeEnd(run)
    if (run.storedEnd !== undefined) return { owner: true, status: { ...run.status(), state: run.storedEnd } }
    return { owner: true, status: { ...run.status(), state: 'running', reason: NOT_STORED_YET } }
  }

  /** News of a task, from the scheduler that has it. */
  public onTaskUpdate (update: ITaskUpdate, from: string): void {
    const { jobId, place } = update
    if (!this._owned.has(this._context.idShardOf(jobId))) return
    const run = this._runs.get(jobId)
    const isOurs = run?.update(place, from, this._context.clock.nowMs()) ?? false
    const isLive = place.state === 'running' || place.state === 'queued'
    if (!isOurs && isLive) this._sender.stopStray(jobId, place, from)
    if (run !== undefined) this._advance(run)
  }

  /** Up to `maxJobs` live jobs with what became of their tasks, for operators. */
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
    const epochs = [...this._owned].map(([idShard, { epoch }]) => [idShard, epoch] as const)
    return { idShards: Object.fromEntries(epochs), jobs: this._runs.size, taskStates: states }
  }

  private _run (job: IJobSpec, epoch: number): JobRun {
    const { taskChart, random } = this._context
    const run = new JobRun(job, epoch, { taskChart, random, rules: () => this._rules(job) })
    this._runs.set(job.jobId, run)
    return run
  }

  private _rules (job: IJobSpec): IJobRules {
    const service = this._context.config.service(job.service)
    const profile = service === undefined ? undefined : this._context.config.profile(service.profile)?.profile
    return { allAtOnce: profile?.allAtOnce ?? false, maxRetries: profile?.maxRetries ?? 0 }
  }

  private _schedulerLost (processId: string): void {
    const nowMs = this._context.clock.nowMs()
    for (const run of this._runs.values()) run.schedulerLost(processId, nowMs)
    for (const survey of this._owned.values()) survey.hasten()
  }

  private _sweep (): void {
    for (const survey of this._owned.values()) survey.tick()
    for (const run of [...this._runs.values()]) {
      this._sender.shift(run)
      this._advance(run)
    }
  }

  /** Does what is to be done next for a job. */
  private _advance (run: JobRun): void {
    this._sender.send(run, () => { this._advance(run) })
    this._sender.stop(run)
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

  private _survey (idShard: string, epoch: number): TaskSurvey {
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
