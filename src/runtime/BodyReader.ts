/**
 * Reads the whole body of a caller's request, up to a limit.
 */

import { err, ok } from 'neverthrow'
import { BodyBuffer } from './BodyBuffer.js'

import type { IncomingMessage } from 'node:http'
import type { Result } from 'neverthrow'
import type { IBadInput } from '../common/requests/Types.js'

const OVERSIZE_STATUS = 413
const INCOMPLETE_STATUS = 400

/**
 * Reads the body, or returns why it is refused. A declared length over the limit is refused before a byte is read, so
 * that oversize uploads use no memory.
 */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Result<Uint8Array, IBadInput>> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0)
  if (declaredBytes > maxBytes) return oversize(maxBytes)
  if (declaredBytes === 0 && request.headers['transfer-encoding'] === undefined) return ok(new Uint8Array(0))
  return await new Promise((resolve) => { collect(request, maxBytes, resolve) })
}

function collect (request: IncomingMessage, maxBytes: number, resolve: (result: Result<Uint8Array, IBadInput>) => void): void {
  const buffer = new BodyBuffer(maxBytes)
  request.on('data', (chunk: Buffer) => {
    if (!buffer.add(chunk)) resolve(oversize(maxBytes))
  })
  request.once('end', () => resolve(ok(buffer.bytes)))
  request.once('error', () => resolve(err({ status: INCOMPLETE_STATUS, field: 'body', message: 'was cut short' })))
  request.once('close', () => resolve(err({ status: INCOMPLETE_STATUS, field: 'body', message: 'was cut short' })))
}

function oversize (maxBytes: number): Result<never, IBadInput> {
  return err({ status: OVERSIZE_STATUS, field: 'body', message: `exceeds the limit of ${maxBytes} bytes` })
}
