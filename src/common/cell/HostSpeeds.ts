/**
 * How fast hosts work, learned from what runs there.
 *
 * The load this answers: some hosts turn six times as slow for seconds while they answer as always, beside hosts that differ by
 * half from one another all day. A slow host keeps its tasks for longer, so without this it holds ever more of the work: one sees
 * urgent jobs late on a sixth of the hosts with room on the others.
 */

import type { MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'

/** What a queue's estimates are worth: how runs compare with them on all hosts, as logarithms. */
interface IQueueFit {
  mean: number
  variance: number
  count: number
}

/** What the ended runs of a host say together, in runs of a queue that estimates well; both fade. */
interface IEvidence {
  weight: number
  weighted: number
  atMs: MonotonicMs
}

/** The variance of log(estimate / run time) before a queue's first runs: estimates off by a factor of two. */
const FIRST_VARIANCE = 0.5
/** A run counts in full where estimates are as good as this variance (off by a third), and by as much less as they are worse. */
const GOOD_VARIANCE = 0.1
const FIT_WEIGHT = 0.02
/** The first runs of a queue count as their plain mean, up to so many. */
const FIT_WARM_UP_RUNS = 50
/** How much it weighs that a host is like the others, in runs: hosts differ by a fifth on an ordinary day, as good estimates do. */
const USUAL_WEIGHT = 1
/** Ended runs weigh no more than this many, so that a few that lag behind outweigh a past in which all was well. */
const MAX_PAST_WEIGHT = 3
/** After this time a run says half as much, in ms: hosts turn slow and back within five to ten seconds. */
const HALF_LIFE_MS = 4000
/** Progress says something of a run that has gone on for so long, in ms; it is told once a second. */
const MIN_RUN_MS = 400
/** Below this share of the usual speed a host gets no work, as long as few are so slow. */
const TOO_SLOW = 0.4
/** Where more hosts than this share seem too slow, it is the estimates that are wrong, and none is left out. */
const MAX_SLOW_SHARE = 0.34

export class HostSpeeds {
  private readonly _fits = new Map<string, IQueueFit>()
  private readonly _evidence = new WeakMap<HostState, IEvidence>()

  /** A run has ended as done. */
  public noteDone (attempt: Attempt, nowMs: MonotonicMs): void {
    const ranMs = nowMs - attempt.startedAtMs
    if (!isTelling(attempt) || ranMs <= 0) return
    const sample = Math.log(attempt.task.step.spec.estimateMs / ranMs)
    const fit = this._fitOf(attempt)
    const evidence = this._evidenceOf(attempt.host, nowMs)
    const weight = weightOf(fit)
    const left = Math.min(1, MAX_PAST_WEIGHT / (evidence.weight + weight))
    evidence.weight = (evidence.weight + weight) * left
    evidence.weighted = (evidence.weighted + weight * (sample - fit.mean)) * left
    learn(fit, sample)
  }

  /** Learns anew what the host's speed is, from ended runs and from how far the others are; to be called when the host has told. */
  public update (host: HostState, nowMs: MonotonicMs): void {
    const { weight, weighted } = this._evidenceOf(host, nowMs)
    let sumWeight = weight + USUAL_WEIGHT
    let sum = weighted
    for (const attempt of host.attempts) {
      const shortfall = this._shortfallOf(attempt, nowMs)
      if (shortfall === undefined) continue
      const progressWeight = weightOf(this._fitOf(attempt))
      sumWeight += progressWeight
      sum += progressWeight * shortfall
    }
    host.speed = Math.exp(sum / sumWeight)
  }

  /** Hosts that should get no work for the moment. */
  public tooSlow (hosts: Iterable<HostState>): ReadonlySet<HostState> {
    const slow = new Set<HostState>()
    let count = 0
    for (const host of hosts) {
      count += 1
      if (host.speed < TOO_SLOW) slow.add(host)
    }
    return slow.size <= count * MAX_SLOW_SHARE ? slow : new Set()
  }

  /** How far a run is behind what its estimate lets expect, as a logarithm below 0; absent where it isn't, or says nothing yet. */
  private _shortfallOf (attempt: Attempt, nowMs: MonotonicMs): number | undefined {
    const toldMs = Math.min(nowMs, attempt.knownAtMs) - attempt.startedAtMs
    if (attempt.phase !== 'running' || !isTelling(attempt) || toldMs < MIN_RUN_MS) return undefined
    const projectedMs = toldMs * 100 / Math.max(1, attempt.percent)
    const sample = Math.log(attempt.task.step.spec.estimateMs / projectedMs) - this._fitOf(attempt).mean
    return sample < 0 ? sample : undefined
  }

  private _fitOf (attempt: Attempt): IQueueFit {
    const { name } = attempt.task.step.job.queue
    let fit = this._fits.get(name)
    if (fit === undefined) {
      fit = { mean: 0, variance: FIRST_VARIANCE, count: 0 }
      this._fits.set(name, fit)
    }
    return fit
  }

  private _evidenceOf (host: HostState, nowMs: MonotonicMs): IEvidence {
    let evidence = this._evidence.get(host)
    if (evidence === undefined) {
      evidence = { weight: 0, weighted: 0, atMs: nowMs }
      this._evidence.set(host, evidence)
    }
    const left = 0.5 ** ((nowMs - evidence.atMs) / HALF_LIFE_MS)
    evidence.weight *= left
    evidence.weighted *= left
    evidence.atMs = nowMs
    return evidence
  }
}

/**
 * Whether the time of the run can be compared with its estimate: gangs wait for each other, a run that resumes has less to do, and
 * one away from its data takes longer wherever it is.
 */
function isTelling (attempt: Attempt): boolean {
  const { spec } = attempt.task.step
  const isFar = spec.preferredRack !== '' && spec.preferredRack !== attempt.host.entry.rack
  if (spec.gang || spec.longRunning || spec.fills || isFar) return false
  return spec.estimateMs > 0 && attempt.task.checkpoint === '' && !attempt.isInherited
}

function weightOf (fit: IQueueFit): number {
  return GOOD_VARIANCE / Math.max(GOOD_VARIANCE, fit.variance)
}

function learn (fit: IQueueFit, sample: number): void {
  fit.count += 1
  const weight = Math.max(FIT_WEIGHT, 1 / Math.min(fit.count + 1, FIT_WARM_UP_RUNS))
  const off = sample - fit.mean
  fit.mean += off * weight
  fit.variance += (off * off - fit.variance) * weight
}
