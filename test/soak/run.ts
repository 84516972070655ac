/**
 * `npm run soak -- [--seed N] [--count N] [--seconds N] [--controllers N] [--hosts N]`: soaks with one seed after the other,
 * a line for each, and the logs of a seed that failed in the folder `soak-logs`.
 */

import { mkdirSync, writeFileSync } from 'node:fs'
import { randomInt } from 'node:crypto'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { soak } from './Soak.js'

import type { ISoakReport } from './Soak.js'

const SHOWN_VIOLATIONS = 10
const MS_PER_S = 1000

const args = await yargs(hideBin(process.argv))
  .option('seed', { type: 'number', describe: 'the first seed; drawn if left out' })
  .option('count', { type: 'number', default: 1, describe: 'how many seeds' })
  .option('seconds', { type: 'number', default: 12, describe: 'how long faults come, for each seed' })
  .option('controllers', { type: 'number', default: 4 })
  .option('hosts', { type: 'number', default: 6 })
  .strict()
  .parseAsync()

let failed = 0
const first = args.seed ?? randomInt(1_000_000)
for (let seed = first; seed < first + args.count; seed += 1) {
  const report = await soak({ seed, faultsMs: args.seconds * MS_PER_S, controllers: args.controllers, hosts: args.hosts })
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
  for (const violation of violations.slice(0, SHOWN_VIOLATIONS)) process.stdout.write(`  ${violation}\n`)
  const folder = `soak-logs/${seed}`
  mkdirSync(folder, { recursive: true })
  writeFileSync(`${folder}/report.json`, JSON.stringify({ violations, faults }, undefined, 1))
  for (const [id, lines] of report.logs) writeFileSync(`${folder}/${id}.log`, lines.join('\n'))
}
