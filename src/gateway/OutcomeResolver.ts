/**
 * Determines the outcome of a non-idempotent attempt whose scheduler stopped answering.
 *
 * When the link is lost after the request was sent, the scheduler may not have started the attempt, may be about to
 * dispatch it, or may have dispatched it. Reporting "not run" would be a guess, and callers could be told that work had
 * not happened although it had. So the owner of the claim is asked to block the attempt. If the attempt had no claim, it
 * can never get one now, and "not run" is certain. If it had one, only the holder of the claim knows the outcome.
 */

import { parseHolder } from '../common/requests/ClaimHolder.js'

import type { BlockReply, IClaimRequest } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IForwarderContext, IRoutedRequest } from './Types.js'

/** The outcome is unknown if it isn't determined in this time. A takeover of the claim's shard takes a few seconds. */
const MAX_RESOLVE_MS = 5000
const BLOCK_TIMEOUT_MS = 1000
const RETRY_DELAY_MS = 100

export class OutcomeResolver {
  public constructor (private readonly _context: IForwarderContext) {}

  public async resolve (request: IRoutedRequest, attemptId: string, schedulerId: string): Promise<IFinalAnswer> {
    const endAtMs = this._context.clock.nowMs() + MAX_RESOLVE_MS
    const claimKey = this._context.hasher.claimKey(request.caller, request.requestId)
    const createClaimRequest = (): IClaimRequest => ({
      idShard: this._context.hasher.idShard(claimKey),
      claimKey,
      attemptId,
      holder: schedulerId,
      ageMs: this._context.clock.nowMs() - request.arrivedAtMs
    })
    while (this._context.clock.nowMs() < endAtMs) {
      const reply = await this._blockAttempt(createClaimRequest())
      if (reply?.decision === 'blocked') return this._notRunAnswer(request)
      if (reply?.decision === 'claimed') return await this._askHolder(request, attemptId, reply.holder, endAtMs)
      await this._delayRetry()
    }
    return this._unknownAnswer(request, 'the owner of the claim did not answer')
  }

  private async _blockAttempt (claim: IClaimRequest): Promise<BlockReply | undefined> {
    const owner = this._context.router.ownerOf(claim.idShard)
    const link = owner === undefined ? undefined : this._context.hub.link(owner)
    const reply = await link?.call('block', claim, BLOCK_TIMEOUT_MS)
    return reply?.unwrapOr(undefined)
  }

  private async _askHolder (request: IRoutedRequest, attemptId: string, holder: string, endAtMs: number): Promise<IFinalAnswer> {
    const { processId, incarnation } = parseHolder(holder)
    while (this._context.clock.nowMs() < endAtMs) {
      const link = this._context.hub.link(processId)
      // A restarted scheduler does not know what its earlier incarnation dispatched.
      const hasRestarted = link !== undefined && link.peer.incarnation !== incarnation
      if (hasRestarted) return this._unknownAnswer(request, 'the scheduler that claimed the attempt has restarted')
      const waitMs = endAtMs - this._context.clock.nowMs()
      const reply = await link?.call('outcomeOf', { attemptId, waitMs }, waitMs)
      if (reply?.isOk() === true) return reply.value
      await this._delayRetry()
    }
    return this._unknownAnswer(request, 'the scheduler that claimed the attempt could not be asked')
  }

  private async _delayRetry (): Promise<void> {
    await new Promise<void>((resolve) => { this._context.timers.after(RETRY_DELAY_MS, resolve) })
  }

  private _notRunAnswer (request: IRoutedRequest): IFinalAnswer {
    return { outcome: 'notRun', reason: 'linkLost', retryAfterMs: RETRY_DELAY_MS, profileRevision: request.profileRevision }
  }

  private _unknownAnswer (request: IRoutedRequest, detail: string): IFinalAnswer {
    return { outcome: 'unknown', reason: 'linkLost', detail, profileRevision: request.profileRevision }
  }
}
