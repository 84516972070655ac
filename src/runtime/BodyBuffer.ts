/**
 * Collects the chunks of a body in one buffer. A chunk of a byte that is kept as a buffer of its own takes over a hundred bytes.
 */

const MIN_CAPACITY_BYTES = 1024
const GROWTH = 2

export class BodyBuffer {
  private _buffer = Buffer.alloc(0)
  private _bytes = 0

  /** @param _maxBytes the most that is added */
  public constructor (private readonly _maxBytes: number) {}

  /** The memory in use, which includes room for further chunks. */
  public get capacityBytes (): number {
    return this._buffer.byteLength
  }

  public get bytes (): Uint8Array {
    return this._buffer.subarray(0, this._bytes)
  }

  /** Adds a copy of the chunk. False if the body becomes too large. */
  public add (chunk: Uint8Array): boolean {
    const bytes = this._bytes + chunk.byteLength
    if (bytes > this._maxBytes) return false
    if (bytes > this._buffer.byteLength) this._grow(bytes)
    this._buffer.set(chunk, this._bytes)
    this._bytes = bytes
    return true
  }

  private _grow (bytes: number): void {
    const capacity = Math.min(Math.max(bytes, this._buffer.byteLength * GROWTH, MIN_CAPACITY_BYTES), this._maxBytes)
    const buffer = Buffer.allocUnsafeSlow(capacity)
    buffer.set(this.bytes)
    this._buffer = buffer
  }
}
