/**
 * Decides which waiting work the known hosts could hold if they were empty.
 *
 * Hosts may leave while work waits for them, because a shard changes its owner or a rack fails. Work that only those
 * hosts could hold would stay in the queue as "accepted" until it expires, although another scheduler may have the
 * hosts. Such work is given up at once, so that its sender can submit it elsewhere.
 */

import { addInto, difference, fits, zeroResources } from './Resources.js'

import type { IResources } from '../Types.js'
import type { CapacityLedger } from './CapacityLedger.js'

interface IHostShape {
  readonly capacity: IResources
  hosts: number
}

interface IFilledHost {
  readonly capacity: IResources
  readonly used: ReturnType<typeof zeroResources>
}

/** The most hosts that the check fills with one job's tasks; bounds the time of the check. */
const MAX_FILLED_HOSTS = 1000

export interface IFeasibilityCheck {
  readonly couldHold: (need: IResources) => boolean
  /** Whether the hosts could hold all needs at once. */
  readonly couldHoldAll: (needs: readonly IResources[]) => boolean
}

export class Feasibility {
  private _seenRemovedHostCount = 0

  public constructor (private readonly _ledger: CapacityLedger) {}

  /** Whether hosts were removed since the last call. Hosts that only don't accept work are not counted, since they may accept again at any time. */
  public detectRemovedHosts (): boolean {
    const removed = this._ledger.removedHostCount !== this._seenRemovedHostCount
    this._seenRemovedHostCount = this._ledger.removedHostCount
    return removed
  }

  /** Returns a check against the capacity of all currently known hosts, as if they were empty. */
  public check (): IFeasibilityCheck {
    const shapes = this._shapes()
    return {
      couldHold: (need) => shapes.some(({ capacity }) => fits(need, capacity)),
      couldHoldAll: (needs) => placeAll(needs, shapes)
    }
  }

  private _shapes (): readonly IHostShape[] {
    const shapes = new Map<string, IHostShape>()
    for (const { config: { capacity } } of this._ledger.hosts()) {
      const key = `${capacity.cores}/${capacity.memoryBytes}/${capacity.accelerators}`
      const shape = shapes.get(key)
      if (shape === undefined) shapes.set(key, { capacity, hosts: 1 })
      else shape.hosts += 1
    }
    return [...shapes.values()]
  }
}

/** Places by first fit, the largest need first. */
function placeAll (needs: readonly IResources[], shapes: readonly IHostShape[]): boolean {
  const unused = shapes.map((shape) => ({ ...shape }))
  const filled: IFilledHost[] = []
  const largestFirst = [...needs].sort((a, b) => b.cores - a.cores || b.memoryBytes - a.memoryBytes)
  return largestFirst.every((need) => placeOne(need, filled, unused))
}

function placeOne (need: IResources, filled: IFilledHost[], unused: readonly IHostShape[]): boolean {
  const open = filled.find(({ capacity, used }) => fits(need, difference(capacity, used)))
  if (open !== undefined) {
    addInto(open.used, need)
    return true
  }
  const shape = unused.find(({ capacity, hosts }) => hosts > 0 && fits(need, capacity))
  if (shape === undefined || filled.length >= MAX_FILLED_HOSTS) return false
  shape.hosts -= 1
  const used = zeroResources()
  addInto(used, need)
  filled.push({ capacity: shape.capacity, used })
  return true
}
