/**
 * One authenticated connection to one peer: carries calls, replies and casts, and detects the loss of the peer.
 */

import { errAsync, ResultAsync } from 'neverthrow'

import { AmbiguousError, UnreachableError } from '../common/Errors.js'
import type { AwakeClock } from '../common/AwakeClock.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IProcessIdentity, MonotonicMs } from '../common/Types.js'
import { CallTable, callStep } from './CallTable.js'
import type { CallResult } from './CallTable.js'
import { FrameSender } from './FrameSender.js'
import { FrameCodec, FrameKind, frameFields } from './Frames.js'
import type { Frame, IControlFrame } from './Frames.js'
import { HeartbeatMonitor } from './HeartbeatMonitor.js'
import { InboundCalls } from './InboundCalls.js'
import type { IInboundContext } from './InboundCalls.js'
import type { IPeerEnvironment, IPeerHubOptions } from './PeerHubOptions.js'
import type { IPeerSocket, IPeerSocketListener } from './PeerSocket.js'
import type { IPeerLink, PeerError } from './Types.js'

/** What all links of a hub share. */
export interface ILinkContext extends IInboundContext {
  readonly options: IPeerHubOptions
  readonly environment: IPeerEnvironment
  readonly awakeClock: AwakeClock
  /** Called once, when the link has closed. */
  onLinkClosed (link: PeerLink, reason: string): void
}

/** The reason of a link loss after which nothing was received from the peer for `silenceLimitMs`. */
export const SILENT_REASON = 'silent'

export class PeerLink implements IPeerLink, IPeerSocketListener {
  public lastReceivedMs: MonotonicMs
  private readonly _codec: FrameCodec
  private readonly _calls: CallTable
  private readonly _inbound: InboundCalls
  private readonly _monitor: HeartbeatMonitor
  private readonly _sender: FrameSender
  private readonly _drainWaiters: Array<() => void> = []
  private readonly _closeWaiters: Array<() => void> = []
  private _successor: PeerLink | undefined
  private _isClosed = false
  private _isClosing = false
  private _isPeerAccepting = true
  private _isPeerRetired = false

  public constructor (
    public readonly peer: IProcessIdentity,
    public readonly dialledBySelf: boolean,
    private readonly _socket: IPeerSocket,
    private readonly _context: ILinkContext
  ) {
    const { options, environment } = _context
    this.lastReceivedMs = environment.clock.nowMs()
    this._codec = new FrameCodec(options.maxFrameBytes)
    this._calls = new CallTable(peer.processId, environment.timers, _context.counters)
    this._inbound = new InboundCalls(peer, _context, (frame) => this._sender.enqueue(frame), () => this._checkDrained())
    this._monitor = new HeartbeatMonitor(_context.awakeClock, options.silenceLimitMs)
    this._sender = new FrameSender(this._codec, _socket, options, {
      onSending: () => this._calls.markAllSent(),
      onBacklogExceeded: () => this.terminate('the peer reads too slowly')
    })
    _socket.listen(this)
  }

  public get sentBytes (): number {
    return this._socket.sentBytes
  }

  public get receivedBytes (): number {
    return this._socket.receivedBytes
  }

  /** Number of calls in flight in both directions. */
  public get callsInFlight (): number {
    return this._calls.size + this._inbound.handlerCount
  }

  public call<N extends PeerCallName> (name: N, request: IPeerCalls[N]['request'], timeoutMs: number):
  ResultAsync<IPeerCalls[N]['reply'], PeerError> {
    if (this._successor !== undefined) return this._successor.call(name, request, timeoutMs)
    const step = callStep(name)
    const refusal = this._findCallRefusal() ?? this._sender.enqueue(frameFields.call(this._calls.nextId, name, request))
    if (refusal !== undefined) {
      this._context.counters.refusedCalls += 1
      return errAsync(new UnreachableError(step, this.peer.processId, refusal))
    }
    if (this._isClosed) return errAsync(new AmbiguousError(step, this.peer.processId, 'link lost while the call was being sent'))
    // The type holds: the reply comes from the peer's handler of the same name, and both sides run the same protocol version.
    return new ResultAsync(new Promise<CallResult>((resolve) => {
      this._calls.add(name, timeoutMs, (result) => {
        resolve(result)
        this._checkDrained()
      })
      // A frame that filled the batch was sent at once, before the call was added to the table.
      if (!this._sender.hasQueuedFrames) this._calls.markAllSent()
    })) as ResultAsync<IPeerCalls[N]['reply'], PeerError>
  }

  public cast<N extends PeerCastName> (name: N, cast: IPeerCasts[N]): void {
    if (this._successor !== undefined) {
      this._successor.cast(name, cast)
      return
    }
    if (this._isClosed || this._sender.isBackedUp || this._sender.enqueue(frameFields.cast(name, cast)) !== undefined) {
      this._context.counters.droppedCasts += 1
    }
  }

  public close (): void {
    this._isClosing = true
    this.terminate('closed by this process')
  }

  /** Sends a heartbeat if nothing else was sent, and closes the link if the peer is silent. Must be called once per heartbeat period. */
  public tick (): void {
    if (this._isClosed) return
    if (this._monitor.updateReceived(this._socket.receivedBytes)) this.lastReceivedMs = this._context.environment.clock.nowMs()
    if (this._monitor.isSilent()) {
      this._context.counters.silentLinks += 1
      this.terminate(SILENT_REASON)
      return
    }
    if (this._sender.clearHasSent()) return
    this._sendControl(FrameKind.Heartbeat)
    this._sender.clearHasSent()
  }

  /** Redirects new calls and casts to `successor`. The link closes when the calls in flight have ended on both sides. */
  public retire (successor: PeerLink): void {
    this._successor = successor
    this._sendControl(FrameKind.Retire)
    this._checkDrained()
  }

  /**
   * Accepts no more calls from the peer; calls in progress go on. The peer answers with `Retire`. The link stays open
   * until then, so that a call which crosses the `Closing` frame is still answered as not run.
   */
  public stopAcceptingCalls (): void {
    if (!this._inbound.isAccepting) return
    this._inbound.isAccepting = false
    this._sendControl(FrameKind.Closing)
  }

  /** Whether `stopAcceptingCalls` was called. */
  public get isDraining (): boolean {
    return !this._inbound.isAccepting
  }

  /** Whether one of the two sides closes the link on purpose. */
  public get isReleased (): boolean {
    return this._isClosing || !this._isPeerAccepting
  }

  /** Whether no call is in flight in either direction and the peer starts no more calls, or the link is closed. */
  public get isDrained (): boolean {
    return this._isClosed || (this.callsInFlight === 0 && this._isPeerRetired)
  }

  public async whenDrained (): Promise<void> {
    while (!this.isDrained) await new Promise<void>((resolve) => { this._drainWaiters.push(resolve) })
  }

  /** Resolves when the link is closed. */
  public async whenClosed (): Promise<void> {
    if (this._isClosed) return
    await new Promise<void>((resolve) => { this._closeWaiters.push(resolve) })
  }

  /** Sends the queued frames, then closes the connection in an orderly way. */
  public closeGracefully (): void {
    this._sender.flushAndStop()
    this._isClosing = true
    this._socket.close()
  }

  /** Closes the link at once. Calls in flight end with an error that states `reason`. */
  public terminate (reason: string): void {
    if (this._isClosed) return
    this._isClosed = true
    this._sender.stop()
    this._socket.dispose()
    this._calls.failAll(`link lost (${reason})`)
    this._checkDrained()
    this._context.onLinkClosed(this, reason)
    for (const resolve of this._closeWaiters.splice(0)) resolve()
  }

  public onClosed (): void {
    this.terminate('closed by the peer')
  }

  public onPacket (packet: Uint8Array): void {
    if (this._isClosed) return
    this.lastReceivedMs = this._context.environment.clock.nowMs()
    const frames = this._codec.decode(packet)
    if (frames.isErr()) {
      this._context.counters.malformedPackets += 1
      this.terminate(`malformed packet: ${frames.error}`)
      return
    }
    for (const frame of frames.value) {
      if (this._isClosed) return
      this._onFrame(frame)
    }
  }

  private _onFrame (frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call: this._inbound.onCall(frame); break
      case FrameKind.Reply: this._countIfLate(this._calls.completeCall(frame.callId, frame.reply)); break
      case FrameKind.Failure: this._countIfLate(this._calls.failCall(frame)); break
      case FrameKind.Cast: this._inbound.onCast(frame); break
      case FrameKind.Heartbeat: break
      case FrameKind.Closing:
        this._isPeerAccepting = false
        this._sendControl(FrameKind.Retire)
        break
      case FrameKind.Retire:
        this._isPeerRetired = true
        this._checkDrained()
    }
  }

  private _countIfLate (known: boolean): void {
    if (!known) this._context.counters.lateReplies += 1
  }

  private _findCallRefusal (): string | undefined {
    if (this._isClosed || this._isClosing) return 'the link is down'
    if (!this._isPeerAccepting) return 'the peer is closing'
    if (this._calls.size >= this._context.options.maxCallsInFlight) return 'too many calls in flight'
    return this._sender.isBackedUp ? 'the link is backed up' : undefined
  }

  private _sendControl (kind: IControlFrame['kind']): void {
    this._sender.enqueue(frameFields.control(kind))
  }

  private _checkDrained (): void {
    if (!this.isDrained) return
    for (const resolve of this._drainWaiters.splice(0)) resolve()
    if (!this._isClosed && this._successor !== undefined) this.closeGracefully()
  }
}
