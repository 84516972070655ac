/**
 * The owner's decisions: which job is taken, what runs next and where, what is stopped. Free of input and output; what
 * it wants done goes through its effects.
 */

import type { ILogger } from '../observability/Types.js'
import type { ChartTable } from '../state/ChartTable.js'
import type { IClock, MonotonicMs } from '../Types.js'
import { AdviceSeeker, expectedAdviceMs } from './AdviceSeeker.js'
import type { IAdviceEffects } from './AdviceSeeker.js'
import { Attempt } from './Attempt.js'
import { GangRoom } from './GangRoom.js'
import { HoldReader } from './HoldReader.js'
import { HostSpeeds } from './HostSpeeds.js'
import { HostState } from './HostState.js'
import type { Job, Step } from './Job.js'
import type { IRecordedRun } from './JobRecord.js'
import { planGang, planTasks, urgentHeadroom } from './Placement.js'
import type { IPlacement, IPlacementView } from './Placement.js'
import { plus } from './Room.js'
import { RunController } from './RunController.js'
import type { IRunEffects } from './RunController.js'
import { StalledRuns } from './StalledRuns.js'
import type { IHoldAnswer, IHostEntry, IRunRef, StopOutcome } from './Types.js'

export interface ICellEffects extends Omit<IRunEffects, 'noteChange' | 'requestTickets' | 'noteStarted'>, IAdviceEffects {
  stopUnknown (host: IHostEntry, ref: IRunRef): Promise<StopOutcome>
}

export interface ICellSchedulerOptions {
  readonly farFactor: number
  /** When leases that an earlier owner may have given have surely ended, by the monotonic clock. */
  readonly inheritedUntilMs: MonotonicMs
}

/**
 * Of its estimate a gang is taken to need at least this share: one that can't make its objective any more even so goes behind those that can,
 * since the room that it takes would make the next ones late as well.
 */
const LEAST_OF_ESTIMATE = 0.8
/** A job that has waited for so long is not passed by any longer, in ms: callers of late work want it done all the same. */
const PASSED_BY_FOR_MS = 60_000
/** Of the time to its objective, a job waits for this share behind gangs that are late. */
const PRESSED_SHARE = 0.5

/** A waiting gang's tickets are asked for again so long before the service's answer is needed, in ms. */
const ADVICE_AHEAD_MS = 300

export class CellScheduler {
  public readonly jobs = new Map<string, Job>()
  public readonly hosts = new Map<string, HostState>()
  private readonly _open = new Set<Job>()
  private readonly _speeds = new HostSpeeds()
  private readonly _runs: RunController
  private readonly _reader: HoldReader
  private readonly _advice: AdviceSeeker
  private readonly _stalled: StalledRuns
  private _gangRoom: GangRoom | undefined

  public constructor (
    private readonly _effects: ICellEffects,
    private readonly _options: ICellSchedulerOptions,
    private readonly _chart: ChartTable,
    private readonly _clock: IClock,
    private readonly _log: ILogger
  ) {
    const noteChange = (): void => { _effects.requestPass() }
    this._runs = new RunController({
      save: async (job) => { await _effects.save(job) },
      start: async (host, order) => await _effects.start(host, order),
      stop: async (host, ref) => await _effects.stop(host, ref),
      noteFenced: (hostId) => { _effects.noteFenced(hostId) },
      requestTickets: (step) => { this._requestTickets(step) },
      noteStarted: (job, waitedMs) => {
        _effects.count('starts', job.queue.name)
        _effects.noteTime('wait_for_start', waitedMs)
      },
      noteChange
    }, _chart, _clock, _log)
    this._reader = new HoldReader(this._runs, this._speeds, {
      save: async (job) => { await _effects.save(job) },
      count: (name, kind) => { _effects.count(name, kind) },
      stopUnknown: async (host, ref) => await _effects.stopUnknown(host.entry, ref)
    }, _clock, _log)
    this._advice = new AdviceSeeker(this.hosts, _effects, _clock, _log)
    this._stalled = new StalledRuns(this._runs, _clock, _log)
  }

  /** Takes over a job as an earlier owner left it, with the runs that may exist. */
  public restore (job: Job, runs: readonly IRecordedRun[], hostOf: (hostId: string, bornMs: number) => HostState): void {
    job.acceptance = 'stored'
    this.jobs.set(job.spec.jobId, job)
    if (!job.isFinished) this._open.add(job)
    for (const recorded of runs) {
      const task = job.steps[recorded.step]?.tasks[recorded.index]
      if (task === undefined) continue
      const host = hostOf(recorded.hostId, recorded.bornMs)
      const attempt = new Attempt(task, recorded.run, host, this._chart, this._clock.nowMs(), 'recovering')
      task.attempt = attempt
      host.take(attempt)
    }
  }

  /**
   * Takes room for a job that is on its way to the store, and records its first runs with it; nothing of it is ordered before both are
   * stored. One write after the other would take twice as long, with a slow store a good part of the time that an urgent job has.
   */
  public consider (job: Job): void {
    this._open.add(job)
    this._effects.requestPass()
  }

  /** The job is stored. */
  public admit (job: Job): void {
    job.acceptance = 'stored'
    this.jobs.set(job.spec.jobId, job)
    this._open.add(job)
    this._effects.requestPass()
  }

  /** The job is not stored: the room taken for it is free again. */
  public withdraw (job: Job): void {
    job.phase = 'cancelled'
    this.stopJob(job)
  }

  /** The job's caller wants it no more, and the store has it so. */
  public stopJob (job: Job): void {
    this._open.delete(job)
    this._runs.stopAll(job)
    this._effects.requestPass()
  }

  public addHost (entry: IHostEntry): HostState {
    const known = this.hosts.get(entry.hostId)
    if (known !== undefined) {
      known.entry = entry
      return known
    }
    const host = new HostState(entry, this._options.inheritedUntilMs)
    this.hosts.set(entry.hostId, host)
    return host
  }

  public readHold (host: HostState, answer: IHoldAnswer, sentAtMs: MonotonicMs): void {
    this._reader.read(host, answer, sentAtMs)
    this._effects.requestPass()
  }

  /** A host that has been silent for longer than any lease; gives whether nothing is left to wait for. */
  public noteSilence (host: HostState): boolean {
    if (!host.hasLapsed(this._clock.nowMs())) return false
    if (host.attempts.size > 0) this._reader.noteLapsed(host)
    return host.attempts.size === 0
  }

  /** How many accepted jobs of the queue have not begun. */
  public waiting (queue: string): number {
    let count = 0
    for (const job of this._open) if (job.acceptance === 'stored' && job.queue.name === queue && !job.hasStarted) count += 1
    return count
  }

  /**
   * Looks for runs that stand still, and asks again for stops that had no answer and for tickets that weren't to be had; to
   * be called about twice a second.
   */
  public sweep (): void {
    const preparing = new Set<Step>()
    for (const host of this.hosts.values()) {
      for (const attempt of [...host.attempts]) {
        if (attempt.phase === 'stopping') this._runs.stop(attempt)
        if (attempt.phase === 'preparing') preparing.add(attempt.task.step)
      }
      this._stalled.look(host)
    }
    for (const step of preparing) this._runs.orderReady(step)
    this._advice.pump()
    this._effects.requestPass()
  }

  /** Places what can be placed now, the most urgent first. */
  public pass (): void {
    const nowMs = this._clock.nowMs()
    const gangRoom = new GangRoom(this.hosts.values())
    const view: IPlacementView = {
      nowMs,
      hosts: this.hosts,
      farFactor: this._options.farFactor,
      tooSlow: this._speeds.tooSlow(this.hosts.values()),
      headroom: (host, step) => plus(urgentHeadroom(host, step), gangRoom.heldOn(host, isPressed(step, nowMs))),
      // By the look before this one: urgent work is placed first, before this one knows which gangs have to wait.
      isHeld: (host) => this._gangRoom?.isHeld(host) === true
    }
    for (const step of this._readySteps(nowMs)) {
      const advice = this._advice.adviceOf(step)
      if (step.job.queue.advice !== undefined && !advice.isKnown) continue
      if (!step.spec.gang) this._placeTasks(step, view)
      else if (!this._placeGang(step, view)) this._reserve(step, gangRoom, view)
    }
    this._gangRoom = gangRoom
  }

  /** Values of the moment, for the metrics. */
  public gauges (): Readonly<Record<string, number>> {
    let runs = 0
    let usedCpu = 0
    let cpu = 0
    for (const host of this.hosts.values()) {
      runs += host.attempts.size
      usedCpu += host.usedCpu
      cpu += host.entry.cpuMillicores
    }
    const jobs = { jobs: this.jobs.size, jobs_open: this._open.size, advice_waiting: this._advice.waitingCount }
    return { ...jobs, hosts: this.hosts.size, runs, used_millicores: usedCpu, host_millicores: cpu }
  }

  public dispose (): void {
    this._advice.dispose()
  }

  private _readySteps (nowMs: MonotonicMs): readonly Step[] {
    const steps: Step[] = []
    for (const job of this._open) {
      if (job.isFinished) {
        this._open.delete(job)
        continue
      }
      for (const step of job.steps) {
        if (!step.isDone && step.isReady && step.tasks.some((task) => task.isIdle)) steps.push(step)
      }
    }
    return steps.sort((a, b) => a.job.queue.priority - b.job.queue.priority || Number(isLate(a.job, nowMs)) - Number(isLate(b.job, nowMs)) ||
      a.job.dueMs - b.job.dueMs)
  }

  private _placeTasks (step: Step, view: IPlacementView): void {
    const idle = step.tasks.filter((task) => task.isIdle && task.notBeforeMs <= view.nowMs)
    if (idle.length === 0) return
    this._start(step, planTasks(step, idle, view))
  }

  private _placeGang (step: Step, view: IPlacementView): boolean {
    // Every run of the last try has to be gone, or one of its tasks could run twice.
    if (!step.isQuiet || step.tasks.some((task) => task.notBeforeMs > view.nowMs)) return true
    const plan = planGang(step, view)
    if (plan === undefined) return false
    this._start(step, plan)
    return true
  }

  /** Keeps room for a gang that waits, and its tickets good for the moment at which that room will be there. */
  private _reserve (step: Step, gangRoom: GangRoom, view: IPlacementView): void {
    const reservation = gangRoom.hold(step, view, isLate(step.job, view.nowMs))
    const { advice } = step
    if (reservation === undefined || advice === undefined || step.job.queue.advice === undefined) return
    const callMs = expectedAdviceMs(step, reservation.hosts.length) + ADVICE_AHEAD_MS
    if (reservation.waitMs > callMs || advice.isAsking || view.nowMs < advice.retryAtMs) return
    const expiring = reservation.hosts.filter(({ hostId, bornMs }) => advice.ticket(hostId, bornMs, view.nowMs + callMs) === undefined)
    if (expiring.length > 0) this._advice.ask(step, expiring.map(({ hostId }) => hostId), () => { this._runs.orderReady(step) })
  }

  private _start (step: Step, plan: readonly IPlacement[]): void {
    if (plan.length === 0) return
    this._runs.prepare(step, plan)
    this._requestTickets(step)
  }

  /** Asks for the tickets that runs of the step wait for; what gets none is placed anew. */
  private _requestTickets (step: Step): void {
    const { advice } = step
    if (step.job.queue.advice === undefined || advice === undefined || advice.isAsking) return
    const waiting = step.tasks.flatMap(({ attempt }) => attempt?.phase === 'preparing' ? [attempt] : [])
    const isMissing = (attempt: Attempt, atMs: MonotonicMs): boolean =>
      advice.ticket(attempt.host.hostId, attempt.host.bornMs, atMs) === undefined
    if (!waiting.some((attempt) => isMissing(attempt, this._clock.nowMs()))) return
    // A gang needs all its tickets at once: those that would run out during the call are asked for with the others.
    const goodAtMs = this._clock.nowMs() + (step.spec.gang ? expectedAdviceMs(step, waiting.length) : 0)
    const asked = waiting.filter((attempt) => isMissing(attempt, goodAtMs))
    this._advice.ask(step, [...new Set(asked.map((attempt) => attempt.host.hostId))], () => {
      this._runs.drop(asked.filter((attempt) => isMissing(attempt, this._clock.nowMs())))
      this._runs.orderReady(step)
    })
  }
}

/** Whether a job can't make its objective any more, as far as that is known, and hasn't waited for very long. */
function isLate (job: Job, nowMs: MonotonicMs): boolean {
  if (nowMs - job.receivedAtMs > PASSED_BY_FOR_MS) return false
  let leftMs = 0
  for (const { spec, isDone } of job.steps) if (spec.gang && !isDone) leftMs += spec.estimateMs * LEAST_OF_ESTIMATE
  return nowMs + leftMs > job.dueMs
}

/** Whether a job may still make its objective, and has used a good part of the time for that. Gangs wait for each other by their objectives. */
function isPressed ({ spec, job: { receivedAtMs, dueMs } }: Step, nowMs: MonotonicMs): boolean {
  return !spec.gang && nowMs < dueMs && nowMs - receivedAtMs > (dueMs - receivedAtMs) * PRESSED_SHARE
}
