/**
 * A simulated cell under a burst of jobs of several workspaces, with faults that are drawn from a seed: it looks for steps that could run
 * and don't. Whether a step could run is judged by the hosts and by the answers of the advice service, and not by what the owner knows.
 */

import { WorkspaceShareOrder } from '../../src/common/cell/JobOrder.js'
import { hash32 } from '../../src/common/membership/Hash.js'
import { SeededRandom } from '../../src/common/Random.js'
import { taskKey } from './SimulatedHost.js'
import { SimulatedCell } from './SimulatedCell.js'

import type { Job, QueueTerms, Step } from '../../src/common/cell/Job.js'
import type { IAdviceRequest, IRunRef, IStepSpec, IWorkspace } from '../../src/common/cell/Types.js'
import type { SimulatedHost } from './SimulatedHost.js'

export interface IIdleStep {
  readonly job: Job
  readonly step: Step
  readonly idleMs: number
}

interface IArrival {
  readonly atMs: number
  readonly steps: readonly Partial<IStepSpec>[]
  readonly queue: QueueTerms
  readonly workspace: string
  readonly isImpossible: boolean
}

interface IEvent {
  readonly atMs: number
  /** How long its effects may last. */
  readonly lastsMs: number
  apply (): void
}

const GANGS: QueueTerms = {
  name: 'gangs', service: 'pool', priority: 1, maxAttempts: 4, stretch: 3, targetMs: 4000, advice: { baseMs: 340, perHostMs: 4.9, validMs: 1500 }
}
const BATCH: QueueTerms = {
  name: 'batch', service: 'pool', priority: 2, maxAttempts: 4, stretch: 4, targetMs: 8000, advice: { baseMs: 130, perHostMs: 1.8, validMs: 1500 }
}
const URGENT: QueueTerms = {
  name: 'urgent', service: 'pool', priority: 0, maxAttempts: 4, stretch: 1.5, targetMs: 500, advice: { baseMs: 7, perHostMs: 0.1, validMs: 1500 }
}
/** The share of the hosts that the advice service allows, in percent. */
const ALLOWED_PERCENT: Readonly<Record<string, number>> = { gangs: 25, batch: 45, urgent: 70 }
const TICKET_VALID_MS = 1500
const HOST_MILLICORES = 64_000
const HOST_MEMORY_MB = 256_000
const RARE_LABEL = 'rare'
const WORKSPACES = 6
/** How long the effects of a fault last: until all leases of lost hosts and of earlier owners have ended, after other faults for some calls. */
const LEASES_LAPSE_MS = 9500
const RECOVERY_MS = 2000
/** One task in so many takes this many times as long as the others of its step. */
const STRAGGLER_ONE_IN = 100
const STRAGGLER_FACTOR = 7
const CHECK_INTERVAL_MS = 200
/** The share of the hosts' room and of a workspace's limit below which a step that could run is expected to run. */
const HALF = 0.5

export class BurstCell {
  public readonly cell: SimulatedCell
  public readonly faults: string[] = []
  /** The longest time for which a step had nothing running although it could run. */
  public longestIdle: IIdleStep | undefined
  /** When the traffic and all faults have ended. */
  public readonly calmAtMs: number
  private readonly _random: SeededRandom
  private readonly _ids: string[] = []
  private readonly _allowedNowhere = new Set<string>()
  private readonly _workMs = new Map<string, number>()
  private readonly _isGang = new Map<string, boolean>()
  private readonly _idleSinceMs = new Map<string, number>()
  private readonly _arrivals: IArrival[]
  private readonly _events: IEvent[]
  private readonly _trafficMs: number
  private readonly _limits: ReadonlyMap<string, number>

  public constructor (private readonly _seed: number, private readonly _onIdle: (idle: IIdleStep) => void = () => {}) {
    this._random = new SeededRandom(hash32(String(_seed)))
    const hosts = this._between(40, 80)
    const hasSpeeds = this._chance(0.4)
    const rareHost = this._between(0, hosts - 1)
    const machines = this._between(4, 12)
    this.cell = new SimulatedCell({
      hosts,
      host: {
        cpuMillicores: HOST_MILLICORES,
        memoryMb: HOST_MEMORY_MB,
        workMs: (ref) => this._workOf(ref),
        // The members of a gang wait for each other, so the speed of a single host hardly counts.
        rateOf: (ref, rate) => this._isGang.get(`${ref.jobId}.${ref.step}`) === true && rate > 0 ? 1 : rate
      },
      hostOf: (number) => ({ labels: number === rareHost ? [RARE_LABEL] : [] }),
      order: new WorkspaceShareOrder(),
      adviceMachines: machines,
      isAdviceSerial: true,
      hasAdviceTimeouts: true,
      ticketValidMs: TICKET_VALID_MS,
      adviceReplyDelayMs: this._pick([5, 20, 60]),
      saveMs: this._pick([10, 30, 80]),
      holdMs: this._pick([0, 400, 800]),
      adviceMs: ({ jobId, hostIds }) => this._adviceMs(jobId, hostIds.length),
      allows: (hostId, request) => this._allows(hostId, request)
    })
    if (hasSpeeds) this.cell.hosts.forEach((host, number) => { host.speed = [0.6, 1, 1.6][number % 3] ?? 1 })
    this.cell.passIntervalMs = this._pick([0, 0, 50, 200])
    this._limits = new Map(Array.from({ length: WORKSPACES }, (_, number) =>
      [`workspace-${number}`, hosts * HOST_MILLICORES * this._real(0.12, 0.4)]))
    this._applyLimits(1)
    this._trafficMs = this._between(6000, 14_000)
    this._arrivals = this._drawArrivals(hosts)
    this._events = this._drawFaults(hosts, machines, rareHost).sort((a, b) => a.atMs - b.atMs)
    this.calmAtMs = Math.max(this._trafficMs, ...this._events.map(({ atMs, lastsMs }) => atMs + lastsMs))
  }

  /** Runs the traffic, and after the faults have ended, for some time more. */
  public async run (afterwardsMs: number): Promise<void> {
    const { cell } = this
    const endMs = this.calmAtMs + afterwardsMs
    while (cell.clock.nowMs() < endMs) {
      await cell.run(10)
      const nowMs = cell.clock.nowMs()
      while ((this._arrivals[0]?.atMs ?? Infinity) <= nowMs) this._submit(this._arrivals.shift())
      while ((this._events[0]?.atMs ?? Infinity) <= nowMs) this._events.shift()?.apply()
      if (nowMs < this.calmAtMs || nowMs % CHECK_INTERVAL_MS !== 0) continue
      this._check(nowMs)
      if (this.unfinished().length === 0) return
    }
  }

  /** The accepted jobs that can run and aren't finished. */
  public unfinished (): readonly Job[] {
    return this._jobs().filter((job) => !job.isFinished && job.steps.every((step) => step.isDone || this._couldEverRun(step)))
  }

  public allowedHosts (step: Step): readonly SimulatedHost[] {
    const { spec, job } = step
    const request = { jobId: job.spec.jobId, step: step.number, hostIds: [] }
    return this._liveHosts().filter((host) => this._allows(host.options.hostId, request) &&
      (spec.requiredLabel === '' || host.entry.labels.includes(spec.requiredLabel)))
  }

  /** The share of the hosts' processors in use, by what runs there. */
  public usedShare (): number {
    const hosts = this._liveHosts()
    return hosts.reduce((sum, host) => sum + this._usedOn(host).cpuMillicores, 0) / (hosts.length * HOST_MILLICORES)
  }

  /** The share of its limit that the workspace uses, by what runs on the hosts. */
  public usedShareOf (workspace: string): number {
    let used = 0
    for (const host of this._liveHosts()) {
      for (const { ref } of host.running.values()) if (this.cell.job(ref.jobId).workspace === workspace) used += this._specOf(ref).cpuMillicores
    }
    return used / (this._limits.get(workspace) ?? Infinity)
  }

  private _jobs (): readonly Job[] {
    return this._ids.map((id) => this.cell.job(id))
  }

  private _check (nowMs: number): void {
    const isRoomy = this.usedShare() < HALF
    const running = new Set(this._liveHosts().flatMap((host) => [...host.running.values()].map(({ ref }) => `${ref.jobId}.${ref.step}`)))
    for (const job of this._jobs()) {
      if (job.isFinished) continue
      for (const step of job.steps) {
        const key = `${job.spec.jobId}.${step.number}`
        const isIdle = isRoomy && step.isReady && !step.isDone && !running.has(key) && this._couldRunNow(step)
        if (isIdle) this._recordIdle(key, step, nowMs)
        else this._idleSinceMs.delete(key)
      }
    }
  }

  private _recordIdle (key: string, step: Step, nowMs: number): void {
    const sinceMs = this._idleSinceMs.get(key) ?? nowMs
    this._idleSinceMs.set(key, sinceMs)
    const idle = { job: step.job, step, idleMs: nowMs - sinceMs }
    if (idle.idleMs > (this.longestIdle?.idleMs ?? -1)) this.longestIdle = idle
    this._onIdle(idle)
  }

  /** Whether the room that is free on the allowed hosts and within the limit suffices. */
  private _couldRunNow (step: Step): boolean {
    const { spec, job } = step
    const needed = spec.gang ? spec.count : 1
    const limit = this._limits.get(job.workspace) ?? Infinity
    const share = this.usedShareOf(job.workspace)
    if (share >= HALF || (1 - share) * limit < needed * spec.cpuMillicores) return false
    return this._countPlaces(step, (host) => this._usedOn(host)) >= needed
  }

  private _couldEverRun (step: Step): boolean {
    const { spec, job } = step
    const needed = spec.gang ? spec.count : 1
    if ((this._limits.get(job.workspace) ?? Infinity) < needed * spec.cpuMillicores) return false
    return this._countPlaces(step, () => ({ cpuMillicores: 0, memoryMb: 0 })) >= needed
  }

  private _countPlaces (step: Step, usedOn: (host: SimulatedHost) => { readonly cpuMillicores: number, readonly memoryMb: number }): number {
    const { spec, job } = step
    // Only the most urgent work and gangs may use the whole host.
    const usableMillicores = HOST_MILLICORES * (spec.gang || job.queue.priority === 0 ? 1 : 0.9)
    let places = 0
    for (const host of this.allowedHosts(step)) {
      const used = usedOn(host)
      const byCpu = (usableMillicores - used.cpuMillicores) / spec.cpuMillicores
      const free = Math.floor(Math.min(byCpu, (HOST_MEMORY_MB - used.memoryMb) / spec.memoryMb))
      places += Math.max(0, spec.maxPerHost === 0 ? free : Math.min(free, spec.maxPerHost))
    }
    return places
  }

  private _usedOn (host: SimulatedHost): { cpuMillicores: number, memoryMb: number } {
    const used = { cpuMillicores: 0, memoryMb: 0 }
    for (const { ref } of host.running.values()) {
      used.cpuMillicores += this._specOf(ref).cpuMillicores
      used.memoryMb += this._specOf(ref).memoryMb
    }
    return used
  }

  private _specOf ({ jobId, step }: IRunRef): IStepSpec {
    const spec = this.cell.job(jobId).steps[step]?.spec
    if (spec === undefined) throw new Error(`no step ${step} in job ${jobId}`)
    return spec
  }

  private _liveHosts (): readonly SimulatedHost[] {
    return this.cell.hosts.filter((host) => host.isListed && !host.isSilent && !host.isDraining)
  }

  private _allows (hostId: string, { jobId, step }: IAdviceRequest): boolean {
    if (this._allowedNowhere.has(jobId)) return false
    return hash32(`${this._seed} ${jobId}.${step} ${hostId}`) % 100 < (ALLOWED_PERCENT[this.cell.job(jobId).queue.name] ?? 100)
  }

  private _adviceMs (jobId: string, hosts: number): number {
    const terms = this.cell.job(jobId).queue.advice
    return terms === undefined ? 0 : Math.round(terms.baseMs + terms.perHostMs * hosts)
  }

  private _workOf (ref: IRunRef): number {
    const step = `${ref.jobId}.${ref.step}`
    const isStraggler = this._isGang.get(step) !== true && hash32(`${this._seed} ${taskKey(ref)}.${ref.run}`) % STRAGGLER_ONE_IN === 0
    return (this._workMs.get(step) ?? 1000) * (isStraggler ? STRAGGLER_FACTOR : 1)
  }

  private _submit (arrival: IArrival | undefined): void {
    if (arrival === undefined) return
    const job = this.cell.createJob(arrival.steps, arrival.queue, arrival.workspace)
    const { jobId } = job.spec
    job.isBeyondWorkShare = arrival.workspace === 'workspace-0' && this._chance(0.6)
    for (const step of job.steps) {
      this._workMs.set(`${jobId}.${step.number}`, Math.round(step.spec.estimateMs * this._real(0.5, 1.5)))
      this._isGang.set(`${jobId}.${step.number}`, step.spec.gang)
    }
    if (arrival.isImpossible) this._allowedNowhere.add(jobId)
    this._ids.push(jobId)
    this.cell.accept(job)
  }

  private _drawArrivals (hosts: number): IArrival[] {
    const arrivals: IArrival[] = []
    let leftCoreMs = hosts * HOST_MILLICORES * this._trafficMs * this._real(0.5, 2)
    // Half of the traffic arrives within a sixth of the time.
    while (leftCoreMs > 0) {
      const atMs = this._chance(0.5) ? this._real(0, this._trafficMs / 6) : this._real(0, this._trafficMs)
      const kind = this._real(0, 1)
      const drawn = kind < 0.15 ? this._drawGang(hosts) : kind < 0.5 ? this._drawBatch(hosts) : this._drawUrgent()
      const workspace = `workspace-${this._chance(0.5) ? 0 : this._between(1, WORKSPACES - 1)}`
      const isLabelled = this._chance(0.01)
      const steps = isLabelled ? drawn.steps.map((step) => ({ ...step, requiredLabel: RARE_LABEL })) : drawn.steps
      arrivals.push({ atMs, steps, queue: drawn.queue, workspace, isImpossible: this._chance(0.02) })
      for (const { count = 1, cpuMillicores = 0, estimateMs = 0 } of steps) leftCoreMs -= count * cpuMillicores * estimateMs
    }
    return arrivals.sort((a, b) => a.atMs - b.atMs)
  }

  private _drawGang (hosts: number): { steps: readonly Partial<IStepSpec>[], queue: QueueTerms } {
    const count = this._between(4, Math.max(5, Math.floor(hosts * this._pick([0.3, 0.5, 0.7]))))
    return { steps: [this._step(count, this._between(15_000, 20_000), this._between(1200, 4000), { gang: true })], queue: GANGS }
  }

  private _drawBatch (hosts: number): { steps: readonly Partial<IStepSpec>[], queue: QueueTerms } {
    const gang = this._chance(0.25)
    const maxPerHost = this._chance(0.3) ? this._between(1, 4) : 0
    const steps = Array.from({ length: this._between(1, 3) }, (_, number) => this._step(
      this._between(5, gang ? hosts / 2 : hosts), this._between(6000, 8500), this._between(800, 3500),
      { after: number === 0 ? [] : [number - 1], maxPerHost, gang: gang && maxPerHost === 0 && this._chance(0.7) }))
    return { steps, queue: BATCH }
  }

  private _drawUrgent (): { steps: readonly Partial<IStepSpec>[], queue: QueueTerms } {
    return { steps: [this._step(this._between(1, 6), this._between(500, 2500), this._between(80, 500), { gang: this._chance(0.3) })], queue: URGENT }
  }

  private _step (count: number, cpuMillicores: number, estimateMs: number, further: Partial<IStepSpec>): Partial<IStepSpec> {
    return { count, cpuMillicores, memoryMb: Math.round(cpuMillicores * this._real(1.2, 1.8)), estimateMs, ...further }
  }

  private _drawFaults (hosts: number, machines: number, rareHost: number): IEvent[] {
    const events: IEvent[] = []
    const add = (atMs: number, name: string, apply: () => void, lastsMs = RECOVERY_MS): void => {
      events.push({
        atMs,
        lastsMs,
        apply: () => {
          this.faults.push(`${Math.round(atMs)} ${name}`)
          apply()
        }
      })
    }
    /** Adds a fault that ends after some time. */
    const addSpan = (name: string, maxMs: number, begin: () => void, end: () => void): void => {
      const atMs = this._faultAtMs()
      add(atMs, name, begin)
      add(atMs + this._real(300, maxMs), `${name} ends`, end)
    }
    const { cell } = this
    for (let left = this._between(0, 4); left > 0; left -= 1) add(this._faultAtMs(), 'takeover', () => { cell.takeOver() }, LEASES_LAPSE_MS)
    if (this._chance(0.7)) add(this._faultAtMs(), 'rare host lost', () => { this._lose(cell.host(rareHost)) }, LEASES_LAPSE_MS)
    for (let left = this._chance(0.6) ? this._between(1, 6) : 0; left > 0; left -= 1) this._addLostHost(add, hosts)
    for (let left = this._chance(0.6) ? this._between(1, 12) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      addSpan(`silent ${host.options.hostId}`, 8000, () => { host.isSilent = true }, () => { host.isSilent = !host.isListed })
    }
    for (let left = this._chance(0.5) ? this._between(1, 5) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      add(this._faultAtMs(), `restart ${host.options.hostId}`, () => { host.restart() })
    }
    for (let left = this._chance(0.4) ? this._between(1, 5) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      addSpan(`drain ${host.options.hostId}`, 8000, () => { host.isDraining = true }, () => { host.isDraining = this._chance(0.3) })
    }
    for (let left = this._chance(0.5) ? this._between(1, 8) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      const { speed } = host
      addSpan(`slow ${host.options.hostId}`, 8000, () => { host.speed = speed / 6 }, () => { host.speed = speed })
    }
    for (let left = this._chance(0.4) ? this._between(1, 5) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      addSpan(`hanging ${host.options.hostId}`, 5000, () => { host.isHanging = true }, () => { host.isHanging = false })
    }
    for (let left = this._chance(0.5) ? this._between(1, 6) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      addSpan(`starts refused ${host.options.hostId}`, 4000, () => { host.refusesStarts = true }, () => { host.refusesStarts = false })
    }
    for (let left = this._chance(0.5) ? this._between(1, 6) : 0; left > 0; left -= 1) {
      const host = cell.host(this._between(0, hosts - 1))
      addSpan(`starts late ${host.options.hostId}`, 2500, () => { host.losesStarts = true }, () => {
        host.losesStarts = false
        host.executeLateStarts()
      })
    }
    for (let left = this._chance(0.6) ? this._between(1, machines) : 0; left > 0; left -= 1) {
      const name = `machine-${this._between(0, machines - 1)}`
      if (this._chance(0.5)) addSpan(`gone ${name}`, 8000, () => { cell.goneMachines.add(name) }, () => { cell.goneMachines.delete(name) })
      else addSpan(`busy ${name}`, 5000, () => { cell.busyMachines.add(name) }, () => { cell.busyMachines.delete(name) })
    }
    for (let left = this._between(0, 3); left > 0; left -= 1) {
      const delayMs = this._between(200, 1600)
      addSpan(`advice late ${delayMs}`, 4000, () => { cell.adviceDelayMs = delayMs }, () => { cell.adviceDelayMs = 0 })
    }
    for (let left = this._between(0, 2); left > 0; left -= 1) {
      const delayMs = this._between(200, 1800)
      addSpan(`orders late ${delayMs}`, 4000, () => { cell.orderDelayMs = delayMs }, () => { cell.orderDelayMs = 0 })
    }
    for (let left = this._between(0, 2); left > 0; left -= 1) addSpan('store down', 5000, () => { cell.isStoreDown = true }, () => { cell.isStoreDown = false })
    if (this._chance(0.4)) addSpan('limits lowered', 6000, () => { this._applyLimits(this._real(0.1, 0.6)) }, () => { this._applyLimits(1) })
    if (this._chance(0.4)) addSpan('slow owner', 6000, () => { cell.passIntervalMs = 700 }, () => { cell.passIntervalMs = 0 })
    for (let left = this._chance(0.5) ? this._between(1, 20) : 0; left > 0; left -= 1) add(this._faultAtMs(), 'cancel', () => { this._cancelOne() })
    return events
  }

  private _addLostHost (add: (atMs: number, name: string, apply: () => void, lastsMs?: number) => void, hosts: number): void {
    const host = this.cell.host(this._between(0, hosts - 1))
    const atMs = this._faultAtMs()
    add(atMs, `silent for good ${host.options.hostId}`, () => { host.isSilent = true })
    add(atMs + this._real(500, 4000), `unlisted ${host.options.hostId}`, () => { this._lose(host) }, LEASES_LAPSE_MS)
  }

  private _lose (host: SimulatedHost): void {
    host.isSilent = true
    host.isListed = false
  }

  private _cancelOne (): void {
    const open = this._jobs().filter((job) => !job.isFinished)
    const job = open[this._between(0, Math.max(0, open.length - 1))]
    if (job !== undefined) this.cell.cancel(job)
  }

  private _applyLimits (factor: number): void {
    const rows: IWorkspace[] = [...this._limits].map(([name, limit]) =>
      ({ name, keyDigests: [], weight: 1, maximum: { cpuMillicores: Math.round(limit * factor), memoryMb: 0, accelerators: 0 } }))
    this.cell.configure(rows)
  }

  private _faultAtMs (): number {
    return this._real(500, this._trafficMs)
  }

  private _real (least: number, most: number): number {
    return least + this._random.next() * (most - least)
  }

  private _between (least: number, most: number): number {
    return Math.floor(this._real(least, most + 1))
  }

  private _chance (share: number): boolean {
    return this._random.next() < share
  }

  private _pick<T> (values: readonly T[]): T {
    const value = values[Math.floor(this._random.next() * values.length)]
    if (value === undefined) throw new Error('nothing to pick from')
    return value
  }
}
