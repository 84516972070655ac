/**
 * Walks through a packet before it is decoded and refuses what the decoder would choke on.
 *
 * The decoder reserves an array of the length that its header states before it reads the first item: five bytes can
 * make it take 240 MB, in a process that may have 128. Nesting of a few thousand levels overflows its stack. One
 * would see a process die without a trace of why. Here every length is checked against the bytes that are there,
 * and items and depth are bounded, so that a packet takes memory in proportion to its own size.
 *
 * Cost for a submit of 1 KB: 0.24 us of 2.6 us for the decoding, one run of 200,000.
 */

import { err, ok } from 'neverthrow'

import type { Result } from 'neverthrow'

const MAX_DEPTH = 32
const MAX_ITEMS = 262_144
/** The encoder's records: a definition is an extension of this type, with one byte for its id. */
const RECORD_EXTENSION = 0x72
/** The extension that stands for `undefined`. */
const UNDEFINED_EXTENSION = 0
const RECORD_IDS = 64

/** Bytes after the first one of the types of fixed size, from 0xc0 on; -1 for the others. */
const FIXED_SIZES: readonly number[] = [
  0, -1, 0, 0, -1, -1, -1, -1, -1, -1, 4, 8, 1, 2, 4, 8, 1, 2, 4, 8, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1
]

/** Thrown within the scanner only; nothing but its text leaves it. */
class ScanFault extends Error {}

export class PacketScanner {
  /** Number of fields of each record defined so far; -1 for none. */
  private readonly _recordSizes = new Array<number>(RECORD_IDS).fill(-1)
  private _bytes: Uint8Array = new Uint8Array(0)
  private _at = 0
  private _items = 0

  /** Checks all values of a packet; packets have to come in the order of decoding. */
  public scan (packet: Uint8Array): Result<void, string> {
    this._bytes = packet
    this._at = 0
    this._items = 0
    try {
      while (this._at < packet.length) this._value(0)
      return ok(undefined)
    } catch (error) {
      return err(error instanceof ScanFault ? error.message : String(error))
    }
  }

  private _value (depth: number): void {
    this._items += 1
    if (depth > MAX_DEPTH) throw new ScanFault('nested too deeply')
    if (this._items > MAX_ITEMS) throw new ScanFault('too many items')
    const token = this._uint(1)
    if (token < 0x40 || token >= 0xe0) return
    if (token < 0x80) this._values(Math.max(0, this._recordSizes[token - 0x40] ?? 0), depth)
    else if (token < 0x90) this._values((token - 0x80) * 2, depth)
    else if (token < 0xa0) this._values(token - 0x90, depth)
    else if (token < 0xc0) this._skip(token - 0xa0)
    else this._typed(token, depth)
  }

  private _typed (token: number, depth: number): void {
    const size = FIXED_SIZES[token - 0xc0] ?? -1
    if (size >= 0) return this._skip(size)
    switch (token) {
      case 0xc4:
      case 0xd9: return this._skip(this._uint(1))
      case 0xc5:
      case 0xda: return this._skip(this._uint(2))
      case 0xc6:
      case 0xdb: return this._skip(this._uint(4))
      case 0xdc: return this._values(this._uint(2), depth)
      case 0xdd: return this._values(this._uint(4), depth)
      case 0xde: return this._values(this._uint(2) * 2, depth)
      case 0xdf: return this._values(this._uint(4) * 2, depth)
      case 0xd4: return this._extension(depth)
      default: throw new ScanFault(`unexpected type ${token}`)
    }
  }

  private _extension (depth: number): void {
    const type = this._uint(1)
    const payload = this._uint(1)
    if (type === UNDEFINED_EXTENSION) return
    if (type !== RECORD_EXTENSION) throw new ScanFault(`unexpected extension ${type}`)
    this._recordDefinition(payload % RECORD_IDS, depth)
  }

  /** The names of the fields, then the values of the first record. */
  private _recordDefinition (id: number, depth: number): void {
    const header = this._uint(1)
    const fields = header >= 0x90 && header < 0xa0 ? header - 0x90 : header === 0xdc ? this._uint(2) : -1
    if (fields < 0) throw new ScanFault('record without fields')
    for (let field = 0; field < fields; field++) this._fieldName()
    this._recordSizes[id] = fields
    this._values(fields, depth)
  }

  private _fieldName (): void {
    const header = this._uint(1)
    if (header >= 0xa0 && header < 0xc0) this._skip(header - 0xa0)
    else if (header === 0xd9) this._skip(this._uint(1))
    else if (header === 0xda) this._skip(this._uint(2))
    else throw new ScanFault('field name is no text')
  }

  private _values (count: number, depth: number): void {
    if (count > this._bytes.length - this._at) throw new ScanFault('length beyond the packet')
    for (let index = 0; index < count; index++) this._value(depth + 1)
  }

  private _skip (size: number): void {
    this._at += size
    if (this._at > this._bytes.length) throw new ScanFault('length beyond the packet')
  }

  private _uint (size: number): number {
    let value = 0
    for (let index = 0; index < size; index++) value = value * 256 + (this._bytes[this._at + index] ?? 0)
    this._skip(size)
    return value
  }
}
