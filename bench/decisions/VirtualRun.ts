/**
 * Runs one scenario against one engine in virtual time. Hosts are simulated by the end times of their work; the decisions are real.
 */

import { Heap } from 'heap-js'

import { addInto, fits, larger, subtractFrom, zeroResources } from '../../src/common/policy/Resources.js'
import { Outcomes, round } from './Outcomes.js'

import type { IClock } from '../../src/common/Types.js'
import type { IMutableResources } from '../../src/common/policy/Resources.js'
import type { AttemptEnd, EngineDecision, IDecisionEngine, IEngineHost, IWorkItem } from '../../src/common/policy/Types.js'
import type { IArrival, IHostFault, IScenario, IActualWork } from './Types.js'

/** The time after which a host that fails all its work fails an item. */
const FAILS_AFTER_MS = 1

/** The factor by which work takes longer on a slow host. */
const SLOW_FACTOR = 10

/** The time after the start of an item at which its host reports its usage. */
const REPORT_LAG_MS = 1_000

/** The time that it takes to stop an item. */
const STOP_TAKES_MS = 50

export class VirtualClock implements IClock {
  public atMs = 0

  public nowMs (): number {
    return this.atMs
  }

  public wallMs (): number {
    return this.atMs
  }
}

interface IEvent {
  readonly atMs: number
  readonly order: number
  readonly action: () => void
}

interface IRunningWork {
  readonly work: IActualWork
  readonly hostId: string
  readonly startedAtMs: number
  countedUsage: IMutableResources
}

export class VirtualRun {
  public readonly outcomes: Outcomes
  private readonly _events = new Heap<IEvent>((a, b) => a.atMs === b.atMs ? a.order - b.order : a.atMs - b.atMs)
  private readonly _workById = new Map<string, IActualWork>()
  private readonly _waiting = new Map<string, IWorkItem>()
  private readonly _running = new Map<string, IRunningWork>()
  private readonly _usedByHost = new Map<string, IMutableResources>()
  private readonly _capacity = zeroResources()
  private readonly _inUse = zeroResources()
  private readonly _usedResourceMs = zeroResources()
  private _overUsedCoresMs = 0
  private _integratedToMs = 0
  private _lostAfterFirstSecond = 0
  private _placedAfterHeal = 0
  private _placed = 0
  private _lastOrder = 0
  private readonly _reportsUsage: boolean
  private _wakeAtMs = Infinity

  public constructor (private readonly _scenario: IScenario, private readonly _engine: IDecisionEngine, private readonly _clock: VirtualClock) {
    this._reportsUsage = _scenario.arrivals.some(({ work }) => work.some(({ usage }) => usage !== undefined))
    for (const host of _scenario.hosts) this._putHost(host)
    this.outcomes = new Outcomes(this._capacity)
    for (const arrival of _scenario.arrivals) this._schedule(arrival.atMs, () => this._handleArrival(arrival))
    for (const fault of _scenario.faults ?? []) this._scheduleFault(fault)
    const wave = _scenario.cancelWave
    if (wave !== undefined) this._schedule(wave.atMs, () => this._cancelShare(wave.share))
  }

  public run (): Readonly<Record<string, unknown>> {
    const { untilMs } = this._scenario
    for (let event = this._events.pop(); event !== undefined && event.atMs <= untilMs; event = this._events.pop()) {
      this._integrateTo(event.atMs)
      this._clock.atMs = event.atMs
      event.action()
      this._applyDecisions()
    }
    this._integrateTo(untilMs)
    for (const item of this._waiting.values()) this.outcomes.recordWaiting(item, untilMs - item.arrivedAtMs, this._scenario.starvedAfterMs)
    return this._summary()
  }

  /** The share of the capacity in use over the measured time, for the resource with the highest share. */
  public useShare (): number {
    const measuredMs = this._scenario.untilMs - this._scenario.measuredFromMs
    const shareOf = (used: number, whole: number): number => whole === 0 ? 0 : used / whole / measuredMs
    return Math.max(
      shareOf(this._usedResourceMs.cores, this._capacity.cores),
      shareOf(this._usedResourceMs.memoryBytes, this._capacity.memoryBytes),
      shareOf(this._usedResourceMs.accelerators, this._capacity.accelerators)
    )
  }

  private _summary (): Readonly<Record<string, unknown>> {
    const faulty = this._scenario.faults === undefined
      ? {}
      : { lostAfterFirstSecondShare: round(this._lostAfterFirstSecond / this._placed, 5), placedAfterHeal: this._placedAfterHeal }
    return {
      useShare: round(this.useShare(), 4),
      overUsedShare: round(this._overUsedCoresMs / this._capacity.cores / (this._scenario.untilMs - this._scenario.measuredFromMs), 4),
      ...this.outcomes.summary(this._scenario.untilMs - this._scenario.measuredFromMs),
      ...faulty
    }
  }

  private _putHost (host: IEngineHost): void {
    this._engine.putHost(host)
    this._usedByHost.set(host.hostId, zeroResources())
    addInto(this._capacity, host.capacity)
  }

  private _schedule (atMs: number, action: () => void): void {
    this._lastOrder += 1
    this._events.push({ atMs, order: this._lastOrder, action })
  }

  private _handleArrival (arrival: IArrival): void {
    for (const { item, runMs } of arrival.work) this.outcomes.recordArrival(item, runMs)
    this._admit(arrival, false)
  }

  private _admit (arrival: IArrival, isReturn: boolean): void {
    const { work, groupId } = arrival
    const [first] = work
    if (first === undefined) return
    for (const entry of work) {
      this._workById.set(entry.item.id, entry)
      this._waiting.set(entry.item.id, entry.item)
    }
    const startedMs = performance.now()
    const decision = groupId === undefined ? this._engine.admit(first.item) : this._engine.admitGroup(groupId, work.map((entry) => entry.item))
    const tookMs = performance.now() - startedMs
    this.outcomes.recordCall(tookMs, !decision.admitted)
    if (isReturn && decision.admitted) this.outcomes.admittedReturns += 1
    if (decision.admitted) return
    for (const { item } of work) {
      this._waiting.delete(item.id)
      this.outcomes.recordRefusal(item, tookMs)
    }
    if (this._scenario.followsRetryAfter === true && decision.reason === 'overloaded') this._scheduleReturn(arrival, isReturn, decision.retryAfterMs)
  }

  /** Schedules the first return of refused work, exactly after the given delay and with as much time to its deadline as before. */
  private _scheduleReturn (arrival: IArrival, isReturn: boolean, retryAfterMs: number): void {
    const atMs = this._clock.atMs + retryAfterMs
    if (isReturn || atMs > this._scenario.untilMs) return
    const work = arrival.work.map((entry) => {
      const allowedMs = entry.item.deadlineAtMs - entry.item.arrivedAtMs
      return { ...entry, item: { ...entry.item, arrivedAtMs: atMs, deadlineAtMs: atMs + allowedMs } }
    })
    this._schedule(atMs, () => {
      this.outcomes.returns += 1
      this._admit({ ...arrival, work }, true)
    })
  }

  private _applyDecisions (): void {
    for (;;) {
      const startedMs = performance.now()
      const decision = this._engine.next()
      this.outcomes.recordCall(performance.now() - startedMs, decision !== undefined)
      if (decision === undefined) break
      this._applyDecision(decision)
    }
    const wakeAtMs = Math.max(this._engine.nextWakeAtMs(), this._clock.atMs + 0.001)
    if (wakeAtMs >= this._wakeAtMs && this._wakeAtMs > this._clock.atMs) return
    this._wakeAtMs = wakeAtMs
    if (wakeAtMs < Infinity) this._schedule(wakeAtMs, () => {})
  }

  private _applyDecision (decision: EngineDecision): void {
    if (decision.type === 'place') this._placeItem(decision.item, decision.hostId, decision.waitMs)
    else if (decision.type === 'preempt') this._preemptItem(decision.itemId)
    else {
      this._waiting.delete(decision.item.id)
      this.outcomes.recordGivenUp(decision.item, this._clock.atMs - decision.item.arrivedAtMs)
    }
  }

  private _placeItem (item: IWorkItem, hostId: string, waitMs: number): void {
    const work = this._workById.get(item.id)
    if (work === undefined) return
    this._waiting.delete(item.id)
    this._placed += 1
    this.outcomes.recordPlacement(item, waitMs)
    const nowMs = this._clock.atMs
    const running: IRunningWork = { work, hostId, startedAtMs: nowMs, countedUsage: { ...item.resources } }
    this._running.set(item.id, running)
    this._addUsage(running, 1)
    this._checkCapacity(hostId)
    this._scheduleEnd(running, nowMs)
  }

  private _scheduleEnd (running: IRunningWork, nowMs: number): void {
    const { work, hostId } = running
    const fault = this._faultOf(hostId, nowMs)
    if (fault?.kind === 'failsAtOnce') {
      if (nowMs >= fault.fromMs + 1_000) this._lostAfterFirstSecond += 1
      this._schedule(nowMs + FAILS_AFTER_MS, () => this._endItem(running, 'failed'))
      return
    }
    if (this._wasFaulty(hostId, nowMs)) this._placedAfterHeal += 1
    const factor = fault?.kind === 'slow' ? SLOW_FACTOR : 1
    this._schedule(nowMs + work.runMs * factor, () => this._endItem(running, 'succeeded'))
    const { usage } = work
    if (usage !== undefined) this._schedule(nowMs + REPORT_LAG_MS, () => this._reportUsage(running, larger(work.item.resources, usage)))
  }

  private _reportUsage (running: IRunningWork, usage: IMutableResources): void {
    const { id } = running.work.item
    if (this._running.get(id) !== running) return
    this._addUsage(running, -1)
    running.countedUsage = { ...usage }
    this._addUsage(running, 1)
    this._engine.reportUsage(id, usage)
  }

  private _preemptItem (itemId: string): void {
    const running = this._running.get(itemId)
    if (running === undefined) return
    this.outcomes.preempted += 1
    this._schedule(this._clock.atMs + STOP_TAKES_MS, () => {
      if (this._running.get(itemId) !== running) return
      this._endItem(running, 'stopped')
      this._admit({ atMs: this._clock.atMs, work: [running.work] }, false)
    })
  }

  private _endItem (running: IRunningWork, end: AttemptEnd): void {
    const { item } = running.work
    if (this._running.get(item.id) !== running) return
    this._running.delete(item.id)
    this._addUsage(running, -1)
    const runMs = this._clock.atMs - running.startedAtMs
    if (end === 'succeeded') this.outcomes.recordServed(item, this._measuredRunMs(running))
    if (end === 'failed') this.outcomes.lost += 1
    this._engine.recordEnd(item.id, end, runMs)
  }

  private _measuredRunMs (running: IRunningWork): number {
    return Math.max(0, this._clock.atMs - Math.max(running.startedAtMs, this._scenario.measuredFromMs))
  }

  private _scheduleFault (fault: IHostFault): void {
    const host = this._scenario.hosts.find((candidate) => candidate.hostId === fault.hostId)
    if (fault.kind !== 'gone' || host === undefined) return
    this._schedule(fault.fromMs, () => this._loseHost(host))
    this._schedule(fault.untilMs, () => this._engine.putHost(host))
  }

  private _loseHost (host: IEngineHost): void {
    for (const itemId of this._engine.removeHost(host.hostId)) {
      const running = this._running.get(itemId)
      if (running === undefined) continue
      this._running.delete(itemId)
      this._addUsage(running, -1)
      this.outcomes.lost += 1
    }
  }

  private _cancelShare (share: number): void {
    let remaining = Math.floor(this._waiting.size * share)
    for (const [itemId] of [...this._waiting]) {
      if (remaining <= 0) return
      remaining -= 1
      this._waiting.delete(itemId)
      const startedMs = performance.now()
      this._engine.cancel(itemId)
      this.outcomes.recordCall(performance.now() - startedMs, false)
    }
  }

  private _faultOf (hostId: string, atMs: number): IHostFault | undefined {
    return this._scenario.faults?.find((fault) => fault.hostId === hostId && fault.fromMs <= atMs && atMs < fault.untilMs)
  }

  private _wasFaulty (hostId: string, atMs: number): boolean {
    return this._scenario.faults?.some((fault) => fault.hostId === hostId && fault.untilMs <= atMs) === true
  }

  private _addUsage (running: IRunningWork, sign: 1 | -1): void {
    const used = this._usedByHost.get(running.hostId)
    if (used === undefined) return
    if (sign === 1) addInto(used, running.countedUsage)
    else subtractFrom(used, running.countedUsage)
    if (sign === 1) addInto(this._inUse, running.countedUsage)
    else subtractFrom(this._inUse, running.countedUsage)
  }

  private _checkCapacity (hostId: string): void {
    const host = this._scenario.hosts.find((candidate) => candidate.hostId === hostId)
    const used = this._usedByHost.get(hostId)
    if (host !== undefined && used !== undefined && !fits(used, host.capacity)) this.outcomes.overCapacity += 1
  }

  /** The cores that tasks use beyond the capacity of their hosts. Usage is reported after placement, so this can be above zero. */
  private _overUsedCores (): number {
    let cores = 0
    for (const host of this._scenario.hosts) cores += Math.max(0, (this._usedByHost.get(host.hostId)?.cores ?? 0) - host.capacity.cores)
    return cores
  }

  private _integrateTo (atMs: number): void {
    const fromMs = Math.max(this._integratedToMs, this._scenario.measuredFromMs)
    const elapsedMs = atMs - fromMs
    this._integratedToMs = atMs
    if (elapsedMs <= 0) return
    if (this._reportsUsage) this._overUsedCoresMs += this._overUsedCores() * elapsedMs
    this._usedResourceMs.cores += this._inUse.cores * elapsedMs
    this._usedResourceMs.memoryBytes += this._inUse.memoryBytes * elapsedMs
    this._usedResourceMs.accelerators += this._inUse.accelerators * elapsedMs
  }
}
