/**
 * A process's copy of the configuration. Entries arrive from the store and from peers, in any order and possibly more than
 * once. The replica keeps the highest revision of each entry, so that an old copy can't undo an accepted change.
 */

import { RevisionDigest } from './RevisionDigest.js'

import type { ConfigKind, IConfigEntry, IConfigReplica, IProfile, IServiceConfig, ITeamConfig } from './Types.js'

export class ConfigReplica implements IConfigReplica {
  private readonly _entries = new Map<string, IConfigEntry>()
  private readonly _digest = new RevisionDigest()

  public apply (entries: readonly IConfigEntry[]): readonly IConfigEntry[] {
    return entries.filter(entry => this._applyEntry(entry))
  }

  public get (kind: ConfigKind, name: string): IConfigEntry | undefined {
    return this._entries.get(entryKey(kind, name))
  }

  public entries (): readonly IConfigEntry[] {
    return [...this._entries.values()]
  }

  public profile (name: string): { readonly profile: IProfile, readonly revision: number } | undefined {
    const entry = this.get('profile', name)
    if (entry?.value === undefined) return undefined
    return { profile: entry.value as IProfile, revision: entry.revision }
  }

  public service (name: string): IServiceConfig | undefined {
    return this.get('service', name)?.value as IServiceConfig | undefined
  }

  public team (name: string): ITeamConfig | undefined {
    return this.get('team', name)?.value as ITeamConfig | undefined
  }

  public digest (): string {
    return this._digest.toString()
  }

  private _applyEntry (entry: IConfigEntry): boolean {
    const key = entryKey(entry.kind, entry.name)
    const known = this._entries.get(key)
    if (known !== undefined && known.revision >= entry.revision) return false
    this._digest.replace(key, known?.revision, entry.revision)
    this._entries.set(key, entry)
    return true
  }
}

function entryKey (kind: ConfigKind, name: string): string {
  return `${kind}/${name}`
}
