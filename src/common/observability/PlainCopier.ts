/**
 * Copies any value to plain data of a bounded size for a dump: cycles, very deep and very long structures are cut and
 * marked, getters that throw are named, and what JSON lacks becomes text.
 */

/** Where something was left out. */
const CUT_MARK = '…'
const NODE_BYTES = 8
const WIDEST_CHAR_BYTES = 3
const ASCII_ONLY = /^[\x20-\x7e]*$/
const MAX_DEPTH = 12
const MAX_TEXT_CHARS = 2000

export class PlainCopier {
  private readonly _path = new Set<object>()
  private _leftBytes: number

  /** @param maxBytes about the most that the copy takes as JSON */
  public constructor (maxBytes: number) {
    this._leftBytes = maxBytes
  }

  /** Never throws. */
  public copy (value: unknown): unknown {
    this._leftBytes -= NODE_BYTES
    if (typeof value === 'string') return this._text(value)
    if (typeof value === 'number') return Number.isFinite(value) ? value : String(value)
    if (typeof value === 'boolean' || value === null) return value
    if (typeof value !== 'object') return this._text(String(value))
    if (this._path.has(value)) return '(cycle)'
    if (this._path.size >= MAX_DEPTH) return CUT_MARK
    this._path.add(value)
    const copy = this._structure(value)
    this._path.delete(value)
    return copy
  }

  private _structure (value: object): unknown {
    try {
      if (value instanceof Map) return this._fields(value.size, value)
      if (value instanceof Set) return this._items(value.size, value)
      if (Array.isArray(value)) return this._items(value.length, value)
      if (ArrayBuffer.isView(value)) return `(${value.byteLength} bytes)`
      if (value instanceof Date) return String(value.getTime())
      if (value instanceof Error) return this._text(`${value.name}: ${value.message}`)
      const keys = Object.keys(value)
      return this._fields(keys.length, ownFields(value, keys))
    } catch (error) {
      return this._text(`(failed: ${String(error)})`)
    }
  }

  private _items (size: number, items: Iterable<unknown>): readonly unknown[] {
    const copies: unknown[] = []
    for (const item of items) {
      if (this._leftBytes <= 0) return [...copies, `${CUT_MARK} ${size - copies.length} more`]
      copies.push(this.copy(item))
    }
    return copies
  }

  private _fields (size: number, fields: Iterable<readonly [unknown, unknown]>): object {
    const copies = new Map<string, unknown>()
    for (const [key, item] of fields) {
      if (this._leftBytes <= 0) {
        copies.set(CUT_MARK, `${size - copies.size} more`)
        break
      }
      if (item === undefined) continue
      const name = this._text(String(key))
      copies.set(name, this.copy(item))
    }
    return Object.fromEntries(copies)
  }

  private _text (text: string): string {
    const short = text.length <= MAX_TEXT_CHARS ? text : text.slice(0, MAX_TEXT_CHARS) + CUT_MARK
    this._leftBytes -= ASCII_ONLY.test(short) ? short.length : JSON.stringify(short).length * WIDEST_CHAR_BYTES
    return short
  }
}

function * ownFields (value: object, keys: readonly string[]): Iterable<readonly [string, unknown]> {
  for (const key of keys) yield [key, (value as Record<string, unknown>)[key]]
}
