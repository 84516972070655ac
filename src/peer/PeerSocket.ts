/**
 * An authenticated WebSocket as a link uses it: sends and receives packets, and counts the bytes of the connection.
 */

import type { Socket } from 'node:net'
import type { RawData, WebSocket } from 'ws'
import type { IDisposable } from '../common/Types.js'

export interface IPeerSocketListener {
  onPacket (packet: Uint8Array): void
  onClosed (): void
}

export interface IPeerSocket extends IDisposable {
  /** Bytes of the whole connection, framing and handshake included. */
  readonly sentBytes: number
  readonly receivedBytes: number
  /** Bytes that were passed to `send` and not yet written to the operating system. */
  readonly bufferedBytes: number
  /** Starts the delivery of packets. Must be called once. */
  listen (listener: IPeerSocketListener): void
  send (packet: Uint8Array): void
  /** Sends everything that is buffered, then closes the connection once the peer has closed its side too. */
  close (): void
  /** Closes the connection at once and discards what is unsent. */
  dispose (): void
}

export class PeerSocket implements IPeerSocket {
  public constructor (private readonly _webSocket: WebSocket, private readonly _tcp: Socket) {}

  public get sentBytes (): number {
    return this._tcp.bytesWritten
  }

  public get receivedBytes (): number {
    return this._tcp.bytesRead
  }

  public get bufferedBytes (): number {
    return this._webSocket.bufferedAmount
  }

  public listen (listener: IPeerSocketListener): void {
    this._webSocket.on('message', (data) => listener.onPacket(toBytes(data)))
    this._webSocket.on('close', () => listener.onClosed())
  }

  public send (packet: Uint8Array): void {
    this._webSocket.send(packet, ignoreSendError)
  }

  public close (): void {
    this._webSocket.close()
  }

  public dispose (): void {
    this._webSocket.terminate()
  }
}

/** With the default `binaryType` of ws every message is one `Buffer`; the other forms of `RawData` don't occur. */
export function toBytes (data: RawData): Uint8Array {
  return data as Buffer
}

/** After a failed send the socket emits `close`, and the link then ends all calls in flight. */
function ignoreSendError (): void {}
