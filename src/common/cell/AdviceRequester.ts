/**
 * Requests advice for steps: when to call the service, for which hosts, and when to call again because the allowed hosts don't
 * suffice.
 */

import { AdviceDispatcher } from './AdviceDispatcher.js'
import { AllowedShares, splitIntoCalls, findUnnamedHosts, chooseHostsToName } from './AdviceHosts.js'
import { AdviceTurns } from './AdviceTurns.js'
import { isLate } from './JobOrder.js'
import { LONG_WAIT_MS } from './LongWaitTurns.js'
import { isSlowCall } from './MachineLoads.js'
import { allowedHosts } from './Placement.js'
import { StepAdvice } from './StepAdvice.js'

import type { ILogger } from '../observability/Types.js'
import type { IClock, ITimers, MonotonicMs } from '../Types.js'
import type { IAdviceSender } from './AdviceDispatcher.js'
import type { IBlockedSteps } from './BlockedSteps.js'
import type { HostState } from './HostState.js'
import type { Step } from './Job.js'
import type { AdviceReason } from './StepAdvice.js'
import type { AdviceOutcome, ITicket } from './Types.js'

export interface IAdviceEffects extends IAdviceSender {
  /** Requests a scheduling pass soon. */
  requestPass (): void
  recordDuration (name: string, ms: number): void
  count (name: string, kind: string): void
}

/** When the step could start with the answers: as soon as they arrive, or later, once runs of others have ended. */
export type AdviceUse = 'now' | 'later'

interface INamedHosts {
  readonly named: readonly string[]
  readonly reason: AdviceReason
  readonly requestedAtMs: MonotonicMs
}

/** How long after a failed call the advice for a step is requested again, in ms. */
const ADVICE_RETRY_MS = 300
/** How often a waiting step checks whether it may use enough hosts, in ms: each check iterates over all hosts. */
const HOST_CHECK_MS = 100
/** A step that has found no room on its allowed hosts for this long asks for more hosts, in ms: two calls of the slowest kind. */
const WIDEN_AFTER_MS = 2000

export class AdviceRequester {
  private readonly _shares = new AllowedShares()
  private readonly _turns = new AdviceTurns()
  private readonly _dispatcher: AdviceDispatcher

  public constructor (
    private readonly _hosts: ReadonlyMap<string, HostState>,
    private readonly _blocked: IBlockedSteps,
    private readonly _effects: IAdviceEffects,
    private readonly _clock: IClock & ITimers,
    private readonly _log: ILogger
  ) {
    this._dispatcher = new AdviceDispatcher(_effects, _clock)
  }

  /** The number of calls that wait: for a machine that may make them, or until this owner can process them. */
  public get waitingCount (): number {
    return this._dispatcher.waitingCount
  }

  public get inFlightCount (): number {
    return this._dispatcher.inFlightCount
  }

  /** The number of calls that may occupy the owner at once. */
  public get limit (): number {
    return this._dispatcher.limit
  }

  /** Sends the calls that can be sent. To be called when machines come or go. */
  public sendWaiting (): void {
    this._dispatcher.sendWaiting()
  }

  public dispose (): void {
    this._dispatcher.dispose()
  }

  /** Returns the step's advice, and requests it if there is none yet or it allows too few hosts, unless the step couldn't start with it. */
  public ensureAdvice (step: Step): StepAdvice {
    step.advice ??= new StepAdvice()
    const { advice } = step
    if (step.job.queue.advice === undefined || advice.hasCalls) return advice
    const nowMs = this._clock.nowMs()
    if (nowMs < advice.retryAtMs || nowMs < advice.nextCheckAtMs) return advice
    // Choosing hosts for every waiting step would take most of the time of an owner whose calls wait anyway.
    if (!this._mayAsk(step, 'now', nowMs)) return advice
    advice.nextCheckAtMs = nowMs + HOST_CHECK_MS
    const use = this._blocked.isBlocked(step) ? undefined : this._useOfMoreHosts(step, advice, nowMs)
    if (use === undefined) this._turns.take(step)
    else this._requestHosts(step, advice, use)
    return advice
  }

  /** Whether a call of the step would be sent soon, or the step has been turned away for so long that its turn has come. */
  private _mayAsk (step: Step, use: AdviceUse, nowMs: MonotonicMs): boolean {
    if (!this._dispatcher.isBusyFor(step.job.queue.priority, use === 'later')) return true
    if (this._dispatcher.takesTurnOf(step.job.queue.priority) && this._turns.isNext(step, nowMs - LONG_WAIT_MS, nowMs)) return true
    this._turns.record(step, nowMs)
    return false
  }

  private _requestHosts (step: Step, advice: StepAdvice, use: AdviceUse): void {
    if (advice.hasLaterCallsFor('hosts') && use === 'later') {
      this._turns.take(step)
      return
    }
    if (use === 'later' && !this._mayAsk(step, use, this._clock.nowMs())) return
    const hostIds = chooseHostsToName(step, this._hosts.values(), this._shares.shareOf(step.job.queue.name), this._isLean(step))
    if (hostIds.length > 0) this.requestAdvice(step, hostIds, 'hosts', use, () => {})
    else advice.lastCallAtMs = this._clock.nowMs()
  }

  /**
   * Whether a gang should name few hosts in a call: each call costs the owner processor time, while a round of slow calls takes a
   * good part of an objective.
   */
  private _isLean (step: Step): boolean {
    return this._dispatcher.isShortOfMachines || !isSlowCall(expectedAdviceMs(step, 1))
  }

  /** Counts only hosts that were named for the first time, since renewed tickets are for hosts known to be allowed. */
  private _recordShare (queue: string, named: readonly string[], allowed: readonly ITicket[]): void {
    const ids = new Set(named)
    this._shares.record(queue, named.length, allowed.filter(({ hostId }) => ids.has(hostId)).length)
  }

  /** When the step could use further hosts, if those allowed so far can't run it, or have had no room for it for a while. */
  private _useOfMoreHosts (step: Step, advice: StepAdvice, nowMs: MonotonicMs): AdviceUse | undefined {
    if (!advice.hasAnswer) return !step.spec.gang || this._hasRoomElsewhere(step, step.spec.count) ? 'now' : 'later'
    const usable = allowedHosts(step, this._hosts).filter((host) => host.isPlaceable(nowMs))
    if (usable.length === 0) return 'now'
    const missing = step.spec.gang ? missingPlaces(step, usable) : 0
    if (missing > 0 && this._hasRoomElsewhere(step, missing)) return 'now'
    if (nowMs - advice.lastCallAtMs <= WIDEN_AFTER_MS || !step.tasks.some((task) => task.isIdle)) return undefined
    return missing <= 0 && this._hasRoomElsewhere(step, 0) ? 'now' : 'later'
  }

  /** Whether a call about further hosts is likely to give the step the places that it lacks, and one at least. */
  private _hasRoomElsewhere (step: Step, missing: number): boolean {
    const places = placesOn(step, findUnnamedHosts(step, this._hosts.values()))
    return places > 0 && places * this._shares.shareOf(step.job.queue.name) >= missing
  }

  /**
   * Requests advice for the given hosts.
   *
   * @param reason why the call is made
   * @param use calls for later use come after all others, and are replaced by calls of the same reason that the step can start with
   * @param onSettled called once, when all calls have ended
   */
  public requestAdvice (step: Step, hostIds: readonly string[], reason: AdviceReason, use: AdviceUse, onSettled: () => void): void {
    const { job, advice } = step
    if (job.queue.advice === undefined || advice === undefined) return
    const calls = splitIntoCalls(step, hostIds)
    const requestedAtMs = this._clock.nowMs()
    const isForLater = use === 'later'
    const turnedAwaySinceMs = reason === 'hosts' ? this._turns.take(step) : undefined
    const round = advice.recordCalls(calls.length, reason, isForLater, requestedAtMs)
    const isNeeded = (): boolean => step.tasks.some((task) => task.isIdle) && (!isForLater || advice.isLastRound(round, reason))
    let openCount = calls.length
    for (const named of calls) {
      this._dispatcher.dispatch({
        jobId: job.spec.jobId,
        step: step.number,
        hostIds: named,
        priority: job.queue.priority,
        isForLater,
        turnedAwaySinceMs,
        holdsCapacity: reason === 'tickets' && step.tasks.some(({ attempt }) => attempt?.phase === 'preparing'),
        dueMs: job.dueMs,
        isLate: () => isLate(job, this._clock.nowMs()),
        expectedMs: expectedAdviceMs(step, named.length),
        isWanted: () => !job.isFinished && !this._blocked.isBlocked(step) && ((reason === 'tickets' && !isForLater) || isNeeded()),
        onSent: () => { if (isForLater) advice.recordLaterSent(reason) },
        settle: (outcome, sentAtMs) => {
          advice.recordCallEnd(reason, isForLater && sentAtMs === undefined)
          openCount -= 1
          this._applyAnswer(step, advice, { named, reason, requestedAtMs }, outcome, sentAtMs)
          if (openCount === 0) onSettled()
          this._effects.requestPass()
        }
      })
    }
  }

  private _applyAnswer (step: Step, advice: StepAdvice, call: INamedHosts, outcome: AdviceOutcome, sentAtMs?: MonotonicMs): void {
    const { job } = step
    const { named: hostIds, reason, requestedAtMs } = call
    const nowMs = this._clock.nowMs()
    // A call that was never sent was no longer wanted.
    if (outcome.kind !== 'advised' && sentAtMs !== undefined) advice.retryAtMs = nowMs + ADVICE_RETRY_MS
    if (outcome.kind === 'advised') {
      this._recordShare(job.queue.name, hostIds.filter((hostId) => !advice.wasAsked(hostId)), outcome.allowed)
      // The validity starts when the service issued the ticket: counted from the arrival of a delayed answer, the ticket would be
      // used after its expiry.
      const issuedAtMs = Math.min(nowMs, (sentAtMs ?? nowMs) + expectedAdviceMs(step, hostIds.length))
      const validUntilMs = issuedAtMs + (job.queue.advice?.validMs ?? 0)
      advice.recordAnswer(hostIds, outcome.allowed, validUntilMs, (hostId) => this._hosts.get(hostId)?.bornMs)
    }
    const waitMs = Math.round(nowMs - requestedAtMs)
    this._effects.recordDuration('wait_for_advice', waitMs)
    this._effects.count('advice', outcome.kind)
    this._effects.count('advice_calls', reason)
    const allowed = outcome.kind === 'advised' ? outcome.allowed.length : undefined
    const numbers = { queue: job.queue.name, allowed, hosts: hostIds.length, waitMs }
    this._log.info('advice.answered', { requestId: job.spec.jobId, step: String(step.number), outcome: outcome.kind, reason, ...numbers })
  }
}

/** How long the service takes for a call that names this number of hosts. */
export function expectedAdviceMs (step: Step, hosts: number): number {
  const terms = step.job.queue.advice
  return terms === undefined ? 0 : terms.baseMs + terms.perHostMs * hosts
}

function missingPlaces (step: Step, hosts: readonly HostState[]): number {
  return step.spec.count - placesOn(step, hosts)
}

/** How many tasks of the step fit on the hosts now. */
function placesOn (step: Step, hosts: readonly HostState[]): number {
  let places = 0
  for (const host of hosts) places += host.placesFor(step.spec)
  return places
}
