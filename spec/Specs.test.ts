/**
 * Every specification holds, and each mutant breaks the property that it names.
 *
 * Exploring takes seconds without a pause. Each test lets other work go first, or nobody would hear of the earlier ones'
 * ends before the last: beside a busy machine the runner took the file for hung.
 */

import test from 'ava'
import { setImmediate } from 'node:timers/promises'
import { explore } from './Model.js'
import { specs } from './specs.js'

for (const spec of specs) {
  test(`${spec.name}: all reachable states keep the properties`, async (t) => {
    await setImmediate()
    const result = explore(spec)
    t.is(result.violation, undefined)
    t.true(result.states > 1_000)
  })

  for (const [mutant, property] of Object.entries(spec.mutants)) {
    test(`${spec.name}: without its safeguard (${mutant}) it breaks "${property}"`, async (t) => {
      await setImmediate()
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
