/**
 * The decision engine of one scheduler: puts admission, queue, placing, all-at-once jobs and preemption together.
 * Each of these is a class of its own; this one only passes events and decisions between them.
 */

import { Admission } from './Admission.js'
import { CapacityLedger } from './CapacityLedger.js'
import { DrainRate } from './DrainRate.js'
import { classRank, FairQueue } from './FairQueue.js'
import { GroupPlacer } from './GroupPlacer.js'
import { coreLevel, memoryLevel } from './HostGrid.js'
import { HostChooser } from './HostChooser.js'
import { HostHealth } from './HostHealth.js'
import { HostIndex } from './HostIndex.js'
import { Preemption, PREEMPT_AFTER_MS } from './Preemption.js'
import { RunTimeLearner } from './RunTimeLearner.js'
import { UseLedger } from './UseLedger.js'

import type { IClock, IRandom, IResources, MonotonicMs } from '../Types.js'
import type { IProfile, ITeamConfig } from '../config/Types.js'
import type { IHostObserver, IRunningItem, LedgerHost } from './CapacityLedger.js'
import type { IGroup } from './GroupPlacer.js'
import type { ILaneKey, IQueueEntry, ProfileQueue } from './ProfileQueue.js'
import type { AdmitDecision, AttemptEnd, EngineDecision, IDecisionEngine, IEngineHost, IEngineLoad, IWorkItem } from './Types.js'
import type { CapacityKind } from './UseLedger.js'

/** A large item that has waited this long gets room gathered for it, as an all-at-once job of one task does. */
const GATHER_FOR_ONE_AFTER_MS = 2_000

/** Work is let into gathered room if this share of its kind has ended by the time the room is needed. */
const BACKFILL_CONFIDENCE = 0.95

/** A request is given up when its typical run no longer fits before its deadline, but never before half its time. */
const MAX_RUN_SHARE_OF_DEADLINE = 0.5

export interface IEngineOptions {
  /** What hosts offer: slots on runners, resources on workers. */
  readonly kind: CapacityKind
}

/** What was charged for a running item. */
interface ICharge {
  readonly queue: ProfileQueue
  readonly costMs: number
}

export class DecisionEngine implements IDecisionEngine, IHostObserver {
  private readonly _ledger = new CapacityLedger(this)
  private readonly _use: UseLedger
  private readonly _index = new HostIndex()
  private readonly _health = new HostHealth()
  private readonly _chooser: HostChooser
  private readonly _learner = new RunTimeLearner()
  private readonly _queue: FairQueue
  private readonly _admission: Admission
  private readonly _groups: GroupPlacer
  private readonly _preemption = new Preemption()
  private readonly _released = new DrainRate()
  private readonly _charges = new Map<string, ICharge>()
  private readonly _ready: EngineDecision[] = []
  /** Shapes and teams found to have no room since room last came free. */
  private readonly _blockedShapes = new Set<string>()
  private readonly _blockedTeams = new Set<string>()
  /** Stops under way, by the shape of the urgent work that they make room for. */
  private readonly _stopping = new Map<string, string>()
  /** Nothing to decide until then, unless something happens. */
  private _settledUntilMs: MonotonicMs = -Infinity
  private _recheckAtMs: MonotonicMs = Infinity
  private _needsGroupAdvance = false

  public constructor (private readonly _clock: IClock, random: IRandom, options: IEngineOptions = { kind: 'resources' }) {
    this._use = new UseLedger(options.kind)
    this._chooser = new HostChooser(options.kind, this._ledger, this._index, this._health)
    this._queue = new FairQueue(this._use, this._ledger.capacity)
    this._admission = new Admission(_clock, random)
    this._groups = new GroupPlacer(this._ledger, this._use, this._chooser)
    this._released.startBacklog(_clock.nowMs())
  }

  public hostChanged (host: LedgerHost): void {
    this._index.update(host, host.config.accepting && !this._health.isOnProbation(host.hostId))
  }

  public hostRemoved (host: LedgerHost): void {
    this._index.remove(host)
    this._groups.forgetHost(host)
  }

  public putHost (host: IEngineHost): void {
    this._health.addHost(host.hostId)
    const known = this._ledger.host(host.hostId)
    if (known !== undefined && known.domainKey !== `${host.region}/${host.failureDomain}`) this._index.remove(known)
    this._ledger.putHost(host)
    if (known !== undefined && !host.accepting) this._groups.forgetHost(known)
    this._noteRoom()
  }

  public removeHost (hostId: string): readonly string[] {
    const lost = this._ledger.removeHost(hostId)
    for (const running of lost) this._settle(running, this._clock.nowMs() - running.startedAtMs)
    this._health.removeHost(hostId)
    this._noteRoom()
    return lost.map((running) => running.item.id)
  }

  public adopt (item: IWorkItem, hostId: string): void {
    const host = this._ledger.host(hostId)
    if (host === undefined || this._ledger.runningItem(item.id) !== undefined) return
    this._start(item, host, this._queue.profileFor(item.profile), this._costMs(item))
  }

  public admit (item: IWorkItem): AdmitDecision {
    const impossible = this._whyImpossible([item])
    if (impossible !== undefined) return impossible
    const queue = this._queue.profileFor(item.profile)
    const costMs = this._costMs(item)
    const decision = this._admission.decide({
      item,
      queue,
      costMs,
      slackMs: this._latestStartAtMs(item) - this._clock.nowMs(),
      totalQueued: this._queue.size + this._groups.itemCount,
      priorRate: this._priorRate(queue)
    })
    if (!decision.admitted) return decision
    this._queue.add({ item, lane: laneOf(item), costMs, latestStartAtMs: this._latestStartAtMs(item) })
    this._admission.noteQueued(queue)
    this._unsettle()
    return decision
  }

  public admitGroup (groupId: string, items: readonly IWorkItem[]): AdmitDecision {
    const impossible = this._whyImpossible(items)
    if (impossible !== undefined) return impossible
    if (items.length === 0) return { admitted: true, expectedWaitMs: 0 }
    const expiresAtMs = items.reduce((earliest, item) => Math.min(earliest, this._latestStartAtMs(item)), Infinity)
    this._addGroup(groupId, items, expiresAtMs, true)
    return { admitted: true, expectedWaitMs: this._gatherMs(items.reduce((sum, item) => sum + this._ledger.shareOf(item.resources), 0)) }
  }

  public cancel (itemId: string): 'queued' | 'running' | 'absent' {
    if (this._ledger.runningItem(itemId) !== undefined) return 'running'
    const entry = this._queue.remove(itemId)
    if (entry !== undefined) {
      this._admission.noteStarted(entry.queue, 0)
      return 'queued'
    }
    if (!this._groups.cancelItem(itemId)) return 'absent'
    this._noteRoom()
    return 'queued'
  }

  public next (): EngineDecision | undefined {
    if (this._ready.length === 0) this._decide(this._clock.nowMs())
    return this._ready.shift()
  }

  public nextWakeAtMs (): MonotonicMs {
    if (this._ready.length > 0) return this._clock.nowMs()
    return this._settledUntilMs > this._clock.nowMs() ? this._settledUntilMs : this._computeWakeAtMs(this._clock.nowMs())
  }

  public finished (itemId: string, end: AttemptEnd, serviceMs: number): void {
    const running = this._ledger.finish(itemId)
    if (running === undefined) return
    this._settle(running, serviceMs)
    if (end === 'succeeded') this._learner.note(running.item.service, serviceMs)
    const hasMoved = this._health.note(running.host.hostId, running.item, end, this._clock.nowMs())
    if (hasMoved) {
      this.hostChanged(running.host)
      this._groups.forgetHost(running.host)
    }
    this._released.noteStarted(this._ledger.shareOf(running.counted), this._clock.nowMs())
    this._noteRoom()
  }

  public reportUsage (itemId: string, usage: IResources): void {
    const running = this._ledger.runningItem(itemId)
    if (running === undefined) return
    const before = running.counted
    this._ledger.reportUsage(itemId, usage)
    this._use.recount(running.item, before, running.counted)
    this._noteRoom()
  }

  public reserve (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs): readonly string[] {
    this.dropReservation(groupId)
    if (this._whyImpossible(items) !== undefined || items.length === 0) return []
    this._addGroup(groupId, items, expiresAtMs, false)
    this._advanceGroups(this._clock.nowMs())
    return this.reservedIds(groupId)
  }

  public reservedIds (groupId: string): readonly string[] {
    return [...this._groups.group(groupId)?.holds.keys() ?? []]
  }

  public startReserved (groupId: string): readonly { readonly item: IWorkItem, readonly hostId: string }[] | undefined {
    const group = this._groups.group(groupId)
    const isLate = group === undefined || group.expiresAtMs <= this._clock.nowMs()
    if (isLate || !this._groups.isReady(group)) return undefined
    return this._startGroup(group).map(({ item, host }) => ({ item, hostId: host.hostId }))
  }

  public dropReservation (groupId: string): void {
    if (this._groups.drop(groupId) !== undefined) this._noteRoom()
  }

  public putTeam (team: ITeamConfig): void {
    this._use.putTeam(team)
    this._noteRoom()
  }

  public load (): IEngineLoad {
    return {
      queued: this._queue.size + this._groups.itemCount,
      running: this._ledger.runningCount,
      capacity: { ...this._ledger.capacity },
      used: { ...this._ledger.used },
      largestFree: this._index.largestFree(),
      expectedWaitMs: this._expectedWaits()
    }
  }

  public dump (): Readonly<Record<string, unknown>> {
    const profiles = [...this._queue.profiles()].slice(0, MAX_DUMPED).map((queue) => ({
      profile: queue.profile.name,
      queued: queue.queuedCount,
      callers: queue.activeCallers,
      running: this._use.profileCount(queue.profile.name),
      share: this._use.profileShare(queue.profile.name, this._ledger.capacity),
      expectedWaitMs: this._admission.expectedWaitMs(queue, this._priorRate(queue))
    }))
    return {
      engine: 'decisions',
      hosts: this._ledger.hostCount,
      onProbation: this._health.hostsOnProbation().slice(0, MAX_DUMPED),
      groups: this._groups.groupCount,
      gathering: this._groups.gathering?.groupId,
      servicesLearnt: this._learner.serviceCount,
      load: this.load(),
      profiles
    }
  }

  /** Finds the next decisions, if any, and puts them into `_ready`. */
  private _decide (nowMs: MonotonicMs): void {
    if (nowMs < this._settledUntilMs) return
    if (this._settledUntilMs > -Infinity) this._noteRoom()
    this._recheckAtMs = Infinity
    if (this._giveUpOne(nowMs)) return
    if (this._advanceGroups(nowMs)) return
    if (this._placeOne(nowMs)) return
    this._settledUntilMs = this._computeWakeAtMs(nowMs)
  }

  private _giveUpOne (nowMs: MonotonicMs): boolean {
    const entry = this._queue.takeExpired(nowMs)
    if (entry !== undefined) {
      this._admission.noteStarted(entry.queue, 0)
      this._giveUp(entry.item)
      return true
    }
    const group = this._groups.takeExpired(nowMs)
    if (group === undefined) return false
    this._noteRoom()
    if (group.startsItself) for (const item of group.items) this._giveUp(item)
    return this._ready.length > 0
  }

  private _giveUp (item: IWorkItem): void {
    const queue = this._queue.profileFor(item.profile)
    const waitMs = this._admission.expectedWaitMs(queue, this._priorRate(queue))
    this._ready.push({ type: 'giveUp', item, reason: 'deadline', retryAfterMs: this._admission.spread(waitMs) })
  }

  private _advanceGroups (nowMs: MonotonicMs): boolean {
    if (this._groups.groupCount === 0 || !this._needsGroupAdvance) return false
    this._needsGroupAdvance = false
    const first = this._queue.peek((lane) => this._isBlocked(lane))
    const group = this._groups.advance(nowMs, (candidate) => this._isTurnOf(candidate, first))
    if (group === undefined) return false
    this._needsGroupAdvance = true
    for (const { item, host } of this._startGroup(group)) this._pushPlace(item, host, nowMs)
    return true
  }

  /** All-at-once jobs take turns with the other work by the same rules: floor, class, weight. */
  private _isTurnOf (group: IGroup, first: IQueueEntry | undefined): boolean {
    const [item] = group.items
    if (first === undefined || item === undefined) return true
    const queue = this._queue.profileFor(item.profile)
    if (this._queue.isBelowFloor(queue)) return true
    const rank = classRank(first.queue.profile.priorityClass)
    return group.rank < rank || (group.rank === rank && queue.virtualMs <= first.queue.virtualMs)
  }

  private _startGroup (group: IGroup): readonly { readonly item: IWorkItem, readonly host: LedgerHost }[] {
    const places = [...group.holds.values()]
    this._groups.drop(group.groupId)
    for (const { item, host } of places) this._start(item, host, this._queue.profileFor(item.profile), this._costMs(item))
    return places
  }

  private _placeOne (nowMs: MonotonicMs): boolean {
    for (;;) {
      const entry = this._queue.peek((lane) => this._isBlocked(lane))
      if (entry === undefined) return false
      const host = this._chooseFor(entry, nowMs)
      if (host !== undefined) {
        this._startEntry(entry, host, nowMs)
        return true
      }
      if (this._ready.length > 0) return true
    }
  }

  private _chooseFor (entry: IQueueEntry, nowMs: MonotonicMs): LedgerHost | undefined {
    const { item, line } = entry
    if (!this._use.isWithinQuota([item])) {
      this._blockedTeams.add(line.lane.team)
      return undefined
    }
    const host = this._chooser.chooseProbe(item, nowMs) ?? this._chooser.choose(item) ?? this._chooseBackfill(item)
    if (host !== undefined) return host
    this._blockedShapes.add(line.lane.shape)
    if (item.profile.priorityClass === 'urgent') this._preemptFor(entry, nowMs)
    else this._gatherFor(entry, nowMs)
    return undefined
  }

  /**
   * A place in room that is gathered for an all-at-once job, if the item will have ended before the job starts.
   *
   * Made for a large job that gathers room for seconds or minutes: without it, hosts stand idle meanwhile, which shows
   * as capacity in use that falls with each large job.
   */
  private _chooseBackfill (item: IWorkItem): LedgerHost | undefined {
    const group = this._groups.gathering
    if (group === undefined) return undefined
    const untilStartMs = this._gatherMs(this._groups.lackingShare(group))
    if (this._learner.quantileMs(item, BACKFILL_CONFIDENCE) > untilStartMs) return undefined
    return this._chooser.chooseHeld(item)
  }

  /** How long until `share` of the capacity has come free, at the rate at which it comes free now. */
  private _gatherMs (share: number): number {
    const perMs = this._released.perMs(0, this._clock.nowMs())
    return share <= 0 ? 0 : share / Math.max(perMs, 1e-9)
  }

  /**
   * Has room gathered for one large item, as for an all-at-once job of one task.
   *
   * Made for a large item among small ones, which fill each gap before it is large enough: it would wait for ever.
   */
  private _gatherFor (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item } = entry
    if (this._groups.gathering !== undefined) return
    if (this._isTooEarly(item.arrivedAtMs + GATHER_FOR_ONE_AFTER_MS, nowMs)) return
    if (this._ledger.shareOf(item.resources) <= 0) return
    this._queue.remove(item.id)
    this._admission.noteStarted(entry.queue, 0)
    this._addGroup(item.id, [item], entry.latestStartAtMs, true)
  }

  private _preemptFor (entry: IQueueEntry, nowMs: MonotonicMs): void {
    const { item, line } = entry
    if (this._isTooEarly(item.arrivedAtMs + PREEMPT_AFTER_MS, nowMs)) return
    let underWay = 0
    for (const shape of this._stopping.values()) if (shape === line.lane.shape) underWay += 1
    if (underWay >= line.entries.size) return
    const victims = this._preemption.choose(item, nowMs, (profile, lost) => this._keepsFloor(profile, lost))
    if (victims.length > 0) this._blockedShapes.delete(line.lane.shape)
    for (const victim of victims) {
      victim.isStopping = true
      this._stopping.set(victim.item.id, line.lane.shape)
      this._ready.push({ type: 'preempt', itemId: victim.item.id, hostId: victim.host.hostId, forItemId: item.id })
    }
  }

  /** Whether something is due only later; then it is looked at again at that time. */
  private _isTooEarly (dueAtMs: MonotonicMs, nowMs: MonotonicMs): boolean {
    if (dueAtMs <= nowMs) return false
    this._recheckAtMs = Math.min(this._recheckAtMs, dueAtMs)
    return true
  }

  private _keepsFloor (profile: IProfile, lost: IResources): boolean {
    const queue = this._queue.profileFor(profile)
    const left = this._use.profileShare(profile.name, this._ledger.capacity) - this._ledger.shareOf(lost)
    return left >= this._queue.floorShare(queue)
  }

  private _startEntry (entry: IQueueEntry, host: LedgerHost, nowMs: MonotonicMs): void {
    this._queue.remove(entry.item.id)
    this._start(entry.item, host, entry.queue, entry.costMs)
    this._admission.noteStarted(entry.queue, entry.costMs)
    this._pushPlace(entry.item, host, nowMs)
  }

  private _pushPlace (item: IWorkItem, host: LedgerHost, nowMs: MonotonicMs): void {
    this._ready.push({ type: 'place', item, hostId: host.hostId, waitMs: nowMs - item.arrivedAtMs })
  }

  private _start (item: IWorkItem, host: LedgerHost, queue: ProfileQueue, costMs: number): void {
    const nowMs = this._clock.nowMs()
    const running = this._ledger.start(item, host, nowMs)
    this._use.add(item, running.counted)
    this._chooser.noteStarted(item, host, nowMs)
    this._preemption.noteStarted(running)
    this._queue.charge({ queue, costMs }, item.caller)
    this._charges.set(item.id, { queue, costMs })
  }

  /** Closes the account of an item that runs no more. */
  private _settle (running: IRunningItem, serviceMs: number): void {
    const { item, host, counted } = running
    this._use.remove(item, counted)
    this._chooser.noteEnded(item, host)
    this._preemption.noteEnded(running)
    this._stopping.delete(item.id)
    const charge = this._charges.get(item.id)
    this._charges.delete(item.id)
    if (charge === undefined) return
    const actualMs = this._ledger.shareOf(counted) * serviceMs
    this._queue.settle(charge.queue, item.caller, charge.costMs, actualMs)
  }

  private _addGroup (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs, startsItself: boolean): void {
    const [first] = items
    if (first === undefined) return
    this._groups.add({
      groupId,
      items: [...items],
      holds: new Map(),
      rank: classRank(first.profile.priorityClass),
      expiresAtMs,
      startsItself,
      queuedAtMs: first.arrivedAtMs,
      gatheringSinceMs: undefined
    })
    const queue = this._queue.profileFor(first.profile)
    if (queue.queuedCount === 0) this._queue.catchUp(queue)
    this._needsGroupAdvance = true
    this._unsettle()
  }

  private _whyImpossible (items: readonly IWorkItem[]): AdmitDecision | undefined {
    if (this._ledger.hostCount === 0) return this._admission.refuse('noUpstream', 'no host is known')
    const tooLarge = items.find((item) => !this._ledger.isFeasible(item.resources))
    if (tooLarge !== undefined) return this._admission.refuse('infeasible', `no accepting host is large enough for ${tooLarge.id}`)
    if (!this._use.couldEverRun(items)) return this._admission.refuse('quota', 'larger than the quota of its team')
    return undefined
  }

  private _costMs (item: IWorkItem): number {
    return this._ledger.shareOf(item.resources) * this._learner.meanMs(item)
  }

  private _latestStartAtMs (item: IWorkItem): MonotonicMs {
    const allowedMs = item.deadlineAtMs - item.arrivedAtMs
    const runMs = Math.min(this._learner.quantileMs(item, 0.5), MAX_RUN_SHARE_OF_DEADLINE * allowedMs)
    return allowedMs === Infinity ? Infinity : item.deadlineAtMs - runMs
  }

  /** The share that the profile could have: what profiles that go before it don't use, and its floor in any case. */
  private _priorRate (queue: ProfileQueue): number {
    const rank = classRank(queue.profile.priorityClass)
    let others = 0
    for (const other of this._queue.profiles()) {
      if (other === queue || classRank(other.profile.priorityClass) > rank) continue
      others += this._use.profileShare(other.profile.name, this._ledger.capacity)
    }
    return Math.max(1 - others, this._queue.floorShare(queue))
  }

  private _expectedWaits (): Readonly<Record<'urgent' | 'normal' | 'patient', number>> {
    const waits = { urgent: 0, normal: 0, patient: 0 }
    for (const queue of this._queue.profiles()) {
      const { priorityClass } = queue.profile
      waits[priorityClass] = Math.max(waits[priorityClass], this._admission.expectedWaitMs(queue, this._priorRate(queue)))
    }
    return waits
  }

  private _isBlocked (lane: ILaneKey): boolean {
    return this._blockedShapes.has(lane.shape) || this._blockedTeams.has(lane.team)
  }

  /** Room may have come free: what found none is tried again. */
  private _noteRoom (): void {
    this._blockedShapes.clear()
    this._blockedTeams.clear()
    this._needsGroupAdvance = true
    this._unsettle()
  }

  private _unsettle (): void {
    this._settledUntilMs = -Infinity
  }

  private _computeWakeAtMs (nowMs: MonotonicMs): MonotonicMs {
    const probeAtMs = this._queue.size > 0 ? Math.max(this._health.nextProbeAtMs(), nowMs + 1) : Infinity
    return Math.min(this._queue.earliestLatestStartMs(), this._groups.nextWakeAtMs(nowMs), probeAtMs, this._recheckAtMs)
  }
}

const MAX_DUMPED = 100

/** Two levels of room an octave and the exact number of accelerators; work that avoids hosts is a shape of its own. */
function laneOf (item: IWorkItem): ILaneKey {
  const { cores, memoryBytes, accelerators } = item.resources
  const avoided = item.avoidHostIds?.join() ?? ''
  return { shape: `${coreLevel(cores)}/${memoryLevel(memoryBytes)}/${accelerators}/${avoided}`, team: item.team }
}
