/**
 * The order of waiting steps.
 */

import test from 'ava'
import { CountingForecast } from '../../../test/support/PassViews.js'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { ObjectiveOrder, WorkspaceShareOrder } from './JobOrder.js'
import { WorkspaceUsage } from './WorkspaceUsage.js'

const GANGS = 200

for (const order of [new ObjectiveOrder(), new WorkspaceShareOrder()]) {
  test(`whether a step is late is forecast once, not in each comparison of the sort: ${order.constructor.name}`, (t) => {
    const cell = new SimulatedCell({ hosts: 1 })
    const times = new CountingForecast()
    const steps = Array.from({ length: GANGS }, (_, number) =>
      cell.createJob([{ count: 2, gang: true }], { targetMs: (number * 37) % GANGS }).steps).flat()
    const sorted = order.sort(steps, 0, new WorkspaceUsage(), times)
    t.is(times.runCount, GANGS)
    t.deepEqual(sorted.map(({ job }) => job.dueMs), steps.map(({ job }) => job.dueMs).sort((a, b) => a - b))
  })
}
