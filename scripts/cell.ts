/**
 * `npm run cell`: starts a small cell on the loopback interface with the example services, prints how to reach it, and runs until
 * Ctrl-C. The cell is for manual experiments.
 */

import { Cell, OPERATOR_TOKEN } from '../test/support/Cell.js'
import { configureExamples } from '../test/support/Configure.js'
import { operatorUrls } from '../test/support/OperatorUrls.js'

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}

const cell = await Cell.start()
await configureExamples(cell.storeUrl)
await cell.waitUntilServed()
print('# The cell is running. In another terminal, enter:')
print(`export JACKDAWREEL_OPERATOR=${(await operatorUrls(cell))[0] ?? ''}`)
print(`export JACKDAWREEL_TOKEN=${OPERATOR_TOKEN}`)
print(`export JACKDAWREEL_GATEWAY=${cell.gateways()[0]?.url ?? ''}`)
print('# Runners; POST /control switches on their faults:')
for (const host of cell.hosts.filter(each => each.kind === 'runner')) print(`# ${host.hostId} ${host.url}`)
print('# Ctrl-C stops the cell.')
process.once('SIGINT', async () => {
  await cell.stopDaemons()
  await cell.dispose()
  process.exit(0)
})
