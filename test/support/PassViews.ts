/**
 * What the steps of a scheduling pass are placed with, for tests that count what a pass computes.
 */

import { NO_RESOURCES } from '../../src/common/cell/Resources.js'

import type { IRunForecast } from '../../src/common/cell/HostForecast.js'
import type { IPlacementView } from '../../src/common/cell/Placement.js'
import type { SimulatedCell } from './SimulatedCell.js'

/** A forecast that counts what it is asked for. */
export class CountingForecast implements IRunForecast {
  public remainingCount = 0
  public runCount = 0

  public constructor (private readonly _remainingMs = 1000) {}

  public remainingMs (): number {
    this.remainingCount += 1
    return this._remainingMs
  }

  public runMs (): number {
    this.runCount += 1
    return this._remainingMs
  }
}

/** A pass in which nothing is reserved. */
export function createView (cell: SimulatedCell, times: IRunForecast = new CountingForecast()): IPlacementView {
  return {
    nowMs: cell.clock.nowMs(),
    hosts: cell.scheduler.hosts,
    farFactor: 1,
    slowHosts: new Set(),
    times,
    headroom: () => NO_RESOURCES,
    hasReservation: () => false
  }
}
