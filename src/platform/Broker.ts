/**
 * The moleculer broker of one process. It carries the process's own HTTP services and nothing else: no transporter, no
 * discovery, no metrics or tracing of its own, and no signal handlers, because the process decides how it stops.
 */

import { Loggers, ServiceBroker } from 'moleculer'

import type { ILogger } from '../common/observability/Types.js'

type BrokerLogHandler = (level: string, args: readonly unknown[]) => void

/** Passes the broker's log lines on; what it tells about itself is of interest to developers only. */
class BrokerLogger extends Loggers.Base {
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

export function createBroker (processId: string, logger: ILogger): ServiceBroker {
  return new ServiceBroker({
    nodeID: processId,
    logger: new BrokerLogger(logger),
    logLevel: 'debug',
    transporter: null,
    registry: { discoverer: 'Local' },
    heartbeatInterval: 0,
    cacher: false,
    validator: false,
    metrics: false,
    tracing: false,
    internalServices: false,
    internalMiddlewares: false,
    hotReload: false,
    skipProcessEventRegistration: true
  })
}
