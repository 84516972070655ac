/**
 * What a process is told by its settings file, checked and with the defaults filled in.
 */

import type { LogLevel } from '../../common/observability/Types.js'

export type ProcessRole = 'gateway' | 'scheduler'

/** An address to listen on, by IP number. */
export interface IListenAddress {
  readonly ip: string
  /** 0 takes any free port; `process.id` must be given then. */
  readonly port: number
}

export interface IProcessSettings {
  /** Stays the same over restarts. Derived from role and peer address where the file gives none. */
  readonly id: string
  readonly role: ProcessRole
  readonly region: string
  readonly failureDomain: string
}

export interface ICellSettings {
  /** All regions of the cell, this process's own among them. */
  readonly regions: readonly string[]
}

/** The callers' side of a gateway. */
export interface ICallerSettings {
  readonly listen: IListenAddress
  /** The largest request and answer body, in bytes. */
  readonly maxBodyBytes: number
  /** How long a caller may take to send its whole request, in milliseconds. */
  readonly requestTimeoutMs: number
}

/** The operators' side, apart from the callers'. */
export interface IOperatorSettings {
  readonly listen: IListenAddress
  /** The bearer token that every operator request must show. */
  readonly token: string
}

/** A process that a starting one may turn to. */
export interface ISeedSettings {
  readonly processId: string
  /** `ws://ip:port`. */
  readonly peerUrl: string
}

/** The links between the system's own processes. */
export interface IPeerSettings {
  readonly listen: IListenAddress
  /** What peers prove that they know before a message is read. */
  readonly sharedKey: string
  /** Where peers reach this process, if that is not where it listens. */
  readonly advertise?: IListenAddress | undefined
  readonly heartbeatMs: number
  /** A link that was silent for so long counts as lost, in milliseconds. */
  readonly silenceMs: number
  /** The largest message taken from a peer, in bytes. */
  readonly maxMessageBytes: number
  /** Whom to ask first when the store can't tell who is there. */
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
  /** Requests that one process holds at once; further ones are refused. */
  readonly maxInFlight: number
  /** Bytes of request bodies that one process holds at once; further requests are refused. It has 128 MB in all. */
  readonly maxInFlightBytes: number
  /** Connections that one listener holds at once. */
  readonly maxConnections: number
  readonly maxHeaderBytes: number
  readonly maxHeaderCount: number
  /** How long a client may take to send its headers, in milliseconds. */
  readonly headersTimeoutMs: number
  /** How long a planned stop waits for work in flight, in milliseconds. */
  readonly drainMs: number
  /** How long a stopping gateway still takes connections, until the balancer has seen its health check fail, in milliseconds. */
  readonly drainNoticeMs: number
  /** The largest state dump, in bytes. */
  readonly maxDumpBytes: number
}

/** The claims of non-idempotent requests. */
export interface IIdSettings {
  /** Slices of the request-id space; the same in every process of the cell. */
  readonly idShards: number
  /** How long a claim is remembered, in milliseconds. */
  readonly claimRetentionMs: number
  /** Store writes per second that the whole fleet may spend on claims. */
  readonly storeWritesPerSecond: number
}

export interface ILogSettings {
  readonly level: LogLevel
  /** Lines per second of one event; further ones are counted and reported as a number. */
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
