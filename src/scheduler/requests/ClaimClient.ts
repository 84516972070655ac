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
/** The first pause before a release is repeated, doubled each time: the repeats span a takeover and half a minute of outage. */
const RELEASE_PAUSE_MS = 1000
/** In an outage each non-idempotent request may need its release; more would load the owners when they come back. */
const MAX_RELEASES = 6

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
  /** Whether this process can reach the store, as far as it knows. */
  readonly storeReachable: () => boolean
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
      // Without the store nobody can become the owner: waiting would only hold the caller back.
      if (!this._context.storeReachable()) break
      await this._pause(PAUSE_MS)
    } while (this._context.clock.nowMs() < untilMs)
    return { decision: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_MS }
  }

  public async release (ask: IClaimRequest): Promise<void> {
    await this._releaseOnce(ask)
  }

  /**
   * Made for an outage of the store: a claim was in doubt, its holder was told `unavailable`, and it proves durable
   * under a new owner of the shard, which can't tell that nobody was granted it. One would see an id that ran nowhere
   * and that no repeat can run. The tries are few, because most such claims were never stored.
   */
  public releaseLater (ask: IClaimRequest): void {
    this._releaseRepeatedly(ask)
  }

  public async outcomeOf (holder: string, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const { processId, incarnation } = parseHolder(holder)
    if (processId === this._context.self.processId) {
      if (incarnation === this._context.self.incarnation) return await this._context.localOutcomeOf(attemptId, waitMs)
      return unknownOutcome('the process that ran it has restarted')
    }
    return await this._remoteOutcomeOf(processId, incarnation, attemptId, waitMs)
  }

  private async _remoteOutcomeOf (processId: string, incarnation: number | undefined, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
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

  private async _releaseRepeatedly (ask: IClaimRequest): Promise<void> {
    for (let tries = 0; tries < MAX_RELEASES; tries += 1) {
      if (await this._releaseOnce(ask)) return
      await this._pause(RELEASE_PAUSE_MS * 2 ** tries)
    }
  }

  private async _releaseOnce (ask: IClaimRequest): Promise<boolean> {
    const owner = this._context.router.ownerOf(ask.idShard)
    if (owner === undefined) return false
    if (owner === this._context.self.processId) return (await this._context.local.release(ask)).released
    const reply = await this._context.hub.link(owner)?.call('release', ask, CALL_TIMEOUT_MS)
    return reply?.isOk() === true && reply.value.released
  }

  private async _pause (pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this._context.timers.after(pauseMs, resolve) })
  }
}

function unknownOutcome (detail: string): IFinalAnswer {
  return { outcome: 'unknown', reason: 'duplicate', detail }
}
