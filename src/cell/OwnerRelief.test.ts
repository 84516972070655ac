/**
 * An unfit or overloaded owner among other processes, with the real ownership of each and a scripted store.
 */

import test from 'ava'
import { ReliefCell } from '../../test/support/ReliefCell.js'
import { advance } from '../../test/support/advance.js'

import type { IMachine } from '../../test/support/ReliefCell.js'

const WIDE: IMachine = { fitness: 1, ordersPerS: 2000 }
const NARROW: IMachine = { fitness: 0.2, ordersPerS: 350 }
/** Orders a second, more than a narrow machine sends. */
const ORDERS_PER_S = 450
const STEP_MS = 10
/** By when a first owner that is unfit has handed the cell over, in ms: 2 s after it began, and a handover. */
const RELIEVED_BY_MS = 3000

/** Starts the first process alone, so that it owns the cell, and the others when it does. */
async function startCell (machines: readonly IMachine[], objectiveMs?: number): Promise<ReliefCell> {
  const cell = new ReliefCell(machines, objectiveMs)
  cell.process(0).ownership.start()
  await advance(cell.clock, 800, STEP_MS)
  for (const process of cell.processes.slice(1)) process.ownership.start()
  return cell
}

/** Plays the load. Returns the share of the orders that are sent in time, and the owners. */
async function play (cell: ReliefCell, forMs: number, ordersPerS: number) {
  const owners: string[] = []
  let served = 0
  let unownedMs = 0
  for (let passedMs = 0; passedMs < forMs; passedMs += STEP_MS) {
    await advance(cell.clock, STEP_MS, STEP_MS)
    const owner = cell.processes.find(({ id }) => id === cell.owner)
    if (owner === undefined || !owner.isAlive) unownedMs += STEP_MS
    else if (owners.at(-1) !== owner.id) owners.push(owner.id)
    served += owner?.sendOrders(ordersPerS * STEP_MS / 1000, STEP_MS) ?? 0
  }
  return { owners, unownedMs, servedShare: served / (ordersPerS * forMs / 1000) }
}

test('callers of a narrow owner are served in time after a handover to a wide machine, and the cell has an owner all the time', async (t) => {
  const { owners, unownedMs, servedShare } = await play(await startCell([NARROW, NARROW, WIDE]), 20_000, ORDERS_PER_S)
  t.deepEqual(owners, ['p0', 'p2'])
  t.is(unownedMs, 0)
  t.true(servedShare > 0.75, `${servedShare}`)
  const { servedShare: servedByNarrow } = await play(await startCell([NARROW, NARROW, NARROW]), 20_000, ORDERS_PER_S)
  t.true(servedByNarrow < 0.2, `${servedByNarrow}`)
})

test('among machines that are all alike, an unfit owner asks nobody for relief, overloaded or not', async (t) => {
  // Each handover would cost the cell a takeover, without a gain.
  for (const ordersPerS of [100, 2000]) {
    const cell = await startCell([NARROW, NARROW, NARROW])
    const { owners } = await play(cell, 20_000, ordersPerS)
    t.deepEqual(owners, ['p0'])
    t.deepEqual([...cell.callsOf('cellRelief'), ...cell.callsOf('cellTakeOver')], [])
    t.is(cell.callsOf('cellOffer').length, 2, 'only for the first standby')
  }
})

test('among fit machines, an owner that isn\'t overloaded asks nobody for relief', async (t) => {
  const cell = await startCell([WIDE, WIDE, WIDE])
  t.deepEqual((await play(cell, 20_000, ORDERS_PER_S)).owners, ['p0'])
  t.deepEqual([...cell.callsOf('cellRelief'), ...cell.callsOf('cellTakeOver')], [])
  t.is(cell.callsOf('cellOffer').length, 2, 'only for the first standby')
})

test('a fit machine that is slower than it reports hands the cell over once it is overloaded', async (t) => {
  const { owners, servedShare } = await play(await startCell([{ ...WIDE, ordersPerS: 350 }, WIDE, WIDE]), 20_000, ORDERS_PER_S)
  t.is(owners.length, 2)
  t.true(servedShare > 0.6, `${servedShare}`)
})

test('a load that no machine handles doesn\'t move the cell more often than every 15 s, nor back within 30 s', async (t) => {
  const { owners } = await play(await startCell([WIDE, WIDE, WIDE].map((machine) => ({ ...machine, ordersPerS: 350 }))), 40_000, 2000)
  t.true(owners.length <= 4, owners.join())
  t.is(new Set(owners.slice(0, 3)).size, 3)
})

test('without a fit machine or a process that reports its fitness, the owner stays', async (t) => {
  for (const others of [[], [{ ...WIDE, isEarlierVersion: true }]]) {
    const cell = await startCell([NARROW, ...others])
    t.deepEqual((await play(cell, 10_000, ORDERS_PER_S)).owners, ['p0'])
    t.deepEqual(cell.callsOf('cellTakeOver'), [])
  }
})

test('an owner whose request is refused or not answered goes on, and asks again 5 s later at the earliest', async (t) => {
  for (const answer of [async () => await new Promise<never>(() => {}), async () => ({ isOwner: false })]) {
    const cell = await startCell([NARROW, WIDE])
    cell.process(1).handlers.set('cellTakeOver', answer)
    const { owners, unownedMs } = await play(cell, 12_000, ORDERS_PER_S)
    t.deepEqual(owners, ['p0'])
    t.is(unownedMs, 0)
    t.is(cell.callsOf('cellTakeOver').length, 2)
    t.deepEqual(cell.process(0).counters.rows(), [{ name: 'reliefs', label: 'refused', count: 2 }])
  }
})

test('an owner that learns of the takeover only from the store resigns', async (t) => {
  const cell = await startCell([NARROW, WIDE])
  cell.process(1).losesTakeoverAnswer = true
  const { owners } = await play(cell, RELIEVED_BY_MS, ORDERS_PER_S)
  t.deepEqual(owners, ['p0', 'p1'])
  t.false(cell.process(0).ownership.isOwner)
})

test('a cell whose new owner dies at once is free when the lease of that owner ends, as after any takeover', async (t) => {
  const cell = await startCell([NARROW, WIDE])
  while (cell.owner !== 'p1') await advance(cell.clock, STEP_MS, STEP_MS)
  cell.process(1).isAlive = false
  cell.process(1).ownership.dispose()
  const { owners, unownedMs } = await play(cell, 5000, 100)
  t.deepEqual(owners, ['p0'])
  t.true(unownedMs <= 2000, `${unownedMs}`)
})

test('the cell isn\'t handed again and again to a fit process that gives it up each time', async (t) => {
  // A fit process that only the owner reaches steps aside as soon as it owns the cell, and the unfit one would hand it over again 2 s later.
  const cell = await startCell([NARROW, WIDE])
  const fit = cell.process(1)
  fit.ownership.onOwned(() => { cell.clock.after(1000, () => { fit.ownership.stepAside('isolated').catch(t.fail) }) })
  const { owners } = await play(cell, 30_000, 100)
  t.deepEqual(owners, ['p0', 'p1', 'p0'])
  t.deepEqual((await play(cell, 10_000, 100)).owners, ['p0', 'p1', 'p0'])
})

test('an owner that stops, or that the store doesn\'t confirm, asks nobody for relief', async (t) => {
  const stopping = await startCell([NARROW, WIDE])
  stopping.process(0).isStopping = true
  await play(stopping, 6000, ORDERS_PER_S)
  const unconfirmed = await startCell([NARROW, WIDE])
  await advance(unconfirmed.clock, 600, STEP_MS)
  unconfirmed.store.isAway = true
  await play(unconfirmed, 6000, ORDERS_PER_S)
  for (const cell of [stopping, unconfirmed]) t.deepEqual(cell.callsOf('cellRelief'), [])
})

test('a handover during which the store becomes unavailable changes nothing', async (t) => {
  const cell = await startCell([NARROW, WIDE])
  while (cell.callsOf('cellTakeOver').length === 0) await advance(cell.clock, STEP_MS, STEP_MS)
  const { item } = cell.store
  cell.store.isAway = true
  await advance(cell.clock, 500, STEP_MS)
  t.is(cell.store.item?.revision, item?.revision)
  t.true(cell.process(0).ownership.isOwner)
})

test('the standby is replaced by a much fitter process', async (t) => {
  const cell = await startCell([WIDE, NARROW, WIDE])
  cell.process(2).isAlive = false
  await play(cell, 2500, 100)
  t.is(cell.process(0).selector?.standby, 'p1')
  cell.process(2).isAlive = true
  await play(cell, 4000, 100)
  t.is(cell.process(0).selector?.standby, 'p2')
})
