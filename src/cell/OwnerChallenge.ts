/**
 * Takes the cell over from an owner that can't reach the store, after a check that this process can reach it and that the owner still can't.
 *
 * Such an owner loses its lease a second later in any case. Until then it can accept no job, and its callers would be told to retry
 * although any other process could serve them. But a store that was unavailable for all processes comes back for all: if the cell were
 * taken from a working owner, it would have no owner just when all callers return.
 */

import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IRandom, ITimers, MonotonicMs } from '../common/Types.js'
import type { Ownership } from './Ownership.js'
import type { IOwnerRecord } from './Types.js'

/** Outcome of a challenge: the owner keeps the cell if it reaches the store, and if neither process does. */
export type ChallengeOutcome = 'takesOver' | 'ownerIsWell' | 'bothAway'

/** How long the result of a comparison is used for all callers, in ms. */
const RESULT_VALID_MS = 500
/**
 * While the store is unavailable for both processes, callers are refused at once by the last result, for this long in ms, and the next
 * comparison runs in the background: twice the duration of a comparison. A caller that waits for a comparison is held for 0.3 s of its 3 s.
 */
const BOTH_AWAY_VALID_MS = 1000
/** If the result is older than this, in ms, the owner is asked again before the takeover. */
const STALE_RESULT_MS = 200
/** A takeover is delayed by a random part of this, in ms, so that two processes rarely start at the same time. */
const TAKEOVER_JITTER_MS = 120

export class OwnerChallenge {
  private _comparedAtMs: MonotonicMs = -Infinity
  private _comparison: Promise<ChallengeOutcome> = Promise.resolve('bothAway')
  /** When the last comparison found that the store is unavailable for both; -Infinity if it found otherwise. */
  private _bothAwayAtMs: MonotonicMs = -Infinity

  public constructor (
    private readonly _ownership: Pick<Ownership, 'isOwner' | 'checkStoreReachable' | 'takeOver' | 'yieldMs'>,
    private readonly _clock: IClock & ITimers,
    private readonly _random: IRandom,
    private readonly _log: ILogger
  ) {}

  /** @param checkOwnerReachesStore asks the owner whether it reaches the store now */
  public async challenge (from: IOwnerRecord, checkOwnerReachesStore: () => Promise<boolean>): Promise<ChallengeOutcome> {
    if (this._clock.nowMs() - this._comparedAtMs > RESULT_VALID_MS) {
      this._comparedAtMs = this._clock.nowMs()
      this._comparison = this._compareReach(checkOwnerReachesStore)
    }
    if (this._clock.nowMs() - this._bothAwayAtMs < BOTH_AWAY_VALID_MS) return 'bothAway'
    const outcome = await this._comparison
    if (outcome === 'takesOver') this._takeOverUnlessBack(from, checkOwnerReachesStore)
    return outcome
  }

  private async _compareReach (checkOwnerReachesStore: () => Promise<boolean>): Promise<ChallengeOutcome> {
    const ownReach = this._ownership.checkStoreReachable()
    // A process has no link to itself that could carry the question.
    const [isReached, isReachedByOwner] = await Promise.all([ownReach, this._ownership.isOwner ? ownReach : checkOwnerReachesStore()])
    const isAway = !isReached && !isReachedByOwner
    this._bothAwayAtMs = isAway ? this._clock.nowMs() : -Infinity
    if (isReachedByOwner) return 'ownerIsWell'
    return isReached ? 'takesOver' : 'bothAway'
  }

  /** Asks the owner again after a long delay, because it may reach the store by then. */
  private _takeOverUnlessBack (from: IOwnerRecord, checkOwnerReachesStore: () => Promise<boolean>): void {
    const delayMs = this._ownership.yieldMs + this._random.next() * TAKEOVER_JITTER_MS
    this._clock.after(delayMs, () => {
      const isBack = delayMs > STALE_RESULT_MS ? checkOwnerReachesStore() : Promise.resolve(false)
      isBack.then((back) => { if (!back) this._ownership.takeOver(from) },
        (error: unknown) => { this._log.error('owner.takeFailed', { reason: String(error) }) })
    })
  }
}
