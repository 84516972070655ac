/**
 * One proven connection to one peer: carries calls, replies and casts, and knows when the peer is gone.
 */

import { errAsync, ResultAsync } from 'neverthrow'

import { AmbiguousError, UnreachableError } from '../common/Errors.js'
import type { AwakeClock } from '../common/AwakeClock.js'
import type { IPeerCalls, IPeerCasts, PeerCallName, PeerCastName } from '../common/protocol/Types.js'
import type { IProcessIdentity, MonotonicMs } from '../common/Types.js'
import { CallTable, callStep } from './CallTable.js'
import type { CallResult } from './CallTable.js'
import { FrameSender } from './FrameSender.js'
import { FrameCodec, FrameKind, wire } from './Frames.js'
import type { Frame, IBareFrame } from './Frames.js'
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
  readonly awake: AwakeClock
  /** Called once, when the link has gone. */
  onGone (link: PeerLink, reason: string): void
}

/** Why a link was given up of whose peer nothing was heard. */
export const SILENT_REASON = 'silent'

export class PeerLink implements IPeerLink, IPeerSocketListener {
  public lastHeardMs: MonotonicMs
  private readonly _codec: FrameCodec
  private readonly _calls: CallTable
  private readonly _inbound: InboundCalls
  private readonly _monitor: HeartbeatMonitor
  private readonly _sender: FrameSender
  private readonly _drainWaiters: Array<() => void> = []
  private readonly _goneWaiters: Array<() => void> = []
  private _successor: PeerLink | undefined
  private _gone = false
  private _finishing = false
  private _peerTakesCalls = true
  private _peerRetired = false

  public constructor (
    public readonly peer: IProcessIdentity,
    public readonly dialledBySelf: boolean,
    private readonly _socket: IPeerSocket,
    private readonly _context: ILinkContext
  ) {
    const { options, environment } = _context
    this.lastHeardMs = environment.clock.nowMs()
    this._codec = new FrameCodec(options.maxFrameBytes)
    this._calls = new CallTable(peer.processId, environment.timers, _context.counters)
    this._inbound = new InboundCalls(peer, _context, (frame) => this._sender.enqueue(frame), () => this._noteProgress())
    this._monitor = new HeartbeatMonitor(_context.awake, options.silenceLimitMs)
    this._sender = new FrameSender(this._codec, _socket, options, {
      onSending: () => this._calls.noteSent(),
      onOverfull: () => this.lose('the peer reads too slowly')
    })
    _socket.listen(this)
  }

  public get sentBytes (): number {
    return this._socket.sentBytes
  }

  public get receivedBytes (): number {
    return this._socket.receivedBytes
  }

  /** Calls in flight, ours and the peer's. */
  public get busy (): number {
    return this._calls.size + this._inbound.handling
  }

  public call<N extends PeerCallName> (name: N, ask: IPeerCalls[N]['ask'], timeoutMs: number):
  ResultAsync<IPeerCalls[N]['reply'], PeerError> {
    if (this._successor !== undefined) return this._successor.call(name, ask, timeoutMs)
    const step = callStep(name)
    const refusal = this._whyNotCall() ?? this._sender.enqueue(wire.call(this._calls.nextId, name, ask))
    if (refusal !== undefined) {
      this._context.counters.refusedCalls += 1
      return errAsync(new UnreachableError(step, this.peer.processId, refusal))
    }
    if (this._gone) return errAsync(new AmbiguousError(step, this.peer.processId, 'link lost while it was sent'))
    // The peer's handler gave the reply under the same name, and both run the same protocol version.
    return new ResultAsync(new Promise<CallResult>((resolve) => {
      this._calls.add(name, timeoutMs, (result) => {
        resolve(result)
        this._noteProgress()
      })
      // A frame that fills its batch has gone out already, before the call was entered.
      if (!this._sender.isPending) this._calls.noteSent()
    })) as ResultAsync<IPeerCalls[N]['reply'], PeerError>
  }

  public cast<N extends PeerCastName> (name: N, cast: IPeerCasts[N]): void {
    if (this._successor !== undefined) {
      this._successor.cast(name, cast)
      return
    }
    if (this._gone || this._sender.isBackedUp || this._sender.enqueue(wire.cast(name, cast)) !== undefined) {
      this._context.counters.droppedCasts += 1
    }
  }

  public close (): void {
    this._finishing = true
    this.lose('closed here')
  }

  /** Sends a heartbeat when one is due and gives the link up when the peer has been silent. To be called every period. */
  public tick (): void {
    if (this._gone) return
    if (this._monitor.noteReceived(this._socket.receivedBytes)) this.lastHeardMs = this._context.environment.clock.nowMs()
    if (this._monitor.isSilent()) {
      this._context.counters.silentLinks += 1
      this.lose(SILENT_REASON)
      return
    }
    if (this._sender.takeHasSent()) return
    this._sendBare(FrameKind.Heartbeat)
    this._sender.takeHasSent()
  }

  /** Starts no more calls here but on `successor`; closes when what is in flight has ended on both sides. */
  public retire (successor: PeerLink): void {
    this._successor = successor
    this._sendBare(FrameKind.Retire)
    this._noteProgress()
  }

  /**
   * Takes no more calls from the peer; those in progress go on. The peer answers that it starts no more here, so that
   * one which it had sent before it heard of this is still told that it was not run.
   */
  public stopTakingCalls (): void {
    if (!this._inbound.isOpen) return
    this._inbound.isOpen = false
    this._sendBare(FrameKind.Closing)
  }

  /** Whether `stopTakingCalls` was called. */
  public get isDraining (): boolean {
    return !this._inbound.isOpen
  }

  /** Whether the link was given up in good order, by us or by the peer. */
  public get isReleased (): boolean {
    return this._finishing || !this._peerTakesCalls
  }

  /** Whether no call is in flight in either direction and the peer starts no more, or the link is gone. */
  public get isDrained (): boolean {
    return this._gone || (this.busy === 0 && this._peerRetired)
  }

  public async whenDrained (): Promise<void> {
    while (!this.isDrained) await new Promise<void>((resolve) => { this._drainWaiters.push(resolve) })
  }

  /** Resolves when the connection has gone. */
  public async whenGone (): Promise<void> {
    if (this._gone) return
    await new Promise<void>((resolve) => { this._goneWaiters.push(resolve) })
  }

  /** Sends what waits, then closes as soon as the peer has read it. */
  public finish (): void {
    this._sender.finish()
    this._finishing = true
    this._socket.close()
  }

  /** Gives the link up at once. */
  public lose (reason: string): void {
    if (this._gone) return
    this._gone = true
    this._sender.stop()
    this._socket.dispose()
    this._calls.loseAll(`link lost (${reason})`)
    this._noteProgress()
    this._context.onGone(this, reason)
    for (const resolve of this._goneWaiters.splice(0)) resolve()
  }

  public onClosed (): void {
    this.lose('closed by the peer')
  }

  public onPacket (packet: Uint8Array): void {
    if (this._gone) return
    this.lastHeardMs = this._context.environment.clock.nowMs()
    const frames = this._codec.decode(packet)
    if (frames.isErr()) {
      this._context.counters.malformedPackets += 1
      this.lose(`malformed packet: ${frames.error}`)
      return
    }
    for (const frame of frames.value) {
      if (this._gone) return
      this._onFrame(frame)
    }
  }

  private _onFrame (frame: Frame): void {
    switch (frame.kind) {
      case FrameKind.Call: this._inbound.onCall(frame); break
      case FrameKind.Reply: this._countLate(this._calls.reply(frame.callId, frame.reply)); break
      case FrameKind.Failure: this._countLate(this._calls.fail(frame)); break
      case FrameKind.Cast: this._inbound.onCast(frame); break
      case FrameKind.Heartbeat: break
      case FrameKind.Closing:
        this._peerTakesCalls = false
        this._sendBare(FrameKind.Retire)
        break
      case FrameKind.Retire:
        this._peerRetired = true
        this._noteProgress()
    }
  }

  private _countLate (known: boolean): void {
    if (!known) this._context.counters.lateReplies += 1
  }

  private _whyNotCall (): string | undefined {
    if (this._gone || this._finishing) return 'the link is down'
    if (!this._peerTakesCalls) return 'the peer is closing'
    if (this._calls.size >= this._context.options.maxCallsInFlight) return 'too many calls in flight'
    return this._sender.isBackedUp ? 'the link is backed up' : undefined
  }

  private _sendBare (kind: IBareFrame['kind']): void {
    this._sender.enqueue(wire.bare(kind))
  }

  private _noteProgress (): void {
    if (!this.isDrained) return
    for (const resolve of this._drainWaiters.splice(0)) resolve()
    if (!this._gone && this._successor !== undefined) this.finish()
  }
}
