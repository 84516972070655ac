/**
 * A simulated host under a clock that the test advances. It follows the rules of a real host: it checks the fence, ends runs when
 * the lease on its own clock expires, refuses to start a run that was stopped or has ended, and lists ended runs until the owner
 * has acknowledged them. Tests set its faults.
 */

import type { EndKind, IEndRow, IHoldAnswer, IHoldOrder, IHostEntry, IRunRef, IStartOrder, StartOutcome } from '../../src/common/cell/Types.js'
import type { IClock, MonotonicMs } from '../../src/common/Types.js'

export interface ISimulatedRun {
  readonly ref: IRunRef
  readonly startedAtMs: MonotonicMs
  readonly workMs: number
}

export interface ISimulatedHostOptions {
  readonly hostId: string
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly rack: string
  readonly maxHoldMs: number
  /** The run time of a task on this host. */
  workMs (ref: IRunRef): number
  /** How fast the host is: 1 by default, 2 if it takes half as long. */
  readonly speed?: number
  /** How a run of the task ends. */
  endOf (ref: IRunRef): EndKind
}

export class SimulatedHost {
  public readonly running = new Map<string, ISimulatedRun>()
  public readonly started: IRunRef[] = []
  /** The number of stop orders that the host has accepted. */
  public stopCount = 0
  /** The highest run number of each task that must not start any more, by task. */
  private readonly _lastBarredRuns = new Map<string, number>()
  private _ended: IEndRow[] = []
  /** The ends that are not listed yet. */
  private _unlisted: { readonly ref: IRunRef, readonly end: EndKind, readonly atMs: MonotonicMs }[] = []
  private _sequence = 0
  private _fence = 0
  private _deadlineMs = 0
  private _startedAtMs: MonotonicMs
  public bornMs: number
  public isDraining = false
  /** The host answers no order. */
  public isSilent = false
  /** The tasks make no progress. */
  public isStuck = false
  /** The time between the exit of a run and the listing of its end, in ms; neither list shows the run meanwhile. */
  public listingMs = 0
  /** The delay of the answers to start orders. */
  public startAnswerDelayMs = 0
  /** Start orders get no answer, but are kept so that they can be carried out later. */
  public losesStarts = false
  private _lateStarts: IStartOrder[] = []

  public constructor (public readonly options: ISimulatedHostOptions, private readonly _clock: IClock) {
    this._startedAtMs = _clock.nowMs()
    this.bornMs = _clock.wallMs()
  }

  public get entry (): IHostEntry {
    const { hostId, cpuMillicores, memoryMb, rack } = this.options
    return {
      hostId,
      bornMs: this.bornMs,
      service: 'pool',
      address: '127.0.0.1:1',
      failureDomain: 'zone-a',
      draining: this.isDraining,
      clockMs: this.clockMs,
      cpuMillicores,
      memoryMb,
      accelerators: 0,
      labels: ['kind', rack],
      rack
    }
  }

  public get clockMs (): number {
    return this._clock.nowMs() - this._startedAtMs
  }

  public start (order: IStartOrder): StartOutcome {
    if (this.isSilent) return { kind: 'unanswered' }
    if (this.losesStarts) {
      this._lateStarts.push(order)
      return { kind: 'unanswered' }
    }
    return this._executeStart(order)
  }

  /** Carries out the start orders that got no answer. */
  public executeLateStarts (): readonly StartOutcome[] {
    return this._lateStarts.splice(0).map((order) => this._executeStart(order))
  }

  public stop (ref: IRunRef, fence: number): 'stopped' | 'fenced' | 'unanswered' {
    if (this.isSilent) return 'unanswered'
    if (fence < this._fence) return 'fenced'
    this._fence = fence
    this.stopCount += 1
    this._barUpTo(ref)
    if (this.running.has(taskKey(ref))) this._endRun(ref, 'stopped')
    return 'stopped'
  }

  public hold (order: IHoldOrder): IHoldAnswer | 'fenced' | undefined {
    if (this.isSilent) return undefined
    if (order.fence < this._fence) return 'fenced'
    this._fence = order.fence
    this._extendLease(order.deadlineMs)
    this._ended = this._ended.filter((row) => row.sequence > order.acknowledgedSequence)
    return {
      clockMs: this.clockMs,
      bornMs: this.bornMs,
      running: [...this.running.values()].map((run) => ({ ref: run.ref, checkpoint: '', percent: this._percent(run) })),
      ended: this._ended,
      moreEnds: false,
      unreadableRows: 0
    }
  }

  /** Ends the runs that are due; call this after the clock has advanced. */
  public tick (): void {
    this._listEnds()
    if (this.clockMs > this._deadlineMs) {
      for (const { ref } of [...this.running.values()]) this._endRun(ref, 'lapsed')
    }
    if (this.isStuck) return
    for (const { ref, startedAtMs, workMs } of [...this.running.values()]) {
      if (this._clock.nowMs() - startedAtMs >= workMs) this._endRun(ref, this.options.endOf(ref))
    }
  }

  /** Restarts the host under the same id, without any memory of its earlier runs. */
  public restart (): void {
    this.running.clear()
    this._lastBarredRuns.clear()
    this._ended = []
    this._unlisted = []
    this._sequence = 0
    this._fence = 0
    this._deadlineMs = 0
    this._startedAtMs = this._clock.nowMs()
    this.bornMs = this._clock.wallMs()
  }

  public get usedCpu (): number {
    return this.running.size
  }

  private _executeStart (order: IStartOrder): StartOutcome {
    if (order.fence < this._fence) return { kind: 'fenced' }
    this._fence = order.fence
    this._extendLease(order.deadlineMs)
    const key = taskKey(order.ref)
    if (order.deadlineMs < this.clockMs) return { kind: 'refused', reason: 'late' }
    if (order.ref.run <= (this._lastBarredRuns.get(key) ?? 0)) return { kind: 'refused', reason: 'old' }
    this.running.set(key, { ref: order.ref, startedAtMs: this._clock.nowMs(), workMs: this.options.workMs(order.ref) / (this.options.speed ?? 1) })
    this.started.push(order.ref)
    return { kind: 'started', clockMs: this.clockMs }
  }

  private _extendLease (deadlineMs: number | undefined): void {
    if (deadlineMs === undefined) return
    this._deadlineMs = Math.max(this._deadlineMs, Math.min(deadlineMs, this.clockMs + this.options.maxHoldMs))
  }

  private _endRun (ref: IRunRef, end: EndKind): void {
    this.running.delete(taskKey(ref))
    this._barUpTo(ref)
    this._unlisted.push({ ref, end, atMs: this._clock.nowMs() + this.listingMs })
    this._listEnds()
  }

  private _listEnds (): void {
    const due = this._unlisted.filter(({ atMs }) => atMs <= this._clock.nowMs())
    this._unlisted = this._unlisted.filter((each) => !due.includes(each))
    for (const { ref, end } of due) {
      this._sequence += 1
      this._ended.push({ sequence: this._sequence, ref, end, checkpoint: '' })
    }
  }

  private _barUpTo (ref: IRunRef): void {
    this._lastBarredRuns.set(taskKey(ref), Math.max(ref.run, this._lastBarredRuns.get(taskKey(ref)) ?? 0))
  }

  private _percent (run: ISimulatedRun): number {
    if (this.isStuck) return 0
    return Math.min(99, Math.floor(100 * (this._clock.nowMs() - run.startedAtMs) / run.workMs))
  }
}

export function taskKey ({ jobId, step, index }: IRunRef): string {
  return `${jobId}.${step}.${index}`
}
