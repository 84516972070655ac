/**
 * What a process tells its operators: log events, counters and dumps.
 */

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
