/**
 * The sending side of one link: encodes frames, joins them into packets, and limits the bytes that are queued for a slow peer.
 */

import type { FrameCodec, FrameFields } from './Frames.js'
import { PacketBatch } from './PacketBatch.js'
import type { IPeerHubOptions } from './PeerHubOptions.js'
import type { IPeerSocket } from './PeerSocket.js'

export interface IFrameSenderListener {
  /** Called just before a packet with all queued frames is handed to the socket. */
  onSending (): void
  /** Called when the unsent bytes exceed `maxBacklogBytes`. */
  onBacklogExceeded (): void
}

export class FrameSender {
  private readonly _batch: PacketBatch
  private _isStopped = false
  private _hasSent = false

  public constructor (
    private readonly _codec: FrameCodec,
    private readonly _socket: IPeerSocket,
    private readonly _options: Pick<IPeerHubOptions, 'maxBufferedBytes' | 'maxBacklogBytes'>,
    private readonly _listener: IFrameSenderListener
  ) {
    this._batch = new PacketBatch((packet) => this._send(packet))
  }

  /** Whether frames are queued for the packet of the current turn of the event loop. */
  public get hasQueuedFrames (): boolean {
    return this._batch.bytes > 0
  }

  /**
   * Whether the unsent bytes exceed `maxBufferedBytes`. If a peer reads more slowly than this process sends and
   * nothing limits the backlog, the backlog fills the memory until this process is killed and all its links are lost.
   */
  public get isBackedUp (): boolean {
    return this._socket.bufferedBytes + this._batch.bytes > this._options.maxBufferedBytes
  }

  /** Queues a frame. Returns the reason if the frame can't be sent. */
  public enqueue (frame: FrameFields): string | undefined {
    if (this._isStopped) return 'the link is down'
    const bytes = this._codec.encode(frame)
    if (bytes.isErr()) return bytes.error
    this._batch.add(bytes.value)
    this._hasSent = true
    return undefined
  }

  /** Returns whether a frame was queued since the last call of this method. */
  public clearHasSent (): boolean {
    const hasSent = this._hasSent
    this._hasSent = false
    return hasSent
  }

  /** Sends the queued frames and accepts no more. */
  public flushAndStop (): void {
    this._batch.flush()
    this._isStopped = true
  }

  /** Discards the queued frames and accepts no more. */
  public stop (): void {
    this._batch.clear()
    this._isStopped = true
  }

  private _send (packet: Uint8Array): void {
    if (this._isStopped) return
    this._listener.onSending()
    this._socket.send(packet)
    if (this._socket.bufferedBytes > this._options.maxBacklogBytes) this._listener.onBacklogExceeded()
  }
}
