/**
 * A digest of the revisions of many entries, updated in constant time per change. It is the sum of one 64-bit hash per
 * entry, so it doesn't depend on the order of changes. Two copies that differ in any revision have the same digest with a
 * probability of about 1 in 2^64.
 */

const FNV_PRIME = 0x01000193
const LOW_SEED = 0x811c9dc5
const HIGH_SEED = 0x2f0b4a27
const HEX_DIGITS = 8

export class RevisionDigest {
  private _low = 0
  private _high = 0

  /** Removes the old revision of an entry, if it had one, and adds the new one. */
  public replace (key: string, oldRevision: number | undefined, newRevision: number): void {
    if (oldRevision !== undefined) this._add(`${key}@${oldRevision}`, -1)
    this._add(`${key}@${newRevision}`, 1)
  }

  public toString (): string {
    return toHex(this._high) + toHex(this._low)
  }

  private _add (text: string, sign: 1 | -1): void {
    this._low = (this._low + sign * hash32(text, LOW_SEED)) >>> 0
    this._high = (this._high + sign * hash32(text, HIGH_SEED)) >>> 0
  }
}

/** FNV-1a with a final mixing step, so that keys that differ in one digit differ in all bits of the hash. */
function hash32 (text: string, seed: number): number {
  let hash = seed
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

function toHex (value: number): string {
  return value.toString(16).padStart(HEX_DIGITS, '0')
}
