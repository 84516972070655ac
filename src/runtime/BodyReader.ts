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
/** Status of a request that was refused because the bodies of all callers take too much memory. */
export const OVERLOADED_STATUS = 503

/** Limits the memory of all bodies; `ClientLimits` implements it. */
export interface IBodyLimits {
  growBody (request: IncomingMessage, bytes: number): readonly IncomingMessage[]
  completeBody (request: IncomingMessage, bytes: number): boolean
  endBody (request: IncomingMessage): void
}

const NO_LIMITS: IBodyLimits = { growBody: () => [], completeBody: () => true, endBody: () => {} }

type Outcome = Result<Uint8Array, IBadInput>

export class BodyReader {
  /** How to give up the bodies that are being read. */
  private readonly _incomplete = new Map<IncomingMessage, () => void>()

  public constructor (private readonly _limits: IBodyLimits) {}

  /**
   * Reads the body, or returns why it is refused. A declared length over the limit is refused before a byte is read, so
   * that oversize uploads use no memory. A complete body counts in the limits until `endBody`.
   */
  public async read (request: IncomingMessage, maxBytes: number): Promise<Outcome> {
    const declaredBytes = Number(request.headers['content-length'] ?? 0)
    if (declaredBytes > maxBytes) return oversize(maxBytes)
    if (declaredBytes === 0 && request.headers['transfer-encoding'] === undefined) return ok(new Uint8Array(0))
    return await new Promise((resolve) => { this._collect(request, maxBytes, resolve) })
  }

  private _collect (request: IncomingMessage, maxBytes: number, resolve: (outcome: Outcome) => void): void {
    const buffer = new BodyBuffer(maxBytes)
    const finish = (outcome: Outcome): void => {
      if (!this._incomplete.delete(request)) return
      // The rest of a refused body is read and discarded, so that its sender gets the answer.
      request.removeListener('data', onData).resume()
      resolve(outcome)
    }
    const onData = (chunk: Buffer): void => {
      if (!buffer.add(chunk)) return refuse(oversize(maxBytes))
      for (const other of this._limits.growBody(request, buffer.capacityBytes)) this._incomplete.get(other)?.()
    }
    const refuse = (outcome: Outcome): void => {
      this._limits.endBody(request)
      finish(outcome)
    }
    this._incomplete.set(request, () => { refuse(overloaded()) })
    request.on('data', onData)
    request.once('end', () => {
      if (!this._incomplete.has(request)) return
      if (this._limits.completeBody(request, buffer.capacityBytes)) finish(ok(buffer.bytes))
      else refuse(overloaded())
    })
    const onCut = (): void => {
      if (this._incomplete.has(request)) refuse(err({ status: INCOMPLETE_STATUS, field: 'body', message: 'was cut short' }))
    }
    request.once('error', onCut)
    request.once('close', onCut)
  }
}

const UNLIMITED_READER = new BodyReader(NO_LIMITS)

/** Reads the body without a limit on the bodies of all callers. */
export async function readBody (request: IncomingMessage, maxBytes: number): Promise<Outcome> {
  return await UNLIMITED_READER.read(request, maxBytes)
}

function oversize (maxBytes: number): Result<never, IBadInput> {
  return err({ status: OVERSIZE_STATUS, field: 'body', message: `exceeds the limit of ${maxBytes} bytes` })
}

function overloaded (): Result<never, IBadInput> {
  return err({ status: OVERLOADED_STATUS, field: 'body', message: 'the bodies of all callers take too much memory' })
}
