/**
 * Processor time and memory of this process, as the runtime tells them.
 */

import type { IProcessReadings } from '../common/observability/Types.js'

/** What the parts of the process count themselves. */
export type IControlReadings = Omit<IProcessReadings, 'processorMicros' | 'residentBytes'>

export class NodeReadings implements IProcessReadings {
  public constructor (private readonly _control: IControlReadings) {}

  public processorMicros (): number {
    const { user, system } = process.cpuUsage()
    return user + system
  }

  public residentBytes (): number {
    return process.memoryUsage.rss()
  }

  public peerSentBytes (): number {
    return this._control.peerSentBytes()
  }

  public peerReceivedBytes (): number {
    return this._control.peerReceivedBytes()
  }

  public crossRegionSentBytes (): number {
    return this._control.crossRegionSentBytes()
  }

  public storeCalls (): number {
    return this._control.storeCalls()
  }
}
