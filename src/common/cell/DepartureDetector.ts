/**
 * Tells a host that has left from one that is only missing from the host list. The store removes an entry either because its host has left,
 * or because the host has not renewed it for several heartbeats, and a host that is cut off goes on running its tasks. So a missing host
 * has left for certain only if its entry was renewed too recently to have expired.
 */

import type { EpochMs, MonotonicMs } from '../Types.js'
import type { IHostEntry } from './Types.js'

/** An item of the host list. */
export interface IListedHost {
  readonly key: string
  readonly revision: number
  /** Undefined if the item can't be decoded, so that it says nothing about the host. */
  readonly entry: IHostEntry | undefined
}

export interface IHostList {
  readonly items: readonly IListedHost[]
  /** The revision of the store when it began to read the list. */
  readonly revision: number
  readonly receivedAtMs: MonotonicMs
}

export interface IDeparture {
  readonly hostId: string
  readonly bornMs: EpochMs
  /** The longest time that can have passed between the last renewal of its entry and the list without it. */
  readonly unrenewedMs: number
}

/** The store removes an entry after this many heartbeat intervals without a renewal. */
const HEARTBEATS_TO_EXPIRY = 3
/** The store's clock may run faster than the clock here. */
const FAST_CLOCK_FACTOR = 1.02

export class DepartureDetector {
  private readonly _known = new Map<string, IListedHost & { readonly entry: IHostEntry }>()
  private readonly _expiryMs: number

  /** @param _renewedAfterMs a time after which the host wrote this entry; -Infinity if none is certain */
  public constructor (heartbeatMs: number, private readonly _renewedAfterMs: (entry: IHostEntry) => MonotonicMs) {
    this._expiryMs = heartbeatMs * HEARTBEATS_TO_EXPIRY / FAST_CLOCK_FACTOR
  }

  /**
   * Records a list, and returns the hosts that have left since an earlier one. Only hosts that were draining count, because every host
   * announces that before it leaves.
   */
  public recordList ({ items, revision, receivedAtMs }: IHostList): readonly IDeparture[] {
    const listed = new Set<string>()
    for (const item of items) {
      listed.add(item.key)
      this._recordItem(item)
    }
    const departures: IDeparture[] = []
    for (const [key, { entry, revision: entryRevision }] of this._known) {
      // A list from before the last renewal would not show the entry either.
      if (listed.has(key) || revision < entryRevision) continue
      this._known.delete(key)
      const unrenewedMs = receivedAtMs - this._renewedAfterMs(entry)
      if (entry.draining && unrenewedMs < this._expiryMs) departures.push({ hostId: entry.hostId, bornMs: entry.bornMs, unrenewedMs })
    }
    return departures
  }

  private _recordItem ({ key, revision, entry }: IListedHost): void {
    const known = this._known.get(key)
    if (entry === undefined) this._known.delete(key)
    else if (known === undefined || revision > known.revision) this._known.set(key, { key, revision, entry })
  }
}
