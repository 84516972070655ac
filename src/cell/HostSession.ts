/**
 * Polls one host continuously: renews the owner's lease on it, and learns of ended runs immediately through long polls.
 */

import { MIN_POLL_WAIT_MS } from '../common/cell/PollWait.js'

import type { HostState } from '../common/cell/HostState.js'
import type { HoldOutcome, IHoldOrder, IHostEntry } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { EpochMs, IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'

export interface IHostSessionEffects {
  hold (host: IHostEntry, order: IHoldOrder, signal: AbortSignal): Promise<HoldOutcome>
  /** Until when the owner may hold a lease on the host, by the monotonic clock: no longer than it can be sure of its ownership. */
  holdUntilMs (): MonotonicMs
  onHeld (host: HostState, answer: Extract<HoldOutcome, { kind: 'held' }>['answer'], sentAtMs: MonotonicMs): void
  onFenced (host: HostState): void
  /** This owner has no further fencing token for the host. */
  onFenceExhausted (host: HostState): void
  /** The host answers a poll after one without an answer, or for the first time in a new incarnation. */
  onRegained (host: HostState): void
  /** The host does not answer. */
  onFailure (host: HostState): void
  /** How long the host's next poll may wait for a run to end, in ms. */
  pollWaitMs (host: HostState): number
}

const RETRY_DELAY_MS = 200
/** While ends can't be acknowledged because a start has no answer, the host is polled again after this time, in ms: a round trip. */
const START_ANSWER_DELAY_MS = 100
/** A series of failed polls is logged once, when it reaches this length. */
const FAILURES_TO_LOG = 3

export class HostSession implements IDisposable {
  /** Aborts the present poll. */
  private _poll = new AbortController()
  private _isDisposed = false
  private _isInterrupted = false
  /** Whether the host answers the next poll without waiting for a run to end. */
  private _isUrgent = false
  private _failures = 0
  /** The last error that was logged; empty after an answer. */
  private _error = ''

  public constructor (
    public readonly host: HostState,
    private readonly _effects: IHostSessionEffects,
    private readonly _maxHoldMs: number,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {}

  public start (): void {
    this._run().catch((error: unknown) => { this._recordError(error) })
  }

  public dispose (): void {
    this._isDisposed = true
    this._poll.abort()
  }

  /** Interrupts the present poll, and asks for an answer at once: whether the host still serves matters now. */
  public pollNow (): void {
    this._isUrgent = true
    this._isInterrupted = true
    this._poll.abort()
  }

  private async _run (): Promise<void> {
    while (!this._isDisposed) {
      try {
        await this._pollOnce()
      } catch (error) {
        this.host.recordUnansweredPoll(this._clock.nowMs())
        this._recordError(error)
        await this._pause()
      }
    }
  }

  private async _pollOnce (): Promise<void> {
    if (this.host.isFenceExhausted) this._effects.onFenceExhausted(this.host)
    const sentAtMs = this._clock.nowMs()
    this._poll = new AbortController()
    this._isInterrupted = false
    const order = this._createHoldOrder(sentAtMs)
    const outcome = await this._effects.hold(this.host.entry, order, this._poll.signal)
    if (this._isDisposed) return
    if (outcome.kind !== 'held') this.host.recordUnansweredPoll(this._clock.nowMs())
    if (this._isInterrupted && outcome.kind === 'failed') return
    if (outcome.kind === 'held') {
      this._recordAnswer(outcome.answer.bornMs, order.acknowledgedSequence)
      this._effects.onHeld(this.host, outcome.answer, sentAtMs)
      await this._awaitEndsAcknowledgeable()
      this._error = ''
      return
    }
    if (outcome.kind === 'fenced') this._effects.onFenced(this.host)
    this._recordFailure(outcome, sentAtMs)
    this._effects.onFailure(this.host)
    await this._pause()
  }

  /** Guards against a session that ends for good: a host without one gets no work, also once the cause of the error is gone. */
  private _recordError (error: unknown): void {
    const reason = String(error)
    if (reason === this._error) return
    this._error = reason
    this._log.error('host.sessionFailed', { host: this.host.hostId, address: this.host.entry.address, reason })
  }

  private _createHoldOrder (nowMs: MonotonicMs): IHoldOrder {
    const { host } = this
    const { fence, sequenceToAcknowledge: acknowledgedSequence } = host
    // The first poll only reads the host's clock.
    if (!host.hasClock) return { fence, acknowledgedSequence, deadlineMs: undefined, waitMs: 0 }
    const deadlineMs = host.nextDeadline(nowMs, this._maxHoldMs, this._effects.holdUntilMs())
    // A host that was silent answers at once, so that its lease is renewed without delay, and so does one that has to learn its fence.
    if (this._isUrgent || !host.isFenced || !host.isInContact(nowMs)) return { fence, acknowledgedSequence, deadlineMs, waitMs: 0 }
    host.pollWaitMs = this._effects.pollWaitMs(host)
    return { fence, acknowledgedSequence, deadlineMs, waitMs: host.pollWaitMs }
  }

  private _recordAnswer (bornMs: EpochMs, acknowledgedSequence: number): void {
    if (this._failures > 0 || bornMs !== this.host.bornMs) this._effects.onRegained(this.host)
    if (this._failures >= FAILURES_TO_LOG) this._log.info('host.regained', { host: this.host.hostId })
    this._failures = 0
    this._isUrgent = false
    this.host.recordAnsweredPoll(bornMs, acknowledgedSequence)
  }

  private _recordFailure (outcome: HoldOutcome, sentAtMs: MonotonicMs): void {
    // The answer that the poll could have waited for won't come: without this, a host that has crashed would get work for seconds.
    this.host.pollWaitMs = MIN_POLL_WAIT_MS
    this._failures += 1
    const reason = outcome.kind === 'failed' ? outcome.reason : outcome.kind
    const hasAnswered = outcome.kind === 'fenced' || (outcome.kind === 'failed' && outcome.hasAnswered === true)
    if (hasAnswered) this.host.recordPollAnswer()
    else this._recordPossibleDeparture(reason, sentAtMs)
    if (this._failures !== FAILURES_TO_LOG) return
    this._log.warn('host.silent', { host: this.host.hostId, reason })
  }

  private _recordPossibleDeparture (reason: string, sentAtMs: MonotonicMs): void {
    const { host } = this
    if (!host.isUnregistered) return
    this._isUrgent = true
    const hadLeft = host.hasLeft
    host.recordPollFailure(sentAtMs)
    if (host.hasLeft && !hadLeft) this._log.info('host.left', { host: host.hostId, bornMs: host.bornMs, runs: host.attempts.size, reason })
  }

  /**
   * Waits until the ends that the host listed are stored and can be acknowledged, but not longer than the retry delay.
   *
   * A host answers at once as long as it has unacknowledged ends. Without this wait it would be polled hundreds of times a second while the
   * store is slow or unavailable, or while a start has no answer.
   */
  private async _awaitEndsAcknowledgeable (): Promise<void> {
    const { host } = this
    if (!host.isFenced) return
    if (host.storedSequence < host.appliedSequence) await Promise.race([host.endsStored, this._pause()])
    if (host.hasUnacknowledgedEnds && !host.areAllStartsKnown) await this._pause(START_ANSWER_DELAY_MS)
  }

  private async _pause (delayMs = RETRY_DELAY_MS): Promise<void> {
    await new Promise<void>((resolve) => { this._clock.after(delayMs, resolve) })
  }
}
