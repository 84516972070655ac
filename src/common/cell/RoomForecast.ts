/**
 * Forecasts when the hosts will have done the work that waits, from the estimates of their runs and of the accepted jobs.
 *
 * Designed for a burst of wide jobs in a cell that is three quarters full: how long a new job waits depends on the work before it, not on
 * the number of jobs. Work is counted in core-milliseconds; that a task may not fit into the pieces that are free is left out.
 */

import type { MonotonicMs } from '../Types.js'
import { remainingMs } from './HostForecast.js'
import type { HostState } from './HostState.js'
import { isLate } from './JobOrder.js'
import type { Job } from './Job.js'
import { MILLICORES_PER_CORE, workCoreMs } from './WorkspaceShares.js'
import { usableCores } from './UsableCores.js'

/** What work can use of the hosts' processors, as a share. */
const USABLE_SHARE = 0.85
/** Ends of runs are counted in intervals, so that the forecast takes the same time for each run in a cell of any size. */
const BUCKET_MS = 100
const BUCKETS = 600
/** The longest forecast, in ms: it may be that nothing ever becomes free, as long as long-running tasks use all processors. */
const MAX_WAIT_MS = 600_000

/** The work that waits in the queues of a priority. */
interface IWaiting {
  readonly coreMs: number
  /** The latest objective of its jobs. */
  readonly lastDueMs: MonotonicMs
}

/** A priority of which not all jobs that wait can be in time. */
export interface IRoomShortage {
  readonly service: string
  readonly priority: number
  readonly waitingCoreMs: number
  readonly freeCoreMs: number
  readonly forecastMs: number
  readonly dueInMs: number
}

/** What of a service is free, will become free and is asked for. */
interface IServiceRoom {
  readonly freeCores: number
  /** The cores that become free in each interval of `BUCKET_MS`; those that become free later are in the last one. */
  readonly releasedCores: Float64Array
  readonly waiting: Map<number, IWaiting>
}

export class RoomForecast {
  private _rooms = new Map<string, IServiceRoom>()

  /** Takes in the present state. Nothing is forecast until enough hosts have answered. */
  public update (hosts: readonly HostState[], openJobs: Iterable<Job>, nowMs: MonotonicMs): void {
    this._rooms = new Map()
    for (const service of new Set(hosts.map(({ entry }) => entry.service))) {
      const own = hosts.filter(({ entry }) => entry.service === service)
      if (usableCores(own, nowMs) !== undefined) this._rooms.set(service, roomOf(own.filter((host) => host.isPlaceable(nowMs)), nowMs))
    }
    // Late jobs are placed after the others of their priority, so they don't delay new ones.
    for (const job of openJobs) if (!job.isFinished && !isLate(job, nowMs)) this._addWaiting(job, waitingCoreMs(job))
  }

  /** Adds a job that was accepted after the last update. */
  public addJob (job: Job): void {
    this._addWaiting(job, workCoreMs(job))
  }

  /** The work that waits and is placed before new jobs of this priority, or of any if none is given. */
  public waitingCoreMs (service: string, priority = Infinity): number {
    let sum = 0
    for (const [each, { coreMs }] of this._rooms.get(service)?.waiting ?? []) if (each <= priority) sum += coreMs
    return sum
  }

  /** The work for which the hosts of the service have capacity within this time; undefined if it isn't known. */
  public freeCoreMs (service: string, withinMs: number): number | undefined {
    const room = this._rooms.get(service)
    if (room === undefined) return undefined
    return room.releasedCores.reduce((sum, cores, bucket) => sum + cores * Math.max(0, withinMs - bucket * BUCKET_MS), room.freeCores * withinMs)
  }

  /** How long the hosts need for the work that waits before new jobs of this priority, and `coreMs` more; undefined if it isn't known. */
  public waitMs (service: string, priority: number, coreMs: number): number | undefined {
    const room = this._rooms.get(service)
    if (room === undefined) return undefined
    let leftCoreMs = this.waitingCoreMs(service, priority) + coreMs
    if (leftCoreMs <= 0) return 0
    let { freeCores } = room
    for (const [bucket, cores] of room.releasedCores.entries()) {
      freeCores += cores
      const doneCoreMs = Math.max(0, freeCores) * BUCKET_MS
      if (doneCoreMs >= leftCoreMs) return bucket * BUCKET_MS + leftCoreMs / freeCores
      leftCoreMs -= doneCoreMs
    }
    return Math.min(MAX_WAIT_MS, BUCKETS * BUCKET_MS + leftCoreMs / Math.max(0, freeCores))
  }

  /** The priorities of which not all jobs that wait can be in time, by the forecast. */
  public shortages (nowMs: MonotonicMs): readonly IRoomShortage[] {
    return this._priorities().flatMap(({ service, priority, lastDueMs }) => {
      const dueInMs = Math.max(0, lastDueMs - nowMs)
      const forecastMs = this.waitMs(service, priority, 0) ?? 0
      if (forecastMs <= dueInMs) return []
      const freeCoreMs = this.freeCoreMs(service, dueInMs) ?? 0
      return [{ service, priority, waitingCoreMs: this.waitingCoreMs(service, priority), freeCoreMs, forecastMs, dueInMs }]
    })
  }

  /** How long the hosts need for the work that waits of each priority and those before it; the longest of all services. */
  public waitsMs (): ReadonlyMap<number, number> {
    const waits = new Map<number, number>()
    for (const { service, priority } of this._priorities()) {
      waits.set(priority, Math.max(waits.get(priority) ?? 0, this.waitMs(service, priority, 0) ?? 0))
    }
    return waits
  }

  private _priorities (): readonly { readonly service: string, readonly priority: number, readonly lastDueMs: MonotonicMs }[] {
    return [...this._rooms].flatMap(([service, { waiting }]) => [...waiting].map(([priority, { lastDueMs }]) => ({ service, priority, lastDueMs })))
  }

  private _addWaiting (job: Job, coreMs: number): void {
    if (coreMs === 0) return
    const waiting = this._rooms.get(job.queue.service)?.waiting
    const { priority } = job.queue
    const before = waiting?.get(priority) ?? { coreMs: 0, lastDueMs: -Infinity }
    waiting?.set(priority, { coreMs: before.coreMs + coreMs, lastDueMs: Math.max(before.lastDueMs, job.dueMs) })
  }
}

function roomOf (hosts: readonly HostState[], nowMs: MonotonicMs): IServiceRoom {
  const releasedCores = new Float64Array(BUCKETS)
  let cores = 0
  let usedCores = 0
  for (const host of hosts) {
    cores += host.entry.cpuMillicores / MILLICORES_PER_CORE
    for (const attempt of host.attempts) {
      const runCores = attempt.task.step.spec.cpuMillicores / MILLICORES_PER_CORE
      usedCores += runCores
      const inMs = remainingMs(attempt, nowMs)
      if (!Number.isFinite(inMs)) continue
      const bucket = Math.min(BUCKETS - 1, Math.ceil(inMs / BUCKET_MS))
      releasedCores[bucket] = (releasedCores[bucket] ?? 0) + runCores
    }
  }
  return { freeCores: cores * USABLE_SHARE - usedCores, releasedCores, waiting: new Map() }
}

/** The work of the job's tasks that have no run. */
function waitingCoreMs (job: Job): number {
  let sum = 0
  for (const { spec, tasks, isDone } of job.steps) {
    if (!isDone) sum += tasks.filter((task) => task.isIdle).length * spec.cpuMillicores * spec.estimateMs / MILLICORES_PER_CORE
  }
  return sum
}
