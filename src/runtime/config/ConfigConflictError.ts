/**
 * An edit that lost against another one.
 */

import { ConflictError } from '../../common/Errors.js'

import type { ConfigKind, IConfigEntry } from '../../common/config/Types.js'

/** Nothing of this edit took effect; `current` is what the store holds now, absent where it never held any. */
export class ConfigConflictError extends ConflictError {
  public constructor (kind: ConfigKind, name: string, seenRevision: number, public readonly current: IConfigEntry | undefined) {
    const state = current?.deleted === true ? ', where it is deleted' : ''
    super('config.edit', `${kind} ${name}`,
      `revision ${seenRevision} was edited, but the current one is ${current?.revision ?? 0}${state}`)
  }
}
