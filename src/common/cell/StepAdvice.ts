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
  /** The number of calls that wait or are in flight, apart from those that wait for later. */
  private readonly _calls: Record<AdviceReason, number> = { hosts: 0, tickets: 0 }
  /** The number of calls that wait and that the step couldn't start with now. */
  private readonly _laterCalls: Record<AdviceReason, number> = { hosts: 0, tickets: 0 }
  /** How often calls were made that the step could start with: they replace those that still wait for later. */
  private readonly _rounds: Record<AdviceReason, number> = { hosts: 0, tickets: 0 }
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

  /** Records that calls were made. Returns the number of the round, which later calls of the same reason don't share. */
  public recordCalls (calls: number, reason: AdviceReason, isForLater: boolean, nowMs: MonotonicMs): number {
    if (isForLater) this._laterCalls[reason] += calls
    else {
      this._calls[reason] += calls
      this._rounds[reason] += 1
    }
    this.lastCallAtMs = nowMs
    return this._rounds[reason]
  }

  /** Records that a call that waited for later was sent: its answer is near, so the step waits for it as for any other. */
  public recordLaterSent (reason: AdviceReason): void {
    this._laterCalls[reason] -= 1
    this._calls[reason] += 1
  }

  /** Records that a call has ended, with an answer or without. */
  public recordCallEnd (reason: AdviceReason, isWaitingForLater: boolean): void {
    (isWaitingForLater ? this._laterCalls : this._calls)[reason] -= 1
  }

  public hasLaterCallsFor (reason: AdviceReason): boolean {
    return this._laterCalls[reason] > 0
  }

  /** Whether no calls of the reason were made since that replace those of the round which wait for later. */
  public isLastRound (round: number, reason: AdviceReason): boolean {
    return this._rounds[reason] === round
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
