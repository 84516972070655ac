/**
 * Looks at one host without a break, holds what runs there, and hears of each end as soon as it comes.
 */

import type { HostState } from '../common/cell/HostState.js'
import type { HoldOutcome, IHoldOrder, IHostEntry } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'

export interface IHostSessionEffects {
  hold (host: IHostEntry, order: Omit<IHoldOrder, 'fence'>, signal: AbortSignal): Promise<HoldOutcome>
  /** Until when the host may be held, by the monotonic clock: not longer than this owner can know that it is one. */
  holdUntilMs (): MonotonicMs
  onHeld (host: HostState, answer: Extract<HoldOutcome, { kind: 'held' }>['answer'], sentAtMs: MonotonicMs): void
  onFenced (host: HostState): void
  /** The host does not answer; gives whether there is nothing left to wait for. */
  onSilent (host: HostState): boolean
}

/** How long a host may wait for an end before it answers, in ms. Bounds the age of what is known of progress. */
const WAIT_MS = 1000
const RETRY_MS = 200
/** Failed looks in a row are logged once when they begin. */
const FAILURES_TO_LOG = 3

export class HostSession implements IDisposable {
  private readonly _abort = new AbortController()
  private _failures = 0

  public constructor (
    public readonly host: HostState,
    private readonly _effects: IHostSessionEffects,
    private readonly _maxHoldMs: number,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {}

  public start (): void {
    this._run().catch((error: unknown) => { this._log.error('host.sessionFailed', { host: this.host.hostId, reason: String(error) }) })
  }

  public dispose (): void {
    this._abort.abort()
  }

  private async _run (): Promise<void> {
    while (!this._abort.signal.aborted) {
      const sentAtMs = this._clock.nowMs()
      const outcome = await this._effects.hold(this.host.entry, this._order(sentAtMs), this._abort.signal)
      if (this._abort.signal.aborted) return
      if (outcome.kind === 'held') {
        this._noteAnswered()
        this._effects.onHeld(this.host, outcome.answer, sentAtMs)
        await this._endsStored()
        continue
      }
      if (outcome.kind === 'fenced') this._effects.onFenced(this.host)
      this._noteFailed(outcome)
      if (this._effects.onSilent(this.host) && !this.host.isListed) return
      await this._pause()
    }
  }

  private _order (nowMs: MonotonicMs): Omit<IHoldOrder, 'fence'> {
    const { host } = this
    const acknowledgedSequence = host.storedSequence
    // The first look only tells the time there.
    if (!host.hasClock) return { acknowledgedSequence, deadlineMs: undefined, waitMs: 0 }
    const deadlineMs = host.nextDeadline(nowMs, this._maxHoldMs, this._effects.holdUntilMs())
    // A host that was silent is held as soon as it answers, without a wait.
    return { acknowledgedSequence, deadlineMs, waitMs: host.isInContact(nowMs) ? WAIT_MS : 0 }
  }

  private _noteAnswered (): void {
    if (this._failures >= FAILURES_TO_LOG) this._log.info('host.regained', { host: this.host.hostId })
    this._failures = 0
  }

  private _noteFailed (outcome: HoldOutcome): void {
    this._failures += 1
    if (this._failures !== FAILURES_TO_LOG) return
    const reason = outcome.kind === 'failed' ? outcome.reason : outcome.kind
    this._log.warn('host.silent', { host: this.host.hostId, reason })
  }

  /**
   * Waits until the host may be told to forget the ends it listed, for a moment at most.
   *
   * A host answers at once as long as it has ends that weren't seen. Asked again before they are stored, it would be asked
   * hundreds of times a second while the store is slow or away.
   */
  private async _endsStored (): Promise<void> {
    const { host } = this
    if (host.storedSequence >= host.appliedSequence) return
    await Promise.race([host.endsStored, this._pause()])
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._clock.after(RETRY_MS, resolve) })
  }
}
