/**
 * Requests tickets for hosts that are known to be allowed for a step: those that the placement chose, and those that the step will
 * use next.
 *
 * Designed for batch steps of dozens of tasks in a full cell. Capacity becomes free for one task at a time, and each call takes tens
 * of milliseconds and more during which that capacity is idle. With a call for each placement, a step makes several calls of one
 * host each; naming the hosts that become free while the tickets are valid costs little more, and their tasks start without a call.
 */

import { expectedAdviceMs } from './AdviceRequester.js'
import { forecastPlaceTimes } from './HostForecast.js'
import { allowedHosts } from './Placement.js'

import type { IClock, MonotonicMs } from '../Types.js'
import type { AdviceRequester } from './AdviceRequester.js'
import type { Attempt } from './Attempt.js'
import type { IReservation } from './CapacityReservations.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { IResources } from './Resources.js'
import type { RunController } from './RunController.js'

/** Tickets of a waiting gang are renewed this many ms before the advice service's answer is needed. */
const ADVICE_AHEAD_MS = 300
/** The maximum number of hosts whose tickets are renewed in advance: the call takes a few milliseconds longer for each. */
const MAX_HOSTS_AHEAD = 12

export class TicketRenewal {
  public constructor (
    private readonly _hosts: ReadonlyMap<string, HostState>,
    private readonly _advice: Pick<AdviceRequester, 'requestAdvice'>,
    private readonly _runs: Pick<RunController, 'drop' | 'orderReady'>,
    private readonly _clock: IClock,
    /** The resources on a host that the step has to leave free. */
    private readonly _headroom: (host: HostState, step: Step) => IResources
  ) {}

  /** Renews the tickets of a waiting gang so that they are valid when the capacity that is reserved for it becomes free. */
  public renewForReservation (step: Step, { hosts, waitMs }: IReservation): void {
    const { advice } = step
    const nowMs = this._clock.nowMs()
    if (advice === undefined || step.job.queue.advice === undefined) return
    const callMs = expectedAdviceMs(step, hosts.length) + ADVICE_AHEAD_MS
    if (waitMs > callMs || advice.hasTicketCalls || advice.hasLaterCallsFor('tickets') || nowMs < advice.retryAtMs) return
    const expiring = hosts.filter((host) => !hasTicket(step, host, nowMs + callMs))
    if (expiring.length === 0) return
    this._advice.requestAdvice(step, expiring.map(({ hostId }) => hostId), 'tickets', 'later', () => { this._runs.orderReady(step) })
  }

  /** Requests the tickets that prepared runs of the step lack. Runs that get none are dropped and placed again. */
  public requestMissing (step: Step): void {
    const { advice } = step
    if (step.job.queue.advice === undefined || advice === undefined || advice.hasTicketCalls) return
    const waiting = step.tasks.flatMap(({ attempt }) => attempt?.phase === 'preparing' ? [attempt] : [])
    const isMissing = (attempt: Attempt, atMs: MonotonicMs): boolean => !hasTicket(step, attempt.host, atMs)
    const nowMs = this._clock.nowMs()
    if (!waiting.some((attempt) => isMissing(attempt, nowMs))) return
    // A gang needs all its tickets at once, so tickets that would expire during the call are renewed with the missing ones.
    const validAtMs = nowMs + (step.spec.gang ? expectedAdviceMs(step, waiting.length) : 0)
    const requested = waiting.filter((attempt) => isMissing(attempt, validAtMs))
    const hosts = new Set([...requested.map(({ host }) => host), ...this._hostsUsedSoon(step, nowMs)])
    this._advice.requestAdvice(step, [...hosts].map(({ hostId }) => hostId), 'tickets', 'now', () => {
      this._runs.drop(requested.filter((attempt) => isMissing(attempt, this._clock.nowMs())))
      this._runs.orderReady(step)
    })
  }

  /** The hosts without a ticket that will have room for idle tasks of the step while tickets requested now are valid, the soonest first. */
  private _hostsUsedSoon (step: Step, nowMs: MonotonicMs): readonly HostState[] {
    const idleCount = step.tasks.filter((task) => task.isIdle).length
    if (step.spec.gang || idleCount === 0) return []
    const callMs = expectedAdviceMs(step, MAX_HOSTS_AHEAD)
    const horizonMs = callMs + (step.job.queue.advice?.validMs ?? 0)
    const soon: { readonly host: HostState, readonly waitMs: number }[] = []
    for (const host of allowedHosts(step, this._hosts)) {
      if (!host.isPlaceable(nowMs) || hasTicket(step, host, nowMs + callMs)) continue
      const [waitMs] = forecastPlaceTimes(host, step.spec, this._headroom(host, step), nowMs, horizonMs)
      if (waitMs !== undefined) soon.push({ host, waitMs })
    }
    soon.sort((a, b) => a.waitMs - b.waitMs)
    return soon.slice(0, Math.min(idleCount, MAX_HOSTS_AHEAD)).map(({ host }) => host)
  }
}

function hasTicket ({ advice }: Step, { hostId, bornMs }: HostState, atMs: MonotonicMs): boolean {
  return advice?.findTicket(hostId, bornMs, atMs) !== undefined
}
