/**
 * Detects hosts that fail far more often than their peers. Such a host is on probation: it only gets a probe at
 * intervals, until enough probes have succeeded.
 */

import { LRUCache } from 'lru-cache'

import type { MonotonicMs } from '../Types.js'
import type { AttemptEnd, IWorkItem } from './Types.js'

/** The least number of failures for probation. At a usual failure rate of 1%, five failures in a row happen once in 10^10. */
const MIN_FAILURES = 5

/** A host is put on probation only with at least this many times the failures expected from its services' failure rates on all hosts. */
const FAILURES_OVER_EXPECTED = 3

/** A host with a failure rate below this stays in use, whatever the rate of its peers. */
const MIN_FAILURE_RATE = 0.3

/** The half-life of the counts, which cover about the last half minute. */
const HALF_LIFE_MS = 10_000

/**
 * The first probe follows soon, for short faults. The pause doubles after each failed probe up to the maximum, so that
 * a healed host is back within some seconds.
 */
const FIRST_PROBE_AFTER_MS = 500
const MAX_PROBE_PAUSE_MS = 5_000

/** Consecutive successful probes that end a probation; a single success could be chance. */
const PROBES_TO_HEAL = 3

/** A probe without a result after this time is taken as lost, so that the next one can start. */
const PROBE_LOST_AFTER_MS = 60_000

/** The largest share of hosts on probation: when more hosts fail, the fault is probably not theirs. */
const MAX_PROBATION_SHARE = 0.34

/** Successful attempts that each service is credited with at first, so that its first failures aren't taken for its usual rate. */
const SERVICE_PRIOR_ATTEMPTS = 20

/** The most services remembered; the least recently used one is removed first. */
const MAX_SERVICES = 10_000

interface IHostRecord {
  failures: number
  expectedFailures: number
  attempts: number
  countedAtMs: MonotonicMs
  probation: IProbation | undefined
}

interface IProbation {
  nextProbeAtMs: MonotonicMs
  pauseMs: number
  healthyProbes: number
  probeItemId: string | undefined
}

interface IServiceRate {
  attempts: number
  failures: number
}

export class HostHealth {
  private readonly _hosts = new Map<string, IHostRecord>()
  private readonly _services = new LRUCache<string, IServiceRate>({ max: MAX_SERVICES })
  private readonly _onProbation = new Set<string>()

  public get probationCount (): number {
    return this._onProbation.size
  }

  public addHost (hostId: string): void {
    if (this._hosts.has(hostId)) return
    this._hosts.set(hostId, { failures: 0, expectedFailures: 0, attempts: 0, countedAtMs: 0, probation: undefined })
  }

  public removeHost (hostId: string): void {
    this._hosts.delete(hostId)
    this._onProbation.delete(hostId)
  }

  public isOnProbation (hostId: string): boolean {
    return this._onProbation.has(hostId)
  }

  public hostsOnProbation (): readonly string[] {
    return [...this._onProbation]
  }

  /**
   * Records the end of an attempt; returns whether the host's probation has started or ended.
   *
   * A host that fails everything at once is always free, so it attracts more work than all its healthy peers together
   * and can fail most of the load. The host's failures are compared with those of the same services on all hosts, so
   * that a service that fails everywhere puts no host on probation.
   */
  public recordEnd (hostId: string, item: IWorkItem, end: AttemptEnd, nowMs: MonotonicMs): boolean {
    const record = this._hosts.get(hostId)
    if (record === undefined || end === 'stopped') return false
    const hasFailed = end !== 'succeeded'
    if (record.probation !== undefined) return this._recordProbeEnd(hostId, record, record.probation, item.id, hasFailed, nowMs)
    const rate = this._serviceRate(item.service)
    decay(record, nowMs)
    record.attempts += 1
    record.expectedFailures += rate.failures / (rate.attempts + SERVICE_PRIOR_ATTEMPTS)
    if (hasFailed) record.failures += 1
    countAttempt(rate, hasFailed)
    return hasFailed && this._startProbationIfFailing(hostId, record, nowMs)
  }

  /** Returns a host on probation for which a probe is due that this item can serve as. */
  public findHostToProbe (item: IWorkItem, nowMs: MonotonicMs): string | undefined {
    if (this._onProbation.size === 0) return undefined
    for (const hostId of this._onProbation) {
      const probation = this._hosts.get(hostId)?.probation
      if (probation !== undefined && canProbeWith(probation, item, nowMs)) return hostId
    }
    return undefined
  }

  /** Records that the item is the current probe of the host. */
  public startProbe (hostId: string, itemId: string, nowMs: MonotonicMs): void {
    const probation = this._hosts.get(hostId)?.probation
    if (probation === undefined) return
    probation.probeItemId = itemId
    probation.nextProbeAtMs = nowMs + PROBE_LOST_AFTER_MS
  }

  public nextProbeAtMs (): MonotonicMs {
    let nextAtMs = Infinity
    for (const hostId of this._onProbation) {
      nextAtMs = Math.min(nextAtMs, this._hosts.get(hostId)?.probation?.nextProbeAtMs ?? Infinity)
    }
    return nextAtMs
  }

  private _startProbationIfFailing (hostId: string, record: IHostRecord, nowMs: MonotonicMs): boolean {
    const { failures, expectedFailures, attempts } = record
    if (failures < MIN_FAILURES || failures < MIN_FAILURE_RATE * attempts) return false
    if (failures < FAILURES_OVER_EXPECTED * expectedFailures) return false
    if (this._onProbation.size + 1 > MAX_PROBATION_SHARE * this._hosts.size) return false
    record.probation = {
      nextProbeAtMs: nowMs + FIRST_PROBE_AFTER_MS, pauseMs: FIRST_PROBE_AFTER_MS, healthyProbes: 0, probeItemId: undefined
    }
    this._onProbation.add(hostId)
    return true
  }

  /** Records the end of a probe. Work that started before the probation is ignored, because it says nothing about the present state. */
  private _recordProbeEnd (
    hostId: string, record: IHostRecord, probation: IProbation, itemId: string, hasFailed: boolean, nowMs: MonotonicMs
  ): boolean {
    if (probation.probeItemId !== itemId) return false
    probation.probeItemId = undefined
    if (hasFailed) {
      probation.healthyProbes = 0
      probation.pauseMs = Math.min(2 * probation.pauseMs, MAX_PROBE_PAUSE_MS)
      probation.nextProbeAtMs = nowMs + probation.pauseMs
      return false
    }
    probation.healthyProbes += 1
    probation.nextProbeAtMs = nowMs
    if (probation.healthyProbes < PROBES_TO_HEAL) return false
    this._onProbation.delete(hostId)
    Object.assign(record, { failures: 0, expectedFailures: 0, attempts: 0, countedAtMs: nowMs, probation: undefined })
    return true
  }

  private _serviceRate (service: string): IServiceRate {
    const known = this._services.get(service)
    if (known !== undefined) return known
    const rate: IServiceRate = { attempts: 0, failures: 0 }
    this._services.set(service, rate)
    return rate
  }
}

/** Whether a probe is due and the item may serve as one. A probe may fail, so only work that can be retried elsewhere is used. */
function canProbeWith (probation: IProbation, item: IWorkItem, nowMs: MonotonicMs): boolean {
  return nowMs >= probation.nextProbeAtMs && item.idempotent && item.profile.maxRetries > 0
}

/** Counts an attempt of a service. Counts are halved at 1,000 attempts, so that the rate follows recent attempts. */
function countAttempt (rate: IServiceRate, hasFailed: boolean): void {
  if (rate.attempts >= 1_000) {
    rate.attempts /= 2
    rate.failures /= 2
  }
  rate.attempts += 1
  if (hasFailed) rate.failures += 1
}

function decay (record: IHostRecord, nowMs: MonotonicMs): void {
  const factor = 2 ** ((record.countedAtMs - nowMs) / HALF_LIFE_MS)
  record.failures *= factor
  record.expectedFailures *= factor
  record.attempts *= factor
  record.countedAtMs = nowMs
}
