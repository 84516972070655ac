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
  /** The time that it takes on a host of speed 1. */
  readonly workMs: number
  /** How much of that is done. */
  doneMs: number
}

export interface ITaskTime { readonly task: string, readonly atMs: MonotonicMs }

export interface ISimulatedHostOptions {
  readonly hostId: string
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly rack: string
  /** Further labels, beside those that every host has. */
  readonly labels?: readonly string[]
  readonly maxHoldMs: number
  /** The run time of a task on this host. */
  workMs (ref: IRunRef): number
  /** How fast the run progresses now, where 1 is the usual speed; that of the host by default. */
  rateOf? (ref: IRunRef, hostRate: number): number
  /** How a run of the task ends. */
  endOf (ref: IRunRef): EndKind
}

export class SimulatedHost {
  public readonly running = new Map<string, ISimulatedRun>()
  public readonly started: IRunRef[] = []
  /** When which tasks were started. */
  public readonly starts: ITaskTime[] = []
  /** When which tasks were done, if an accepted poll has acknowledged the end before the host's lease ended. */
  public readonly acknowledgedDone: ITaskTime[] = []
  /** The number of stop orders that the host has accepted. */
  public stopCount = 0
  /** The highest run number of each task that must not start any more, by task. */
  private readonly _lastBarredRuns = new Map<string, number>()
  private _ended: IEndRow[] = []
  /** The ends that are not listed yet. */
  private _unlisted: { readonly ref: IRunRef, readonly end: EndKind, readonly atMs: MonotonicMs }[] = []
  private _sequence = 0
  private readonly _endedAtMs = new Map<number, MonotonicMs>()
  /** The last end before the host's lease ended last. */
  private _lapsedSequence = 0
  private _fence = 0
  private _deadlineMs = 0
  /** When its clock would have shown zero. */
  private _startedAtMs: MonotonicMs
  private _bornAtMs: MonotonicMs
  public bornMs: number
  public isDraining = false
  /** The host answers no order, and receives none. It runs on, as when it is cut off. */
  public isSilent = false
  /** Whether the store has its entry. */
  public isListed = true
  /** The host refuses every start. */
  public refusesStarts = false
  /** The tasks make no progress. */
  public isStuck = false
  /** The tasks make no progress until this is cleared, and then continue where they were. */
  public isHanging = false
  /** How fast the host works, where 1 is the usual speed. */
  public speed = 1
  /** The runs that ended without a result, with the work that they had done, in ms on a host of speed 1. */
  public readonly discarded: { readonly ref: IRunRef, readonly doneMs: number }[] = []
  private _tickedAtMs: MonotonicMs
  /** The time between the exit of a run and the listing of its end, in ms; neither list shows the run meanwhile. */
  public listingMs = 0
  /** The delay of the answers to start orders. */
  public startAnswerDelayMs = 0
  /** Start orders get no answer, but are kept so that they can be carried out later. */
  public losesStarts = false
  /** The number of start orders that are lost with their connections, from now on. */
  public lostStarts = 0
  /** Polls get no answer, but are kept so that they can be carried out later, also by the next incarnation. */
  public losesPolls = false
  /** Stop orders get no answer, but are kept in the same way. */
  public losesStops = false
  private readonly _lateStarts: IStartOrder[] = []
  private readonly _lateStops: { readonly ref: IRunRef, readonly fence: number }[] = []
  private readonly _latePolls: IHoldOrder[] = []
  private _listedEntry: IHostEntry

  public constructor (public readonly options: ISimulatedHostOptions, private readonly _clock: IClock) {
    this._startedAtMs = _clock.nowMs()
    this._bornAtMs = _clock.nowMs()
    this._tickedAtMs = _clock.nowMs()
    this.bornMs = _clock.wallMs()
    this._listedEntry = this.entry
  }

  /** Its entry in the store. After a restart, the store may still have that of the earlier incarnation. */
  public get listedEntry (): IHostEntry {
    return this._listedEntry.bornMs === this.bornMs ? this.entry : this._listedEntry
  }

  /** The speed at which the host works now. */
  public get rate (): number {
    return this.isHanging ? 0 : this.speed
  }

  public get entry (): IHostEntry {
    const { hostId, cpuMillicores, memoryMb, rack, labels = [] } = this.options
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
      labels: ['kind', rack, ...labels],
      rack
    }
  }

  public get clockMs (): number {
    return this._clock.nowMs() - this._startedAtMs
  }

  public start (order: IStartOrder): StartOutcome {
    if (this.isSilent) return { kind: 'unanswered' }
    if (this.lostStarts > 0) {
      this.lostStarts -= 1
      return { kind: 'unanswered' }
    }
    if (this.refusesStarts) return { kind: 'refused', reason: 'failed' }
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

  /** Carries out the stop orders that got no answer. */
  public executeLateStops (): void {
    for (const { ref, fence } of this._lateStops.splice(0)) this._executeStop(ref, fence)
  }

  /** Carries out the polls that got no answer. */
  public executeLatePolls (): void {
    for (const order of this._latePolls.splice(0)) this._executeHold(order)
  }

  public stop (ref: IRunRef, fence: number): 'stopped' | 'fenced' | 'unanswered' {
    if (this.isSilent) return 'unanswered'
    if (!this.losesStops) return this._executeStop(ref, fence)
    this._lateStops.push({ ref, fence })
    return 'unanswered'
  }

  private _executeStop (ref: IRunRef, fence: number): 'stopped' | 'fenced' {
    if (fence < this._fence) return 'fenced'
    this._fence = fence
    this.stopCount += 1
    this._barUpTo(ref)
    if (this.running.has(taskKey(ref))) this._endRun(ref, 'stopped')
    return 'stopped'
  }

  public hold (order: IHoldOrder): IHoldAnswer | 'fenced' | undefined {
    if (this.isSilent) return undefined
    if (!this.losesPolls) return this._executeHold(order)
    this._latePolls.push(order)
    return undefined
  }

  private _executeHold (order: IHoldOrder): IHoldAnswer | 'fenced' {
    if (order.fence < this._fence) return 'fenced'
    this._fence = order.fence
    this._extendLease(order.deadlineMs)
    for (const { sequence, ref, end } of this._ended) {
      if (sequence > order.acknowledgedSequence || sequence <= this._lapsedSequence || end !== 'done') continue
      this.acknowledgedDone.push({ task: taskKey(ref), atMs: this._endedAtMs.get(sequence) ?? this._clock.nowMs() })
    }
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
      this._lapsedSequence = this._sequence
    }
    const passedMs = this._clock.nowMs() - this._tickedAtMs
    this._tickedAtMs = this._clock.nowMs()
    for (const run of [...this.running.values()]) {
      const { ref, workMs } = run
      run.doneMs += Math.min(passedMs, this._clock.nowMs() - run.startedAtMs) * (this.options.rateOf?.(ref, this.rate) ?? this.rate)
      if (!this.isStuck && run.doneMs >= workMs) this._endRun(ref, this.options.endOf(ref))
    }
  }

  /**
   * Restarts the host under the same id, without any memory of its earlier runs. Orders that got no answer may still be carried out.
   *
   * @param isListed whether the store has the entry of the new incarnation at once; if not, call `renewEntry` later
   * @param clockMs the value at which its clock starts
   */
  public restart (isListed = true, clockMs = 0): void {
    this.running.clear()
    this._lastBarredRuns.clear()
    this._ended = []
    this._unlisted = []
    this._sequence = 0
    this._lapsedSequence = 0
    this._fence = 0
    this._deadlineMs = 0
    this._startedAtMs = this._clock.nowMs() - clockMs
    this._bornAtMs = this._clock.nowMs()
    this.bornMs = this._clock.wallMs()
    if (isListed) this.renewEntry()
  }

  /** Writes the entry of the present incarnation to the store. */
  public renewEntry (): void {
    this._listedEntry = this.entry
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
    // A ticket is valid during one incarnation of its host.
    if (order.ticket !== '' && Number(order.ticket) < this._bornAtMs) return { kind: 'refused', reason: 'ticket' }
    if (this.running.get(key)?.ref.run === order.ref.run) return { kind: 'started', clockMs: this.clockMs }
    if (order.ref.run <= (this._lastBarredRuns.get(key) ?? 0)) return { kind: 'refused', reason: 'old' }
    this.running.set(key, { ref: order.ref, startedAtMs: this._clock.nowMs(), workMs: this.options.workMs(order.ref), doneMs: 0 })
    this.started.push(order.ref)
    this.starts.push({ task: key, atMs: this._clock.nowMs() })
    return { kind: 'started', clockMs: this.clockMs }
  }

  private _extendLease (deadlineMs: number | undefined): void {
    if (deadlineMs === undefined) return
    this._deadlineMs = Math.max(this._deadlineMs, Math.min(deadlineMs, this.clockMs + this.options.maxHoldMs))
  }

  private _endRun (ref: IRunRef, end: EndKind): void {
    const run = this.running.get(taskKey(ref))
    if (run !== undefined && end !== 'done') this.discarded.push({ ref, doneMs: run.doneMs })
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
      this._endedAtMs.set(this._sequence, this._clock.nowMs())
      this._ended.push({ sequence: this._sequence, ref, end, checkpoint: '' })
    }
  }

  private _barUpTo (ref: IRunRef): void {
    this._lastBarredRuns.set(taskKey(ref), Math.max(ref.run, this._lastBarredRuns.get(taskKey(ref)) ?? 0))
  }

  private _percent (run: ISimulatedRun): number {
    if (this.isStuck) return 0
    return Math.min(99, Math.floor(100 * run.doneMs / run.workMs))
  }
}

export function taskKey ({ jobId, step, index }: IRunRef): string {
  return `${jobId}.${step}.${index}`
}
