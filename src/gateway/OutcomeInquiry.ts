/**
 * Finds out what became of a non-idempotent attempt whose scheduler fell silent.
 *
 * What goes wrong: the link is lost after the request went out, and the scheduler may not have begun, may be about
 * to dispatch, or may have dispatched. Calling that "not run" would be a guess: callers would see work that they
 * were told had not happened. So the owner of the claim is asked to block the attempt. If it had no claim it can
 * never get one now, and "not run" is a fact; if it had, its holder alone knows the outcome.
 */

import { parseHolder } from '../common/requests/ClaimHolder.js'

import type { BlockReply, IClaimRequest } from '../common/protocol/Types.js'
import type { IFinalAnswer } from '../common/Types.js'
import type { IFlowContext, IRoutedRequest } from './Types.js'

/** An inquiry that has no result by then ends as unknown: a takeover of the claim's shard takes a few seconds. */
const MAX_INQUIRY_MS = 5000
const BLOCK_TIMEOUT_MS = 1000
const PAUSE_MS = 100

export class OutcomeInquiry {
  public constructor (private readonly _context: IFlowContext) {}

  public async settle (request: IRoutedRequest, attemptId: string, schedulerId: string): Promise<IFinalAnswer> {
    const untilMs = this._context.clock.nowMs() + MAX_INQUIRY_MS
    const claimKey = this._context.hasher.claimKey(request.caller, request.requestId)
    const toAsk = (): IClaimRequest => ({
      idShard: this._context.hasher.idShard(claimKey),
      claimKey,
      attemptId,
      holder: schedulerId,
      ageMs: this._context.clock.nowMs() - request.arrivedAtMs
    })
    while (this._context.clock.nowMs() < untilMs) {
      const reply = await this._block(toAsk())
      if (reply?.decision === 'blocked') return this._notRun(request)
      if (reply?.decision === 'claimed') return await this._askHolder(request, attemptId, reply.holder, untilMs)
      await this._pause()
    }
    return this._unknown(request, 'the owner of its claim could not be asked')
  }

  private async _block (ask: IClaimRequest): Promise<BlockReply | undefined> {
    const owner = this._context.router.ownerOf(ask.idShard)
    const link = owner === undefined ? undefined : this._context.hub.link(owner)
    const reply = await link?.call('block', ask, BLOCK_TIMEOUT_MS)
    return reply?.unwrapOr(undefined)
  }

  private async _askHolder (request: IRoutedRequest, attemptId: string, holder: string, untilMs: number): Promise<IFinalAnswer> {
    const { processId, incarnation } = parseHolder(holder)
    while (this._context.clock.nowMs() < untilMs) {
      const link = this._context.hub.link(processId)
      // One that has restarted has forgotten what its earlier incarnation dispatched.
      const isGone = link !== undefined && link.peer.incarnation !== incarnation
      if (isGone) return this._unknown(request, 'it was claimed by a scheduler that has restarted')
      const waitMs = untilMs - this._context.clock.nowMs()
      const reply = await link?.call('outcomeOf', { attemptId, waitMs }, waitMs)
      if (reply?.isOk() === true) return reply.value
      await this._pause()
    }
    return this._unknown(request, 'it was claimed, and its scheduler could not be asked')
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._context.timers.after(PAUSE_MS, resolve) })
  }

  private _notRun (request: IRoutedRequest): IFinalAnswer {
    return { outcome: 'notRun', reason: 'linkLost', retryAfterMs: PAUSE_MS, profileRevision: request.profileRevision }
  }

  private _unknown (request: IRoutedRequest, detail: string): IFinalAnswer {
    return { outcome: 'unknown', reason: 'linkLost', detail, profileRevision: request.profileRevision }
  }
}
