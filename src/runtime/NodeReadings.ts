/**
 * Reads the processor time and the memory of this process from Node.js.
 */

import type { IProcessReadings } from '../common/observability/Types.js'

/** Readings that components of the process count themselves. */
export type IControlReadings = Omit<IProcessReadings, 'processorMicros' | 'residentBytes'>

export class NodeReadings implements IProcessReadings {
  public constructor (private readonly _controlReadings: IControlReadings) {}

  public processorMicros (): number {
    const { user, system } = process.cpuUsage()
    return user + system
  }

  public residentBytes (): number {
    return process.memoryUsage.rss()
  }

  public peerSentBytes (): number {
    return this._controlReadings.peerSentBytes()
  }

  public peerReceivedBytes (): number {
    return this._controlReadings.peerReceivedBytes()
  }

  public crossRegionSentBytes (): number {
    return this._controlReadings.crossRegionSentBytes()
  }

  public storeCalls (): number {
    return this._controlReadings.storeCalls()
  }
}
