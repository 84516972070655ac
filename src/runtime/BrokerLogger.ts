/**
 * Forwards the log lines of moleculer to the log of the process.
 */

import { Loggers } from 'moleculer'

import type { ILogger } from '../common/observability/Types.js'

type BrokerLogHandler = (level: string, args: readonly unknown[]) => void

/** Errors and warnings keep their level. All other lines are logged at debug level, as they interest developers only. */
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
