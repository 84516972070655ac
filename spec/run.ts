/**
 * Explores every specification and every mutant; one JSON line each. Fails if a specification has a violation or a
 * mutant none.
 */

import { explore } from './Model.js'
import { specs } from './specs.js'

import type { ISpec } from './Model.js'

function runSpec (spec: ISpec<unknown>): boolean {
  const result = explore(spec)
  const line = { spec: spec.name, mutant: null, states: result.states, violations: result.violation === undefined ? 0 : 1, ...result.violation }
  console.log(JSON.stringify(line))
  return result.violation === undefined
}

function runMutant (spec: ISpec<unknown>, mutant: string): boolean {
  const { violation } = explore(spec, mutant)
  console.log(JSON.stringify({ spec: spec.name, mutant, violations: violation === undefined ? 0 : 1, ...violation }))
  return violation?.property === spec.mutants[mutant]
}

const only = process.argv[2]
const chosen = specs.filter((spec) => only === undefined || spec.name === only)
const good = chosen.flatMap((spec) => [runSpec(spec), ...Object.keys(spec.mutants).map((mutant) => runMutant(spec, mutant))])
process.exitCode = good.length > 0 && good.every(Boolean) ? 0 : 1
