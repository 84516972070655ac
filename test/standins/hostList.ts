/**
 * Runs the stand-in of the host list as a program, with the options `--port` and `--lag-ms`.
 */

import { parseArgs } from 'node:util'

import { HostListStandIn } from './HostListStandIn.js'
import { runStandIns } from './support.js'

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' }, 'lag-ms': { type: 'string', default: '0' } } })
await runStandIns([new HostListStandIn(Number(values['lag-ms']))], Number(values.port))
