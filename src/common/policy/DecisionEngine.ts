/**
 * The decision engine of one scheduler: passes each event to the class that handles it.
 */

import { Admission } from './Admission.js'
import { CapacityLedger } from './CapacityLedger.js'
import { DecisionLoop } from './DecisionLoop.js'
import { EngineReport, MAX_DUMPED } from './EngineReport.js'
import { classRank, FairQueue } from './FairQueue.js'
import { GroupStore } from './GroupStore.js'
import { GroupPlacer } from './GroupPlacer.js'
import { HostChooser } from './HostChooser.js'
import { coreLevel, memoryLevel } from './HostGrid.js'
import { HostHealth } from './HostHealth.js'
import { AcceleratorReserve } from './AcceleratorReserve.js'
import { Feasibility } from './Feasibility.js'
import { GiveUpFinder } from './GiveUpFinder.js'
import { HostIndex } from './HostIndex.js'
import { VictimSelector } from './VictimSelector.js'
import { CapacityForecast } from './CapacityForecast.js'
import { RunningWork } from './RunningWork.js'
import { UsageTracker } from './UsageTracker.js'
import { WorkEstimates } from './WorkEstimates.js'

import type { IClock, IRandom, IResources, MonotonicMs } from '../Types.js'
import type { ITeamConfig } from '../config/Types.js'
import type { IHostObserver, LedgerHost } from './CapacityLedger.js'
import type { IGroupTask } from './GroupStore.js'
import type { ILaneKey } from './QueueTypes.js'
import type { AdmitDecision, AttemptEnd, EngineDecision, IDecisionEngine, IEngineHost, IEngineLoad, IWorkItem } from './Types.js'
import type { CapacityKind } from './UsageTracker.js'

/**
 * While the share of free slots is no larger than this (four of 240), they are kept from callers far above their even
 * share. At most this share of the capacity stays unused as a result.
 */
const HEADROOM_SHARE = 0.02

export interface IEngineOptions {
  /** What hosts offer: slots on runners, resources on workers. */
  readonly kind: CapacityKind
}

export class DecisionEngine implements IDecisionEngine, IHostObserver {
  private readonly _ledger = new CapacityLedger(this)
  private readonly _accelerators: AcceleratorReserve
  private readonly _index: HostIndex
  private readonly _feasibility = new Feasibility(this._ledger)
  private readonly _health = new HostHealth()
  private readonly _estimates = new WorkEstimates(this._ledger)
  private readonly _groupStore: GroupStore
  private readonly _usage: UsageTracker
  private readonly _queue: FairQueue
  private readonly _admission: Admission
  private readonly _runningWork: RunningWork
  private readonly _groupPlacer: GroupPlacer
  private readonly _loop: DecisionLoop
  private readonly _report: EngineReport

  public constructor (private readonly _clock: IClock, random: IRandom, options: IEngineOptions = { kind: 'resources' }) {
    const victimSelector = new VictimSelector()
    this._accelerators = new AcceleratorReserve(_clock)
    this._index = new HostIndex(this._accelerators)
    const chooser = new HostChooser(options.kind, this._ledger, this._index, this._health)
    this._groupStore = new GroupStore(this._ledger, chooser)
    this._usage = new UsageTracker(options.kind)
    this._queue = new FairQueue(this._usage, this._ledger.capacity, () => options.kind === 'slots' && this._isScarce())
    this._admission = new Admission(_clock, random)
    this._report = new EngineReport(this._ledger, this._index, this._usage, this._queue, this._groupStore, this._admission)
    this._runningWork = new RunningWork(_clock, this._ledger, this._usage, this._queue, chooser, victimSelector)
    const forecast = new CapacityForecast(this._ledger, () => this._runningWork.turnoverPerMs())
    this._groupPlacer = new GroupPlacer(this._groupStore, this._ledger, this._usage, chooser, forecast)
    this._loop = new DecisionLoop({
      clock: _clock,
      ledger: this._ledger,
      usage: this._usage,
      queue: this._queue,
      admission: this._admission,
      estimates: this._estimates,
      chooser,
      health: this._health,
      accelerators: this._accelerators,
      giveUpFinder: new GiveUpFinder(this._queue, this._groupStore, this._admission, this._ledger),
      victimSelector,
      runningWork: this._runningWork,
      groupStore: this._groupStore,
      groupPlacer: this._groupPlacer,
      priorRate: (queue) => this._report.priorRate(queue)
    })
  }

  public hostChanged (host: LedgerHost): void {
    this._index.update(host, host.config.accepting && !this._health.isOnProbation(host.hostId))
  }

  public hostRemoved (host: LedgerHost): void {
    this._index.remove(host)
    this._groupStore.releaseHost(host)
  }

  public putHost (host: IEngineHost): void {
    this._health.addHost(host.hostId)
    const known = this._ledger.host(host.hostId)
    if (known !== undefined) this._index.remove(known)
    this._ledger.putHost(host)
    if (known !== undefined && !host.accepting) this._groupStore.releaseHost(known)
    this._loop.onCapacityFreed()
  }

  public removeHost (hostId: string): readonly string[] {
    const lost = this._runningWork.removeHost(hostId)
    this._health.removeHost(hostId)
    for (const { item } of lost) this._loop.onItemEnded(item.id)
    this._loop.onCapacityFreed()
    return lost.map((running) => running.item.id)
  }

  public adopt (item: IWorkItem, hostId: string): void {
    const host = this._ledger.host(hostId)
    if (host === undefined || this._ledger.runningItem(item.id) !== undefined) return
    const need = item.resources
    this._runningWork.start({ item, need, queue: this._queue.profileFor(item.profile), costMs: this._estimates.costMs(item, need) }, host)
  }

  public admit (item: IWorkItem): AdmitDecision {
    const impossible = this._refuseImpossible([item])
    if (impossible !== undefined) return impossible
    const queue = this._queue.profileFor(item.profile)
    const need = this._estimates.expectedUsage(item)
    const costMs = this._estimates.costMs(item, need)
    const latestStartAtMs = this._estimates.latestStartAtMs(item)
    const slackMs = latestStartAtMs - this._clock.nowMs()
    const totalQueued = this._report.queuedCount()
    const decision = this._admission.decide({ item, queue, costMs, slackMs, totalQueued, priorRate: this._report.priorRate(queue) })
    if (!decision.admitted) return decision
    this._queue.add({ item, need, lane: laneOf(item, need, this._estimates.isLongRunning(item)), costMs, latestStartAtMs })
    this._admission.recordQueued(queue)
    this._loop.onWorkAdded()
    return decision
  }

  public admitGroup (groupId: string, items: readonly IWorkItem[]): AdmitDecision {
    const impossible = this._refuseImpossible(items)
    if (impossible !== undefined) return impossible
    if (!this._feasibility.check().couldHoldAll(items.map((item) => item.resources))) {
      return this._admission.refuse('infeasible', 'the hosts could not hold all of its tasks at once')
    }
    const expiresAtMs = items.reduce((earliest, item) => Math.min(earliest, this._estimates.latestStartAtMs(item)), Infinity)
    const tasks = this._tasksOf(items)
    this._loop.addGroup(groupId, tasks, expiresAtMs, true)
    const share = tasks.reduce((sum, { need }) => sum + this._ledger.shareOf(need), 0)
    return { admitted: true, expectedWaitMs: share / this._runningWork.turnoverPerMs() }
  }

  public cancel (itemId: string): 'queued' | 'running' | 'absent' {
    if (this._ledger.runningItem(itemId) !== undefined) return 'running'
    const entry = this._queue.remove(itemId)
    if (entry !== undefined) {
      this._admission.recordDequeued(entry.queue, 0)
      return 'queued'
    }
    if (!this._groupStore.cancelItem(itemId)) return 'absent'
    this._loop.onCapacityFreed()
    return 'queued'
  }

  public next (): EngineDecision | undefined {
    return this._loop.next()
  }

  public nextWakeAtMs (): MonotonicMs {
    return this._loop.nextWakeAtMs()
  }

  public recordEnd (itemId: string, end: AttemptEnd, serviceMs: number): void {
    const running = this._runningWork.end(itemId, serviceMs)
    if (running === undefined) return
    const { item, host } = running
    if (end === 'succeeded') this._estimates.recordRun(item, serviceMs)
    if (this._health.recordEnd(host.hostId, item, end, this._clock.nowMs())) {
      this.hostChanged(host)
      this._groupStore.releaseHost(host)
    }
    this._loop.onItemEnded(itemId)
  }

  public reportUsage (itemId: string, usage: IResources): void {
    const report = this._runningWork.reportUsage(itemId, usage)
    if (report === undefined) return
    this._estimates.recordUsage(report.item, usage)
    if (report.hasFreedCapacity) this._loop.onCapacityFreed()
  }

  public reserve (groupId: string, items: readonly IWorkItem[], expiresAtMs: MonotonicMs): readonly string[] {
    this.dropReservation(groupId)
    if (this._refuseImpossible(items) !== undefined) return []
    this._loop.addGroup(groupId, this._tasksOf(items), expiresAtMs, false)
    this._loop.advanceGroups()
    return this.reservedIds(groupId)
  }

  public reservedIds (groupId: string): readonly string[] {
    const group = this._groupStore.group(groupId)
    return group === undefined || group.expiresAtMs <= this._clock.nowMs() ? [] : this._groupStore.readyIds(group)
  }

  public startReserved (groupId: string): readonly { readonly item: IWorkItem, readonly hostId: string }[] | undefined {
    const group = this._groupStore.group(groupId)
    if (group === undefined || group.expiresAtMs <= this._clock.nowMs() || !this._groupStore.isReady(group)) return undefined
    return this._loop.startGroup(group).map(({ item, host }) => ({ item, hostId: host.hostId }))
  }

  public dropReservation (groupId: string): void {
    if (this._groupStore.remove(groupId) !== undefined) this._loop.onCapacityFreed()
  }

  public putTeam (team: ITeamConfig): void {
    this._usage.putTeam(team)
    this._loop.onCapacityFreed()
  }

  public load (): IEngineLoad {
    return this._report.load()
  }

  public dump (): Readonly<Record<string, unknown>> {
    return {
      ...this._report.dump(),
      onProbation: this._health.hostsOnProbation().slice(0, MAX_DUMPED),
      groups: this._groupStore.groupCount,
      gathering: this._groupPlacer.gathering?.groupId,
      servicesLearnt: this._estimates.serviceCount
    }
  }

  private _isScarce (): boolean {
    const { capacity, used } = this._ledger
    return capacity.cores - used.cores <= HEADROOM_SHARE * capacity.cores
  }

  /** Whether the id is queued or running. An id admitted twice would be placed twice, and the end of one run would be taken for the end of both. */
  private _isKnown (itemId: string): boolean {
    return this._queue.has(itemId) || this._groupStore.has(itemId) || this._ledger.runningItem(itemId) !== undefined
  }

  private _tasksOf (items: readonly IWorkItem[]): IGroupTask[] {
    return items.map((item) => ({ item, need: this._estimates.expectedUsage(item) }))
  }

  private _refuseImpossible (items: readonly IWorkItem[]): AdmitDecision | undefined {
    if (items.some((item) => item.resources.accelerators > 0)) this._accelerators.recordArrival()
    if (this._ledger.hostCount === 0) return this._admission.refuse('noUpstream', 'no host is known')
    const known = items.find((item) => this._isKnown(item.id))
    if (known !== undefined) return this._admission.refuse('duplicate', `${known.id} is queued or runs already`)
    const tooLarge = items.find((item) => !this._ledger.isFeasible(item.resources))
    if (tooLarge !== undefined) return this._admission.refuse('infeasible', `no accepting host is large enough for ${tooLarge.id}`)
    if (!this._usage.couldEverFitQuota(items)) return this._admission.refuse('quota', 'larger than the quota of its team')
    return undefined
  }
}

/**
 * The lane of an item: its team and its shape, which has two levels per octave of cores and of memory, and the exact
 * number of accelerators. The shape also contains the priority class, whether the item runs long and which hosts it
 * avoids, because what blocks other work of the same size may not block these items.
 */
function laneOf (item: IWorkItem, need: IResources, isLong: boolean): ILaneKey {
  const avoided = item.avoidHostIds?.join() ?? ''
  const rank = classRank(item.profile.priorityClass)
  return { shape: `${rank}${isLong ? 'long' : ''}/${coreLevel(need.cores)}/${memoryLevel(need.memoryBytes)}/${need.accelerators}/${avoided}`, team: item.team }
}
