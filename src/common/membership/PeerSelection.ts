/**
 * Selects the members that a process links to. With hundreds of entry hosts there is no full mesh: the heartbeats and
 * load summaries of a full mesh would alone exceed the budget for control traffic.
 */

import type { IMember } from '../protocol/Types.js'
import type { IProcessIdentity } from '../Types.js'
import { hash32 } from './Hash.js'

export interface IPeerSelectionOptions {
  /** With up to this many schedulers each process links to all of them. An idle link costs about 100 bytes/s. */
  readonly fullMeshUpTo: number
  /** Maximum number of schedulers selected in the own region, if there are more than `fullMeshUpTo`. */
  readonly maxOwnRegion: number
  /** Number of schedulers selected in each other region, if there are more than `fullMeshUpTo`. */
  readonly perOtherRegion: number
  /** With fewer schedulers than this, gateways are selected too, so that news can still spread. */
  readonly minPeers: number
}

export const PEER_SELECTION_DEFAULTS: IPeerSelectionOptions = {
  fullMeshUpTo: 20, maxOwnRegion: 8, perOtherRegion: 1, minPeers: 3
}

export class PeerSelection {
  public constructor (private readonly _self: IProcessIdentity, private readonly _options: IPeerSelectionOptions) {}

  /**
   * Selects among the members that are not dead. A suspect member is dialled until it is alive or dead.
   *
   * The selection uses rendezvous hashing over (self, peer). Each process selects a sample of its own, so that the links
   * of all processes form one well-mixed graph. A member that joins or leaves changes at most one selected peer of each
   * other process.
   */
  public select (members: readonly IMember[]): readonly IMember[] {
    const present = members.filter((member) => member.state !== 'dead' && member.processId !== this._self.processId)
    const schedulers = present.filter((member) => member.role === 'scheduler')
    return this._selectFrom(schedulers.length >= this._options.minPeers ? schedulers : present)
  }

  private _selectFrom (candidates: readonly IMember[]): readonly IMember[] {
    if (candidates.length <= this._options.fullMeshUpTo) return candidates
    const byRegion = new Map<string, IMember[]>()
    for (const member of candidates) {
      const inRegion = byRegion.get(member.region)
      if (inRegion === undefined) byRegion.set(member.region, [member])
      else inRegion.push(member)
    }
    return [...byRegion].flatMap(([region, inRegion]) => this._selectHighest(inRegion, this._countFor(region)))
  }

  private _countFor (region: string): number {
    return region === this._self.region ? this._options.maxOwnRegion : this._options.perOtherRegion
  }

  private _selectHighest (members: readonly IMember[], count: number): readonly IMember[] {
    if (members.length <= count) return members
    const scored = members.map((member) => ({ member, score: hash32(`${this._self.processId} ${member.processId}`) }))
    scored.sort((a, b) => b.score - a.score)
    return scored.slice(0, count).map(({ member }) => member)
  }
}
