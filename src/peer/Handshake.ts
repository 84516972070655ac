/**
 * Mutual authentication of two processes by the shared key, before any other message is read. This module does no
 * I/O: it takes and returns bytes.
 *
 *     dialler → listener   hello: version, identity, nonce
 *     listener → dialler   challenge: version, identity, nonce, proof of the listener
 *     dialler → listener   proof of the dialler
 *     listener → dialler   welcome, or the reason of a refusal
 *
 * A proof is an HMAC over the role, both nonces and both identities. The role prevents reflection of a proof to the
 * process that made it, the nonces prevent replay, and the identities prevent use of a proof for another process.
 *
 * The messages are JSON, not msgpack as on an authenticated link. With msgpack, five bytes from an unauthenticated
 * connection could make the decoder allocate hundreds of megabytes; JSON takes memory in proportion to its text.
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
  /** The other side is authenticated. `bytes` is the welcome of the listener, which sends it if it accepts the link. */
  | { readonly kind: 'authenticated', readonly peer: IProcessIdentity, readonly bytes?: Uint8Array }
  | { readonly kind: 'failed', readonly reason: string }

const identityShape = z.strictObject({
  processId: z.string().min(1).max(MAX_ID_LENGTH),
  incarnation: z.number().int().nonnegative(),
  region: z.string().max(MAX_ID_LENGTH),
  failureDomain: z.string().max(MAX_ID_LENGTH)
})
const nonceShape = base64Shape(NONCE_BYTES)
const proofShape = base64Shape(PROOF_BYTES)
const helloShape = z.strictObject({ version: z.number(), identity: identityShape, nonce: nonceShape })
const challengeShape = helloShape.extend({ proof: proofShape })
const answerShape = z.strictObject({ proof: proofShape })
const welcomeShape = z.strictObject({ refused: z.string().max(MAX_ID_LENGTH).optional() })

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
    /** The process id that the dialler expects. */
    private readonly _expectedProcessId?: string
  ) {}

  /** The first message of the dialler. */
  public createHello (): Uint8Array {
    return encode({ version: PROTOCOL_VERSION, identity: pickIdentity(this._self), nonce: toBase64(this._nonce) })
  }

  /** The message by which the listener refuses the link of an authenticated dialler, with the reason. */
  public static createRefusal (reason: string): Uint8Array {
    return encode({ refused: reason.slice(0, MAX_ID_LENGTH) })
  }

  /** Processes the next message of the other side. After `authenticated` or `failed` any further message is an error. */
  public receive (bytes: Uint8Array): HandshakeStep {
    const step = this._processMessage(decode(bytes))
    if (step.kind !== 'send') this._phase = 'ended'
    return step
  }

  private _processMessage (message: unknown): HandshakeStep {
    if (this._phase === 'ended') return failed('message received after the end of the handshake')
    if (this._role === 'listener') {
      return this._phase === 'start' ? this._onHello(message) : this._onAnswer(message)
    }
    return this._phase === 'start' ? this._onChallenge(message) : this._onWelcome(message)
  }

  private _onHello (message: unknown): HandshakeStep {
    const hello = helloShape.safeParse(message)
    if (!hello.success) return failed('malformed hello')
    if (hello.data.version !== PROTOCOL_VERSION) return failed(`protocol version ${hello.data.version}`)
    this._peer = hello.data
    this._phase = 'answer'
    const challenge = {
      version: PROTOCOL_VERSION,
      identity: pickIdentity(this._self),
      nonce: toBase64(this._nonce),
      proof: toBase64(this._createProof('listener', hello.data))
    }
    return { kind: 'send', bytes: encode(challenge) }
  }

  private _onChallenge (message: unknown): HandshakeStep {
    const challenge = challengeShape.safeParse(message)
    if (!challenge.success) return failed('malformed challenge')
    if (challenge.data.version !== PROTOCOL_VERSION) return failed(`protocol version ${challenge.data.version}`)
    if (!timingSafeEqual(this._createProof('listener', challenge.data), challenge.data.proof)) return failed('wrong key')
    const { processId } = challenge.data.identity
    if (this._expectedProcessId !== undefined && processId !== this._expectedProcessId) return failed(`${processId} answered`)
    this._peer = challenge.data
    this._phase = 'answer'
    return { kind: 'send', bytes: encode({ proof: toBase64(this._createProof('dialler', challenge.data)) }) }
  }

  private _onAnswer (message: unknown): HandshakeStep {
    const answer = answerShape.safeParse(message)
    if (!answer.success || this._peer === undefined) return failed('malformed answer')
    if (!timingSafeEqual(this._createProof('dialler', this._peer), answer.data.proof)) return failed('wrong key')
    return { kind: 'authenticated', peer: this._peer.identity, bytes: encode({}) }
  }

  private _onWelcome (message: unknown): HandshakeStep {
    const welcome = welcomeShape.safeParse(message)
    if (!welcome.success || this._peer === undefined) return failed('malformed welcome')
    if (welcome.data.refused !== undefined) return failed(`refused: ${welcome.data.refused}`)
    return { kind: 'authenticated', peer: this._peer.identity }
  }

  private _createProof (role: HandshakeRole, peer: IHello): Buffer {
    const [dialler, listener] = this._role === 'dialler' ? [this._ownHello, peer] : [peer, this._ownHello]
    return createHmac('sha256', this._sharedKey)
      .update(JSON.stringify([PROTOCOL_VERSION, role, identityFields(dialler.identity), identityFields(listener.identity)]))
      .update(dialler.nonce)
      .update(listener.nonce)
      .digest()
  }

  private get _ownHello (): IHello {
    return { identity: this._self, nonce: this._nonce }
  }
}

/** Schema of a base64 text that encodes `size` bytes. */
function base64Shape (size: number): z.ZodType<Uint8Array> {
  return z.base64().transform((text): Uint8Array => Buffer.from(text, 'base64')).refine((bytes) => bytes.length === size)
}

function toBase64 (bytes: Uint8Array): string {
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

function pickIdentity (identity: IProcessIdentity): IProcessIdentity {
  const { processId, incarnation, region, failureDomain } = identity
  return { processId, incarnation, region, failureDomain }
}

function identityFields (identity: IProcessIdentity): readonly unknown[] {
  return [identity.processId, identity.incarnation, identity.region, identity.failureDomain]
}
