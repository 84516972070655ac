/**
 * The host list as a program: `--port`, `--lag-ms`.
 */

import { parseArgs } from 'node:util'

import { HostListStandIn } from './HostListStandIn.js'
import { runProgram } from './support.js'

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' }, 'lag-ms': { type: 'string', default: '0' } } })
await runProgram([new HostListStandIn(Number(values['lag-ms']))], Number(values.port))
