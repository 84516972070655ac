/**
 * Measures the cost of a cell's owner: one controller with many stand-in hosts and a constant rate of jobs. The processor time is
 * read from the controller's metrics. `npm run bench -- controller [--hosts N] [--perSecond N] [--seconds N]`; `--profile` writes a
 * processor profile to the working directory.
 */

import { request } from 'undici'
import yargs from 'yargs'
import { PlatformStandIn } from '../platform/standins/PlatformStandIn.js'
import { SeededRandom } from '../src/common/Random.js'
import { SimulatedCallers } from '../test/soak/SimulatedCallers.js'
import { InvariantChecker } from '../test/soak/InvariantChecker.js'
import { ControllerCell } from '../test/support/ControllerCell.js'

const HOST_CPU = 8000
const MAX_HOLD_MS = 6000
const WARM_UP_MS = 4000
const MS_PER_S = 1000

/** `npm run bench -- controller --hosts N --perSecond N [--profile]` */
export async function run (commandArgs: readonly string[]): Promise<void> {
  const args = await yargs([...commandArgs])
    .option('hosts', { type: 'number', default: 100 })
    .option('perSecond', { type: 'number', default: 60 })
    .option('seconds', { type: 'number', default: 10 })
    .option('profile', { type: 'boolean', default: false })
    .parseAsync()

  const platform = new PlatformStandIn({ seed: 1, hosts: args.hosts, hostCpu: HOST_CPU, maxHoldMs: MAX_HOLD_MS, failShare: 0 })
  const judge = new InvariantChecker(HOST_CPU)
  await platform.start(judge)
  const cell = new ControllerCell(platform, MAX_HOLD_MS, args.profile ? ['--cpu-prof'] : [])
  await cell.start(1)
  const callers = new SimulatedCallers(cell.controllers, platform, judge, new SeededRandom(3))
  const submitTimer = setInterval(() => { callers.submit() }, MS_PER_S / args.perSecond)
  await pause(WARM_UP_MS)
  const before = await takeReading(cell, judge)
  await pause(args.seconds * MS_PER_S)
  const after = await takeReading(cell, judge)
  clearInterval(submitTimer)
  const cores = (after.processorSeconds - before.processorSeconds) / args.seconds
  const startsPerSecond = (after.starts - before.starts) / args.seconds
  process.stdout.write(`${args.hosts} hosts, ${args.perSecond} jobs/s, ${startsPerSecond.toFixed(0)} starts/s: ${cores.toFixed(3)} cores, ` +
    `${(after.residentBytes / 2 ** 20).toFixed(0)} MiB resident, ${((after.storeCalls - before.storeCalls) / args.seconds).toFixed(0)} store calls/s\n`)
  const controller = cell.controllers[0]
  if (args.profile) await controller?.process.stop()
  await callers.close()
  await cell.close()
  await platform.close()
}

async function takeReading (cell: ControllerCell, judge: InvariantChecker) {
  const text = await (await request(`${cell.controllers[0]?.urls?.metrics}/metrics`)).body.text()
  const value = (name: string): number => Number(new RegExp(`^jackdawreel_${name} ([0-9.]+)`, 'm').exec(text)?.[1] ?? 0)
  return { processorSeconds: value('processor_seconds'), residentBytes: value('resident_bytes'), storeCalls: value('store_calls'), starts: judge.starts }
}

async function pause (ms: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, ms) })
}
