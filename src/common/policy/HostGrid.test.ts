import test from 'ava'
import fc from 'fast-check'

import { LedgerHost } from './CapacityLedger.js'
import { HostGrid } from './HostGrid.js'
import { fits } from './Resources.js'
import { cores, host } from '../../../test/policy/TestWork.js'

import type { IResources } from '../Types.js'

const GIB = 2 ** 30

function gridOf (freeCapacities: readonly IResources[]): HostGrid {
  const grid = new HostGrid()
  for (const [i, free] of freeCapacities.entries()) grid.set(new LedgerHost(host(`h${i}`, { cores: 64, memoryBytes: 128 * GIB, accelerators: 0 })), free)
  return grid
}

test('the tightest host with enough free capacity is found, or the freest', (t) => {
  const grid = gridOf([cores(8), cores(2), cores(1)])
  t.is(grid.find(cores(2), 'tightest', () => true)?.hostId, 'h1')
  t.is(grid.find(cores(2), 'freest', () => true)?.hostId, 'h0')
})

test('a host that is deleted or not allowed is not found', (t) => {
  const grid = new HostGrid()
  const ledgerHost = new LedgerHost(host('one'))
  grid.set(ledgerHost, cores(4))
  t.is(grid.find(cores(1), 'tightest', () => false), undefined)
  grid.delete(ledgerHost)
  t.is(grid.find(cores(1), 'tightest', () => true), undefined)
})

const amount = fc.record({
  cores: fc.integer({ min: 0, max: 640 }).map((tenths) => tenths / 10),
  memoryBytes: fc.integer({ min: 0, max: 128 }).map((gib) => gib * GIB),
  accelerators: fc.constant(0)
})

test('a host is found exactly when a scan finds one, also after hosts have changed cells', (t) => {
  fc.assert(fc.property(fc.array(amount, { minLength: 1, maxLength: 30 }), fc.array(amount, { maxLength: 30 }), amount, (before, after, need) => {
    const grid = new HostGrid()
    const freeCapacities = new Map(before.map((free, i) => [new LedgerHost(host(`h${i}`)), free]))
    for (const [ledgerHost, free] of freeCapacities) grid.set(ledgerHost, free)
    for (const [i, ledgerHost] of [...freeCapacities.keys()].entries()) {
      const moved = after[i]
      if (moved === undefined) continue
      freeCapacities.set(ledgerHost, moved)
      grid.set(ledgerHost, moved)
    }
    const exists = [...freeCapacities.values()].some((free) => fits(need, free))
    for (const order of ['tightest', 'freest'] as const) {
      const found = grid.find(need, order, () => true)
      if ((found !== undefined) !== exists) return false
      if (found !== undefined && !fits(need, freeCapacities.get(found) ?? cores(-1))) return false
    }
    return true
  }), { seed: 1, numRuns: 500 })
  t.pass()
})
