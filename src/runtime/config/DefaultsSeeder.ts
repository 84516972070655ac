/**
 * Writes the default profiles to the store of a new cell. A profile is created only if the store has no entry for it, not even
 * a deleted one, so neither a race of starting processes nor a restart undoes an operator's edit.
 */

import { ConflictError } from '../../common/Errors.js'
import { configKey, encodeEntry } from '../../common/config/ConfigCodec.js'
import { DEFAULT_PROFILES } from '../../common/config/DefaultProfiles.js'
import { errorFields } from '../../common/observability/ErrorFields.js'

import type { IConfigEntry, IConfigReplica, IProfile } from '../../common/config/Types.js'
import type { ILogger } from '../../common/observability/Types.js'
import type { IClock } from '../../common/Types.js'
import type { IKeyValueStore } from '../Types.js'

export class DefaultsSeeder {
  public constructor (
    private readonly _store: IKeyValueStore,
    private readonly _replica: IConfigReplica,
    private readonly _clock: IClock,
    private readonly _logger: ILogger,
    private readonly _processId: string
  ) {}

  /**
   * Creates the missing default profiles. Call it after the entries of the store have been applied; it makes no store call if
   * no profile is missing. After a failure, the next process that starts tries again.
   */
  public async seed (): Promise<void> {
    const missing = DEFAULT_PROFILES.filter(profile => this._replica.get('profile', profile.name) === undefined)
    for (const profile of missing) await this._createProfile(profile)
  }

  private async _createProfile (profile: IProfile): Promise<void> {
    const entry = this._toEntry(profile)
    const created = await this._store.compareAndSwap(configKey('profile', profile.name), 0, encodeEntry(entry))
    if (created.isOk()) this._logger.info('config.defaultCreated', { name: profile.name })
    else if (!(created.error instanceof ConflictError)) this._logger.warn('config.defaultFailed', errorFields(created.error))
  }

  private _toEntry (profile: IProfile): IConfigEntry {
    return {
      kind: 'profile',
      name: profile.name,
      revision: 1,
      deleted: false,
      value: profile,
      writer: this._processId,
      nonce: `default-${this._processId}`,
      changedAt: this._clock.wallMs()
    }
  }
}
