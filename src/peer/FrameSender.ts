/**
 * The sending side of one link: encodes frames, joins them into packets, and bounds what waits for a slow peer.
 */

import type { FrameCodec, WireFrame } from './Frames.js'
import { PacketBatch } from './PacketBatch.js'
import type { IPeerHubOptions } from './PeerHubOptions.js'
import type { IPeerSocket } from './PeerSocket.js'

export interface IFrameSenderListener {
  /** A packet with all frames queued so far is about to go to the socket. */
  onSending (): void
  /** More waits unsent than a link may hold at all. */
  onOverfull (): void
}

export class FrameSender {
  private readonly _batch: PacketBatch
  private _stopped = false
  private _hasSentSinceTick = false

  public constructor (
    private readonly _codec: FrameCodec,
    private readonly _socket: IPeerSocket,
    private readonly _options: Pick<IPeerHubOptions, 'maxBufferedBytes' | 'maxBacklogBytes'>,
    private readonly _listener: IFrameSenderListener
  ) {
    this._batch = new PacketBatch((packet) => this._send(packet))
  }

  /** Whether frames wait for the packet of this turn. */
  public get isPending (): boolean {
    return this._batch.bytes > 0
  }

  /**
   * Made for a peer that reads more slowly than we send: without a bound its backlog fills our memory, and one would
   * see the process grow until it is killed and takes every other link with it.
   */
  public get isBackedUp (): boolean {
    return this._socket.bufferedBytes + this._batch.bytes > this._options.maxBufferedBytes
  }

  /** Queues a frame; gives the reason when it can't be sent. */
  public enqueue (frame: WireFrame): string | undefined {
    if (this._stopped) return 'the link is down'
    const bytes = this._codec.encode(frame)
    if (bytes.isErr()) return bytes.error
    this._batch.add(bytes.value)
    this._hasSentSinceTick = true
    return undefined
  }

  /** Whether anything was queued since this was last asked. */
  public takeHasSent (): boolean {
    const hasSent = this._hasSentSinceTick
    this._hasSentSinceTick = false
    return hasSent
  }

  /** Sends what is queued and takes no more. */
  public finish (): void {
    this._batch.flush()
    this._stopped = true
  }

  /** Forgets what is queued and takes no more. */
  public stop (): void {
    this._batch.clear()
    this._stopped = true
  }

  private _send (packet: Uint8Array): void {
    if (this._stopped) return
    this._listener.onSending()
    this._socket.send(packet)
    if (this._socket.bufferedBytes > this._options.maxBacklogBytes) this._listener.onOverfull()
  }
}
