/**
 * Sends claim requests to the owner of the id shard, in this process or another, and retries while the owner changes.
 */

import { parseHolder } from '../../common/requests/ClaimHolder.js'

import type { ClaimReply, IClaimRequest } from '../../common/protocol/Types.js'
import type { ISchedulerRouter } from '../../common/routing/Types.js'
import type { IClock, IFinalAnswer, IProcessIdentity, ITimers } from '../../common/Types.js'
import type { IPeerHub } from '../../peer/Types.js'
import type { IClaimClient } from './Types.js'

/** A round trip between regions takes about 40 ms, and a group commit about as long. After this time the call is repeated. */
const CALL_TIMEOUT_MS = 1000
const OWNER_RETRY_MS = 50
const UNAVAILABLE_RETRY_MS = 1000
/** The pause before the first repeat of a release; it doubles each time, so that the repeats cover a takeover and half a minute of outage. */
const FIRST_RELEASE_RETRY_MS = 1000
/** During an outage, each non-idempotent request may need a release. More tries would overload the owners when they return. */
const MAX_RELEASE_TRIES = 6

/** The calls that the owner of an id shard answers. */
export interface IClaimOwner {
  claim (request: IClaimRequest): Promise<ClaimReply>
  release (request: IClaimRequest): Promise<{ readonly released: boolean }>
}

export interface IClaimClientContext {
  readonly self: IProcessIdentity
  readonly hub: IPeerHub
  readonly router: ISchedulerRouter
  /** The claims of the id shards that this process owns. */
  readonly local: IClaimOwner
  /** Whether this process considers the store reachable. */
  readonly storeReachable: () => boolean
  readonly localOutcomeOf: (attemptId: string, waitMs: number) => Promise<IFinalAnswer>
  readonly clock: IClock
  readonly timers: ITimers
}

export class ClaimClient implements IClaimClient {
  public constructor (private readonly _context: IClaimClientContext) {}

  /** Requests a claim until the owner decides or `timeoutMs` is over. Repeats are safe: the owner grants the same attempt again. */
  public async claim (request: IClaimRequest, timeoutMs: number): Promise<ClaimReply> {
    const untilMs = this._context.clock.nowMs() + timeoutMs
    do {
      const reply = await this._claimOnce(request)
      if (reply !== undefined && reply.decision !== 'notOwner') return reply
      // Without the store, no process can become the owner, so waiting would only delay the caller.
      if (!this._context.storeReachable()) break
      await this._waitFor(OWNER_RETRY_MS)
    } while (this._context.clock.nowMs() < untilMs)
    return { decision: 'unavailable', retryAfterMs: UNAVAILABLE_RETRY_MS }
  }

  public async release (request: IClaimRequest): Promise<void> {
    await this._releaseOnce(request)
  }

  /**
   * Releases a claim in the background. During a store outage, a claim may be in doubt and its holder is answered
   * `unavailable`; the claim may then become durable under a new owner of the shard, which can't know that it was granted
   * to nobody. Without a release, the request would never have run, and no repeat could run it. The number of tries is
   * small, because most such claims were never stored.
   */
  public releaseLater (request: IClaimRequest): void {
    this._releaseRepeatedly(request)
  }

  public async outcomeOf (holder: string, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const { processId, incarnation } = parseHolder(holder)
    if (processId === this._context.self.processId) {
      if (incarnation === this._context.self.incarnation) return await this._context.localOutcomeOf(attemptId, waitMs)
      return unknownOutcome('the process that ran the request has restarted')
    }
    return await this._remoteOutcomeOf(processId, incarnation, attemptId, waitMs)
  }

  private async _remoteOutcomeOf (processId: string, incarnation: number | undefined, attemptId: string, waitMs: number): Promise<IFinalAnswer> {
    const link = this._context.hub.link(processId)
    if (link === undefined) return unknownOutcome('the process that ran the request cannot be reached')
    if (link.peer.incarnation !== incarnation) return unknownOutcome('the process that ran the request has restarted')
    const reply = await link.call('outcomeOf', { attemptId, waitMs }, waitMs + CALL_TIMEOUT_MS)
    return reply.unwrapOr(unknownOutcome('the process that ran the request did not answer'))
  }

  private async _claimOnce (request: IClaimRequest): Promise<ClaimReply | undefined> {
    const owner = this._context.router.ownerOf(request.idShard)
    if (owner === undefined) return undefined
    if (owner === this._context.self.processId) return await this._context.local.claim(request)
    const reply = await this._context.hub.link(owner)?.call('claim', request, CALL_TIMEOUT_MS)
    return reply?.unwrapOr(undefined)
  }

  private async _releaseRepeatedly (request: IClaimRequest): Promise<void> {
    for (let tries = 0; tries < MAX_RELEASE_TRIES; tries += 1) {
      if (await this._releaseOnce(request)) return
      await this._waitFor(FIRST_RELEASE_RETRY_MS * 2 ** tries)
    }
  }

  private async _releaseOnce (request: IClaimRequest): Promise<boolean> {
    const owner = this._context.router.ownerOf(request.idShard)
    if (owner === undefined) return false
    if (owner === this._context.self.processId) return (await this._context.local.release(request)).released
    const reply = await this._context.hub.link(owner)?.call('release', request, CALL_TIMEOUT_MS)
    return reply?.isOk() === true && reply.value.released
  }

  private async _waitFor (pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => { this._context.timers.after(pauseMs, resolve) })
  }
}

function unknownOutcome (detail: string): IFinalAnswer {
  return { outcome: 'unknown', reason: 'duplicate', detail }
}
