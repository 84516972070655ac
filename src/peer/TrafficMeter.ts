/**
 * Counts the bytes sent to and received from peers, over all connections so far. They are part of the control cost:
 * traffic between regions is paid by volume.
 */

import type { IProcessIdentity } from '../common/Types.js'
import type { IPeerTraffic } from './Types.js'

export interface IMeteredLink {
  readonly peer: IProcessIdentity
  readonly sentBytes: number
  readonly receivedBytes: number
}

const NO_TRAFFIC: IPeerTraffic = { sentBytes: 0, receivedBytes: 0, crossRegionSentBytes: 0 }

export class TrafficMeter {
  private _closed = NO_TRAFFIC

  public constructor (private readonly _region: string) {}

  /** Adds the bytes of a connection that has closed. */
  public addClosed (link: IMeteredLink): void {
    this._closed = this._addLink(this._closed, link)
  }

  /** The bytes of all closed connections and of the `open` ones. */
  public total (open: Iterable<IMeteredLink>): IPeerTraffic {
    let total = this._closed
    for (const link of open) total = this._addLink(total, link)
    return total
  }

  private _addLink (sum: IPeerTraffic, link: IMeteredLink): IPeerTraffic {
    const crossRegionBytes = link.peer.region === this._region ? 0 : link.sentBytes
    return {
      sentBytes: sum.sentBytes + link.sentBytes,
      receivedBytes: sum.receivedBytes + link.receivedBytes,
      crossRegionSentBytes: sum.crossRegionSentBytes + crossRegionBytes
    }
  }
}
