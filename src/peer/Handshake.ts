/**
 * How two processes prove to each other that they hold the shared key, before any message is read. Free of sockets:
 * bytes in, bytes out.
 *
 *     dialler → listener   hello: version, identity, nonce
 *     listener → dialler   challenge: version, identity, nonce, proof of the listener
 *     dialler → listener   proof of the dialler
 *     listener → dialler   welcome, or why not
 *
 * A proof is an HMAC over the role, both nonces and both identities. The role keeps a proof from being sent back to
 * its maker; the nonces keep one from being used again; the identities keep it from vouching for somebody else.
 *
 * The messages are JSON, not msgpack as on a proven link: a stranger could make the msgpack decoder reserve hundreds
 * of megabytes with five bytes, and JSON takes memory only in proportion to its text.
 */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

import * as z from 'zod'

import type { IProcessIdentity } from '../common/Types.js'
import { PROTOCOL_VERSION } from './Frames.js'

const NONCE_BYTES = 32
const PROOF_BYTES = 32
const MAX_ID_LENGTH = 128

export type HandshakeRole = 'dialler' | 'listener'

export type HandshakeStep =
  | { readonly kind: 'send', readonly bytes: Uint8Array }
  /** The other side has proved itself. The listener sends `bytes`, its welcome, once it wants the link. */
  | { readonly kind: 'proven', readonly peer: IProcessIdentity, readonly bytes?: Uint8Array }
  | { readonly kind: 'failed', readonly reason: string }

const identityShape = z.strictObject({
  processId: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number().int().nonnegative(),
  region: z.string().max(MAX_ID_LENGTH),
  failureDomain: z.string().max(MAX_ID_LENGTH)
})
const nonceShape = bytesShape(NONCE_BYTES)
const proofShape = bytesShape(PROOF_BYTES)
const helloShape = z.strictObject({ version: z.number(), identity: identityShape, nonce: nonceShape })
const challengeShape = helloShape.extend({ proof: proofShape })
const answerShape = z.strictObject({ proof: proofShape })
const verdictShape = z.strictObject({ refused: z.string().max(MAX_ID_LENGTH).optional() })

interface IHello {
  readonly identity: IProcessIdentity
  readonly nonce: Uint8Array
}

export class Handshake {
  private readonly _nonce: Uint8Array = randomBytes(NONCE_BYTES)
  private _peer: IHello | undefined
  private _phase: 'start' | 'answer' | 'ended' = 'start'

  public constructor (
    private readonly _role: HandshakeRole,
    private readonly _self: IProcessIdentity,
    private readonly _sharedKey: string | Uint8Array,
    /** The process that was dialled, when known. */
    private readonly _expectedProcessId?: string
  ) {}

  /** The first message of the dialler. */
  public hello (): Uint8Array {
    return encode({ version: PROTOCOL_VERSION, identity: plainIdentity(this._self), nonce: toText(this._nonce) })
  }

  /** Tells a dialler that has proved itself why there will be no link. */
  public static refusal (reason: string): Uint8Array {
    return encode({ refused: reason.slice(0, MAX_ID_LENGTH) })
  }

  /** Takes the other side's next message. After `proven` or `failed` nothing more may come. */
  public receive (bytes: Uint8Array): HandshakeStep {
    const step = this._step(decode(bytes))
    if (step.kind !== 'send') this._phase = 'ended'
    return step
  }

  private _step (message: unknown): HandshakeStep {
    if (this._phase === 'ended') return failed('a message after the end of the handshake')
    if (this._role === 'listener') {
      return this._phase === 'start' ? this._onHello(message) : this._onAnswer(message)
    }
    return this._phase === 'start' ? this._onChallenge(message) : this._onVerdict(message)
  }

  private _onHello (message: unknown): HandshakeStep {
    const hello = helloShape.safeParse(message)
    if (!hello.success) return failed('malformed hello')
    if (hello.data.version !== PROTOCOL_VERSION) return failed(`protocol version ${hello.data.version}`)
    this._peer = hello.data
    this._phase = 'answer'
    const challenge = {
      version: PROTOCOL_VERSION,
      identity: plainIdentity(this._self),
      nonce: toText(this._nonce),
      proof: toText(this._proof('listener', hello.data))
    }
    return { kind: 'send', bytes: encode(challenge) }
  }

  private _onChallenge (message: unknown): HandshakeStep {
    const challenge = challengeShape.safeParse(message)
    if (!challenge.success) return failed('malformed challenge')
    if (challenge.data.version !== PROTOCOL_VERSION) return failed(`protocol version ${challenge.data.version}`)
    if (!timingSafeEqual(this._proof('listener', challenge.data), challenge.data.proof)) return failed('wrong key')
    const { processId } = challenge.data.identity
    if (this._expectedProcessId !== undefined && processId !== this._expectedProcessId) return failed(`${processId} answered`)
    this._peer = challenge.data
    this._phase = 'answer'
    return { kind: 'send', bytes: encode({ proof: toText(this._proof('dialler', challenge.data)) }) }
  }

  private _onAnswer (message: unknown): HandshakeStep {
    const answer = answerShape.safeParse(message)
    if (!answer.success || this._peer === undefined) return failed('malformed answer')
    if (!timingSafeEqual(this._proof('dialler', this._peer), answer.data.proof)) return failed('wrong key')
    return { kind: 'proven', peer: this._peer.identity, bytes: encode({}) }
  }

  private _onVerdict (message: unknown): HandshakeStep {
    const verdict = verdictShape.safeParse(message)
    if (!verdict.success || this._peer === undefined) return failed('malformed verdict')
    if (verdict.data.refused !== undefined) return failed(`refused: ${verdict.data.refused}`)
    return { kind: 'proven', peer: this._peer.identity }
  }

  private _proof (role: HandshakeRole, peer: IHello): Buffer {
    const [dialler, listener] = this._role === 'dialler' ? [this._own, peer] : [peer, this._own]
    return createHmac('sha256', this._sharedKey)
      .update(JSON.stringify([PROTOCOL_VERSION, role, identityFields(dialler.identity), identityFields(listener.identity)]))
      .update(dialler.nonce)
      .update(listener.nonce)
      .digest()
  }

  private get _own (): IHello {
    return { identity: this._self, nonce: this._nonce }
  }
}

/** Bytes of a fixed size, in base64. */
function bytesShape (size: number): z.ZodType<Uint8Array> {
  return z.base64().transform((text): Uint8Array => Buffer.from(text, 'base64')).refine((bytes) => bytes.length === size)
}

function toText (bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('base64')
}

function encode (message: object): Uint8Array {
  return Buffer.from(JSON.stringify(message))
}

function decode (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString()) as unknown
  } catch {
    return undefined
  }
}

function failed (reason: string): HandshakeStep {
  return { kind: 'failed', reason }
}

function plainIdentity (identity: IProcessIdentity): IProcessIdentity {
  const { processId, incarnation, region, failureDomain } = identity
  return { processId, incarnation, region, failureDomain }
}

function identityFields (identity: IProcessIdentity): readonly unknown[] {
  return [identity.processId, identity.incarnation, identity.region, identity.failureDomain]
}
