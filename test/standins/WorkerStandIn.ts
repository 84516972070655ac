/**
 * Stands in for a worker: runs tasks under leases on its own clock, refuses older epochs, and reports resource usage with a lag. It
 * records each start and end, so that a test can find overlapping attempts of a task and hosts above their capacity.
 */

import { dropConnection, readJson, sendJson } from './StandInServer.js'

import type { IResources } from '../../src/common/Types.js'
import type { ITaskStart, ITaskStatus, TaskEnd } from '../../src/runtime/Types.js'
import type { IExchange, IStandIn } from './StandInServer.js'

export interface IWorkerStandInOptions {
  readonly hostId: string
  readonly capacity: IResources
  /** The host's clock is the machine's monotonic clock times `clockRate`, plus `clockOffsetMs`. */
  readonly clockOffsetMs: number
  readonly clockRate: number
}

export interface IWorkerSwitches {
  leaving: boolean
  /** Every task fails `failAfterMs` after its start. */
  failEverything: boolean
  failAfterMs: number
  /** The worker doesn't answer; its tasks go on running. */
  hang: boolean
  /** The host has died with all its tasks; when this is reset, it is up again without any memory of them. */
  dead: boolean
  /** The ratios of the actual usage and run time to the declared ones. */
  usageFactor: number
  runFactor: number
  /** The time after its start from which a task's usage is reported. */
  usageLagMs: number
  /** The run time of tasks that declare none; with 0 they run until they are stopped. */
  defaultRunMs: number
}

interface ITask {
  readonly start: ITaskStart
  readonly startedAt: number
  readonly startedHostMs: number
  leaseExpiresHostMs: number
  endsAtMs: number
  endedAt?: number
  end?: TaskEnd | 'hostDied'
  endSequence?: number
}

interface IWaitingSync { readonly exchange: IExchange, readonly afterSequence: number, readonly timer: NodeJS.Timeout }
interface IFencedCall { readonly shardId: string, readonly epoch: number }

const TICK_MS = 10
const NO_RESOURCES: IResources = { cores: 0, memoryBytes: 0, accelerators: 0 }

export class WorkerStandIn implements IStandIn {
  private readonly _epochs = new Map<string, number>()
  private readonly _tasks = new Map<string, ITask>()
  private readonly _running = new Set<ITask>()
  /** Attempts whose stop arrived before their start. */
  private readonly _stoppedAttempts = new Set<string>()
  private readonly _waitingSyncs = new Set<IWaitingSync>()
  private readonly _endTimer = setInterval(() => { this._endDueTasks() }, TICK_MS)
  private readonly _count = { starts: 0, overCapacity: 0, doubleRuns: 0, refusedFenced: 0, refusedLeaving: 0, syncs: 0, mostCores: 0 }
  private readonly _switches: IWorkerSwitches = {
    leaving: false, failEverything: false, failAfterMs: 5, hang: false, dead: false, usageFactor: 1, runFactor: 1, usageLagMs: 500, defaultRunMs: 0
  }

  private _sequence = 0

  public constructor (private readonly _options: IWorkerStandInOptions) {}

  public control (settings: Readonly<Record<string, unknown>>): void {
    const { leaving, dead } = this._switches
    Object.assign(this._switches, settings)
    if (this._switches.dead && !dead) this._die()
    if (this._switches.leaving !== leaving) this._answerWaitingSyncs()
  }

  private _die (): void {
    for (const task of this._running) Object.assign(task, { end: 'hostDied', endedAt: Date.now() })
    for (const task of this._tasks.values()) task.endSequence = 0
    this._running.clear()
    for (const sync of this._waitingSyncs) dropConnection(sync.exchange)
    this._epochs.clear()
    this._stoppedAttempts.clear()
    this._sequence = 0
  }

  public dump (): unknown {
    return {
      hostId: this._options.hostId,
      capacity: this._options.capacity,
      hostMs: this._hostMs(),
      sequence: this._sequence,
      ...this._count,
      switches: this._switches,
      epochs: Object.fromEntries(this._epochs),
      running: this._running.size,
      waitingSyncs: this._waitingSyncs.size,
      records: [...this._tasks.values()].map(({ start, ...rest }) => ({ ...start, ...rest }))
    }
  }

  public close (): void {
    clearInterval(this._endTimer)
    for (const sync of this._waitingSyncs) clearTimeout(sync.timer)
  }

  public handle (exchange: IExchange): void {
    if (this._switches.dead) return dropConnection(exchange)
    if (this._switches.hang) return
    const call = readJson<IFencedCall>(exchange)
    const current = this._epochs.get(call.shardId) ?? 0
    if (call.epoch < current) {
      this._count.refusedFenced += 1
      return sendJson(exchange, 409, {}, { 'x-refused': 'fenced', 'x-current-epoch': String(current) })
    }
    this._epochs.set(call.shardId, call.epoch)
    this._perform(exchange)
  }

  private _perform (exchange: IExchange): void {
    switch (exchange.path) {
      case '/fence': this._answer(exchange, 0); break
      case '/start': this._start(exchange); break
      case '/stop': this._stop(exchange); break
      case '/sync': this._sync(exchange); break
      default: sendJson(exchange, 404, { error: 'no such call' })
    }
  }

  private _hostMs (): number {
    return this._options.clockOffsetMs + performance.now() * this._options.clockRate
  }

  private _start (exchange: IExchange): void {
    if (this._switches.leaving) {
      this._count.refusedLeaving += 1
      return sendJson(exchange, 503, {}, { 'x-refused': 'leaving' })
    }
    const before = this._sequence
    for (const start of readJson<{ tasks: readonly ITaskStart[] }>(exchange).tasks) this._startTask(start)
    this._answer(exchange, before)
  }

  private _startTask (start: ITaskStart): void {
    const key = attemptKey(start.taskId, start.attempt)
    if (this._tasks.has(key)) return
    if ([...this._running].some((task) => task.start.taskId === start.taskId)) this._count.doubleRuns += 1
    const runMs = this._runMs(start)
    const task: ITask = {
      start, startedAt: Date.now(), startedHostMs: this._hostMs(), leaseExpiresHostMs: start.leaseExpiresHostMs, endsAtMs: performance.now() + runMs
    }
    this._tasks.set(key, task)
    if (this._stoppedAttempts.has(key)) return this._endTask(task, 'stopped')
    if (start.leaseExpiresHostMs <= this._hostMs()) return this._endTask(task, 'leaseLapsed')
    this._running.add(task)
    this._count.starts += 1
    this._checkCapacity()
  }

  private _runMs (start: ITaskStart): number {
    if (this._switches.failEverything) return this._switches.failAfterMs
    const runMs = start.runMs ?? this._switches.defaultRunMs
    return runMs > 0 ? runMs * this._switches.runFactor : Infinity
  }

  private _checkCapacity (): void {
    const used = [...this._running].reduce((sum, task) => addResources(sum, task.start.resources), NO_RESOURCES)
    const { capacity } = this._options
    this._count.mostCores = Math.max(this._count.mostCores, used.cores)
    const isOver = used.cores > capacity.cores || used.memoryBytes > capacity.memoryBytes || used.accelerators > capacity.accelerators
    if (isOver) this._count.overCapacity += 1
  }

  private _stop (exchange: IExchange): void {
    const call = readJson<{ taskId: string, attempt: number }>(exchange)
    const key = attemptKey(call.taskId, call.attempt)
    const before = this._sequence
    const task = this._tasks.get(key)
    if (task === undefined) this._stoppedAttempts.add(key)
    else if (task.end === undefined) this._endTask(task, 'stopped')
    this._answer(exchange, before)
  }

  private _sync (exchange: IExchange): void {
    const call = readJson<{ leaseExpiresHostMs: number, afterSequence: number, waitMs: number }>(exchange)
    this._count.syncs += 1
    for (const task of this._running) task.leaseExpiresHostMs = Math.max(task.leaseExpiresHostMs, call.leaseExpiresHostMs)
    if (this._sequence > call.afterSequence || call.waitMs <= 0) return this._answer(exchange, call.afterSequence)
    const timer = setTimeout(() => { this._answerSync(sync) }, call.waitMs)
    const sync: IWaitingSync = { exchange, afterSequence: call.afterSequence, timer }
    this._waitingSyncs.add(sync)
    exchange.response.on('close', () => {
      clearTimeout(timer)
      this._waitingSyncs.delete(sync)
    })
  }

  private _answerWaitingSyncs (): void {
    for (const sync of this._waitingSyncs) this._answerSync(sync)
  }

  private _answerSync (sync: IWaitingSync): void {
    if (this._switches.hang) return
    clearTimeout(sync.timer)
    this._waitingSyncs.delete(sync)
    this._answer(sync.exchange, sync.afterSequence)
  }

  private _answer (exchange: IExchange, afterSequence: number): void {
    const reported = [...this._tasks.values()].filter((task) => task.endSequence === undefined || task.endSequence > afterSequence)
    sendJson(exchange, 200, {
      hostMs: this._hostMs(),
      leaving: this._switches.leaving,
      sequence: this._sequence,
      capacity: this._options.capacity,
      tasks: reported.map((task) => this._taskStatus(task))
    })
  }

  private _taskStatus (task: ITask): ITaskStatus {
    const { taskId, attempt, jobId, resources } = task.start
    return { taskId, attempt, jobId, state: task.end === 'hostDied' ? 'failed' : task.end ?? 'running', resources, usage: this._usage(task) }
  }

  private _usage (task: ITask): IResources {
    if (Date.now() - task.startedAt < this._switches.usageLagMs) return NO_RESOURCES
    const { cores, memoryBytes, accelerators } = task.start.resources
    return { cores: cores * this._switches.usageFactor, memoryBytes: memoryBytes * this._switches.usageFactor, accelerators }
  }

  private _endDueTasks (): void {
    const hostMs = this._hostMs()
    for (const task of this._running) {
      if (task.leaseExpiresHostMs <= hostMs) this._endTask(task, 'leaseLapsed')
      else if (task.endsAtMs <= performance.now()) this._endTask(task, this._switches.failEverything ? 'failed' : 'succeeded')
    }
  }

  private _endTask (task: ITask, end: TaskEnd): void {
    this._sequence += 1
    Object.assign(task, { end, endedAt: Date.now(), endSequence: this._sequence })
    this._running.delete(task)
    this._answerWaitingSyncs()
  }
}

function attemptKey (taskId: string, attempt: number): string {
  return `${taskId}#${attempt}`
}

function addResources (a: IResources, b: IResources): IResources {
  return { cores: a.cores + b.cores, memoryBytes: a.memoryBytes + b.memoryBytes, accelerators: a.accelerators + b.accelerators }
}
