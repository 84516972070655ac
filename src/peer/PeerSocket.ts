/**
 * A proven WebSocket as the link sees it: packets in and out, and exact byte counts of the connection.
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
  /** Bytes handed over and not yet taken by the system. */
  readonly bufferedBytes: number
  /** Starts delivery; to be called once. */
  listen (listener: IPeerSocketListener): void
  send (packet: Uint8Array): void
  /** Closes once all that was sent has gone out and the peer has closed too. */
  close (): void
  /** Drops the connection at once, with what is unsent. */
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

/** The default binary type of ws gives one buffer per message; the other forms of `RawData` are for other types. */
export function toBytes (data: RawData): Uint8Array {
  return data as Buffer
}

/** A failed send is followed by the close of the socket, which settles what was in flight. */
function ignoreSendError (): void {}
