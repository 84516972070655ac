/**
 * The results of one run: waits per service, shares per caller, refusals, lost and preempted work, and time per decision.
 */

import { build } from 'hdr-histogram-js'

import { dominantShare } from '../../src/common/policy/Resources.js'

import type { Histogram } from 'hdr-histogram-js'
import type { IWorkItem } from '../../src/common/policy/Types.js'
import type { IResources } from '../../src/common/Types.js'

const US_PER_MS = 1_000

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 4e9, numberOfSignificantValueDigits: 3 })
}

/** The results of one service. Most services have a profile of their own; some share a profile but are reported apart. */
interface IServiceOutcome {
  readonly profile: string
  readonly waits: Histogram
  arrived: number
  placed: number
  refused: number
  gaveUp: number
  starved: number
  /** The work served in the measured time, as the share of the capacity times milliseconds. */
  servedMs: number
}

interface ICallerOutcome {
  demandMs: number
  servedMs: number
}

export class Outcomes {
  public lost = 0
  public preempted = 0
  public overCapacity = 0
  public admittedReturns = 0
  public returns = 0
  public worstPauseMs = 0
  public decisions = 0
  public decisionMs = 0
  private readonly _services = new Map<string, IServiceOutcome>()
  private readonly _callers = new Map<string, Map<string, ICallerOutcome>>()
  private readonly _decisionTimes = createHistogram()
  private readonly _refusalTimes = createHistogram()

  public constructor (private readonly _capacity: IResources) {}

  public recordArrival (item: IWorkItem, runMs: number): void {
    this._serviceOutcome(item).arrived += 1
    this._callerOutcome(item).demandMs += runMs * dominantShare(item.resources, this._capacity)
  }

  public recordPlacement (item: IWorkItem, waitMs: number): void {
    const outcome = this._serviceOutcome(item)
    outcome.placed += 1
    outcome.waits.recordValue(Math.round(waitMs * US_PER_MS))
  }

  /** Records work that still waits at the end with its wait so far. Without it, a policy that starves work would look too good. */
  public recordWaiting (item: IWorkItem, waitMs: number, starvedAfterMs: number): void {
    const outcome = this._serviceOutcome(item)
    outcome.waits.recordValue(Math.round(waitMs * US_PER_MS))
    if (waitMs > starvedAfterMs) outcome.starved += 1
  }

  public recordServed (item: IWorkItem, runMs: number): void {
    const costMs = runMs * dominantShare(item.resources, this._capacity)
    this._serviceOutcome(item).servedMs += costMs
    this._callerOutcome(item).servedMs += costMs
  }

  public recordRefusal (item: IWorkItem, tookMs: number): void {
    this._serviceOutcome(item).refused += 1
    this._refusalTimes.recordValue(Math.round(tookMs * US_PER_MS))
  }

  public recordGivenUp (item: IWorkItem, waitMs: number): void {
    const outcome = this._serviceOutcome(item)
    outcome.gaveUp += 1
    outcome.waits.recordValue(Math.round(waitMs * US_PER_MS))
  }

  /** Records the time of one call of the engine. A call without a decision counts towards the time but not the number of decisions. */
  public recordCall (tookMs: number, hasDecided: boolean): void {
    if (hasDecided) this.decisions += 1
    this.decisionMs += tookMs
    this.worstPauseMs = Math.max(this.worstPauseMs, tookMs)
    this._decisionTimes.recordValue(Math.round(tookMs * US_PER_MS))
  }

  public waitMs (service: string, percentile: number): number {
    const waits = this._services.get(service)?.waits
    return waits === undefined ? 0 : waits.getValueAtPercentile(percentile) / US_PER_MS
  }

  public summary (measuredMs: number): Readonly<Record<string, unknown>> {
    const services: Record<string, unknown> = {}
    for (const [name, outcome] of this._services) services[name] = summaryOf(outcome, measuredMs)
    return {
      services,
      jain: round(this._lowestJainIndex(), 4),
      lost: this.lost,
      preempted: this.preempted,
      overCapacity: this.overCapacity,
      ...this._returnSummary(),
      refusalP99Ms: this._refusalTimes.getValueAtPercentile(99) / US_PER_MS,
      decisionsPerSecond: Math.round(this.decisions / this.decisionMs * 1_000),
      decisionP99Ms: this._decisionTimes.getValueAtPercentile(99) / US_PER_MS,
      decisionWorstMs: round(this.worstPauseMs, 3)
    }
  }

  private _returnSummary (): Readonly<Record<string, unknown>> {
    if (this.returns === 0) return {}
    return { refusedMetShare: round(this.admittedReturns / this.returns, 4), refusedFollowed: this.returns }
  }

  /** Jain's index of the work served to callers relative to their fair shares; the lowest index of all profiles. */
  private _lowestJainIndex (): number {
    let lowest = 1
    for (const callers of this._callers.values()) lowest = Math.min(lowest, jainIndexOf([...callers.values()]))
    return lowest
  }

  private _serviceOutcome (item: IWorkItem): IServiceOutcome {
    const known = this._services.get(item.service)
    if (known !== undefined) return known
    const outcome = { profile: item.profile.name, waits: createHistogram(), arrived: 0, placed: 0, refused: 0, gaveUp: 0, starved: 0, servedMs: 0 }
    this._services.set(item.service, outcome)
    return outcome
  }

  private _callerOutcome (item: IWorkItem): ICallerOutcome {
    const callers = this._callers.get(item.profile.name) ?? new Map<string, ICallerOutcome>()
    this._callers.set(item.profile.name, callers)
    const known = callers.get(item.caller) ?? { demandMs: 0, servedMs: 0 }
    callers.set(item.caller, known)
    return known
  }
}

export function round (value: number, digits: number): number {
  return Number(value.toFixed(digits))
}

function summaryOf (outcome: IServiceOutcome, measuredMs: number): Readonly<Record<string, unknown>> {
  const { waits, arrived, placed, refused, gaveUp, starved, servedMs } = outcome
  return {
    profile: outcome.profile,
    arrived,
    placed,
    refused,
    gaveUp,
    starved,
    servedShare: round(servedMs / measuredMs, 4),
    waitP50Ms: waits.getValueAtPercentile(50) / US_PER_MS,
    waitP99Ms: waits.getValueAtPercentile(99) / US_PER_MS,
    waitWorstMs: waits.maxValue / US_PER_MS
  }
}

function jainIndexOf (callers: readonly ICallerOutcome[]): number {
  const served = callers.reduce((sum, caller) => sum + caller.servedMs, 0)
  if (served === 0) return 0
  const fairShareMs = maxMinFairShare(callers.map((caller) => caller.demandMs), served)
  const ratios = callers.filter((caller) => caller.demandMs > 0).map((caller) => caller.servedMs / Math.min(caller.demandMs, fairShareMs))
  const sum = ratios.reduce((total, ratio) => total + ratio, 0)
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0)
  return squares === 0 ? 1 : sum * sum / (ratios.length * squares)
}

/** The max-min fair share: the level up to which `total` meets every demand. */
function maxMinFairShare (demands: readonly number[], total: number): number {
  const sorted = [...demands].sort((a, b) => a - b)
  let remaining = total
  for (const [i, demand] of sorted.entries()) {
    const evenShare = remaining / (sorted.length - i)
    if (demand > evenShare) return evenShare
    remaining -= demand
  }
  return Infinity
}
