/**
 * The attempts that run or may run on one worker, tracked by the worker's answers and by their leases.
 *
 * Every reported event is certain: an attempt runs because the host lists it; it has ended because the host reported its
 * end, or because its lease has lapsed on the host's clock.
 */

import { TaskLeases } from '../../common/state/TaskLeases.js'
import { hostTaskId, taskIdOf } from './TaskIds.js'

import type { IHostClockSnapshot } from '../../common/state/HostClock.js'
import type { ITaskLeasesOptions } from '../../common/state/TaskLeases.js'
import type { MonotonicMs } from '../../common/Types.js'
import type { ITaskStart, ITaskStatus, IWorkerStatus } from '../../runtime/Types.js'
import type { AttemptOutcome, IAttempt, IAttemptStart, IWorkerEvents } from './Types.js'

export interface ILiveAttempt {
  readonly start: IAttemptStart
  /** The id under which the host knows the task. */
  readonly hostTaskId: string
  /** The number of the confirmation by which the host first listed this attempt as running. */
  confirmationNumber: number | undefined
  isStopping: boolean
  /** A call that starts or stops the attempt hasn't returned yet. */
  isCalling: boolean
}

type AttemptEvents = Pick<IWorkerEvents, 'onAdopted' | 'onRunning' | 'onEnded' | 'onUsage'>

export class LiveAttempts {
  private readonly _leases: TaskLeases
  private readonly _live = new Map<string, ILiveAttempt>()
  private _confirmationCount = 0

  public constructor (private readonly _hostId: string, options: ITaskLeasesOptions, private readonly _events: AttemptEvents) {
    this._leases = new TaskLeases(options)
  }

  /** Whether the host has accepted this process's epoch and listed all attempts that it runs. */
  public get fenced (): boolean {
    return this._leases.isFenced
  }

  public get size (): number {
    return this._live.size
  }

  /** The number of confirmations so far. A sync saves it when it is sent and passes it to `endUnlisted`. */
  public get confirmationCount (): number {
    return this._confirmationCount
  }

  public add (start: IAttemptStart): ILiveAttempt {
    const hostTask = hostTaskId(start.jobId, start.taskId)
    const live: ILiveAttempt = { start, hostTaskId: hostTask, confirmationNumber: undefined, isStopping: false, isCalling: false }
    this._live.set(hostTask, live)
    return live
  }

  public find (attempt: IAttempt): ILiveAttempt | undefined {
    const live = this._live.get(hostTaskId(attempt.jobId, attempt.taskId))
    return live?.start.attempt === attempt.attempt ? live : undefined
  }

  public has (live: ILiveAttempt): boolean {
    return this._live.get(live.hostTaskId) === live
  }

  /** Attempts that the host hasn't listed as running yet and for which no call is in progress. */
  public unconfirmed (): readonly ILiveAttempt[] {
    return [...this._live.values()].filter((live) => live.confirmationNumber === undefined && !live.isCalling)
  }

  /** Adopts the attempts that an earlier owner started, after the host has accepted this process's epoch. */
  public adopt (status: IWorkerStatus, clock: IHostClockSnapshot): void {
    this._leases.recordFence(clock, status.tasks.map(toReport))
    const running = status.tasks.filter((task) => task.state === 'running').map(toStart)
    for (const start of running) this.add(start).confirmationNumber = ++this._confirmationCount
    this._events.onAdopted(this._hostId, running)
    for (const task of status.tasks) {
      if (task.state !== 'running') this._events.onEnded(this._hostId, toStart(task), task.state)
    }
  }

  /** Applies the status that the host returned to a sync, a start or a stop. */
  public applyStatus (status: IWorkerStatus, clock: IHostClockSnapshot): void {
    this._leases.recordList(clock, status.tasks.map(toReport))
    for (const task of status.tasks) this._applyTaskStatus(task)
  }

  /**
   * Ends attempts that the host had listed before the sync was sent (`confirmationCount` at that time) and that it no longer
   * lists, neither as running nor as ended.
   *
   * A host that was restarted doesn't know its earlier attempts, which ended with the restart. Without this method, their
   * places would stay taken, and their tasks would wait for leases that are renewed for ever. Returns true if further
   * attempts aren't listed, of which only the answer to a later sync shows whether they have ended.
   */
  public endUnlisted (status: IWorkerStatus, confirmationCount: number): boolean {
    const listed = new Set(status.tasks.map((task) => `${task.taskId}#${task.attempt}`))
    const unlisted = [...this._live.values()]
      .filter((live) => live.confirmationNumber !== undefined && !listed.has(`${live.hostTaskId}#${live.start.attempt}`))
    const decidable = unlisted.filter((live) => (live.confirmationNumber ?? 0) <= confirmationCount)
    for (const live of decidable) this.end(live, 'lost')
    return decidable.length < unlisted.length
  }

  /** Renews all leases and returns their new end. It is recorded before it is sent, because it counts even if no answer comes. */
  public renew (nowMs: MonotonicMs): number {
    const expiresHostMs = this._leases.expiryFor(nowMs) ?? 0
    for (const live of this._live.values()) this._leases.recordSent(live.hostTaskId, live.start.attempt, expiresHostMs)
    return expiresHostMs
  }

  /** The start requests of the attempts, whose leases are recorded as sent. */
  public toStarts (attempts: readonly ILiveAttempt[], nowMs: MonotonicMs): readonly ITaskStart[] {
    const leaseExpiresHostMs = this._leases.expiryFor(nowMs) ?? 0
    return attempts.map(({ hostTaskId: hostTask, start }) => {
      const { attempt, jobId, service, resources, runMs } = start
      this._leases.recordSent(hostTask, attempt, leaseExpiresHostMs)
      return { taskId: hostTask, attempt, jobId, service, resources, leaseExpiresHostMs, ...(runMs === undefined ? {} : { runMs }) }
    })
  }

  /** Ends attempts whose leases have lapsed. True: some seem to have lapsed, but the store must first confirm the shard's owner. */
  public endLapsed (nowMs: MonotonicMs): boolean {
    let isUnconfirmed = false
    for (const live of [...this._live.values()]) {
      const next = this._leases.decideNextAttempt(live.hostTaskId, live.start.attempt, nowMs)
      if (next === 'lapsed' || next === 'ended') this.end(live, 'lost')
      if (next === 'unconfirmed') isUnconfirmed = true
    }
    return isUnconfirmed
  }

  /** Records that a read of the store, sent at `sentAtMs`, confirmed that this process owns the shard. */
  public confirmOwnership (sentAtMs: MonotonicMs): void {
    this._leases.recordConfirmation(sentAtMs)
  }

  public endAll (): void {
    for (const live of [...this._live.values()]) this.end(live, 'lost')
  }

  public end (live: ILiveAttempt, outcome: AttemptOutcome): void {
    if (this.forget(live)) this._events.onEnded(this._hostId, live.start, outcome)
  }

  /** Removes an attempt without an event; false if it isn't tracked. */
  public forget (live: ILiveAttempt): boolean {
    if (!this.has(live)) return false
    this._live.delete(live.hostTaskId)
    this._leases.forget(live.hostTaskId)
    return true
  }

  private _applyTaskStatus (task: ITaskStatus): void {
    const live = this._live.get(task.taskId)
    if (live === undefined || live.start.attempt !== task.attempt) return
    if (task.state !== 'running') {
      this.end(live, task.state)
      return
    }
    if (live.confirmationNumber === undefined) {
      live.confirmationNumber = ++this._confirmationCount
      this._events.onRunning(this._hostId, live.start)
    }
    this._events.onUsage(this._hostId, live.start, task.usage)
  }
}

function toReport (task: ITaskStatus): { readonly taskId: string, readonly attempt: number, readonly running: boolean } {
  return { taskId: task.taskId, attempt: task.attempt, running: task.state === 'running' }
}

function toStart (task: ITaskStatus): IAttemptStart {
  const { jobId, attempt, resources } = task
  return { jobId, taskId: taskIdOf(jobId, task.taskId), attempt, service: '', resources }
}
