/**
 * Every specification holds, and each mutant breaks the property that it names.
 */

import test from 'ava'
import { explore } from './Model.js'
import { specs } from './specs.js'

for (const spec of specs) {
  test(`${spec.name}: all reachable states keep the properties`, (t) => {
    const result = explore(spec)
    t.is(result.violation, undefined)
    t.true(result.states > 1_000)
  })

  for (const [mutant, property] of Object.entries(spec.mutants)) {
    test(`${spec.name}: without its safeguard (${mutant}) it breaks "${property}"`, (t) => {
      const { violation } = explore(spec, mutant)
      t.is(violation?.property, property)
      t.true((violation?.trace.length ?? 0) > 0)
    })
  }

  test(`${spec.name}: each property has a mutant`, (t) => {
    const broken = new Set(Object.values(spec.mutants))
    t.deepEqual([...broken].sort(), Object.keys(spec.properties).sort())
  })
}
