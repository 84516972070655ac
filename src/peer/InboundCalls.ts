/**
 * The peer's calls on one link: runs their handlers and sends back what came of each.
 */

import { askShape, castShape, misfit } from '../common/protocol/Shapes.js'
import type { IProcessIdentity } from '../common/Types.js'
import { callStep } from './CallTable.js'
import { FailureKind, wire } from './Frames.js'
import type { ICallFrame, ICastFrame, WireFrame } from './Frames.js'
import { failureOf } from './HandlerTable.js'
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
  /** Handlers in progress. */
  public handling = 0
  /** Once false, new calls are answered as not run. */
  public isOpen = true

  /**
   * @param _send queues a frame; gives the reason when it can't be sent
   * @param _onEnded called when a handler has ended and its reply is queued
   */
  public constructor (
    private readonly _peer: IProcessIdentity,
    private readonly _context: IInboundContext,
    private readonly _send: (frame: WireFrame) => string | undefined,
    private readonly _onEnded: () => void
  ) {}

  public onCall (frame: ICallFrame): void {
    const { callId, name } = frame
    if (!this.isOpen) return this._fail(callId, FailureKind.NotRun, name, 'the process is closing')
    if (this.handling >= this._context.options.maxCallsInFlight) return this._fail(callId, FailureKind.NotRun, name, 'too many calls in flight')
    const handler = this._context.handlers.handler(name)
    if (handler === undefined) return this._fail(callId, FailureKind.Refused, name, 'no handler')
    const fault = this._misfit(askShape(name), frame.ask)
    if (fault !== undefined) return this._fail(callId, FailureKind.Refused, name, `misshapen: ${fault}`)
    this.handling += 1
    this._run(handler, frame)
  }

  public onCast (frame: ICastFrame): void {
    if (this._misfit(castShape(frame.name), frame.cast) !== undefined) return
    try {
      this._context.handlers.deliver(frame.name, frame.cast, this._peer)
    } catch (error) {
      this._noteBroken(frame.name, error)
    }
  }

  private async _run (handler: CallHandler, { callId, name, ask }: ICallFrame): Promise<void> {
    try {
      const unsendable = this._send(wire.reply(callId, await handler(ask, this._peer)))
      if (unsendable !== undefined) this._fail(callId, FailureKind.Broken, name, `reply: ${unsendable}`)
    } catch (error) {
      this._onHandlerError(callId, name, error)
    }
    this.handling -= 1
    this._onEnded()
  }

  private _onHandlerError (callId: number, name: string, error: unknown): void {
    const failure = failureOf(error)
    if (failure === FailureKind.Broken) this._noteBroken(name, error)
    this._fail(callId, failure, name, error instanceof Error ? error.message : String(error))
  }

  private _fail (callId: number, failure: FailureKind, name: string, message: string): void {
    this._send(wire.failure(callId, failure, callStep(name), this._context.selfId, message))
  }

  private _misfit (shape: ReturnType<typeof askShape>, value: unknown): string | undefined {
    const fault = shape === undefined ? 'unknown name' : misfit(shape, value)
    if (fault !== undefined) this._context.counters.misshapenMessages += 1
    return fault
  }

  private _noteBroken (name: string, error: unknown): void {
    this._context.counters.brokenHandlers += 1
    this._context.environment.log?.warn('peer.handlerBroken', { step: callStep(name), peer: this._peer.processId, error: String(error) })
  }
}
