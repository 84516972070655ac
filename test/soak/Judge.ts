/**
 * Checks, while a soak runs, what callers and hosts are promised. It sees only what callers were answered and what hosts
 * began and ended.
 */

import type { IHostEvents } from '../../platform/standins/HostStandIn.js'

export interface IJudgedJob {
  readonly jobId: string
  readonly gang: boolean
  readonly cpu: number
  /** Tasks of each step; a step waits for the one before. */
  readonly counts: readonly number[]
  accepted: boolean
  /** Whether any try may have been taken: one without an answer, or one that was accepted. */
  maybeTaken: boolean
  refusedTries: number
  cancelledAtMs?: number
  finalState?: string
}

interface IRunning { readonly hostId: string, readonly run: number }
interface IDone { readonly hostId: string, readonly atMs: number }

/** A start this long after the cancel was acknowledged is one too many, in ms. */
const CANCEL_SLACK_MS = 3000
/** Ends of a host that was disturbed within this time may never have been heard of, in ms. */
const UNHEARD_MS = 3000
const MAX_ATTEMPTS = 6

export class Judge implements IHostEvents {
  public readonly violations: string[] = []
  public readonly jobs = new Map<string, IJudgedJob>()
  public starts = 0
  private readonly _running = new Map<string, Set<string>>()
  private readonly _runs = new Map<string, IRunning>()
  private readonly _done = new Map<string, IDone>()
  private readonly _failures = new Map<string, number>()
  private readonly _disturbedAtMs = new Map<string, number>()

  public constructor (private readonly _hostCpu: number) {}

  /** The host restarted, or can't be heard. */
  public noteDisturbed (hostId: string): void {
    this._disturbedAtMs.set(hostId, performance.now())
  }

  public onStart (hostId: string, task: string, run: number): void {
    this.starts += 1
    const job = this._jobOf(task)
    if (job === undefined) return this._report(`${task} run ${run} on ${hostId}: nobody submitted it`)
    const running = [...this._runs].filter(([key]) => key.startsWith(`${task}@`))
    if (running.length > 0) this._report(`${task} run ${run} began on ${hostId} while it runs on ${running.map(([, each]) => each.hostId).join()}`)
    this._checkDone(job, task, run, hostId)
    this._checkOrder(job, task)
    if (job.cancelledAtMs !== undefined && performance.now() - job.cancelledAtMs > CANCEL_SLACK_MS) this._report(`${task} began after its job was cancelled`)
    if (!job.maybeTaken && job.refusedTries > 0) this._report(`${task} began although each try was refused`)
    if ((this._failures.get(task) ?? 0) >= MAX_ATTEMPTS) this._report(`${task} began again after ${MAX_ATTEMPTS} failed runs`)
    this._runs.set(`${task}@${hostId}`, { hostId, run })
    const here = this._running.get(hostId) ?? new Set<string>()
    here.add(task)
    this._running.set(hostId, here)
    this._checkCapacity(hostId, here)
  }

  public onEnd (hostId: string, task: string, _run: number, how: string): void {
    this._runs.delete(`${task}@${hostId}`)
    this._running.get(hostId)?.delete(task)
    if (how === 'done') this._done.set(task, { hostId, atMs: performance.now() })
    if (how === 'failed') this._failures.set(task, (this._failures.get(task) ?? 0) + 1)
  }

  public noteState (jobId: string, state: string): void {
    const job = this.jobs.get(jobId)
    if (job === undefined) return
    if (job.finalState !== undefined && job.finalState !== state) this._report(`${jobId} was ${job.finalState} and is ${state}`)
    if (state === 'completed' || state === 'failed' || state === 'cancelled') job.finalState = state
    if (state === 'completed') this._checkCompleted(job)
    if (state === 'failed' && !this._hasFailed(job)) this._report(`${jobId} is failed without cause`)
    if (state === 'cancelled' && job.cancelledAtMs === undefined) this._report(`${jobId} is cancelled, and nobody asked`)
  }

  public noteUnknown (jobId: string): void {
    const job = this.jobs.get(jobId)
    if (job?.accepted === true) this._report(`${jobId} was accepted and is not known`)
  }

  /** One life of a process had served a queue of this version. */
  public noteOlderConfig (controllerId: string, version: number): void {
    this._report(`${controllerId} went back behind version ${version} of the configuration`)
  }

  /** After all faults: every process has to have the newest version. */
  public noteBehind (controllerId: string, version: number): void {
    this._report(`${controllerId} does not have version ${version} of the configuration after the faults have ended`)
  }

  /** After all faults: every accepted job has to have an end. */
  public noteUnfinished (jobId: string, state: string): void {
    this._report(`${jobId} is still ${state} after the faults have ended`)
  }

  private _checkDone (job: IJudgedJob, task: string, run: number, hostId: string): void {
    const done = this._done.get(task)
    if (done === undefined || job.gang) return
    const disturbedAtMs = this._disturbedAtMs.get(done.hostId) ?? -Infinity
    if (disturbedAtMs > done.atMs - UNHEARD_MS) return
    this._report(`${task} run ${run} began on ${hostId} after it was done on ${done.hostId} ${Math.round(performance.now() - done.atMs)} ms before`)
  }

  private _checkOrder (job: IJudgedJob, task: string): void {
    const step = Number(task.split('.')[2])
    if (step === 0) return
    if (!this._isStepDone(job, step - 1)) this._report(`${task} began before step ${step - 1} was done`)
  }

  private _checkCompleted (job: IJudgedJob): void {
    job.counts.forEach((_, step) => {
      if (!this._isStepDone(job, step)) this._report(`${job.jobId} is completed, and step ${step} is not done`)
    })
  }

  private _isStepDone (job: IJudgedJob, step: number): boolean {
    const tasks = Array.from({ length: job.counts[step] ?? 0 }, (_, index) => `${job.jobId}.0.${step}.${index}`)
    return job.gang ? tasks.some((task) => this._done.has(task)) : tasks.every((task) => this._done.has(task))
  }

  private _hasFailed (job: IJudgedJob): boolean {
    const failures = [...this._failures].filter(([task]) => task.startsWith(job.jobId)).map(([, count]) => count)
    return job.gang ? failures.reduce((sum, count) => sum + count, 0) >= MAX_ATTEMPTS : Math.max(0, ...failures) >= MAX_ATTEMPTS
  }

  private _checkCapacity (hostId: string, tasks: ReadonlySet<string>): void {
    const used = [...tasks].reduce((sum, task) => sum + (this._jobOf(task)?.cpu ?? 0), 0)
    if (used > this._hostCpu) this._report(`${hostId} runs ${used} of ${this._hostCpu} millicores`)
  }

  private _jobOf (task: string): IJudgedJob | undefined {
    return this.jobs.get(task.slice(0, 16))
  }

  private _report (violation: string): void {
    this.violations.push(violation)
  }
}
