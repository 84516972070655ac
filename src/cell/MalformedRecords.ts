/**
 * Warns of records in the store that can't be used, or not as a whole: once when a fault is first seen or another one takes its place, since
 * the records are read again and again.
 */

import type { IMalformedField, IMetadataItem } from '../common/cell/Types.js'
import type { ILogger } from '../common/observability/Types.js'

/** The most faults of one record that are logged: a writer of another format may get each row of a long list wrong. */
const MAX_FIELDS_LOGGED = 5

export class MalformedRecords {
  /** What is wrong with each malformed record, by key. */
  private readonly _known = new Map<string, string>()

  public constructor (private readonly _log: ILogger) {}

  /**
   * Records what is wrong with a record. Returns whether that is new.
   *
   * @param faults empty if nothing is wrong
   */
  public record (key: string, faults: readonly IMalformedField[]): boolean {
    if (faults.length === 0) {
      if (this._known.delete(key)) this._log.info('record.readable', { key })
      return false
    }
    const described = faults.slice(0, MAX_FIELDS_LOGGED).map(({ field, reason }) => `${field}: ${reason}`).join('; ')
    if (this._known.get(key) === described) return false
    this._known.set(key, described)
    this._log.warn('record.malformed', { key, faults: faults.length, fields: described })
    return true
  }

  /** Forgets the records that aren't listed any more. */
  public forgetOthers (items: readonly IMetadataItem[]): void {
    if (this._known.size === 0) return
    const listed = new Set(items.map(({ key }) => key))
    for (const key of this._known.keys()) if (!listed.has(key)) this._known.delete(key)
  }
}
