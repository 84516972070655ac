/**
 * Creates the moleculer broker of a process. The broker runs only the HTTP services of the process: it has no transporter,
 * discovery, metrics or tracing, and no signal handlers, because the process itself decides how it stops.
 */

import { ServiceBroker } from 'moleculer'
import { BrokerLogger } from './BrokerLogger.js'

import type { ILogger } from '../common/observability/Types.js'

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
