/**
 * The calls and casts that a peer sends on one link: runs their handlers and sends the reply or failure of each call.
 */

import { requestShape, castShape, findShapeError } from '../common/protocol/Shapes.js'
import type { IProcessIdentity } from '../common/Types.js'
import { callStep } from './CallTable.js'
import { FailureKind, frameFields } from './Frames.js'
import type { ICallFrame, ICastFrame, FrameFields } from './Frames.js'
import { failureKindOf } from './HandlerTable.js'
import type { CallHandler, HandlerTable } from './HandlerTable.js'
import type { PeerCounters } from './PeerCounters.js'
import type { IPeerEnvironment, IPeerHubOptions } from './PeerHubOptions.js'

export interface IInboundContext {
  readonly selfId: string
  readonly options: Pick<IPeerHubOptions, 'maxCallsInFlight'>
  readonly environment: Pick<IPeerEnvironment, 'log'>
  readonly counters: PeerCounters
  readonly handlers: HandlerTable
}

export class InboundCalls {
  /** Number of call handlers in progress. */
  public handlerCount = 0
  /** If false, new calls fail with `FailureKind.NotRun`. */
  public isAccepting = true

  /**
   * @param _send queues a frame and returns the reason if the frame can't be sent
   * @param _onEnded called after a handler has ended and its reply or failure has been queued
   */
  public constructor (
    private readonly _peer: IProcessIdentity,
    private readonly _context: IInboundContext,
    private readonly _send: (frame: FrameFields) => string | undefined,
    private readonly _onEnded: () => void
  ) {}

  public onCall (frame: ICallFrame): void {
    const { callId, name } = frame
    if (!this.isAccepting) return this._fail(callId, FailureKind.NotRun, name, 'the process is closing')
    if (this.handlerCount >= this._context.options.maxCallsInFlight) return this._fail(callId, FailureKind.NotRun, name, 'too many calls in flight')
    const handler = this._context.handlers.getHandler(name)
    if (handler === undefined) return this._fail(callId, FailureKind.Refused, name, 'no handler')
    const shapeError = this._findShapeError(requestShape(name), frame.request)
    if (shapeError !== undefined) return this._fail(callId, FailureKind.Refused, name, `malformed request: ${shapeError}`)
    this.handlerCount += 1
    this._runHandler(handler, frame)
  }

  public onCast (frame: ICastFrame): void {
    if (this._findShapeError(castShape(frame.name), frame.cast) !== undefined) return
    try {
      this._context.handlers.deliver(frame.name, frame.cast, this._peer)
    } catch (error) {
      this._reportHandlerError(frame.name, error)
    }
  }

  private async _runHandler (handler: CallHandler, { callId, name, request }: ICallFrame): Promise<void> {
    try {
      const sendError = this._send(frameFields.reply(callId, await handler(request, this._peer)))
      if (sendError !== undefined) this._fail(callId, FailureKind.HandlerFailed, name, `reply: ${sendError}`)
    } catch (error) {
      this._onHandlerError(callId, name, error)
    }
    this.handlerCount -= 1
    this._onEnded()
  }

  private _onHandlerError (callId: number, name: string, error: unknown): void {
    const failure = failureKindOf(error)
    if (failure === FailureKind.HandlerFailed) this._reportHandlerError(name, error)
    this._fail(callId, failure, name, error instanceof Error ? error.message : String(error))
  }

  private _fail (callId: number, failure: FailureKind, name: string, message: string): void {
    this._send(frameFields.failure(callId, failure, callStep(name), this._context.selfId, message))
  }

  private _findShapeError (shape: ReturnType<typeof requestShape>, value: unknown): string | undefined {
    const shapeError = shape === undefined ? 'unknown name' : findShapeError(shape, value)
    if (shapeError !== undefined) this._context.counters.misshapenMessages += 1
    return shapeError
  }

  private _reportHandlerError (name: string, error: unknown): void {
    this._context.counters.brokenHandlers += 1
    this._context.environment.log?.warn('peer.handlerBroken', { step: callStep(name), peer: this._peer.processId, error: String(error) })
  }
}
