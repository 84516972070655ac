/**
 * Hands what a connection has received to the HTTP parser in small pieces, and stops when the connection is closed.
 *
 * Node.js parses all of a read of 64 KiB at once, which may hold thousands of requests. A limit that closes the connection would take
 * effect only after an object was created for each of them, on all connections that are readable at the same time.
 */

import type { Socket } from 'node:net'

/** About as many bytes as the requests that an ordinary connection has in flight. */
const PIECE_BYTES = 2048

/**
 * Call this for a new connection of an HTTP server, once the server has added its listeners.
 *
 * @returns a function that ends it, for a connection that is upgraded
 */
export function feedInPieces (socket: Socket): () => void {
  const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[]
  if (parse === undefined) return () => {}
  socket.removeListener('data', parse)
  let pending: Buffer | undefined
  const feed = (): void => {
    while (pending !== undefined && !socket.destroyed && !socket.isPaused()) {
      const piece = pending.subarray(0, PIECE_BYTES)
      pending = pending.byteLength > PIECE_BYTES ? pending.subarray(PIECE_BYTES) : undefined
      parse(piece)
    }
  }
  const onData = (chunk: Buffer): void => {
    pending = pending === undefined ? chunk : Buffer.concat([pending, chunk])
    feed()
  }
  socket.on('data', onData)
  // The server pauses a connection while its answers or a body aren't read.
  socket.on('resume', feed)
  return () => {
    socket.removeListener('data', onData)
    socket.removeListener('resume', feed)
    if (pending !== undefined) socket.unshift(pending)
    pending = undefined
  }
}
