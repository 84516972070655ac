/**
 * Learns how fast hosts work from the duration and progress of their runs.
 *
 * It is designed for hosts that become six times slower for some seconds while they answer as usual, among hosts whose base speeds
 * permanently differ by a factor of up to 2.7 (0.6 to 1.6). A host that becomes slow keeps its tasks for longer and so accumulates
 * work: without this, urgent jobs on a sixth of the hosts would be late although the others have room. A host that is always slow
 * takes its part of the work, and only its base speed counts while it has no runs.
 */

import type { EpochMs, MonotonicMs } from '../Types.js'
import type { Attempt } from './Attempt.js'
import type { HostState } from './HostState.js'

/** How well a queue's estimates fit: the logarithm of estimate to run time on a host of speed 1, over the runs on all hosts. */
interface IQueueFit {
  mean: number
  variance: number
  count: number
}

/** The evidence of a host's ended runs. Its weight is counted in runs of a queue with good estimates, and decays over time. */
interface IEvidence {
  weight: number
  weightedSum: number
  atMs: MonotonicMs
}

/** What the ended runs of one incarnation of a host say of its base speed: the mean of its logarithm. */
interface IBaseEvidence {
  readonly bornMs: EpochMs
  weight: number
  weightedSum: number
}

/** The variance of log(estimate / run time) before a queue's first runs: estimates off by a factor of two. */
const INITIAL_VARIANCE = 0.5
/** A run has full weight if the estimates of its queue have at most this variance (off by a third), and proportionally less if they are worse. */
const GOOD_VARIANCE = 0.1
const MIN_FIT_WEIGHT = 0.02
/** The first runs of a queue are averaged with equal weights, up to this number of runs. */
const FIT_WARM_UP_RUNS = 50
/** The weight of the assumption that a host has the usual speed, in runs: hosts normally differ by a fifth, as good estimates do. */
const USUAL_WEIGHT = 1
/** The maximum weight of ended runs, in runs, so that a few present runs that fall behind outweigh a long good history. */
const MAX_PAST_WEIGHT = 3
/** The maximum weight of the runs behind a base speed, in runs: the slow runs of a few seconds hardly change it. */
const MAX_BASE_WEIGHT = 20
/** A run changes the base speed by at most this much, as a logarithm: a straggler or a run of a slow time says little of it. */
const MAX_BASE_DEVIATION = Math.log(2)
/** The half-life of the evidence of ended runs, in ms: hosts become slow and recover within five to ten seconds. */
const HALF_LIFE_MS = 4000
/** The progress of a run is used once the run has lasted for this long, in ms; hosts report it once a second. */
const MIN_RUN_MS = 400
/** Hosts below this share of their own base speed get no work, as long as they are few. */
const MIN_SPEED = 0.4
/** If more than this share of the hosts seem too slow, the estimates are wrong, and no host is excluded. */
const MAX_SLOW_SHARE = 0.34

export class HostSpeeds {
  private readonly _fits = new Map<string, IQueueFit>()
  private readonly _evidence = new WeakMap<HostState, IEvidence>()
  private readonly _bases = new WeakMap<HostState, IBaseEvidence>()

  /** Learns from a run that ended as done. */
  public recordDone (attempt: Attempt, nowMs: MonotonicMs): void {
    const ranMs = nowMs - attempt.startedAtMs
    if (!isComparable(attempt) || ranMs <= 0) return
    const sample = Math.log(attempt.task.step.spec.estimateMs / ranMs)
    const fit = this._fitOf(attempt)
    const base = this._baseOf(attempt.host)
    const baseLog = logOf(base)
    const off = sample - fit.mean - baseLog
    addEvidence(this._evidenceOf(attempt.host, nowMs), weightOf(fit), off, MAX_PAST_WEIGHT)
    const baseOff = Math.min(MAX_BASE_DEVIATION, Math.max(-MAX_BASE_DEVIATION, off))
    addEvidence(base, weightOf(fit), baseLog + baseOff, MAX_BASE_WEIGHT)
    updateFit(fit, sample - baseLog)
  }

  /** Recomputes the host's speeds from its ended runs and the progress of the others. To be called after each report of the host. */
  public update (host: HostState, nowMs: MonotonicMs): void {
    const baseLog = logOf(this._baseOf(host))
    const { weight, weightedSum: weighted } = this._evidenceOf(host, nowMs)
    let sumWeight = weight + USUAL_WEIGHT
    let sum = weighted
    for (const attempt of host.attempts) {
      const shortfall = this._shortfallOf(attempt, baseLog, nowMs)
      if (shortfall === undefined) continue
      const progressWeight = weightOf(this._fitOf(attempt))
      sumWeight += progressWeight
      sum += progressWeight * shortfall
    }
    host.baseSpeed = Math.exp(baseLog)
    host.transientSpeed = Math.exp(sum / sumWeight)
  }

  /** Hosts that should get no work at present. */
  public findSlowHosts (hosts: Iterable<HostState>): ReadonlySet<HostState> {
    const slow = new Set<HostState>()
    let count = 0
    for (const host of hosts) {
      count += 1
      if (host.transientSpeed < MIN_SPEED) slow.add(host)
    }
    return slow.size <= count * MAX_SLOW_SHARE ? slow : new Set()
  }

  /** How far a run is behind its estimate, as a logarithm below 0; undefined if it isn't behind, or it is too early to tell. */
  private _shortfallOf (attempt: Attempt, baseLog: number, nowMs: MonotonicMs): number | undefined {
    const reportedMs = Math.min(nowMs, attempt.reportedAtMs) - attempt.startedAtMs
    if (attempt.phase !== 'running' || !isComparable(attempt) || reportedMs < MIN_RUN_MS) return undefined
    const projectedMs = reportedMs * 100 / Math.max(1, attempt.percent)
    const sample = Math.log(attempt.task.step.spec.estimateMs / projectedMs) - this._fitOf(attempt).mean - baseLog
    return sample < 0 ? sample : undefined
  }

  private _fitOf (attempt: Attempt): IQueueFit {
    const { name } = attempt.task.step.job.queue
    let fit = this._fits.get(name)
    if (fit === undefined) {
      fit = { mean: 0, variance: INITIAL_VARIANCE, count: 0 }
      this._fits.set(name, fit)
    }
    return fit
  }

  /** A new incarnation may be another machine. */
  private _baseOf (host: HostState): IBaseEvidence {
    let base = this._bases.get(host)
    if (base?.bornMs !== host.bornMs) {
      base = { bornMs: host.bornMs, weight: 0, weightedSum: 0 }
      this._bases.set(host, base)
    }
    return base
  }

  private _evidenceOf (host: HostState, nowMs: MonotonicMs): IEvidence {
    let evidence = this._evidence.get(host)
    if (evidence === undefined) {
      evidence = { weight: 0, weightedSum: 0, atMs: nowMs }
      this._evidence.set(host, evidence)
    }
    const left = 0.5 ** ((nowMs - evidence.atMs) / HALF_LIFE_MS)
    evidence.weight *= left
    evidence.weightedSum *= left
    evidence.atMs = nowMs
    return evidence
  }
}

/**
 * Whether the duration of the run can be compared with its estimate. Members of a gang wait for each other, a resumed run has
 * less left to do, and a run away from its data takes longer on any host.
 */
function isComparable (attempt: Attempt): boolean {
  const { spec } = attempt.task.step
  const isFar = spec.preferredRack !== '' && spec.preferredRack !== attempt.host.entry.rack
  if (spec.gang || spec.longRunning || spec.fills || isFar) return false
  return spec.estimateMs > 0 && attempt.task.checkpoint === '' && !attempt.isInherited
}

function addEvidence (evidence: Pick<IEvidence, 'weight' | 'weightedSum'>, weight: number, value: number, maxWeight: number): void {
  const left = Math.min(1, maxWeight / (evidence.weight + weight))
  evidence.weight = (evidence.weight + weight) * left
  evidence.weightedSum = (evidence.weightedSum + weight * value) * left
}

/** The logarithm of the base speed: 0 for a host of which nothing is known. */
function logOf ({ weight, weightedSum }: IBaseEvidence): number {
  return weightedSum / (weight + USUAL_WEIGHT)
}

function weightOf (fit: IQueueFit): number {
  return GOOD_VARIANCE / Math.max(GOOD_VARIANCE, fit.variance)
}

function updateFit (fit: IQueueFit, sample: number): void {
  fit.count += 1
  const weight = Math.max(MIN_FIT_WEIGHT, 1 / Math.min(fit.count + 1, FIT_WARM_UP_RUNS))
  const off = sample - fit.mean
  fit.mean += off * weight
  fit.variance += (off * off - fit.variance) * weight
}
