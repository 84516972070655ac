/**
 * The rates at which simulated runs progress: the members of a gang wait for each other, so that all are as slow as the slowest.
 */

import type { Step } from '../../src/common/cell/Job.js'
import type { IRunRef } from '../../src/common/cell/Types.js'
import type { SimulatedCell } from './SimulatedCell.js'
import type { SimulatedHost } from './SimulatedHost.js'

export class GangRates {
  private readonly _rates = new Map<Step, number>()
  private readonly _hosts = new Map<string, SimulatedHost>()
  private _cell: SimulatedCell | undefined
  private _atMs = 0

  public attach (cell: SimulatedCell): void {
    this._cell = cell
    for (const host of cell.hosts) this._hosts.set(host.options.hostId, host)
  }

  /** For `ISimulatedHostOptions.rateOf`. */
  public rateOf ({ jobId, step: number }: IRunRef, hostRate: number): number {
    const step = this._cell?.scheduler.jobs.get(jobId)?.steps[number]
    if (this._cell === undefined || step?.spec.gang !== true) return hostRate
    const nowMs = this._cell.clock.nowMs()
    if (nowMs !== this._atMs) this._rates.clear()
    this._atMs = nowMs
    const rate = this._rates.get(step) ?? Math.min(...step.tasks.map(({ attempt }) => this._hosts.get(attempt?.host.hostId ?? '')?.rate ?? Infinity))
    this._rates.set(step, rate)
    return Math.min(rate, hostRate)
  }
}
