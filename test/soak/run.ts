/**
 * `npm run soak -- [--seed N] [--count N] [--seconds N] [--controllers N] [--hosts N]
 * [--faults NAME…]`: runs a soak for one seed after the other
 * and prints a line for each. The logs of a seed that fails are written to the folder `soak-logs`.
 */

import { mkdirSync, writeFileSync } from 'node:fs'
import { randomInt } from 'node:crypto'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runSoak } from './Soak.js'

import type { ISoakReport } from './Soak.js'

const MAX_SHOWN_VIOLATIONS = 10
const MS_PER_S = 1000

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', describe: 'the first seed; random if omitted' })
  .option('count', { type: 'number', default: 1, describe: 'the number of seeds' })
  .option('seconds', { type: 'number', default: 12, describe: 'the time for which faults are injected, for each seed' })
  .option('controllers', { type: 'number', default: 4 })
  .option('hosts', { type: 'number', default: 12 })
  .option('faults', { type: 'string', array: true, default: [], describe: 'the names of the faults to draw from; all if omitted' })
  .strict()
  .parseAsync()

let failed = 0
const firstSeed = args.seed ?? randomInt(1_000_000)
for (let seed = firstSeed; seed < firstSeed + args.count; seed += 1) {
  const report = await runSoak({ seed, faultsMs: args.seconds * MS_PER_S, controllers: args.controllers, hosts: args.hosts, faults: args.faults })
  print(report)
  if (report.violations.length > 0) failed += 1
}
process.stdout.write(`${args.count - failed} passed, ${failed} failed\n`)
process.exit(failed > 0 ? 1 : 0)

function print (report: ISoakReport): void {
  const { seed, violations, submitted, accepted, starts, faults } = report
  const verdict = violations.length === 0 ? 'ok' : `${violations.length} VIOLATIONS`
  process.stdout.write(`seed ${seed}: ${verdict}; ${submitted} jobs, ${accepted} accepted, ${starts} starts, ${faults.length} faults\n`)
  if (violations.length === 0) return
  for (const violation of violations.slice(0, MAX_SHOWN_VIOLATIONS)) process.stdout.write(`  ${violation}\n`)
  const folder = `soak-logs/${seed}`
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/report.json`, JSON.stringify({ violations, faults }, undefined, 1))
  for (const [id, lines] of report.logs) writeFileSync(`${folder}/${id}.log`, lines.join('\n'))
}
