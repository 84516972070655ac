/**
 * Whom a process links to. Nobody keeps a full mesh at hundreds of entry hosts: heartbeats and summaries of all to
 * all would alone be more than the whole budget for control.
 */

import type { IMember } from '../protocol/Types.js'
import type { IProcessIdentity } from '../Types.js'
import { hash32 } from './Hash.js'

export interface IPeerSelectionOptions {
  /** With up to this many schedulers everybody links to all of them: an idle link costs about 100 bytes/s. */
  readonly fullMeshUpTo: number
  /** Schedulers of the own region, in a larger cell; up to this many there, it is all of them. */
  readonly maxOwnRegion: number
  /** Schedulers of each other region. */
  readonly perOtherRegion: number
  /** With fewer schedulers than this, gateways are linked to as well, so that news still has a way. */
  readonly minPeers: number
}

export const PEER_SELECTION_DEFAULTS: IPeerSelectionOptions = {
  fullMeshUpTo: 20, maxOwnRegion: 8, perOtherRegion: 1, minPeers: 3
}

export class PeerSelection {
  public constructor (private readonly _self: IProcessIdentity, private readonly _options: IPeerSelectionOptions) {}

  /**
   * Chooses among the members that are not dead: a suspect one is dialled until it is back or dead.
   *
   * By rendezvous hashing over (self, peer): each process has a sample of its own, so that the links of all form one
   * well-mixed graph, and a member that comes or goes changes at most one choice of each other process.
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
      const region = byRegion.get(member.region)
      if (region === undefined) byRegion.set(member.region, [member])
      else region.push(member)
    }
    return [...byRegion].flatMap(([region, inRegion]) => this._highest(inRegion, this._countFor(region)))
  }

  private _countFor (region: string): number {
    return region === this._self.region ? this._options.maxOwnRegion : this._options.perOtherRegion
  }

  private _highest (members: readonly IMember[], count: number): readonly IMember[] {
    if (members.length <= count) return members
    const scored = members.map((member) => ({ member, score: hash32(`${this._self.processId} ${member.processId}`) }))
    scored.sort((a, b) => b.score - a.score)
    return scored.slice(0, count).map(({ member }) => member)
  }
}
