/**
 * Bytes to and from peers, over all connections that ever were: part of the control cost, which is paid for by
 * volume between regions.
 */

import type { IProcessIdentity } from '../common/Types.js'
import type { IPeerTraffic } from './Types.js'

export interface IMeteredLink {
  readonly peer: IProcessIdentity
  readonly sentBytes: number
  readonly receivedBytes: number
}

const NOTHING: IPeerTraffic = { sentBytes: 0, receivedBytes: 0, crossRegionSentBytes: 0 }

export class TrafficMeter {
  private _ended = NOTHING

  public constructor (private readonly _region: string) {}

  /** Keeps the bytes of a connection that has gone. */
  public addEnded (link: IMeteredLink): void {
    this._ended = this._add(this._ended, link)
  }

  /** The bytes of ended connections and of those given. */
  public total (open: Iterable<IMeteredLink>): IPeerTraffic {
    let total = this._ended
    for (const link of open) total = this._add(total, link)
    return total
  }

  private _add (sum: IPeerTraffic, link: IMeteredLink): IPeerTraffic {
    const crossRegionBytes = link.peer.region === this._region ? 0 : link.sentBytes
    return {
      sentBytes: sum.sentBytes + link.sentBytes,
      receivedBytes: sum.receivedBytes + link.receivedBytes,
      crossRegionSentBytes: sum.crossRegionSentBytes + crossRegionBytes
    }
  }
}
