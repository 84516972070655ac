/**
 * Every specification holds, and each mutant violates the property that it names.
 *
 * An exploration blocks the event loop for seconds. Each test first yields to the event loop, so that the results of the
 * earlier tests reach the test runner. Without this, on a busy machine, the runner considers the file hung.
 */

import test from 'ava'
import { setImmediate } from 'node:timers/promises'
import { explore } from './Model.js'
import { specs } from './specs.js'

for (const spec of specs) {
  test(`${spec.name}: all reachable states satisfy the properties`, async (t) => {
    await setImmediate()
    const result = explore(spec)
    t.is(result.violation, undefined)
    t.true(result.states > 1_000)
  })

  for (const [mutant, property] of Object.entries(spec.mutants)) {
    test(`${spec.name}: the mutant ${mutant} violates "${property}"`, async (t) => {
      await setImmediate()
      const { violation } = explore(spec, mutant)
      t.is(violation?.property, property)
      t.true((violation?.trace.length ?? 0) > 0)
    })
  }

  test(`${spec.name}: each property has a mutant`, (t) => {
    const violated = new Set(Object.values(spec.mutants))
    t.deepEqual([...violated].sort(), Object.keys(spec.properties).sort())
  })
}
