/**
 * Reaches the owner of a claim's id shard, in this process or another, through changes of owner.
 */

import { parseHolder } from '../../common/requests/ClaimHolder.js'

import type { ClaimReply, IClaimRequest } from '../../common/protocol/Types.js'
import type { ISchedulerRouter } from '../../common/routing/Types.js'
import type { IClock, IFinalAnswer, IProcessIdentity, ITimers } from '../../common/Types.js'
import type { IPeerHub } from '../../peer/Types.js'
import type { IClaimClient } from './Types.js'

/** One round trip between regions is about 40 ms, a group commit about as long; beyond this the owner is asked anew. */
const CALL_TIMEOUT_MS = 1000
const PAUSE_MS = 50
const UNAVAILABLE_RETRY_MS = 1000

/** Claims as the owner of an id shard answers them. */
export interface IClaimOwner {
  claim (ask: IClaimRequest): Promise<ClaimReply>
  release (ask: IClaimRequest): Promise<{ readonly released: boolean }>
}

export interface IClaimClientContext {
  readonly self: IProcessIdentity
  readonly hub: IPeerHub
  readonly router: ISchedulerRouter
  /** The claims of the id shards that this process owns. */
  readonly local: IClaimOwner
  readonly localOutcomeOf: (attemptId: string, waitMs: number) => Promise<IFinalAnswer>
  readonly clock: IClock
  readonly timers: ITimers
}

export class ClaimClient implements IClaimClient {
  public constructor (private readonly _context: IClaimClientContext) {}

  /** Safe to repeat: the owner grants the same attempt again. */
  public async claim (ask: IClaimRequest, timeoutMs: number): Promise<ClaimReply> {
    const untilMs = this._context.clock.nowMs() + timeoutMs
    do {
      const reply = await this._claimOnce(ask)
      if (reply !== undefined && reply.decision !== 'notOwner') return reply
      await this._pause()
    } while (this._context.clock.nowMs() < untilMs)
    return { decision: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_MS }
  }

  public async release (ask: IClaimRequest): Promise<void> {
    const owner = this._context.router.ownerOf(ask.idShard)
    if (owner === this._context.self.processId) await this._context.local.release(ask)
    else if (owner !== undefined) await this._context.hub.link(owner)?.call('release', ask, CALL_TIMEOUT_MS)
  }

  public async outcomeOf (holder: string, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const { processId, incarnation } = parseHolder(holder)
    if (processId === this._context.self.processId) {
      if (incarnation === this._context.self.incarnation) return await this._context.localOutcomeOf(attemptId, waitMs)
      return unknownOutcome('the process that ran it has restarted')
    }
    return await this._remoteOutcomeOf(processId, incarnation, attemptId, waitMs)
  }

  private async _remoteOutcomeOf (processId: string, incarnation: number, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const link = this._context.hub.link(processId)
    if (link === undefined) return unknownOutcome('the process that ran it cannot be reached')
    if (link.peer.incarnation !== incarnation) return unknownOutcome('the process that ran it has restarted')
    const reply = await link.call('outcomeOf', { attemptId, waitMs }, waitMs + CALL_TIMEOUT_MS)
    return reply.unwrapOr(unknownOutcome('the process that ran it fell silent'))
  }

  private async _claimOnce (ask: IClaimRequest): Promise<ClaimReply | undefined> {
    const owner = this._context.router.ownerOf(ask.idShard)
    if (owner === undefined) return undefined
    if (owner === this._context.self.processId) return await this._context.local.claim(ask)
    const reply = await this._context.hub.link(owner)?.call('claim', ask, CALL_TIMEOUT_MS)
    return reply?.unwrapOr(undefined)
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._context.timers.after(PAUSE_MS, resolve) })
  }
}

function unknownOutcome (detail: string): IFinalAnswer {
  return { outcome: 'unknown', reason: 'duplicate', detail }
}
