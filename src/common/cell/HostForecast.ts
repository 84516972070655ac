/**
 * Forecasts when a host will have room for tasks of a step, from the progress and the estimates of its present runs.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'
import { countPlaces, addResources, resourcesOf } from './Resources.js'
import type { IResources } from './Resources.js'
import type { IStepSpec } from './Types.js'

/** The progress of a run is used once the run has lasted for this long, in ms; hosts report it once a second. */
const MIN_PROGRESS_AGE_MS = 300
/** A run that exceeds its estimate is assumed to need this share of it once more: how far off the estimate is can't be known. */
const OVERRUN_SHARE = 0.25

/**
 * How long each further task has to wait for room, in ms, soonest first. Only room that becomes free within the horizon counts.
 *
 * @param keepFree the resources that have to stay free on the host
 */
export function forecastPlaceTimes (
  host: HostState, step: IStepSpec, keepFree: IResources, nowMs: MonotonicMs, horizonMs: number
): readonly number[] {
  const most = host.capacityFor(step)
  const times: number[] = []
  let free = addResources(host.free, keepFree, -1)
  const addTimes = (waitMs: number): void => {
    for (let places = Math.min(most, countPlaces(free, step)); times.length < places;) times.push(waitMs)
  }
  addTimes(0)
  if (times.length === most) return times
  for (const { attempt, remainingMs } of endsWithin(host, nowMs, horizonMs)) {
    free = addResources(free, resourcesOf(attempt.task.step.spec))
    addTimes(remainingMs)
  }
  return times
}

function endsWithin (host: HostState, nowMs: MonotonicMs, horizonMs: number): readonly { readonly attempt: Attempt, readonly remainingMs: number }[] {
  return [...host.attempts].map((attempt) => ({ attempt, remainingMs: remainingMs(attempt, nowMs) }))
    .filter((end) => end.remainingMs <= horizonMs)
    .sort((a, b) => a.remainingMs - b.remainingMs)
}

/** The remaining time of a run by its progress so far, or by its estimate before it has reported any. */
function remainingMs (attempt: Attempt, nowMs: MonotonicMs): number {
  const { spec } = attempt.task.step
  if (attempt.phase === 'stopping') return 0
  if (spec.longRunning) return Infinity
  const reportedMs = Math.min(nowMs, attempt.reportedAtMs) - attempt.startedAtMs
  const ranMs = nowMs - attempt.startedAtMs
  if (attempt.percent > 0 && reportedMs >= MIN_PROGRESS_AGE_MS) return Math.max(0, reportedMs * 100 / attempt.percent - ranMs)
  return ranMs < spec.estimateMs ? spec.estimateMs - ranMs : spec.estimateMs * OVERRUN_SHARE
}
