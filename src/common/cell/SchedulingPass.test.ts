/**
 * Which steps a pass considers in each of its slices.
 */

import test from 'ava'
import { SimulatedCell } from '../../../test/support/SimulatedCell.js'
import { ManualClock } from '../Clock.js'
import { CapacityReservations } from './CapacityReservations.js'
import { NO_RESOURCES } from './Resources.js'
import { RunTimes } from './RunTimes.js'
import { SchedulingPass } from './SchedulingPass.js'
import { StepAdvice } from './StepAdvice.js'

import type { QueueTerms, Step } from './Job.js'
import type { IPassActions } from './SchedulingPass.js'
import type { IStepSpec } from './Types.js'

const SLICE_MS = 8

class StepSet {
  public readonly clock = new ManualClock()
  public readonly ready: Step[] = []
  public considered: Step[] = []
  public readonly reservationsOf = new Map<Step, CapacityReservations[]>()
  private readonly _cell = new SimulatedCell({ hosts: 1 })

  /** Considering a step takes 1 ms, and none finds room. */
  public readonly actions: IPassActions = {
    findReady: () => [...this.ready],
    sort: (steps) => steps.sort((a, b) => a.job.queue.priority - b.job.queue.priority),
    createReservations: () => new CapacityReservations([]),
    createView: () => ({
      nowMs: 0, hosts: new Map(), farFactor: 1, slowHosts: new Set(), times: new RunTimes(), headroom: () => NO_RESOURCES, hasReservation: () => false
    }),
    place: (step, reservations) => {
      this.clock.advance(1)
      this.considered.push(step)
      this.reservationsOf.set(step, [...this.reservationsOf.get(step) ?? [], reservations])
      return step.advice?.hasCalls === true ? 'advice' : 'room'
    }
  }

  public add (count: number, queue: Partial<QueueTerms>, spec: Partial<IStepSpec> = {}): readonly Step[] {
    const steps = Array.from({ length: count }, () => this._cell.createJob([spec], queue).steps).flat()
    this.ready.push(...steps)
    return steps
  }

  public begin (awaitingAdvice = new WeakSet<Step>()): SchedulingPass {
    this.considered = []
    return new SchedulingPass(this.actions, awaitingAdvice, this.clock)
  }
}

test('the last steps are reached although urgent and new ones fill their part of each slice', (t) => {
  const set = new StepSet()
  set.add(50, { priority: 0 })
  const others = set.add(40, { priority: 2 })
  const pass = set.begin()
  let slices = 0
  for (; !pass.isComplete; slices += 1) {
    pass.runSlice(SLICE_MS)
    set.add(4, { priority: 2 })
    set.add(2, { priority: 0 })
  }
  t.true(others.every((step) => set.considered.includes(step)))
  t.true(slices <= 90 / (SLICE_MS / 4))
})

test('urgent steps that have no room take turns at the begin of each slice', (t) => {
  const set = new StepSet()
  const urgent = set.add(12, { priority: 0 })
  set.add(100, { priority: 2 })
  const pass = set.begin()
  pass.runSlice(12)
  set.considered = []
  for (let slice = 0; slice < 3; slice += 1) pass.runSlice(SLICE_MS)
  t.true(urgent.every((step) => set.considered.includes(step)))
})

test('a gang whose advice arrives before the pass reaches it is considered once, so that its own reservation does not hold it back', (t) => {
  const set = new StepSet()
  const awaitingAdvice = new WeakSet<Step>()
  set.add(20, { priority: 1 })
  const [gang] = set.add(1, { priority: 2 }, { count: 2, gang: true })
  if (gang === undefined) return t.fail()
  gang.advice = new StepAdvice()
  gang.advice.recordCalls(1, 'hosts', false, 0)
  set.begin(awaitingAdvice).runSlice(Infinity)
  const pass = set.begin(awaitingAdvice)
  pass.runSlice(SLICE_MS)
  gang.advice.recordCallEnd('hosts', false)
  while (!pass.isComplete) pass.runSlice(SLICE_MS)
  t.is(set.considered.filter((step) => step === gang).length, 1)
  t.true(set.considered.indexOf(gang) < 12)
})

test('an urgent gang whose advice arrives during a pass has its room reserved from the less urgent steps that follow', (t) => {
  const set = new StepSet()
  const [gang] = set.add(1, { priority: 0 }, { count: 2, gang: true })
  set.add(60, { priority: 2 })
  if (gang === undefined) return t.fail()
  gang.advice = new StepAdvice()
  gang.advice.recordCalls(1, 'hosts', false, 0)
  const pass = set.begin()
  pass.runSlice(SLICE_MS)
  gang.advice.recordCallEnd('hosts', false)
  set.reservationsOf.clear()
  pass.runSlice(SLICE_MS)
  t.true(set.reservationsOf.get(gang)?.includes(pass.reservations))
  while (!pass.isComplete) pass.runSlice(SLICE_MS)
  t.is(set.reservationsOf.get(gang)?.filter((reservations) => reservations === pass.reservations).length, 1)
})
