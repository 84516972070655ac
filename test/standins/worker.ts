/**
 * Runs stand-ins of workers as a program, with the options `--port`, `--count`, `--host-id` (a prefix), `--cores`,
 * `--memory-bytes`, `--accelerators`, `--clock-offset-ms` (one second more for each further host), `--clock-rate`, and `--control`
 * (JSON that is applied to all of them).
 */

import { parseArgs } from 'node:util'

import { hostIds, runStandIns } from './support.js'
import { WorkerStandIn } from './WorkerStandIn.js'

const OFFSET_STEP_MS = 1000

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    count: { type: 'string', default: '1' },
    'host-id': { type: 'string', default: 'worker' },
    cores: { type: 'string', default: '64' },
    'memory-bytes': { type: 'string', default: String(128 * 1024 ** 3) },
    accelerators: { type: 'string', default: '0' },
    'clock-offset-ms': { type: 'string', default: '0' },
    'clock-rate': { type: 'string', default: '1' },
    control: { type: 'string', default: '{}' }
  }
})
const workers = hostIds(values['host-id'], Number(values.count)).map((hostId, index) => new WorkerStandIn({
  hostId,
  capacity: { cores: Number(values.cores), memoryBytes: Number(values['memory-bytes']), accelerators: Number(values.accelerators) },
  clockOffsetMs: Number(values['clock-offset-ms']) + index * OFFSET_STEP_MS,
  clockRate: Number(values['clock-rate'])
}))
for (const worker of workers) worker.control(JSON.parse(values.control) as Record<string, unknown>)
await runStandIns(workers, Number(values.port))
