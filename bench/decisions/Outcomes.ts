/**
 * What callers saw of one run: waits per profile, shares per caller, refusals, use of the hosts and time per decision.
 */

import { build } from 'hdr-histogram-js'

import { dominantShare } from '../../src/common/policy/Resources.js'

import type { Histogram } from 'hdr-histogram-js'
import type { IWorkItem } from '../../src/common/policy/Types.js'
import type { IResources } from '../../src/common/Types.js'

const MICROSECONDS = 1_000

function histogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 4e9, numberOfSignificantValueDigits: 3 })
}

/** Each service of a scenario has its own profile, but for the ones that share a profile to be told apart. */
interface IServiceOutcome {
  readonly profile: string
  readonly waits: Histogram
  arrived: number
  placed: number
  refused: number
  gaveUp: number
  starved: number
  /** Served in the measured time, in shares of the capacity times milliseconds. */
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
  public refusedMet = 0
  public refusedFollowed = 0
  public worstPauseMs = 0
  public decisions = 0
  public decisionMs = 0
  private readonly _services = new Map<string, IServiceOutcome>()
  private readonly _callers = new Map<string, Map<string, ICallerOutcome>>()
  private readonly _decisionTimes = histogram()
  private readonly _refusalTimes = histogram()

  public constructor (private readonly _capacity: IResources) {}

  public noteArrived (item: IWorkItem, runMs: number): void {
    this._service(item).arrived += 1
    this._caller(item).demandMs += runMs * dominantShare(item.resources, this._capacity)
  }

  public notePlaced (item: IWorkItem, waitMs: number): void {
    const outcome = this._service(item)
    outcome.placed += 1
    outcome.waits.recordValue(Math.round(waitMs * MICROSECONDS))
  }

  /** Work that still waits at the end counts with its wait so far: leaving it out would flatter whoever starves it. */
  public noteWaiting (item: IWorkItem, waitMs: number, starvedAfterMs: number): void {
    const outcome = this._service(item)
    outcome.waits.recordValue(Math.round(waitMs * MICROSECONDS))
    if (waitMs > starvedAfterMs) outcome.starved += 1
  }

  public noteServed (item: IWorkItem, runMs: number): void {
    const costMs = runMs * dominantShare(item.resources, this._capacity)
    this._service(item).servedMs += costMs
    this._caller(item).servedMs += costMs
  }

  public noteRefused (item: IWorkItem, tookMs: number): void {
    this._service(item).refused += 1
    this._refusalTimes.recordValue(Math.round(tookMs * MICROSECONDS))
  }

  public noteGaveUp (item: IWorkItem, waitMs: number): void {
    const outcome = this._service(item)
    outcome.gaveUp += 1
    outcome.waits.recordValue(Math.round(waitMs * MICROSECONDS))
  }

  /** Times one call of the engine; calls that decide nothing count into the time but not into the decisions. */
  public noteCall (tookMs: number, hasDecided: boolean): void {
    if (hasDecided) this.decisions += 1
    this.decisionMs += tookMs
    this.worstPauseMs = Math.max(this.worstPauseMs, tookMs)
    this._decisionTimes.recordValue(Math.round(tookMs * MICROSECONDS))
  }

  public waitMs (service: string, percentile: number): number {
    const waits = this._services.get(service)?.waits
    return waits === undefined ? 0 : waits.getValueAtPercentile(percentile) / MICROSECONDS
  }

  public summary (measuredMs: number): Readonly<Record<string, unknown>> {
    const services: Record<string, unknown> = {}
    for (const [name, outcome] of this._services) services[name] = summaryOf(outcome, measuredMs)
    return {
      services,
      jain: round(this._jain(), 4),
      lost: this.lost,
      preempted: this.preempted,
      overCapacity: this.overCapacity,
      ...this._returns(),
      refusalP99Ms: this._refusalTimes.getValueAtPercentile(99) / MICROSECONDS,
      decisionsPerSecond: Math.round(this.decisions / this.decisionMs * 1_000),
      decisionP99Ms: this._decisionTimes.getValueAtPercentile(99) / MICROSECONDS,
      decisionWorstMs: round(this.worstPauseMs, 3)
    }
  }

  private _returns (): Readonly<Record<string, unknown>> {
    if (this.refusedFollowed === 0) return {}
    return { refusedMetShare: round(this.refusedMet / this.refusedFollowed, 4), refusedFollowed: this.refusedFollowed }
  }

  /** Jain's index of what callers were served over the share they were due, the least of the profiles. */
  private _jain (): number {
    let least = 1
    for (const callers of this._callers.values()) least = Math.min(least, jainOf([...callers.values()]))
    return least
  }

  private _service (item: IWorkItem): IServiceOutcome {
    const known = this._services.get(item.service)
    if (known !== undefined) return known
    const outcome = { profile: item.profile.name, waits: histogram(), arrived: 0, placed: 0, refused: 0, gaveUp: 0, starved: 0, servedMs: 0 }
    this._services.set(item.service, outcome)
    return outcome
  }

  private _caller (item: IWorkItem): ICallerOutcome {
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
    waitP50Ms: waits.getValueAtPercentile(50) / MICROSECONDS,
    waitP99Ms: waits.getValueAtPercentile(99) / MICROSECONDS,
    waitWorstMs: waits.maxValue / MICROSECONDS
  }
}

function jainOf (callers: readonly ICallerOutcome[]): number {
  const served = callers.reduce((sum, caller) => sum + caller.servedMs, 0)
  if (served === 0) return 0
  const level = fairLevel(callers.map((caller) => caller.demandMs), served)
  const ratios = callers.filter((caller) => caller.demandMs > 0).map((caller) => caller.servedMs / Math.min(caller.demandMs, level))
  const sum = ratios.reduce((total, ratio) => total + ratio, 0)
  const squares = ratios.reduce((total, ratio) => total + ratio * ratio, 0)
  return squares === 0 ? 1 : sum * sum / (ratios.length * squares)
}

/** The level up to which every demand can be met out of `total`: the max-min fair share. */
function fairLevel (demands: readonly number[], total: number): number {
  const sorted = [...demands].sort((a, b) => a - b)
  let left = total
  for (const [i, demand] of sorted.entries()) {
    const even = left / (sorted.length - i)
    if (demand > even) return even
    left -= demand
  }
  return Infinity
}
