/**
 * The moleculer broker of one process. It carries the process's own HTTP services and nothing else: no transporter, no
 * discovery, no metrics or tracing of its own, and no signal handlers, because the process decides how it stops.
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
