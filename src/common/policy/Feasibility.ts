/**
 * Which waiting work the hosts could hold at all, were they empty.
 *
 * Made for hosts that go while work waits for them: a shard changes hands, a rack fails. What only they could hold would
 * stay in the queue for as long as it is let: one sees a job "accepted" for ever, while another scheduler has the
 * hosts. Such work is given up at once, so that whoever sent it can look elsewhere.
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

/** One job's tasks fill at most so many hosts; it bounds the time of one look. */
const MAX_FILLED_HOSTS = 1000

export interface IFeasibilityCheck {
  readonly couldHold: (need: IResources) => boolean
  /** All of them at once. */
  readonly couldHoldAll: (needs: readonly IResources[]) => boolean
}

export class Feasibility {
  private _seenRemovals = 0

  public constructor (private readonly _ledger: CapacityLedger) {}

  /** Whether hosts were forgotten since the last call. Those that only don't accept now may be back at any time. */
  public takeRemoved (): boolean {
    const removed = this._ledger.removals !== this._seenRemovals
    this._seenRemovals = this._ledger.removals
    return removed
  }

  /** A check against all hosts known now, were they empty. */
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

/** First fit, largest first. */
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
