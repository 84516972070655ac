/**
 * Forecasts when a host will have room for tasks of a step, from the progress and the estimates of its present runs.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import { placesIn } from './Resources.js'
import type { IResources } from './Resources.js'
import type { Step } from './Job.js'
import type { IStepSpec } from './Types.js'

/** The progress of a run is used once the run has lasted for this long, in ms; hosts report it once a second. */
const MIN_PROGRESS_AGE_MS = 300
/** Half of the runs end sooner than forecast: reserved capacity is idle while it waits for the others. */
export const FORECAST_PERCENTILE = 50
/** A run that exceeds its estimate is assumed to need this share of it once more: how far off the estimate is can't be known. */
const OVERRUN_SHARE = 0.25

/** What is known of the run times of each queue. */
export interface IRunForecast {
  /** How much longer the run will take, in ms, with a certainty of `percentile` in a hundred. */
  remainingMs (attempt: Attempt, nowMs: MonotonicMs, percentile: number): number
  /** How long a run of the step will take on a host of usual speed, in ms; undefined while too little is known. */
  runMs (step: Step, percentile: number): number | undefined
}

/** A run that ends within the horizon, and what the host has free from then on in addition to what is free now. */
export interface IRunEnd {
  readonly remainingMs: number
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly accelerators: number
}

/**
 * How long each further task has to wait for room, in ms, soonest first. Only room that becomes free within the horizon counts.
 *
 * @param keepFree the resources that have to stay free on the host
 */
export function forecastPlaceTimes (
  host: HostState, step: IStepSpec, keepFree: IResources, nowMs: MonotonicMs, horizonMs: number, times?: IRunForecast
): readonly number[] {
  return placeTimes(host, step, keepFree, forecastEnds(host, nowMs, horizonMs, times))
}

/**
 * The same, given the ends of the host's runs.
 *
 * @param beforeMs waits of this length or longer don't count
 */
export function placeTimes (
  host: HostState, step: IStepSpec, keepFree: IResources, ends: readonly IRunEnd[], beforeMs = Infinity
): readonly number[] {
  const waitsMs: number[] = []
  if (!hasRoomBefore(host, step, keepFree, ends, beforeMs)) return waitsMs
  const most = host.capacityFor(step)
  const addTimes = (places: number, waitMs: number): void => {
    while (waitsMs.length < Math.min(most, places)) waitsMs.push(waitMs)
  }
  addTimes(placesAfter(host, step, keepFree, undefined), 0)
  for (const end of ends) {
    if (waitsMs.length === most || end.remainingMs >= beforeMs) break
    addTimes(placesAfter(host, step, keepFree, end), end.remainingMs)
  }
  return waitsMs
}

/** Whether the host will have room for a task of the step before that. */
export function hasRoomBefore (host: HostState, step: IStepSpec, keepFree: IResources, ends: readonly IRunEnd[], beforeMs: number): boolean {
  let number = ends.length
  while (number > 0 && (ends[number - 1]?.remainingMs ?? 0) >= beforeMs) number -= 1
  return placesAfter(host, step, keepFree, ends[number - 1]) > 0
}

function placesAfter ({ entry, used }: HostState, step: IStepSpec, keepFree: IResources, end: IRunEnd | undefined): number {
  return placesIn(
    entry.cpuMillicores - used.cpuMillicores - keepFree.cpuMillicores + (end?.cpuMillicores ?? 0),
    entry.memoryMb - used.memoryMb - keepFree.memoryMb + (end?.memoryMb ?? 0),
    entry.accelerators - used.accelerators - keepFree.accelerators + (end?.accelerators ?? 0),
    step
  )
}

/** The ends of the host's runs within the horizon, the soonest first. */
export function forecastEnds (host: HostState, nowMs: MonotonicMs, horizonMs: number, times?: IRunForecast): readonly IRunEnd[] {
  const soon: { readonly step: IStepSpec, readonly remainingMs: number }[] = []
  for (const attempt of host.attempts) {
    const endsInMs = times?.remainingMs(attempt, nowMs, FORECAST_PERCENTILE) ?? remainingMs(attempt, nowMs)
    if (endsInMs <= horizonMs) soon.push({ step: attempt.task.step.spec, remainingMs: endsInMs })
  }
  soon.sort((a, b) => a.remainingMs - b.remainingMs)
  let cpuMillicores = 0
  let memoryMb = 0
  let accelerators = 0
  return soon.map(({ step, remainingMs: endsInMs }): IRunEnd => {
    cpuMillicores += step.fills ? 0 : step.cpuMillicores
    memoryMb += step.memoryMb
    accelerators += step.accelerators
    return { remainingMs: endsInMs, cpuMillicores, memoryMb, accelerators }
  })
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
