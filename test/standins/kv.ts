/**
 * The key-value service as a program. `--port`; the ready line has a `controlUrl` too, which stays open when the
 * `refuse` outage closes the main listener.
 */

import { parseArgs } from 'node:util'

import { KeyValueStandIn } from './KeyValueStandIn.js'
import { StandInServer } from './StandInServer.js'
import { runProgram } from './support.js'

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' }, control: { type: 'string', default: '{}' } } })
const standIn = new KeyValueStandIn()
standIn.control(JSON.parse(values.control) as Record<string, unknown>)
const controlUrl = await new StandInServer(standIn).listen(0)
const [server] = await runProgram([standIn], Number(values.port), { controlUrl })
// Deferred, so that the answer to the switch itself still goes out.
standIn.onOutage = (outage) => setImmediate(() => {
  if (outage === 'refuse') server?.refuse()
  else if (outage === 'reset') server?.cut()
  else server?.listen().catch(() => {})
})
