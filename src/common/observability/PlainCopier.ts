/**
 * Copies any value to plain data of limited size for a dump. Cycles and structures that are too deep or too long are cut and
 * marked, the error of a getter that throws replaces its object, and values that JSON lacks become text.
 */

/** Marks where something was left out. */
const CUT_MARK = '…'
const NODE_BYTES = 8
const WIDEST_CHAR_BYTES = 3
const ASCII_ONLY = /^[\x20-\x7e]*$/
const MAX_DEPTH = 12
const MAX_TEXT_CHARS = 2000

export class PlainCopier {
  private readonly _path = new Set<object>()
  private _remainingBytes: number

  /** @param maxBytes the approximate size limit of the copy as JSON */
  public constructor (maxBytes: number) {
    this._remainingBytes = maxBytes
  }

  /** Never throws. */
  public copy (value: unknown): unknown {
    this._remainingBytes -= NODE_BYTES
    if (typeof value === 'string') return this._copyText(value)
    if (typeof value === 'number') return Number.isFinite(value) ? value : String(value)
    if (typeof value === 'boolean' || value === null) return value
    if (typeof value !== 'object') return this._copyText(String(value))
    if (this._path.has(value)) return '(cycle)'
    if (this._path.size >= MAX_DEPTH) return CUT_MARK
    this._path.add(value)
    const copy = this._copyObject(value)
    this._path.delete(value)
    return copy
  }

  private _copyObject (value: object): unknown {
    try {
      if (value instanceof Map) return this._copyFields(value.size, value)
      if (value instanceof Set) return this._copyItems(value.size, value)
      if (Array.isArray(value)) return this._copyItems(value.length, value)
      if (ArrayBuffer.isView(value)) return `(${value.byteLength} bytes)`
      if (value instanceof Date) return String(value.getTime())
      if (value instanceof Error) return this._copyText(`${value.name}: ${value.message}`)
      const keys = Object.keys(value)
      return this._copyFields(keys.length, ownFields(value, keys))
    } catch (error) {
      return this._copyText(`(failed: ${String(error)})`)
    }
  }

  private _copyItems (size: number, items: Iterable<unknown>): readonly unknown[] {
    const copies: unknown[] = []
    for (const item of items) {
      if (this._remainingBytes <= 0) return [...copies, `${CUT_MARK} ${size - copies.length} more`]
      copies.push(this.copy(item))
    }
    return copies
  }

  private _copyFields (size: number, fields: Iterable<readonly [unknown, unknown]>): object {
    const copies = new Map<string, unknown>()
    for (const [key, item] of fields) {
      if (this._remainingBytes <= 0) {
        copies.set(CUT_MARK, `${size - copies.size} more`)
        break
      }
      if (item === undefined) continue
      const name = this._copyText(String(key))
      copies.set(name, this.copy(item))
    }
    return Object.fromEntries(copies)
  }

  private _copyText (text: string): string {
    const shortened = text.length <= MAX_TEXT_CHARS ? text : text.slice(0, MAX_TEXT_CHARS) + CUT_MARK
    this._remainingBytes -= ASCII_ONLY.test(shortened) ? shortened.length : JSON.stringify(shortened).length * WIDEST_CHAR_BYTES
    return shortened
  }
}

function * ownFields (value: object, keys: readonly string[]): Iterable<readonly [string, unknown]> {
  for (const key of keys) yield [key, (value as Record<string, unknown>)[key]]
}
