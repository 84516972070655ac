/**
 * The advice service's answers for one step: the hosts that may run it, which never change, and tickets for them, which expire.
 */

import type { EpochMs, MonotonicMs } from '../Types.js'
import type { ITicket } from './Types.js'

/** A ticket is not used in the last part of its validity, in ms: the order still has to be recorded and to reach the host. */
const TICKET_MARGIN_MS = 200

/** Why a call is made: to learn which hosts are allowed, or to renew tickets for hosts that are. */
export type AdviceReason = 'hosts' | 'tickets'

interface ICachedTicket {
  readonly ticket: string
  readonly validUntilMs: MonotonicMs
  /** A ticket is valid for one incarnation of its host. */
  readonly bornMs: EpochMs
}

export class StepAdvice {
  private readonly _tickets = new Map<string, ICachedTicket>()
  private readonly _asked = new Set<string>()
  /** The number of calls that wait or are in flight. */
  private readonly _calls: Record<AdviceReason, number> = { hosts: 0, tickets: 0 }
  public lastCallAtMs: MonotonicMs = -Infinity
  /** No call is made before this time, set after a failed call. */
  public retryAtMs: MonotonicMs = -Infinity
  /** Whether a first answer has arrived. */
  public hasAnswer = false
  /** When to check again whether the step needs more hosts than it may use so far. */
  public nextCheckAtMs: MonotonicMs = -Infinity

  public get hasCalls (): boolean {
    return this._calls.hosts > 0 || this._calls.tickets > 0
  }

  /** Whether tickets for allowed hosts are being requested. Calls about further hosts don't count: the step can start without their answers. */
  public get hasTicketCalls (): boolean {
    return this.hasCallsFor('tickets')
  }

  /** Records that calls were made. */
  public recordCalls (calls: number, reason: AdviceReason, nowMs: MonotonicMs): void {
    this._calls[reason] += calls
    this.lastCallAtMs = nowMs
  }

  /** Records that a call has ended, with an answer or without. */
  public recordCallEnd (reason: AdviceReason): void {
    this._calls[reason] -= 1
  }

  public hasCallsFor (reason: AdviceReason): boolean {
    return this._calls[reason] > 0
  }

  public allows (hostId: string): boolean {
    return this._tickets.has(hostId)
  }

  public wasAsked (hostId: string): boolean {
    return this._asked.has(hostId)
  }

  /** The hosts that may run the step, among those named to the service so far. */
  public allowedHostIds (): Iterable<string> {
    return this._tickets.keys()
  }

  /** A ticket that is valid for an order sent at the given time. */
  public findTicket (hostId: string, bornMs: EpochMs, atMs: MonotonicMs): string | undefined {
    const cached = this._tickets.get(hostId)
    if (cached === undefined || cached.bornMs !== bornMs || cached.validUntilMs - TICKET_MARGIN_MS < atMs) return undefined
    return cached.ticket
  }

  /**
   * Records an answer.
   *
   * @param validUntilMs counted from the earliest time at which the service can have answered
   */
  public recordAnswer (
    askedHostIds: readonly string[], allowed: readonly ITicket[], validUntilMs: MonotonicMs, bornOf: (hostId: string) => EpochMs | undefined
  ): void {
    for (const hostId of askedHostIds) this._asked.add(hostId)
    for (const { hostId, ticket } of allowed) {
      this._tickets.set(hostId, { ticket, validUntilMs, bornMs: bornOf(hostId) ?? 0 })
    }
    this.hasAnswer = true
  }

  /** Expires a ticket that its host refused, so that a new one is requested before the next order. */
  public expireTicket (hostId: string): void {
    const cached = this._tickets.get(hostId)
    if (cached !== undefined) this._tickets.set(hostId, { ...cached, validUntilMs: 0 })
  }
}
