/**
 * Passes the log lines of moleculer on to the log of the process.
 */

import { Loggers } from 'moleculer'

import type { ILogger } from '../common/observability/Types.js'

type BrokerLogHandler = (level: string, args: readonly unknown[]) => void

/** What the broker tells about itself is of interest to developers only, so all but its faults goes to debug. */
export class BrokerLogger extends Loggers.Base {
  public constructor (private readonly _logger: ILogger) {
    super()
  }

  public override getLogHandler (): BrokerLogHandler {
    return (level, args) => this._log(level, args.map(String).join(' '))
  }

  private _log (level: string, message: string): void {
    if (level === 'fatal' || level === 'error') this._logger.error('broker.error', { message })
    else if (level === 'warn') this._logger.warn('broker.warning', { message })
    else this._logger.debug('broker.log', { message })
  }
}
