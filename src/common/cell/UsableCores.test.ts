/**
 * The capacity of the cell as far as an owner knows it.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { usableCores } from './UsableCores.js'

test('the capacity is unknown until two thirds of the hosts have answered, and that of silent hosts does not count', async (t) => {
  const cell = new SimulatedCell({ hosts: 6 })
  const measure = (): number | undefined => usableCores(cell.scheduler.hosts.values(), cell.clock.nowMs())
  for (const number of [0, 1, 2]) cell.host(number).isSilent = true
  await cell.run(1000)
  t.is(measure(), undefined)
  cell.host(0).isSilent = false
  await cell.run(1000)
  t.is(measure(), 32)
  cell.host(5).isSilent = true
  await cell.run(10_000)
  t.is(measure(), 24)
})
