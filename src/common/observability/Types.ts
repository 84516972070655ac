/**
 * What a process reports to its operators: log events, counters and metrics.
 */

import type { ILatencyBucket } from './LatencyHistogram.js'

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const
export type LogLevel = typeof LOG_LEVELS[number]

/** The value of a log field: plain values only. Bodies, tokens and keys are never logged. */
export type LogValue = string | number | boolean | undefined | readonly string[] | readonly number[]

export interface ILogFields {
  readonly requestId?: string | undefined
  readonly attemptId?: string | undefined
  /** The operation, for example `store.compareAndSwap`. */
  readonly step?: string | undefined
  /** The process, host or service that the operation addressed. */
  readonly peer?: string | undefined
  readonly durationMs?: number | undefined
  readonly [field: string]: LogValue
}

/** Structured logs: one event name per kind of event, for example `store.unreachable`, so that operators can search. */
export interface ILogger {
  debug (event: string, fields?: ILogFields): void
  info (event: string, fields?: ILogFields): void
  warn (event: string, fields?: ILogFields): void
  error (event: string, fields?: ILogFields): void
}

/** How the requests of one caller to a service ended, since the process started. */
export interface IOutcomeRow {
  readonly service: string
  /** `others` stands for all callers that have no row of their own. */
  readonly caller: string
  readonly completed: number
  readonly late: number
  readonly refused: number
  readonly notRun: number
  readonly unknown: number
  /** Waiting times of dispatched requests. */
  readonly waitBuckets: readonly ILatencyBucket[]
}

/** Monotonic counters of the process and its memory, read when a sample is taken. */
export interface IProcessReadings {
  /** Processor time used so far, user and system, in microseconds. */
  processorMicros (): number
  residentBytes (): number
  peerSentBytes (): number
  peerReceivedBytes (): number
  crossRegionSentBytes (): number
  storeCalls (): number
}

/** The resource usage of the process. Rates are over the last sampling period. */
export interface IProcessMetrics {
  readonly uptimeMs: number
  /** The share of one core: 0.02 is 2%. */
  readonly processorShare: number
  readonly residentBytes: number
  /** The largest delay of a timer in the last sampling period. */
  readonly eventLoopDelayMs: number
  readonly peerSentBytes: number
  readonly peerReceivedBytes: number
  readonly peerBytesPerSecond: number
  readonly crossRegionSentBytes: number
  readonly crossRegionBytesPerSecond: number
  readonly storeCalls: number
  readonly storeCallsPerSecond: number
}
