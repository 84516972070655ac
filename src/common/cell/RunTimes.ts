/**
 * Learns how long the runs of each queue take compared with their estimates, and forecasts from that when present runs will end.
 *
 * Designed for queues whose estimates are off by a fifth to a half, with a tail of three runs in a hundred that take seven times as
 * long. A forecast by a fixed share of the estimate takes every straggler for a run that is about to end, and reserves capacity that
 * doesn't become free. Forecasts only order and place work; nothing that has to be certain depends on them.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { IRunForecast } from './HostForecast.js'
import { estimatedRemainingMs, progressRemainingMs } from './HostForecast.js'
import type { Step } from './Job.js'

/** The half-life of the weight of an ended run, in ms: a queue may change its work within a minute. */
const HALF_LIFE_MS = 20_000
/** Until so many runs of a queue have ended, the caller's estimate is used. */
const MIN_RUNS = 20
/** The classes of the ratio of run time to estimate: from a sixteenth to sixteen times, each a tenth wider than the one before. */
const CLASSES = 58
const CLASS_LOG = Math.log(256) / CLASSES
const LOWEST_LOG = -Math.log(16)
/** The ratio in the middle of each class. */
const RATIOS: readonly number[] = Array.from({ length: CLASSES }, (_, number) => Math.exp(LOWEST_LOG + (number + 0.5) * CLASS_LOG))
/** A run that takes longer than any before is assumed to need this share of its time once more. */
const OVERRUN_SHARE = 0.25
/** The percentile from which on a forecast allows for a run that becomes slower than it was so far, and by how much. */
const HIGH_PERCENTILE = 90
const HIGH_PROGRESS_FACTOR = 1.25

interface IDistribution {
  /** The decayed number of runs in each class. */
  readonly weights: number[]
  runs: number
  atMs: MonotonicMs
  /** The percentiles of all ratios that were computed since the last run: each pass compares many waiting jobs. */
  readonly percentiles: Map<number, number>
}

/** What a queue's runs took, as multiples of their estimates, for the dump. */
export interface IRunTimesRow {
  readonly queue: string
  readonly runs: number
  readonly medianRatio: number
  readonly p95Ratio: number
}

export class RunTimes implements IRunForecast {
  private readonly _distributions = new Map<string, IDistribution>()
  /** The last run of each gang that was counted: all its members end together. */
  private readonly _countedGangs = new WeakMap<Step, number>()

  /** Learns from a run that ended as done. To be called before the run is removed from its host. */
  public recordDone (attempt: Attempt, nowMs: MonotonicMs): void {
    const { step } = attempt.task
    const ranMs = nowMs - attempt.startedAtMs
    if (!isComparable(attempt) || ranMs <= 0) return
    if (step.spec.gang && this._countedGangs.get(step) === attempt.run) return
    if (step.spec.gang) this._countedGangs.set(step, attempt.run)
    const distribution = this._distributionOf(step.job.queue.name, nowMs)
    decay(distribution, nowMs)
    const number = classOf(ranMs * baseSpeedOf(attempt) / step.spec.estimateMs)
    distribution.weights[number] = (distribution.weights[number] ?? 0) + 1
    distribution.runs += 1
    distribution.percentiles.clear()
  }

  /**
   * How much longer the run will take, in ms, with a certainty of `percentile` in a hundred: by its progress if it has reported some,
   * else by its age and the distribution of its queue.
   */
  public remainingMs (attempt: Attempt, nowMs: MonotonicMs, percentile: number): number {
    const { step } = attempt.task
    const byProgressMs = progressRemainingMs(attempt, nowMs)
    if (byProgressMs !== undefined) return byProgressMs * (percentile >= HIGH_PERCENTILE ? HIGH_PROGRESS_FACTOR : 1)
    const distribution = this._known(step)
    if (distribution === undefined || !isComparable(attempt)) return estimatedRemainingMs(attempt, nowMs)
    const usualMs = step.spec.estimateMs / baseSpeedOf(attempt)
    const ranMs = Math.max(0, nowMs - attempt.startedAtMs)
    return Math.max(0, quantile(distribution, percentile, ranMs / usualMs) * usualMs - ranMs)
  }

  /** How long a run of the step will take on a host of usual speed; undefined while too little is known of its queue. */
  public runMs (step: Step, percentile: number): number | undefined {
    const distribution = this._known(step)
    return distribution === undefined ? undefined : percentileOf(distribution, percentile) * step.spec.estimateMs
  }

  public rows (): readonly IRunTimesRow[] {
    return [...this._distributions].map(([queue, distribution]) =>
      ({ queue, runs: distribution.runs, medianRatio: percentileOf(distribution, 50), p95Ratio: percentileOf(distribution, 95) }))
  }

  private _known (step: Step): IDistribution | undefined {
    const distribution = this._distributions.get(step.job.queue.name)
    return distribution !== undefined && distribution.runs >= MIN_RUNS ? distribution : undefined
  }

  private _distributionOf (queue: string, nowMs: MonotonicMs): IDistribution {
    let distribution = this._distributions.get(queue)
    if (distribution === undefined) {
      distribution = { weights: Array.from({ length: CLASSES }, () => 0), runs: 0, atMs: nowMs, percentiles: new Map() }
      this._distributions.set(queue, distribution)
    }
    return distribution
  }
}

/** Whether the run began at its start, so that its duration can be compared with its estimate. */
function isComparable (attempt: Attempt): boolean {
  const { spec } = attempt.task.step
  const isFar = spec.preferredRack !== '' && spec.preferredRack !== attempt.host.entry.rack
  return !spec.longRunning && !spec.fills && !isFar && spec.estimateMs > 0 && attempt.task.checkpoint === '' && !attempt.isInherited
}

/** The base speed of the host; of a gang, that of its slowest host, since its members wait for each other. */
function baseSpeedOf ({ host, task: { step } }: Attempt): number {
  if (!step.spec.gang) return host.baseSpeed
  return Math.min(host.baseSpeed, ...step.tasks.map(({ attempt }) => attempt?.host.baseSpeed ?? Infinity))
}

function decay (distribution: IDistribution, nowMs: MonotonicMs): void {
  const left = 0.5 ** ((nowMs - distribution.atMs) / HALF_LIFE_MS)
  distribution.atMs = nowMs
  distribution.weights.forEach((weight, number) => { distribution.weights[number] = weight * left })
}

function classOf (ratio: number): number {
  return Math.min(CLASSES - 1, Math.max(0, Math.floor((Math.log(ratio) - LOWEST_LOG) / CLASS_LOG)))
}

function percentileOf (distribution: IDistribution, percentile: number): number {
  const known = distribution.percentiles.get(percentile)
  if (known !== undefined) return known
  const ratio = quantile(distribution, percentile, 0)
  distribution.percentiles.set(percentile, ratio)
  return ratio
}

/** The percentile of the ratios above `minRatio`: a run that has lasted longer than others have ended is one of those that take longer. */
function quantile ({ weights }: IDistribution, percentile: number, minRatio: number): number {
  let first = 0
  while (first < CLASSES && (RATIOS[first] ?? Infinity) <= minRatio) first += 1
  let total = 0
  for (let number = first; number < CLASSES; number += 1) total += weights[number] ?? 0
  if (total <= 0) return minRatio * (1 + OVERRUN_SHARE)
  let sum = 0
  for (let number = first; number < CLASSES; number += 1) {
    sum += weights[number] ?? 0
    if (sum >= total * percentile / 100) return RATIOS[number] ?? minRatio
  }
  return RATIOS[CLASSES - 1] ?? minRatio
}
