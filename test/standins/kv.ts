/**
 * Runs the stand-in of the key-value service as a program, with the options `--port` and `--control` (JSON). The ready line also
 * has a `controlUrl`, a listener that stays open when the `refuse` outage closes the main one.
 */

import { parseArgs } from 'node:util'

import { KeyValueStandIn } from './KeyValueStandIn.js'
import { StandInServer } from './StandInServer.js'
import { runStandIns } from './support.js'

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' }, control: { type: 'string', default: '{}' } } })
const standIn = new KeyValueStandIn()
standIn.control(JSON.parse(values.control) as Record<string, unknown>)
const controlUrl = await new StandInServer(standIn).listen(0)
const [server] = await runStandIns([standIn], Number(values.port), { controlUrl })
// Deferred, so that the answer to the control call itself is still sent.
standIn.onOutage = (outage) => setImmediate(() => {
  if (outage === 'refuse') server?.refuseConnections()
  else if (outage === 'reset') server?.cutConnections()
  else server?.listen().catch(() => {})
})
