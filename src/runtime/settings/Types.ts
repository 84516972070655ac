/**
 * The types of the settings of a process, after validation and with the defaults filled in.
 */

import type { LogLevel } from '../../common/observability/Types.js'

export type ProcessRole = 'gateway' | 'scheduler'

/** An address to listen on, by IP number. */
export interface IListenAddress {
  readonly ip: string
  /** 0 binds any free port; `process.id` must be given then. */
  readonly port: number
}

export interface IProcessSettings {
  /** The same after restarts. Derived from the role and the peer address if the file contains none. */
  readonly id: string
  readonly role: ProcessRole
  readonly region: string
  readonly failureDomain: string
}

export interface ICellSettings {
  /** All regions of the cell, this process's own among them. */
  readonly regions: readonly string[]
}

/** The listener for callers, in a gateway. */
export interface ICallerSettings {
  readonly listen: IListenAddress
  /** The largest body of a request or a response, in bytes. */
  readonly maxBodyBytes: number
  /** How long a caller may take to send its whole request, in milliseconds. */
  readonly requestTimeoutMs: number
}

/** The listener for operators, separate from that for callers. */
export interface IOperatorSettings {
  readonly listen: IListenAddress
  /** The bearer token that every operator request must contain. */
  readonly token: string
}

/** A process that a starting process may contact. */
export interface ISeedSettings {
  readonly processId: string
  /** `ws://ip:port`. */
  readonly peerUrl: string
}

/** The links between the processes of the cell. */
export interface IPeerSettings {
  readonly listen: IListenAddress
  /** The key that a peer must prove to know before its messages are read. */
  readonly sharedKey: string
  /** The address at which peers reach this process, if it differs from the address it listens on. */
  readonly advertise?: IListenAddress | undefined
  readonly heartbeatMs: number
  /** A link that was silent for this time counts as lost, in milliseconds. */
  readonly silenceMs: number
  /** The largest message accepted from a peer, in bytes. */
  readonly maxMessageBytes: number
  /** The processes to contact first while the store is unreachable. */
  readonly seeds: readonly ISeedSettings[]
}

export interface IStoreSettings {
  readonly url: string
  readonly callTimeoutMs: number
  /** How long this process's registration outlives its last renewal, in milliseconds. */
  readonly leaseTtlMs: number
}

export interface IHostListSettings {
  readonly url: string
  readonly pollMs: number
}

export interface ILimitSettings {
  /** The limit of concurrent requests in one process; further ones are refused. */
  readonly maxInFlight: number
  /** The limit of bytes of request bodies in one process, which has 128 MB of memory; further requests are refused. */
  readonly maxInFlightBytes: number
  /** The limit of concurrent connections of one listener. */
  readonly maxConnections: number
  readonly maxHeaderBytes: number
  readonly maxHeaderCount: number
  /** How long a client may take to send its headers, in milliseconds. */
  readonly headersTimeoutMs: number
  /** How long a planned stop waits for requests in progress, in milliseconds. */
  readonly drainMs: number
  /** How long a stopping gateway accepts connections, until the load balancer has noticed its failing health check, in milliseconds. */
  readonly drainNoticeMs: number
  /** The largest state dump, in bytes. */
  readonly maxDumpBytes: number
}

/** The claims of non-idempotent requests. */
export interface IIdSettings {
  /** The number of shards of the request-id space; the same in every process of the cell. */
  readonly idShards: number
  /** How long a claim is kept, in milliseconds. */
  readonly claimRetentionMs: number
  /** The limit of store writes per second for claims, in the whole fleet. */
  readonly storeWritesPerSecond: number
}

export interface ILogSettings {
  readonly level: LogLevel
  /** Lines per second of one event; further ones are suppressed and counted. */
  readonly maxLinesPerSecond: number
}

export interface ISettings {
  readonly process: IProcessSettings
  readonly cell: ICellSettings
  /** Set for a gateway, absent for a scheduler. */
  readonly caller?: ICallerSettings
  readonly operator: IOperatorSettings
  readonly peer: IPeerSettings
  readonly store: IStoreSettings
  readonly hostList: IHostListSettings
  readonly limits: ILimitSettings
  readonly ids: IIdSettings
  readonly log: ILogSettings
}
