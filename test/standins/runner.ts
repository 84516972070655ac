/**
 * Runs stand-ins of runners as a program, with the options `--port`, `--count`, `--host-id` (a prefix), `--slots`,
 * `--max-connections`, `--seed`, `--max-records`, and `--control` (JSON that is applied to all of them).
 */

import { parseArgs } from 'node:util'

import { RunnerStandIn } from './RunnerStandIn.js'
import { hostIds, runStandIns } from './support.js'

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    count: { type: 'string', default: '1' },
    'host-id': { type: 'string', default: 'runner' },
    slots: { type: 'string', default: '8' },
    'max-connections': { type: 'string', default: '60' },
    seed: { type: 'string', default: '1' },
    'max-records': { type: 'string', default: '1000000' },
    control: { type: 'string', default: '{}' }
  }
})
const runners = hostIds(values['host-id'], Number(values.count)).map((hostId, index) => new RunnerStandIn({
  hostId,
  slots: Number(values.slots),
  maxConnections: Number(values['max-connections']),
  seed: Number(values.seed) + index,
  maxRecords: Number(values['max-records'])
}))
for (const runner of runners) runner.control(JSON.parse(values.control) as Record<string, unknown>)
await runStandIns(runners, Number(values.port))
