/**
 * The calls of one link that wait for their replies. Call ids count up within the link, so a reply can only complete
 * a call that was made on the same link. A reply that arrives after its call has ended is dropped and counted.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'
import { AmbiguousError, RefusedError, UnreachableError } from '../common/Errors.js'
import { findShapeError, replyShape } from '../common/protocol/Shapes.js'
import type { IDisposable, ITimers } from '../common/Types.js'
import { FailureKind } from './Frames.js'
import type { IFailureFrame } from './Frames.js'
import type { PeerCounters } from './PeerCounters.js'
import type { PeerError } from './Types.js'

/** Timeouts are rounded up to a multiple of this. Node.js keeps one timer list per duration, and a link makes thousands of calls a second. */
const TIMER_STEP_MS = 10
/** Node.js fires timers at once if their delay is more than 2^31 - 1 ms. */
const MAX_TIMER_MS = 2_000_000_000

export type CallResult = Result<unknown, PeerError>

interface IPendingCall {
  readonly name: string
  readonly step: string
  readonly settle: (result: CallResult) => void
  readonly timer: IDisposable
}

/** The `step` that errors and log lines state for a call of this name. */
export function callStep (name: string): string {
  return `peer.${name}`
}

export class CallTable {
  private readonly _pending = new Map<number, IPendingCall>()
  private _lastId = 0
  /** Highest id of the calls that have been handed to the socket. */
  private _sentUpToId = 0

  public constructor (
    private readonly _peer: string,
    private readonly _timers: ITimers,
    private readonly _counters: Pick<PeerCounters, 'misshapenMessages'>
  ) {}

  public get size (): number {
    return this._pending.size
  }

  /** The id of the next call that is added. */
  public get nextId (): number {
    return this._lastId + 1
  }

  /** Adds a call under `nextId`. `settle` is called once: on the reply, the timeout or the loss of the link. */
  public add (name: string, timeoutMs: number, settle: (result: CallResult) => void): void {
    this._lastId += 1
    const callId = this._lastId
    const delayMs = Math.max(1, Math.ceil(Math.min(timeoutMs, MAX_TIMER_MS) / TIMER_STEP_MS)) * TIMER_STEP_MS
    const timer = this._timers.after(delayMs, () => this._expire(callId, timeoutMs))
    this._pending.set(callId, { name, step: callStep(name), settle, timer })
  }

  /** Records that all calls added so far have been handed to the socket. */
  public markAllSent (): void {
    this._sentUpToId = this._lastId
  }

  /** Ends a call with its reply. Returns false if no such call waits. A malformed reply doesn't show whether the call took effect. */
  public completeCall (callId: number, reply: unknown): boolean {
    return this._endCall(callId, ({ name, step }) => {
      const shape = replyShape(name)
      const shapeError = shape === undefined ? undefined : findShapeError(shape, reply)
      if (shapeError === undefined) return ok(reply)
      this._counters.misshapenMessages += 1
      return err(new AmbiguousError(step, this._peer, `malformed reply: ${shapeError}`))
    })
  }

  /** Ends a call with the failure that the peer reported. Returns false if no such call waits. */
  public failCall (frame: IFailureFrame): boolean {
    return this._endCall(frame.callId, (call) => err(this._errorOf(call, frame)))
  }

  /**
   * Ends all calls after the loss of the link. A call that had not been handed to the socket can't have run. Any other
   * call may have run, so it ends as ambiguous.
   */
  public failAll (reason: string): void {
    for (const callId of [...this._pending.keys()]) {
      this._endCall(callId, (call) => err(callId > this._sentUpToId
        ? new UnreachableError(call.step, this._peer, `${reason} before it was sent`)
        : new AmbiguousError(call.step, this._peer, `${reason} before the reply`)))
    }
  }

  private _expire (callId: number, timeoutMs: number): void {
    this._endCall(callId, (call) => err(new AmbiguousError(call.step, this._peer, `no reply within ${timeoutMs} ms`)))
  }

  private _endCall (callId: number, result: (call: IPendingCall) => CallResult): boolean {
    const call = this._pending.get(callId)
    if (call === undefined) return false
    this._pending.delete(callId)
    call.timer.dispose()
    call.settle(result(call))
    return true
  }

  private _errorOf (call: IPendingCall, frame: IFailureFrame): PeerError {
    const message = `${frame.step} ${frame.peer}: ${frame.message}`
    switch (frame.failure) {
      case FailureKind.NotRun: return new UnreachableError(call.step, this._peer, message)
      case FailureKind.Refused: return new RefusedError(call.step, this._peer, message)
      case FailureKind.HandlerFailed: return new AmbiguousError(call.step, this._peer, message)
    }
  }
}
