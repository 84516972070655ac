/**
 * Explores every specification and every mutant and prints one JSON line for each. Fails if a specification has a
 * violation, or if a mutant does not violate the property that it names. An argument selects one specification by name.
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

const onlyName = process.argv[2]
const selected = specs.filter((spec) => onlyName === undefined || spec.name === onlyName)
const areAsExpected = selected.flatMap((spec) => [runSpec(spec), ...Object.keys(spec.mutants).map((mutant) => runMutant(spec, mutant))])
process.exitCode = areAsExpected.length > 0 && areAsExpected.every(Boolean) ? 0 : 1
