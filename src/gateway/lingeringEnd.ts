/**
 * Ends a response to a request whose body has not been read whole.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'

/** Bytes of an unwanted body that are read and thrown away, so that its sender gets to read the answer. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024
const MAX_LINGER_MS = 5000

/**
 * The answer goes out at once; the connection closes when the sender has finished, or sent too much, or takes too long.
 *
 * What goes wrong otherwise: closing a connection with unread bytes resets it, and the sender sees a broken pipe in
 * place of the answer that tells what was wrong with its body. Reading on for ever would let it use up the gateway.
 */
export function lingeringEnd (request: IncomingMessage, response: ServerResponse, body: string): void {
  response.write(body)
  let discardedBytes = 0
  const finish = (): void => {
    clearTimeout(timer)
    response.end()
    if (!request.complete) request.destroy()
  }
  const timer = setTimeout(finish, MAX_LINGER_MS)
  request.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.byteLength
    if (discardedBytes > MAX_DISCARDED_BYTES) finish()
  })
  request.once('end', finish)
  request.once('close', () => clearTimeout(timer))
  request.resume()
}
