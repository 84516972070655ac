/**
 * What a process tells its operators: log events, counters and dumps.
 */

import type { ILatencyBucket } from './LatencyHistogram.js'

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const
export type LogLevel = typeof LOG_LEVELS[number]

/** What a log line may carry: plain values only. Bodies, tokens and keys never go into a log. */
export type LogValue = string | number | boolean | undefined | readonly string[] | readonly number[]

export interface ILogFields {
  readonly requestId?: string | undefined
  readonly attemptId?: string | undefined
  /** What was being done. */
  readonly step?: string | undefined
  /** The process, host or service it was done with. */
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

/** What a service gave to one caller since the process started. */
export interface IOutcomeRow {
  readonly service: string
  /** `others` stands for all callers that have no row of their own. */
  readonly caller: string
  readonly completed: number
  readonly late: number
  readonly refused: number
  readonly notRun: number
  readonly unknown: number
  /** Waiting times of what was dispatched. */
  readonly waitBuckets: readonly ILatencyBucket[]
}

/** Counters of the process that only rise, and its memory; read when a sample is taken. */
export interface IProcessReadings {
  /** Processor time used so far, user and system, in microseconds. */
  processorMicros (): number
  residentBytes (): number
  peerSentBytes (): number
  peerReceivedBytes (): number
  crossRegionSentBytes (): number
  storeCalls (): number
}

/** What the process itself costs. Rates are over the last sampling period. */
export interface IProcessMetrics {
  readonly uptimeMs: number
  /** Of one core: 0.02 is 2%. */
  readonly processorShare: number
  readonly residentBytes: number
  /** The latest that a timer fired after its time, in the last period. */
  readonly eventLoopDelayMs: number
  readonly peerSentBytes: number
  readonly peerReceivedBytes: number
  readonly peerBytesPerSecond: number
  readonly crossRegionSentBytes: number
  readonly crossRegionBytesPerSecond: number
  readonly storeCalls: number
  readonly storeCallsPerSecond: number
}
