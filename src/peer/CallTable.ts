/**
 * The calls of one link that wait for their replies. Ids count up within the link, so a reply can only reach a call
 * that was made on the same link; a reply that comes after its call has ended finds nothing and is counted.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import { misfit, replyShape } from '../common/protocol/Shapes.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import { FailureKind } from './Frames.js'
import type { IFailureFrame } from './Frames.js'
import type { PeerCounters } from './PeerCounters.js'
import type { PeerError } from './Types.js'

/** Timeouts are rounded up to this, so that the runtime keeps few timer lists at thousands of calls a second. */
const TIMER_STEP_MS = 10
/** The runtime fires longer timers at once. */
const MAX_TIMER_MS = 2_000_000_000

export type CallResult = Result<unknown, PeerError>

interface IPendingCall {
  readonly name: string
  readonly step: string
  readonly settle: (result: CallResult) => void
  readonly timer: IDisposable
}

/** The step of a call in its errors. */
export function callStep (name: string): string {
  return `peer.${name}`
}

export class CallTable {
  private readonly _pending = new Map<number, IPendingCall>()
  private _lastId = 0
  /** Calls up to this id have been handed to the socket. */
  private _sentUpToId = 0

  public constructor (
    private readonly _peer: string,
    private readonly _timers: ITimers,
    private readonly _counters: Pick<PeerCounters, 'misshapenMessages'>
  ) {}

  public get size (): number {
    return this._pending.size
  }

  /** The id that the next call will get. */
  public get nextId (): number {
    return this._lastId + 1
  }

  /** Enters a call under `nextId`. `settle` is called once: by the reply, the timeout or the loss of the link. */
  public add (name: string, timeoutMs: number, settle: (result: CallResult) => void): void {
    this._lastId += 1
    const callId = this._lastId
    const delayMs = Math.max(1, Math.ceil(Math.min(timeoutMs, MAX_TIMER_MS) / TIMER_STEP_MS)) * TIMER_STEP_MS
    const timer = this._timers.after(delayMs, () => this._expire(callId, timeoutMs))
    this._pending.set(callId, { name, step: callStep(name), settle, timer })
  }

  /** Notes that all calls entered so far have been handed to the socket. */
  public noteSent (): void {
    this._sentUpToId = this._lastId
  }

  /** Ends a call with its reply; false when no such call waits. A misshapen reply tells nothing of what was done. */
  public reply (callId: number, reply: unknown): boolean {
    return this._end(callId, ({ name, step }) => {
      const shape = replyShape(name)
      const fault = shape === undefined ? undefined : misfit(shape, reply)
      if (fault === undefined) return ok(reply)
      this._counters.misshapenMessages += 1
      return err(new AmbiguousError(step, this._peer, `misshapen reply: ${fault}`))
    })
  }

  /** Ends a call with the peer's refusal; false when no such call waits. */
  public fail (frame: IFailureFrame): boolean {
    return this._end(frame.callId, (call) => err(this._failure(call, frame)))
  }

  /**
   * Ends all calls when the link is gone. A call that was still waiting to be handed to the socket can't have been
   * run; of the others nobody here can tell, and they must not be taken for not run.
   */
  public loseAll (reason: string): void {
    for (const callId of [...this._pending.keys()]) {
      this._end(callId, (call) => err(callId > this._sentUpToId
        ? new UnreachableError(call.step, this._peer, `${reason} before it was sent`)
        : new AmbiguousError(call.step, this._peer, `${reason} before the reply`)))
    }
  }

  private _expire (callId: number, timeoutMs: number): void {
    this._end(callId, (call) => err(new AmbiguousError(call.step, this._peer, `no reply within ${timeoutMs} ms`)))
  }

  private _end (callId: number, result: (call: IPendingCall) => CallResult): boolean {
    const call = this._pending.get(callId)
    if (call === undefined) return false
    this._pending.delete(callId)
    call.timer.dispose()
    call.settle(result(call))
    return true
  }

  private _failure (call: IPendingCall, frame: IFailureFrame): PeerError {
    const message = `${frame.step} ${frame.peer}: ${frame.message}`
    switch (frame.failure) {
      case FailureKind.NotRun: return new UnreachableError(call.step, this._peer, message)
      case FailureKind.Refused: return new RefusedError(call.step, this._peer, message)
      case FailureKind.Broken: return new AmbiguousError(call.step, this._peer, message)
    }
  }
}
