/**
 * Compares the compiled table with xstate, for every state and event of every chart.
 */

import { readFileSync, readdirSync } from 'node:fs'
import test from 'ava'
import { createMachine, getNextSnapshot } from 'xstate'
import { ChartTable } from './ChartTable.js'

import type { AnyStateMachine } from 'xstate'
import type { IFlatChart } from './Types.js'

const CHARTS = new URL('../../../../charts/', import.meta.url)

function load (file: string): IFlatChart {
  return JSON.parse(readFileSync(new URL(file, CHARTS), 'utf8')) as IFlatChart
}

for (const file of readdirSync(CHARTS)) {
  test(`${file}: the table and xstate agree on each state and event`, (t) => {
    const chart = load(file)
    const table = ChartTable.compile(chart)._unsafeUnwrap()
    const machine: AnyStateMachine = createMachine(chart as never)
    t.is(machine.root.initial?.target?.[0]?.key, table.initial)
    for (const state of table.states.filter((name) => !table.isFinal(name))) {
      for (const event of [...table.events, 'NO_SUCH_EVENT']) {
        const before = machine.resolveState({ value: state, context: {} })
        t.is(getNextSnapshot(machine, before, { type: event }).value, table.next(state, event), `${state} ${event}`)
      }
    }
  })
}

test('a chart with a target that does not exist is refused', (t) => {
  const chart: IFlatChart = { id: 'broken', initial: 'a', states: { a: { on: { GO: 'nowhere' } } } }
  t.is(ChartTable.compile(chart)._unsafeUnwrapErr().field, 'nowhere')
})
