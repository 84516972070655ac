/**
 * `npm run cell`: starts a small cell on loopback with the example services, says how to reach it, and runs until
 * Ctrl-C. For trying things out by hand.
 */

import { Cell, OPERATOR_TOKEN } from '../test/support/Cell.js'
import { configureExamples } from '../test/support/Configure.js'
import { operatorUrls } from '../test/support/OperatorUrls.js'

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

const cell = await Cell.start()
await configureExamples(cell.storeUrl)
await cell.untilServed()
print('# The cell runs. In another terminal:')
print(`export JACKDAWREEL_OPERATOR=${(await operatorUrls(cell))[0] ?? ''}`)
print(`export JACKDAWREEL_TOKEN=${OPERATOR_TOKEN}`)
print(`export JACKDAWREEL_GATEWAY=${cell.gateways()[0]?.url ?? ''}`)
print('# Runners, whose faults can be switched on by POST /control:')
for (const host of cell.hosts.filter(each => each.kind === 'runner')) print(`# ${host.hostId} ${host.url}`)
print('# Ctrl-C stops it.')
process.once('SIGINT', async () => {
  await cell.stopDaemons()
  await cell.dispose()
  process.exit(0)
})
