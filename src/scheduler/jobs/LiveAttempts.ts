/**
 * The attempts that run on one worker or may: what its answers and its leases say of them.
 *
 * Everything that is told of an attempt is certain: it runs, by the host's word; it has ended, by the host's word or
 * because its lease has lapsed on the host's clock.
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
  /** The name by which the host knows its task. */
  readonly hostTask: string
  /** Counts the host's confirmations: the number at which it first listed this one. */
  confirmedAt: number | undefined
  isStopping: boolean
  /** A start or a stop of it is under way. */
  isCalling: boolean
}

type AttemptEvents = Pick<IWorkerEvents, 'onAdopted' | 'onRunning' | 'onEnded' | 'onUsage'>

export class LiveAttempts {
  private readonly _leases: TaskLeases
  private readonly _live = new Map<string, ILiveAttempt>()
  private _confirmations = 0

  public constructor (private readonly _hostId: string, options: ITaskLeasesOptions, private readonly _events: AttemptEvents) {
    this._leases = new TaskLeases(options)
  }

  /** Whether the host has accepted our epoch and told all that it runs. */
  public get fenced (): boolean {
    return this._leases.fenced
  }

  public get size (): number {
    return this._live.size
  }

  /** To be remembered when a request is sent, for `note`. */
  public get confirmations (): number {
    return this._confirmations
  }

  public add (start: IAttemptStart): ILiveAttempt {
    const hostTask = hostTaskId(start.jobId, start.taskId)
    const live: ILiveAttempt = { start, hostTask, confirmedAt: undefined, isStopping: false, isCalling: false }
    this._live.set(hostTask, live)
    return live
  }

  public find (attempt: IAttempt): ILiveAttempt | undefined {
    const live = this._live.get(hostTaskId(attempt.jobId, attempt.taskId))
    return live?.start.attempt === attempt.attempt ? live : undefined
  }

  public has (live: ILiveAttempt): boolean {
    return this._live.get(live.hostTask) === live
  }

  /** Started here and not yet seen by the host, with no call for it under way. */
  public unconfirmed (): readonly ILiveAttempt[] {
    return [...this._live.values()].filter((live) => live.confirmedAt === undefined && !live.isCalling)
  }

  /** The host has accepted our epoch: takes in what an earlier owner started there. */
  public adopt (status: IWorkerStatus, clock: IHostClockSnapshot): void {
    this._leases.noteFenced(clock, status.tasks.map(toReport))
    const running = status.tasks.filter((task) => task.state === 'running').map(toStart)
    for (const start of running) this.add(start).confirmedAt = ++this._confirmations
    this._events.onAdopted(this._hostId, running)
    for (const task of status.tasks) {
      if (task.state !== 'running') this._events.onEnded(this._hostId, toStart(task), task.state)
    }
  }

  /** Takes in an answer to a start or a stop. */
  public note (status: IWorkerStatus, clock: IHostClockSnapshot): void {
    this._leases.noteList(clock, status.tasks.map(toReport))
    for (const task of status.tasks) this._noteTask(task)
  }

  /**
   * Ends attempts that the host had listed before it was asked (`confirmations` then) and lists no more, neither as
   * running nor as ended.
   *
   * A host that was restarted has forgotten them, and they died with it. Without this, its places would stay taken,
   * and the tasks would wait for the end of leases that are renewed for ever. True: there are others that are not listed,
   * about which only an answer to a later question can tell.
   */
  public endUnlisted (status: IWorkerStatus, confirmations: number): boolean {
    const listed = new Set(status.tasks.map((task) => `${task.taskId}#${task.attempt}`))
    const unlisted = [...this._live.values()].filter((live) => live.confirmedAt !== undefined && !listed.has(`${live.hostTask}#${live.start.attempt}`))
    const judged = unlisted.filter((live) => (live.confirmedAt ?? 0) <= confirmations)
    for (const live of judged) this.end(live, 'lost')
    return judged.length < unlisted.length
  }

  /** The new end of all leases; noted before it is sent, because it counts even if no answer comes. */
  public renew (nowMs: MonotonicMs): number {
    const expiresHostMs = this._leases.expiryFor(nowMs) ?? 0
    for (const live of this._live.values()) this._leases.noteSent(live.hostTask, live.start.attempt, expiresHostMs)
    return expiresHostMs
  }

  /** What is sent to start them, noted as sent. */
  public toStarts (lives: readonly ILiveAttempt[], nowMs: MonotonicMs): readonly ITaskStart[] {
    const leaseExpiresHostMs = this._leases.expiryFor(nowMs) ?? 0
    return lives.map(({ hostTask, start }) => {
      const { attempt, jobId, service, resources, runMs } = start
      this._leases.noteSent(hostTask, attempt, leaseExpiresHostMs)
      return { taskId: hostTask, attempt, jobId, service, resources, leaseExpiresHostMs, ...(runMs === undefined ? {} : { runMs }) }
    })
  }

  /** Ends what has lapsed. True: some seem to have, which counts once the store has confirmed that the shard is ours. */
  public endLapsed (nowMs: MonotonicMs): boolean {
    let isUnconfirmed = false
    for (const live of [...this._live.values()]) {
      const next = this._leases.nextAttempt(live.hostTask, live.start.attempt, nowMs)
      if (next === 'lapsed' || next === 'ended') this.end(live, 'lost')
      if (next === 'unconfirmed') isUnconfirmed = true
    }
    return isUnconfirmed
  }

  /** The store has shown that the shard is ours, in a read sent at `sentAtMs`. */
  public noteConfirmed (sentAtMs: MonotonicMs): void {
    this._leases.noteConfirmed(sentAtMs)
  }

  public endAll (): void {
    for (const live of [...this._live.values()]) this.end(live, 'lost')
  }

  public end (live: ILiveAttempt, outcome: AttemptOutcome): void {
    if (this.forget(live)) this._events.onEnded(this._hostId, live.start, outcome)
  }

  /** Drops an attempt of which nothing is to be told here. */
  public forget (live: ILiveAttempt): boolean {
    if (!this.has(live)) return false
    this._live.delete(live.hostTask)
    this._leases.forget(live.hostTask)
    return true
  }

  private _noteTask (task: ITaskStatus): void {
    const live = this._live.get(task.taskId)
    if (live === undefined || live.start.attempt !== task.attempt) return
    if (task.state !== 'running') {
      this.end(live, task.state)
      return
    }
    if (live.confirmedAt === undefined) {
      live.confirmedAt = ++this._confirmations
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
