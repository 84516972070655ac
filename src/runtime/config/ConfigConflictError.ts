/**
 * The error of an edit that conflicts with another edit.
 */

import { ConflictError } from '../../common/Errors.js'

import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'

/** The edit had no effect. `current` is the entry in the store, absent if the item never existed. */
export class ConfigConflictError extends ConflictError {
  public constructor (kind: ConfigKind, name: string, seenRevision: number, public readonly current: IConfigEntry | undefined) {
    const state = current?.deleted === true ? ', where it is deleted' : ''
    super('config.edit', `${kind} ${name}`,
      `revision ${seenRevision} was edited, but the current one is ${current?.revision ?? 0}${state}`)
  }
}
