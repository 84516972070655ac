/**
 * Forecasts when a host will have room for tasks of a step, from the progress and the estimates of its present runs.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import { countPlaces, addResources, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { Step } from './Job.js'
import type { IStepSpec } from './Types.js'

/** The progress of a run is used once the run has lasted for this long, in ms; hosts report it once a second. */
const MIN_PROGRESS_AGE_MS = 300
/** Half of the runs end sooner than forecast: reserved capacity is idle while it waits for the others. */
const FORECAST_PERCENTILE = 50
/** A run that exceeds its estimate is assumed to need this share of it once more: how far off the estimate is can't be known. */
const OVERRUN_SHARE = 0.25

/** What is known of the run times of each queue. */
export interface IRunForecast {
  /** How much longer the run will take, in ms, with a certainty of `percentile` in a hundred. */
  remainingMs (attempt: Attempt, nowMs: MonotonicMs, percentile: number): number
  /** How long a run of the step will take on a host of usual speed, in ms; undefined while too little is known. */
  runMs (step: Step, percentile: number): number | undefined
}

/**
 * How long each further task has to wait for room, in ms, soonest first. Only room that becomes free within the horizon counts.
 *
 * @param keepFree the resources that have to stay free on the host
 */
export function forecastPlaceTimes (
  host: HostState, step: IStepSpec, keepFree: IResources, nowMs: MonotonicMs, horizonMs: number, times?: IRunForecast
): readonly number[] {
  const most = host.capacityFor(step)
  const waitsMs: number[] = []
  let free = addResources(host.free, keepFree, -1)
  const addTimes = (waitMs: number): void => {
    for (let places = Math.min(most, countPlaces(free, step)); waitsMs.length < places;) waitsMs.push(waitMs)
  }
  addTimes(0)
  if (waitsMs.length === most) return waitsMs
  for (const { attempt, remainingMs } of endsWithin(host, nowMs, horizonMs, times)) {
    free = addResources(free, resourcesOf(attempt.task.step.spec))
    addTimes(remainingMs)
  }
  return waitsMs
}

interface IRunEnd {
  readonly attempt: Attempt
  readonly remainingMs: number
}

function endsWithin (host: HostState, nowMs: MonotonicMs, horizonMs: number, times: IRunForecast | undefined): readonly IRunEnd[] {
  const forecast = (attempt: Attempt): number => times?.remainingMs(attempt, nowMs, FORECAST_PERCENTILE) ?? remainingMs(attempt, nowMs)
  return [...host.attempts].map((attempt) => ({ attempt, remainingMs: forecast(attempt) }))
    .filter((end) => end.remainingMs <= horizonMs)
    .sort((a, b) => a.remainingMs - b.remainingMs)
}

/** The remaining time of a run by its progress so far, or by its estimate before it has reported any. */
export function remainingMs (attempt: Attempt, nowMs: MonotonicMs): number {
  return progressRemainingMs(attempt, nowMs) ?? estimatedRemainingMs(attempt, nowMs)
}

/** The remaining time of a run by its progress so far; undefined before it has reported any. */
export function progressRemainingMs (attempt: Attempt, nowMs: MonotonicMs): number | undefined {
  if (attempt.phase === 'stopping') return 0
  if (attempt.task.step.spec.longRunning) return Infinity
  const reportedMs = Math.min(nowMs, attempt.reportedAtMs) - attempt.startedAtMs
  if (attempt.percent <= 0 || reportedMs < MIN_PROGRESS_AGE_MS) return undefined
  return Math.max(0, reportedMs * 100 / attempt.percent - (nowMs - attempt.startedAtMs))
}

/** The remaining time of a run by its estimate. */
export function estimatedRemainingMs ({ startedAtMs, task: { step: { spec } } }: Attempt, nowMs: MonotonicMs): number {
  const ranMs = nowMs - startedAtMs
  return ranMs < spec.estimateMs ? spec.estimateMs - ranMs : spec.estimateMs * OVERRUN_SHARE
}
