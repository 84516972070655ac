/**
 * In-memory workers under a manual clock, each with an offset of its own. They run tasks, can lose answers, become unreachable or
 * die, and keep a record of every run.
 */

import { errAsync, ResultAsync } from 'neverthrow'

import { AmbiguousError, FencedError, RefusedError, UnreachableError } from '../../src/common/Errors.js'

import type { ManualClock } from '../../src/common/Clock.js'
import type { IResources } from '../../src/common/Types.js'
import type {
  IFence, IHostRecord, ITaskStart, ITaskStatus, IWorkerClient, IWorkerStatus, IWorkerSync, TaskEnd, UpstreamError
} from '../../src/runtime/Types.js'

export interface IRun {
  readonly hostId: string
  readonly start: ITaskStart
  readonly startedAtMs: number
  leaseExpiresHostMs: number
  endedAtMs: number
  end: TaskEnd | 'died' | undefined
  endSequence: number
}

type Answer = ResultAsync<IWorkerStatus, UpstreamError>

const TICK_MS = 10

class FakeWorker {
  /**
   * `silent`: commands arrive, but their answers are lost. `cut`: commands don't arrive, and the sender can't tell. `refuses`:
   * connections are refused, so that the sender knows that nothing arrived.
   */
  public reachability: 'up' | 'silent' | 'cut' | 'refuses' = 'up'
  public isLeaving = false
  public failsAllTasks = false
  public runs: IRun[] = []
  public sequence = 0
  public readonly epochs = new Map<string, number>()
  public readonly stopped = new Set<string>()
  public readonly waiters = new Set<() => void>()

  public constructor (public readonly host: IHostRecord, private readonly _clock: ManualClock, private readonly _offsetMs: number) {}

  public get hostMs (): number {
    return this._offsetMs + this._clock.nowMs()
  }

  public status (afterSequence: number): IWorkerStatus {
    const reported = this.runs.filter((run) => run.end === undefined || run.endSequence > afterSequence)
    const tasks = reported.map((run): ITaskStatus => {
      const { taskId, attempt, jobId, resources } = run.start
      return { taskId, attempt, jobId, state: run.end === undefined || run.end === 'died' ? 'running' : run.end, resources, usage: resources }
    })
    return { hostMs: this.hostMs, leaving: this.isLeaving, sequence: this.sequence, capacity: this.host.capacity, tasks }
  }

  public start (start: ITaskStart): void {
    if (this.runs.some((run) => run.start.taskId === start.taskId && run.start.attempt === start.attempt)) return
    const run: IRun = {
      hostId: this.host.hostId,
      start,
      startedAtMs: this._clock.nowMs(),
      leaseExpiresHostMs: start.leaseExpiresHostMs,
      endedAtMs: Infinity,
      end: undefined,
      endSequence: 0
    }
    this.runs.push(run)
    if (this.stopped.has(`${start.taskId}#${start.attempt}`)) this.endRun(run, 'stopped')
  }

  public endRun (run: IRun, end: TaskEnd): void {
    this.sequence += 1
    Object.assign(run, { end, endedAtMs: this._clock.nowMs(), endSequence: this.sequence })
    this.wakeWaiters()
  }

  public wakeWaiters (): void {
    for (const waiter of [...this.waiters]) waiter()
  }

  public tick (): void {
    for (const run of this.runs.filter((each) => each.end === undefined)) {
      const ranMs = this._clock.nowMs() - run.startedAtMs
      if (run.leaseExpiresHostMs <= this.hostMs) this.endRun(run, 'leaseLapsed')
      else if (this.failsAllTasks) this.endRun(run, 'failed')
      else if (ranMs >= (run.start.runMs ?? Infinity)) this.endRun(run, 'succeeded')
    }
  }
}

export class FakeWorkers implements IWorkerClient {
  public readonly workers = new Map<string, FakeWorker>()
  /** Runs from before the restart of their host, which the host itself no longer knows. */
  private readonly _runsBeforeRestart: IRun[] = []

  public constructor (private readonly _clock: ManualClock) {
    _clock.every(TICK_MS, () => { for (const worker of this.workers.values()) worker.tick() })
  }

  public add (host: IHostRecord, clockOffsetMs: number): void {
    this.workers.set(host.hostId, new FakeWorker(host, this._clock, clockOffsetMs))
  }

  public worker (hostId: string): FakeWorker {
    return this.workers.get(hostId) as FakeWorker
  }

  /** Ends all tasks of the host and restarts it at once, without any memory of them. */
  public restart (hostId: string): void {
    const worker = this.worker(hostId)
    for (const run of worker.runs.filter((each) => each.end === undefined)) Object.assign(run, { end: 'died', endedAtMs: this._clock.nowMs() })
    this._runsBeforeRestart.push(...worker.runs)
    worker.runs = []
    worker.sequence = 0
    worker.epochs.clear()
    worker.stopped.clear()
    worker.wakeWaiters()
  }

  /** All runs that ever started, in the order of their starts. */
  public runs (): readonly IRun[] {
    return [...this._runsBeforeRestart, ...[...this.workers.values()].flatMap((worker) => worker.runs)].sort((a, b) => a.startedAtMs - b.startedAtMs)
  }

  public running (): readonly IRun[] {
    return this.runs().filter((run) => run.end === undefined)
  }

  /** Pairs of runs of one task that overlap in time. */
  public overlaps (): readonly string[] {
    const found: string[] = []
    for (const [index, run] of this.runs().entries()) {
      const other = this.runs().slice(index + 1).find((later) => later.start.taskId === run.start.taskId && later.startedAtMs < run.endedAtMs)
      if (other !== undefined && other.endedAtMs > other.startedAtMs) found.push(`${run.start.taskId}: ${run.hostId}, ${other.hostId}`)
    }
    return found
  }

  /** The largest share of a host's cores that was ever in use at once. */
  public maxCoreShare (): number {
    const shares = this.runs().map((run) => {
      const isBeside = (other: IRun): boolean => other.startedAtMs <= run.startedAtMs && other.endedAtMs > run.startedAtMs
      const together = this.runs().filter((other) => other.hostId === run.hostId && isBeside(other))
      return together.reduce((sum, other) => sum + other.start.resources.cores, 0) / this.worker(run.hostId).host.capacity.cores
    })
    return Math.max(0, ...shares)
  }

  public fence (host: IHostRecord, fence: IFence): Answer {
    return this._command(host, fence, (worker) => worker.status(0))
  }

  public start (host: IHostRecord, fence: IFence, tasks: readonly ITaskStart[]): Answer {
    const { isLeaving } = this.worker(host.hostId)
    if (isLeaving) return errAsync(new RefusedError('worker.start', host.hostId, 'leaving'))
    return this._command(host, fence, (worker) => {
      const before = worker.sequence
      for (const task of tasks) worker.start(task)
      return worker.status(before)
    })
  }

  public stop (host: IHostRecord, fence: IFence, taskId: string, attempt: number): Answer {
    return this._command(host, fence, (worker) => {
      const before = worker.sequence
      worker.stopped.add(`${taskId}#${attempt}`)
      const run = worker.runs.find((each) => each.start.taskId === taskId && each.start.attempt === attempt && each.end === undefined)
      if (run !== undefined) worker.endRun(run, 'stopped')
      return worker.status(before)
    })
  }

  public sync (host: IHostRecord, sync: IWorkerSync): Answer {
    return this._command(host, sync.fence, async (worker) => {
      for (const run of worker.runs.filter((each) => each.end === undefined)) {
        run.leaseExpiresHostMs = Math.max(run.leaseExpiresHostMs, sync.leaseExpiresHostMs)
      }
      if (worker.sequence <= sync.afterSequence) await this._waitForEnd(worker, sync.waitMs)
      return worker.status(sync.afterSequence)
    })
  }

  public forget (): void {}

  private _command (host: IHostRecord, fence: IFence, act: (worker: FakeWorker) => IWorkerStatus | Promise<IWorkerStatus>): Answer {
    const worker = this.worker(host.hostId)
    const lostAnswer = new AmbiguousError('worker', host.hostId, 'no answer')
    if (worker.reachability === 'refuses') return errAsync(new UnreachableError('worker', host.hostId, 'refused'))
    if (worker.reachability === 'cut') return errAsync(lostAnswer)
    const current = worker.epochs.get(fence.shardId) ?? 0
    if (fence.epoch < current) return errAsync(new FencedError('worker', host.hostId, current))
    worker.epochs.set(fence.shardId, fence.epoch)
    return ResultAsync.fromPromise(Promise.resolve(act(worker)).then((status) => {
      if (worker.reachability !== 'up') throw lostAnswer
      return status
    }), () => lostAnswer)
  }

  private _waitForEnd (worker: FakeWorker, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = (): void => {
        worker.waiters.delete(done)
        timer.dispose()
        resolve()
      }
      const timer = this._clock.after(waitMs, done)
      worker.waiters.add(done)
    })
  }
}

export function workerHost (hostId: string, rack: string, capacity: IResources, region = 'lakes-west'): IHostRecord {
  return {
    hostId, kind: 'worker', url: 'http://127.0.0.1:1', rack, region, failureDomain: `${region}-a`, state: 'live', slots: 0, maxConnections: 0, capacity
  }
}
