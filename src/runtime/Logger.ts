/**
 * Writes JSON lines to standard output with tslog: one line per event, with a level, the time and the process.
 */

import { Logger as TsLogger } from 'tslog'
import { EventRateLimit } from '../common/observability/EventRateLimit.js'
import { LOG_LEVELS } from '../common/observability/Types.js'
import { LogWriter } from './LogWriter.js'

import type { ILogFields, ILogger, LogLevel } from '../common/observability/Types.js'
import type { IClock, ITimers } from '../common/Types.js'

export interface ILoggerOptions {
  readonly processId: string
  readonly level: LogLevel
  /** Lines per second of one event; further ones are suppressed and counted. */
  readonly maxLinesPerSecond: number
  /** Writes a line; by default to standard output. */
  readonly write?: (line: string) => void
}

/** Fields whose values are masked if they are ever logged. */
const MASKED_FIELDS = ['token', 'sharedKey', 'authorization', 'body', 'password']

interface ILogLine {
  readonly [field: string]: unknown
}

export class Logger implements ILogger {
  private readonly _tslog: TsLogger<ILogLine>
  private readonly _rateLimit: EventRateLimit
  private readonly _minLevel: number
  private readonly _write: (line: string) => void

  public constructor (private readonly _clock: IClock & ITimers, private readonly _options: ILoggerOptions) {
    this._rateLimit = new EventRateLimit(_clock, _options.maxLinesPerSecond)
    this._minLevel = LOG_LEVELS.indexOf(_options.level)
    this._write = _options.write ?? this._createWriter()
    this._tslog = new TsLogger<ILogLine>({
      type: 'hidden',
      // Computing the code position of each line would cost more than the rest of it.
      hideLogPositionForProduction: true,
      maskValuesOfKeys: MASKED_FIELDS,
      maskValuesOfKeysCaseInsensitive: true,
      attachedTransports: [line => this._writeLine(line)]
    })
  }

  public debug (event: string, fields?: ILogFields): void {
    this._log('debug', event, fields)
  }

  public info (event: string, fields?: ILogFields): void {
    this._log('info', event, fields)
  }

  public warn (event: string, fields?: ILogFields): void {
    this._log('warn', event, fields)
  }

  public error (event: string, fields?: ILogFields): void {
    this._log('error', event, fields)
  }

  private _log (level: LogLevel, event: string, fields?: ILogFields): void {
    if (LOG_LEVELS.indexOf(level) < this._minLevel) return
    const { allowed, suppressed } = this._rateLimit.admit(event)
    if (!allowed) return
    const time = new Date(this._clock.wallMs()).toISOString()
    const line = { time, level, event, process: this._options.processId, ...fields }
    this._tslog[level](suppressed > 0 ? { ...line, suppressed } : line)
  }

  /** Creates a log writer that reports the lines it dropped as soon as it accepts lines again. */
  private _createWriter (): (line: string) => void {
    const writer = new LogWriter(this._clock)
    let reportedLines = 0
    return (line) => {
      writer.write(line)
      if (writer.droppedLines === reportedLines || !writer.hasRoom) return
      const unreportedLines = writer.droppedLines - reportedLines
      reportedLines = writer.droppedLines
      this.warn('log.leftOut', { lines: unreportedLines })
    }
  }

  private _writeLine (line: ILogLine): void {
    const { _meta, ...fields } = line
    this._write(`${JSON.stringify(fields)}\n`)
  }
}
