/**
 * Decides whether a caller may use a queue, and which workspace it acts for. The owner of the cell decides, by the newer of the gateway's
 * configuration and its own: a gateway that the store refuses may neither accept a key that was removed nor refuse one that was added.
 */

import type { AccessRefusal, ICallerAccess, IQueue } from '../common/cell/Types.js'
import type { ConfigFeed } from './ConfigFeed.js'

export type Authorization =
  | { readonly kind: 'allowed', readonly queue: IQueue, readonly workspace: string }
  | AccessRefusal
  /** The owner's configuration may be too old to decide. */
  | { readonly kind: 'unavailable', readonly reason: string }

export class CallerAuthorizer {
  public constructor (private readonly _config: ConfigFeed, private readonly _isStoreUnavailable: () => boolean) {}

  public async authorize ({ queue: queueName, keyDigest, configVersion }: ICallerAccess): Promise<Authorization> {
    if (!await this._catchUp(configVersion)) return { kind: 'unavailable', reason: 'the owner has an older configuration' }
    const queue = this._config.queue(queueName)
    if (queue === undefined) return { kind: 'noQueue' }
    if (queue.isPublic) return { kind: 'allowed', queue, workspace: '' }
    const workspace = this._config.workspaceOf(keyDigest)
    if (workspace !== undefined) return { kind: 'allowed', queue, workspace: workspace.name }
    return await this._decideUnknownKey(queue, keyDigest)
  }

  /** An unknown key may belong to a newer configuration, so it is refused only once the configuration is known to be current. */
  private async _decideUnknownKey (queue: IQueue, keyDigest: string): Promise<Authorization> {
    if (this._config.isCurrent || keyDigest === '') return { kind: 'unauthorized' }
    if (this._isStoreUnavailable() || !await this._config.refresh()) return { kind: 'unavailable', reason: 'the key may be too new for the owner' }
    const workspace = this._config.workspaceOf(keyDigest)
    return workspace === undefined ? { kind: 'unauthorized' } : { kind: 'allowed', queue, workspace: workspace.name }
  }

  private async _catchUp (version: number): Promise<boolean> {
    if (this._config.version >= version) return true
    // While the store is unavailable, a read takes longer than the gateway waits.
    return !this._isStoreUnavailable() && await this._config.catchUp(version)
  }
}
