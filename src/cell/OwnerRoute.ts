/**
 * Forwards callers' requests to the owner of the cell: in this process, or over a link to another. If the owner changes, a submission that
 * it may have stored is sent to the next one, which knows what is stored.
 */

import { err } from 'neverthrow'

import type { Result, ResultAsync } from 'neverthrow'
import type {
  CancelOutcome, ICallerAccess, ICellOwnerPort, ISubmission, StateOutcome, SubmitOutcome, WaitingOutcome
} from '../common/cell/Types.js'
import { AmbiguousError, RefusedError } from '../common/Errors.js'
import type { ICellStateReply, ICellSubmitReply, ICellWaitingReply, IPeerCalls } from '../common/protocol/Types.js'
import type { IClock, IDisposable, ITimers, MonotonicMs } from '../common/Types.js'
import type { IPeerHub, PeerError } from '../peer/Types.js'
import type { ChallengeOutcome } from './OwnerChallenge.js'
import type { IOwnerRecord } from './Types.js'

/** What this process knows of the owner. */
export interface IOwnerDirectory {
  readonly record: IOwnerRecord | undefined
  /** The owner if it is this process. */
  local (): ILocalOwner | undefined
  /** Takes the cell over from an owner that can't reach the store, if this process can. */
  challenge (from: IOwnerRecord, checkOwnerReachesStore: () => Promise<boolean>): Promise<ChallengeOutcome>
}

export interface ILocalOwner extends ICellOwnerPort {
  readonly ready: Promise<void>
  /** The stored configuration, if this owner has a newer version than the given one. */
  readConfigAfter (version: number): Promise<string | undefined>
}

/**
 * How long a new request waits while the cell has no owner, in ms: a takeover from an owner that vanished takes about as long as its lease.
 * A caller that is told to retry would wait for a second.
 */
const OWNER_WAIT_MS = 1200
/**
 * How long a submission that may have been stored waits for an owner that knows the outcome, in ms. After that its caller is told that the
 * outcome is unknown, and submits it again, with the same id, to another gateway.
 */
const DOUBT_WAIT_MS = 700
/** Timeout of a submission. An owner answers within 100 ms, or within a second if the store is slow; later answers indicate a broken link. */
const CALL_TIMEOUT_MS = 1300
/**
 * How long a submission is held here altogether, in ms: one call and the wait for the next owner after it. Otherwise a linked but silent
 * owner would be asked until the caller's time is over. With an earlier answer, the caller has a second left to ask another gateway, and a
 * stopping gateway has answered its open requests before it closes.
 */
const MAX_HELD_MS = CALL_TIMEOUT_MS + DOUBT_WAIT_MS
/** An owner that exists and was not reached for this long, in ms, is considered unreachable from this process: several attempts to dial. */
const ISOLATED_MS = 400
/**
 * The same for a new owner, in ms. No gateway has a link to it yet, and it takes over while all of them dial it: this takes 400 to 600 ms
 * in a cell of 36 machines. Callers that are refused at once would find every gateway in the same state, and callers whose submission is in
 * doubt would be told that the outcome is unknown, although the new owner knows it.
 */
const NEW_OWNER_MS = 1000
/** Timeout for asking an owner whether it reaches the store, in ms: the owner tries for 400 ms, the rest is for two round trips between regions. */
const REACH_TIMEOUT_MS = 500
/** Timeout of a request that the owner answers from memory or with one write, in ms. */
const ASK_TIMEOUT_MS = 1500
const POLL_INTERVAL_MS = 25
const RETRY_AFTER_MS = 1000

type CallName = 'cellState' | 'cellCancel' | 'cellWaiting'

type CallResult<T> =
  | { readonly kind: 'answered', readonly value: T }
  /** The call can't have had any effect. */
  | { readonly kind: 'unsent', readonly reason: string }
  /** The link accepts no more calls for the moment; this call can't have had any effect. */
  | { readonly kind: 'turnedAway', readonly reason: string }
  | { readonly kind: 'inDoubt', readonly reason: string }

/** The calls of a submission that an owner may have stored. */
interface IDoubt {
  readonly reason: string
  /** When the first such call ended without an answer. */
  readonly sinceMs: MonotonicMs
  /** The last ownership under which the submission may be stored. */
  readonly revision: number
}

export class OwnerRoute {
  private _dial: { readonly record: IOwnerRecord, readonly link: IDisposable } | undefined
  /** Since when an owner has existed without a link to it. */
  private _unlinkedSinceMs: MonotonicMs | undefined
  /** Whether there has been a link to the current owner. */
  private _hasBeenLinked = false
  /** Called when the cell has another owner. */
  private readonly _replacementListeners = new Set<() => void>()

  public constructor (
    private readonly _hub: IPeerHub, private readonly _directory: IOwnerDirectory, private readonly _clock: IClock & ITimers
  ) {
    _hub.onLink(({ peer }) => { if (peer.processId === this._dial?.record.processId) this._onLinked() })
    _hub.onLost((peer) => { if (peer.processId === this._dial?.record.processId) this._unlinkedSinceMs ??= _clock.nowMs() })
  }

  /** Whether the cell has an owner that this process has not reached for a while. */
  public get isIsolated (): boolean {
    return this._unlinkedSinceMs !== undefined && this._clock.nowMs() - this._unlinkedSinceMs > (this._hasBeenLinked ? ISOLATED_MS : NEW_OWNER_MS)
  }

  /** Keeps a link to the owner that the record names; to be called whenever the record changes. */
  public follow (record: IOwnerRecord | undefined): void {
    const isSame = record !== undefined && record.peerUrl === this._dial?.record.peerUrl && record.incarnation === this._dial.record.incarnation
    if (isSame) return
    this._dial?.link.dispose()
    this._dial = undefined
    if (record === undefined) return
    for (const onReplaced of this._replacementListeners) onReplaced()
    this._unlinkedSinceMs = undefined
    if (record.processId === this._hub.self.processId) return
    this._hasBeenLinked = this._hub.link(record.processId) !== undefined
    if (!this._hasBeenLinked) this._unlinkedSinceMs = this._clock.nowMs()
    this._dial = { record, link: this._hub.dial(record.peerUrl, record.processId) }
  }

  private _onLinked (): void {
    this._unlinkedSinceMs = undefined
    this._hasBeenLinked = true
  }

  public get isConnected (): boolean {
    const { record } = this._directory
    if (this._directory.local() !== undefined) return true
    return record !== undefined && this._hub.link(record.processId) !== undefined
  }

  /** @param remainingMs how long the caller goes on waiting */
  public async submit (submission: ISubmission, remainingMs: number): Promise<SubmitOutcome> {
    const startedAtMs = this._clock.nowMs()
    const untilMs = startedAtMs + Math.min(remainingMs, MAX_HELD_MS)
    let doubt: IDoubt | undefined
    for (;;) {
      const waitUntilMs = Math.min(untilMs, doubt === undefined ? startedAtMs + OWNER_WAIT_MS : doubt.sinceMs + DOUBT_WAIT_MS)
      // The time limit also applies while there is a link: the linked process may no longer own the cell.
      const isTimeUp = this._clock.nowMs() >= waitUntilMs || !await this._awaitOwner(waitUntilMs)
      if (isTimeUp) return doubt === undefined ? this._refuseUnreachable() : { kind: 'inDoubt', reason: doubt.reason }
      const { record } = this._directory
      const agedSubmission = { ...submission, ageMs: submission.ageMs + this._clock.nowMs() - startedAtMs }
      const result = await this._submitOnce(agedSubmission, Math.min(CALL_TIMEOUT_MS, untilMs - this._clock.nowMs()))
      if (result.kind === 'answered') {
        const outcome = applyDoubt(result.value, doubt, record)
        const shouldAwaitOwner = isStoreAway(outcome) && this._clock.nowMs() < startedAtMs + OWNER_WAIT_MS
        if (!shouldAwaitOwner || !await this._awaitOwnerWithStore(record, startedAtMs + OWNER_WAIT_MS)) return outcome
      }
      if (result.kind === 'turnedAway') return applyDoubt(createRefusal(result.reason, RETRY_AFTER_MS), doubt, undefined)
      if (result.kind === 'inDoubt') {
        doubt = { reason: result.reason, sinceMs: doubt?.sinceMs ?? this._clock.nowMs(), revision: record?.revision ?? Infinity }
      }
      await this._pause()
    }
  }

  public async state (jobId: string, access: ICallerAccess): Promise<StateOutcome> {
    const outcome = await this._askOwner(
      'cellState', { jobId, ...access }, async (owner) => toStateOutcome(await owner.state(jobId, access)), toStateOutcome
    )
    return outcome ?? { kind: 'unavailable', reason: 'no owner of the cell knows the state' }
  }

  public async cancel (jobId: string, access: ICallerAccess): Promise<CancelOutcome> {
    const toKnown = (result: CancelOutcome): CancelOutcome | undefined => result === 'unavailable' ? undefined : result
    return await this._askOwner(
      'cellCancel', { jobId, ...access }, async (owner) => toKnown(await owner.cancel(jobId, access)), ({ result }) => toKnown(result)
    ) ?? 'unavailable'
  }

  public async waiting (access: ICallerAccess): Promise<WaitingOutcome> {
    const outcome = await this._askOwner('cellWaiting', access, async (owner) => toWaitingOutcome(await owner.waiting(access)), toWaitingOutcome)
    return outcome ?? { kind: 'unavailable' }
  }

  /** Asks the owner, and the next owner if the first one no longer owns the cell and so can't answer. Only for requests that may be repeated. */
  private async _askOwner<N extends CallName, T>(
    name: N, ask: IPeerCalls[N]['request'], askLocal: (owner: ILocalOwner) => Promise<T | undefined>,
    readReply: (reply: IPeerCalls[N]['reply']) => T | undefined
  ): Promise<T | undefined> {
    const untilMs = this._clock.nowMs() + OWNER_WAIT_MS
    while (await this._awaitOwner(untilMs)) {
      const { record } = this._directory
      const local = this._directory.local()
      const reply = local === undefined ? await this._link()?.call(name, ask, ASK_TIMEOUT_MS) : undefined
      const answer = local !== undefined ? await askLocal(local) : reply?.isOk() === true ? readReply(reply.value) : undefined
      if (answer !== undefined || !await this._awaitReplacement(record, untilMs)) return answer
    }
    return undefined
  }

  private async _submitOnce (submission: ISubmission, timeoutMs: number): Promise<CallResult<SubmitOutcome>> {
    const local = this._directory.local()
    if (local !== undefined) return await this._submitLocally(local, submission, timeoutMs)
    const link = this._link()
    if (link === undefined) return { kind: 'unsent', reason: 'no link' }
    const reply = await this._awaitReplyOrReplacement(link.call('cellSubmit', submission, timeoutMs))
    if (reply.isOk()) return toCallResult(reply.value)
    if (reply.error instanceof AmbiguousError) return { kind: 'inDoubt', reason: reply.error.message }
    if (reply.error instanceof RefusedError) return { kind: 'turnedAway', reason: reply.error.message }
    return { kind: 'unsent', reason: reply.error.message }
  }

  /**
   * Waits for the reply until the cell has another owner. The next owner knows what the previous one stored, so the call to that one need
   * not be waited for.
   */
  private async _awaitReplyOrReplacement<T> (call: ResultAsync<T, PeerError>): Promise<Result<T, PeerError>> {
    return await new Promise((resolve) => {
      const onReplaced = (): void => { resolve(err(new AmbiguousError('cellSubmit', 'owner', 'the cell has another owner'))) }
      this._replacementListeners.add(onReplaced)
      call.then((reply) => {
        this._replacementListeners.delete(onReplaced)
        resolve(reply)
      }, () => {})
    })
  }

  private async _submitLocally (local: ILocalOwner, submission: ISubmission, timeoutMs: number): Promise<CallResult<SubmitOutcome>> {
    const timeout = new Promise<CallResult<SubmitOutcome>>((resolve) => {
      this._clock.after(timeoutMs, () => { resolve({ kind: 'inDoubt', reason: 'not stored in time' }) })
    })
    return await Promise.race([local.submit(submission).then(toCallResult), timeout])
  }

  /** Waits until the owner can be reached. Gives up early if the owner exists but this process can't reach it. */
  private async _awaitOwner (untilMs: MonotonicMs): Promise<boolean> {
    while (!this.isConnected) {
      if (this._clock.nowMs() >= untilMs || this.isIsolated) return false
      await this._pause()
    }
    return true
  }

  /**
   * Waits for an owner that reaches the store after the current one refused a job without it: for the next owner if this process can take
   * over, or for none if the current owner reaches the store again. Resolves to whether there is such an owner.
   */
  private async _awaitOwnerWithStore (record: IOwnerRecord | undefined, untilMs: MonotonicMs): Promise<boolean> {
    if (record === undefined) return false
    const outcome = await this._directory.challenge(record, async () => await this._ownerReachesStore())
    return outcome === 'ownerIsWell' || (outcome === 'takesOver' && await this._awaitReplacement(record, untilMs))
  }

  private async _ownerReachesStore (): Promise<boolean> {
    const reply = await this._link()?.call('cellReach', {}, REACH_TIMEOUT_MS)
    return reply?.isOk() === true && reply.value.isReached
  }

  /** Waits until this process knows of an owner other than the given one. */
  private async _awaitReplacement (record: IOwnerRecord | undefined, untilMs: MonotonicMs): Promise<boolean> {
    while (this._directory.record?.revision === record?.revision) {
      if (this._clock.nowMs() >= untilMs) return false
      await this._pause()
    }
    return true
  }

  /**
   * Refuses a submission that reached no owner. If this gateway is isolated, another one may reach the owner, so the caller is told to
   * retry at once instead of after a second.
   */
  private _refuseUnreachable (): SubmitOutcome {
    if (!this.isIsolated) return createRefusal('the cell has no owner at the moment', RETRY_AFTER_MS)
    return createRefusal('the owner can\'t be reached from here', 0)
  }

  private _link (): ReturnType<IPeerHub['link']> {
    const { record } = this._directory
    return record === undefined ? undefined : this._hub.link(record.processId)
  }

  private async _pause (): Promise<void> {
    await new Promise<void>((resolve) => { this._clock.after(POLL_INTERVAL_MS, resolve) })
  }
}

/** Undefined if the owner can't answer. */
function toStateOutcome ({ kind, phase }: ICellStateReply): StateOutcome | undefined {
  if (kind === 'known') return phase === undefined ? undefined : { kind, phase }
  return kind === 'unavailable' ? undefined : { kind }
}

/** Undefined if the owner can't answer. */
function toWaitingOutcome ({ kind, count }: ICellWaitingReply): WaitingOutcome | undefined {
  if (kind === 'counted') return count === undefined ? undefined : { kind, count }
  return kind === 'unavailable' ? undefined : { kind }
}

function toCallResult (reply: ICellSubmitReply): CallResult<SubmitOutcome> {
  const { kind, reason = '', retryAfterMs = RETRY_AFTER_MS } = reply
  switch (kind) {
    case 'refused': return { kind: 'answered', value: { kind, reason, retryAfterMs, isStoreAway: reply.isStoreAway === true } }
    case 'invalid': return { kind: 'answered', value: { kind, reason } }
    case 'inDoubt': return { kind, reason }
    case 'notOwner': return { kind: 'unsent', reason }
    default: return { kind: 'answered', value: { kind } }
  }
}

/**
 * Returns the outcome for a submission after an earlier call in doubt. Only a later owner can confirm that the first call was not stored:
 * it has read all jobs after the previous owner's writes were fenced off. The same owner may still receive the first call, sent on a
 * connection that broke, after the second one. If its refusal were passed on, the caller would submit the work elsewhere while it also
 * runs here.
 */
function applyDoubt (outcome: SubmitOutcome, doubt: IDoubt | undefined, record: IOwnerRecord | undefined): SubmitOutcome {
  if (doubt === undefined || outcome.kind === 'accepted' || outcome.kind === 'inDoubt') return outcome
  if (record !== undefined && record.revision > doubt.revision) return outcome
  return { kind: 'inDoubt', reason: `${doubt.reason}; then: ${outcome.kind}` }
}

function isStoreAway (outcome: SubmitOutcome): boolean {
  return outcome.kind === 'refused' && outcome.isStoreAway === true
}

function createRefusal (reason: string, retryAfterMs: number): SubmitOutcome {
  return { kind: 'refused', reason, retryAfterMs }
}
