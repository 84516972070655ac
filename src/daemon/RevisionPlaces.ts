/**
 * Finds out which process decides by which revision of a configured thing.
 */

import type { ConfigKind } from '../common/config/Types.js'
import type { IMember } from '../common/protocol/Types.js'
import type { IRevisionPlace } from '../platform/ConfigRoutes.js'
import type { DaemonCore } from './DaemonCore.js'

const CALL_TIMEOUT_MS = 2000

export class RevisionPlaces {
  public constructor (private readonly _core: DaemonCore) {
    _core.hub.handle('revisionOf', async ({ kind, name }) => this._ownRevision(kind, name))
  }

  /** Asks all members at once. One that doesn't answer is listed with the reason. */
  public async ask (kind: ConfigKind, name: string): Promise<readonly IRevisionPlace[]> {
    const { self, agent } = this._core
    const others = agent.members().filter(member => member.processId !== self.processId && member.state !== 'dead')
    const own = { processId: self.processId, region: self.region, ...this._ownRevision(kind, name) }
    return [own, ...await Promise.all(others.map(async member => await this._askMember(member, kind, name)))]
  }

  private async _askMember ({ processId, region }: IMember, kind: ConfigKind, name: string): Promise<IRevisionPlace> {
    const link = this._core.hub.link(processId)
    if (link === undefined) return { processId, region, error: 'no link from here; ask a process that has one' }
    const reply = await link.call('revisionOf', { kind, name }, CALL_TIMEOUT_MS)
    return reply.match(({ revision }) => ({ processId, region, ...revisionField(revision) }), error => ({ processId, region, error: error.message }))
  }

  private _ownRevision (kind: ConfigKind, name: string): { readonly revision?: number } {
    return revisionField(this._core.config.get(kind, name)?.revision)
  }
}

function revisionField (revision: number | undefined): { readonly revision?: number } {
  return revision === undefined ? {} : { revision }
}
