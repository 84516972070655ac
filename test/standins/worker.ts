/**
 * Workers as a program: `--port`, `--count`, `--host-id` (a prefix), `--cores`, `--memory-bytes`, `--accelerators`,
 * `--clock-offset-ms` (each further host a second more), `--clock-rate`, `--control` with JSON for all of them.
 */

import { parseArgs } from 'node:util'

import { hostIds, runProgram } from './support.js'
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
await runProgram(workers, Number(values.port))
