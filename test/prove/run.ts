/**
 * `npm run prove [-- NAME …] [--long] [--untimed]`: runs the proofs one after the other and prints a JSON line for each.
 * `--untimed` leaves out the proofs whose result depends on how long something took.
 */

import { parseArgs } from 'node:util'

import { CONFIG_PROOFS } from './ConfigProofs.js'
import { FAILOVER_PROOFS } from './FailoverProofs.js'
import { JOB_PROOFS } from './JobProofs.js'
import { LIFECYCLE_PROOFS } from './LifecycleProofs.js'
import { REQUEST_PROOFS } from './RequestProofs.js'

import type { IProof } from './Types.js'

const LONG_SCALE = 5

const PROOFS: readonly IProof[] = [...REQUEST_PROOFS, ...LIFECYCLE_PROOFS, ...JOB_PROOFS, ...FAILOVER_PROOFS, ...CONFIG_PROOFS]

const { values, positionals } = parseArgs({ options: { long: { type: 'boolean', default: false }, untimed: { type: 'boolean', default: false } }, allowPositionals: true })
const wanted = PROOFS.filter((proof) => (positionals.length === 0 || positionals.includes(proof.name)) && !(values.untimed && proof.isTimed))
const unknown = positionals.filter((name) => !PROOFS.some((proof) => proof.name === name))
if (unknown.length > 0) {
  process.stderr.write(`no proof named ${unknown.join(', ')}; the proofs are ${PROOFS.map((proof) => proof.name).join(', ')}\n`)
  process.exit(2)
}
for (const proof of wanted) {
  const { checked, violations, notes } = await proof.run(values.long ? LONG_SCALE : 1)
  process.stdout.write(JSON.stringify({
    name: proof.name, property: proof.property, failure: proof.failure, checked, violations: violations.length, ...notes, first: violations
  }) + '\n')
  if (violations.length > 0 || checked === 0) process.exitCode = 1
}
