/**
 * What the parts of a cell's process take from each other and from the adapter of the platform.
 */

import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import type { ICellConfig, IHostEntry, IJobSpec, IMetadataItem, JobPhase } from '../common/cell/Types.js'

/** The bodies that callers send and get. */
export interface ICallerWire {
  isJobId (text: string): boolean
  /** The job in a body, or what is wrong with it. */
  decodeJob (jobId: string, body: Uint8Array): Result<IJobSpec, string>
  encodePhase (phase: JobPhase): string
  encodeWaiting (count: number): string
  /** How long the caller goes on waiting, if it says so. */
  remainingMs (headers: IncomingHttpHeaders): number | undefined
}

/** The records of others in the store. */
export interface ICellRecords {
  readonly operatorPrefix: string
  readonly configKey: string
  readonly hostsPrefix: string
  decodeConfig (text: string): ICellConfig | undefined
  decodeHostEntry (item: IMetadataItem): IHostEntry | undefined
}

/** Who owns the cell, as the store tells. */
export interface IOwnerRecord {
  readonly processId: string
  readonly incarnation: number
  readonly peerUrl: string
  /** The revision of the record: the fencing token of this ownership. */
  readonly revision: number
}
