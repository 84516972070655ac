/**
 * A crowd of clients that don't behave: connections that send what they are told and are opened again when they end. None reads its
 * answers unless it is told to.
 */

import { connect } from 'node:net'

import type { Socket } from 'node:net'

/** What one connection does once it is open. */
export type ClientScript = (socket: Socket, client: number) => void

/** How long a connection stays closed before it is opened again, in ms. */
const REOPEN_DELAY_MS = 500
/** A crowd opens this many connections at once, fewer than the queue of new connections holds. */
const BATCH = 50
const BATCH_INTERVAL_MS = 20

export class Crowd {
  public constructor (private readonly _url: string, private readonly _clients: number, private readonly _script: ClientScript) {}

  public start (): void {
    for (let client = 0; client < this._clients; client += 1) {
      setTimeout(() => { this._open(client) }, Math.floor(client / BATCH) * BATCH_INTERVAL_MS)
    }
  }

  private _open (client: number): void {
    const { hostname, port } = new URL(this._url)
    const socket = connect({ host: hostname, port: Number(port) })
    socket.pause()
    socket.on('error', () => {})
    socket.once('connect', () => { this._script(socket, client) })
    socket.once('close', () => { setTimeout(() => { this._open(client) }, REOPEN_DELAY_MS) })
  }
}

/** Writes the bytes as fast as the connection takes them, and leaves it open. */
export function sendOnce (bytes: Buffer): ClientScript {
  return (socket) => { socket.write(bytes) }
}

/** Writes again and again, as fast as the connection takes it. */
export function sendForever (next: (client: number) => Buffer): ClientScript {
  return (socket, client) => {
    const write = (): void => {
      if (socket.destroyed) return
      socket.write(next(client), (error) => { if (error === undefined || error === null) setImmediate(write) })
    }
    write()
  }
}

/** A connection is closed as soon as it is noticed that the other side has ended it; its answers are discarded. */
export function readingAnswers (script: ClientScript): ClientScript {
  return (socket, client) => {
    socket.resume()
    script(socket, client)
  }
}

/** Splits a body into chunks of this many bytes in HTTP/1.1 chunked transfer coding, without the last chunk. */
export function encodeChunks (body: Buffer, chunkBytes: number): Buffer {
  const parts: Buffer[] = []
  for (let offset = 0; offset < body.byteLength; offset += chunkBytes) {
    const chunk = body.subarray(offset, offset + chunkBytes)
    parts.push(Buffer.from(`${chunk.byteLength.toString(16)}\r\n`), chunk, Buffer.from('\r\n'))
  }
  return Buffer.concat(parts)
}
