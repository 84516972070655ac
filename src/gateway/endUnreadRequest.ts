/**
 * Ends the response to a request whose body has not been read to the end.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'

/** How many bytes of an unread body are read and discarded, so that its sender gets to read the answer. */
const MAX_DISCARDED_BYTES = 32 * 1024 * 1024
const MAX_LINGER_MS = 5000

/**
 * Sends the answer at once; closes the connection when the sender has finished, has sent too much or takes too long.
 *
 * Closing a connection with unread bytes resets it, and the sender would see a broken pipe instead of the answer that says
 * what is wrong with its body. Reading without a limit would let a sender exhaust the gateway.
 */
export function endUnreadRequest (request: IncomingMessage, response: ServerResponse, body: string): void {
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
