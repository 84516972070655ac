/**
 * The frames that a link carries, and their codec. Each connection has a codec of its own: the encoder sends an
 * object's shape once and then refers to it by number, so the decoder must see every frame in the order of encoding.
 */

import { Packr, Unpackr } from 'msgpackr'
import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'

import { PacketScanner } from './PacketScanner.js'

/** Incremented with every change that an older process could misread. The handshake fails if the versions differ. */
export const PROTOCOL_VERSION = 1

const MAX_NAME_LENGTH = 64
const MAX_TEXT_LENGTH = 1024

export const enum FrameKind { Call, Reply, Failure, Cast, Heartbeat, Retire, Closing }

/** Why a call failed. */
export const enum FailureKind {
  /** The handler did not run. Nothing took effect, and the call may be sent to another peer. */
  NotRun,
  /** The handler refused the call. Nothing took effect. */
  Refused,
  /** The handler threw an unexpected error. The call may have taken effect. */
  HandlerFailed
}

export interface ICallFrame { readonly kind: FrameKind.Call, readonly callId: number, readonly name: string, readonly request: unknown }
export interface IReplyFrame { readonly kind: FrameKind.Reply, readonly callId: number, readonly reply: unknown }
export interface IFailureFrame {
  readonly kind: FrameKind.Failure
  readonly callId: number
  readonly failure: FailureKind
  readonly step: string
  readonly peer: string
  readonly message: string
}
export interface ICastFrame { readonly kind: FrameKind.Cast, readonly name: string, readonly cast: unknown }
/**
 * A frame without a body. `Heartbeat` shows that the sender is alive. `Retire`: the sender starts no more calls on this
 * link. `Closing`: the sender accepts no more calls on this link.
 */
export interface IControlFrame { readonly kind: FrameKind.Heartbeat | FrameKind.Retire | FrameKind.Closing }

export type Frame = ICallFrame | IReplyFrame | IFailureFrame | ICastFrame | IControlFrame

/** A frame as it is encoded: an array of its field values, without field names. */
export type FrameFields = readonly unknown[]

/** Builds the arrays to encode. The fields of a frame are fixed, so only the message bodies need field names. */
export const frameFields = {
  call: (callId: number, name: string, request: unknown): FrameFields => [FrameKind.Call, callId, name, request],
  reply: (callId: number, reply: unknown): FrameFields => [FrameKind.Reply, callId, reply],
  failure: (callId: number, failure: FailureKind, step: string, peer: string, message: string): FrameFields =>
    [FrameKind.Failure, callId, failure, truncate(step), truncate(peer), truncate(message)],
  cast: (name: string, cast: unknown): FrameFields => [FrameKind.Cast, name, cast],
  control: (kind: IControlFrame['kind']): FrameFields => [kind]
}

/**
 * Encodes and decodes the frames of one link.
 *
 * The codec uses records (shapes that are sent once) as they are faster and smaller than plain maps. For a request
 * with a body of 1 KB on Node 20, mean of 200,000: 1.3 µs against 1.5 µs to encode, 1.9 µs against 2.8 µs to decode,
 * and 1,097 bytes against 1,179 bytes.
 */
export class FrameCodec {
  private _encoder = newEncoder()
  // Bodies are copied out of the packet: a queued body of 1 KB would otherwise keep the socket's whole 64 KB chunk in memory.
  private readonly _decoder = new Unpackr({ sequential: true, copyBuffers: true })

  private readonly _scanner = new PacketScanner()

  public constructor (private readonly _maxFrameBytes: number) {}

  /**
   * Encodes a frame, which must then be sent, or returns the reason why the frame is too large or can't be encoded.
   *
   * A rejected frame may contain definitions of shapes that the peer never receives, and the peer could not decode
   * later frames that refer to these shapes. So the encoder is replaced by a new one, which defines each shape again.
   */
  public encode (frame: FrameFields): Result<Uint8Array, string> {
    let bytes: Uint8Array
    try {
      bytes = this._encoder.pack(frame)
    } catch (error) {
      this._encoder = newEncoder()
      return err(`can't be encoded: ${String(error)}`)
    }
    if (bytes.length <= this._maxFrameBytes) return ok(bytes)
    this._encoder = newEncoder()
    return err(`${bytes.length} bytes are over the limit of ${this._maxFrameBytes}`)
  }

  /** Decodes all frames of a packet and validates their fields. A single invalid frame makes the whole packet invalid. */
  public decode (packet: Uint8Array): Result<readonly Frame[], string> {
    const scanned = this._scanner.scan(packet)
    if (scanned.isErr()) return err(scanned.error)
    const frames: Frame[] = []
    let decodeError: string | undefined
    try {
      this._decoder.unpackMultiple(packet, (value: unknown) => {
        const frame = parseFrame(value)
        if (frame === undefined) decodeError = 'unknown frame'
        else frames.push(frame)
        return decodeError === undefined
      })
    } catch (error) {
      decodeError = String(error)
    }
    return decodeError === undefined ? ok(frames) : err(decodeError)
  }
}

function newEncoder (): Packr {
  return new Packr({ sequential: true })
}

function truncate (text: string): string {
  return text.length <= MAX_TEXT_LENGTH ? text : text.slice(0, MAX_TEXT_LENGTH)
}

function parseFrame (value: unknown): Frame | undefined {
  if (!Array.isArray(value)) return undefined
  const fields = value as FrameFields
  switch (fields[0]) {
    case FrameKind.Call: return parseCall(fields)
    case FrameKind.Reply: return parseReply(fields)
    case FrameKind.Failure: return parseFailure(fields)
    case FrameKind.Cast: return parseCast(fields)
    case FrameKind.Heartbeat:
    case FrameKind.Retire:
    case FrameKind.Closing: return fields.length === 1 ? { kind: fields[0] } : undefined
    default: return undefined
  }
}

function parseCall (fields: FrameFields): ICallFrame | undefined {
  const [, callId, name, request] = fields
  if (fields.length !== 4 || !isCallId(callId) || !isName(name)) return undefined
  return { kind: FrameKind.Call, callId, name, request }
}

function parseReply (fields: FrameFields): IReplyFrame | undefined {
  const [, callId, reply] = fields
  if (fields.length !== 3 || !isCallId(callId)) return undefined
  return { kind: FrameKind.Reply, callId, reply }
}

function parseFailure (fields: FrameFields): IFailureFrame | undefined {
  const [, callId, failure, step, peer, message] = fields
  if (fields.length !== 6 || !isCallId(callId) || !isFailureKind(failure)) return undefined
  if (!isText(step) || !isText(peer) || !isText(message)) return undefined
  return { kind: FrameKind.Failure, callId, failure, step, peer, message }
}

function parseCast (fields: FrameFields): ICastFrame | undefined {
  const [, name, cast] = fields
  if (fields.length !== 3 || !isName(name)) return undefined
  return { kind: FrameKind.Cast, name, cast }
}

function isCallId (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) > 0
}

function isName (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_NAME_LENGTH
}

function isText (value: unknown): value is string {
  return typeof value === 'string' && value.length <= MAX_TEXT_LENGTH
}

function isFailureKind (value: unknown): value is FailureKind {
  return value === FailureKind.NotRun || value === FailureKind.Refused || value === FailureKind.HandlerFailed
}
