/**
 * Interfaces between the parts of a cell's process, and with the adapter of the platform.
 */

import type { IncomingHttpHeaders } from 'node:http'
import type { Result } from 'neverthrow'
import type { ICellConfig, IHostEntry, IJobSpec, IMalformedField, IMetadataItem, JobPhase } from '../common/cell/Types.js'

/** Encoding of the bodies that callers send and receive. */
export interface ICallerWire {
  isJobId (text: string): boolean
  /** Decodes a job from a request body, or returns what is wrong with the body. */
  decodeJob (jobId: string, body: Uint8Array): Result<IJobSpec, string>
  encodePhase (phase: JobPhase): string
  encodeWaiting (count: number): string
  /** How long the caller goes on waiting, in ms; undefined if its request doesn't say so. */
  remainingMs (headers: IncomingHttpHeaders): number | undefined
  /** The caller's key; empty if it has sent none. */
  key (headers: IncomingHttpHeaders): string
}

/** Records in the store that other programs write. */
export interface ICellRecords {
  readonly operatorPrefix: string
  readonly configKey: string
  readonly hostsPrefix: string
  decodeConfig (text: string): Result<ICellConfig, IMalformedField>
  decodeHostEntry (item: IMetadataItem): Result<IHostEntry, IMalformedField>
}

/** The ownership record of the cell, as stored. */
export interface IOwnerRecord {
  readonly processId: string
  readonly incarnation: number
  readonly peerUrl: string
  /** The revision of the record, which is the fencing token of this ownership. */
  readonly revision: number
}
