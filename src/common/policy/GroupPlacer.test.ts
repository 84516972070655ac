import test from 'ava'

import { cores, takeDecisions, createEngine, host, takePlacements, work } from '../../../test/policy/TestWork.js'

import type { DecisionEngine } from './DecisionEngine.js'
import type { IWorkItem } from './Types.js'

function tasks (prefix: string, count: number, changes: Partial<IWorkItem> = {}): readonly IWorkItem[] {
  return Array.from({ length: count }, (_, i) => work(`${prefix}${i}`, { resources: cores(4), ...changes }))
}

function finish (engine: DecisionEngine, ...ids: readonly string[]): void {
  for (const id of ids) engine.recordEnd(id, 'succeeded', 1_000)
}

test('a job starts all its tasks at once or none', (t) => {
  const { engine } = createEngine('resources', host('h1', cores(8)))
  engine.admit(work('small', { resources: cores(8) }))
  takePlacements(engine)
  engine.admitGroup('job', tasks('j', 2))
  t.deepEqual(takePlacements(engine), {})
  finish(engine, 'small')
  t.deepEqual(Object.keys(takePlacements(engine)), ['j0', 'j1'])
})

/*
 * Small tasks keep coming and each fills the gap that the last one leaves. A job that waits for enough free capacity at
 * one moment would wait for ever, although every small task is served at once.
 */
test('a job in a stream of small tasks starts within the run time of the tasks ahead of it', (t) => {
  const { clock, engine } = createEngine('resources', host('h1', cores(8)), host('h2', cores(8)))
  const ends = new Map<string, number>()
  let startedAtMs = Infinity
  for (let i = 0; i < 400; i++) {
    for (let k = 0; k < 2; k++) engine.admit(work(`s${i}-${k}`, { arrivedAtMs: clock.nowMs(), service: 'small', declaredRunMs: 1_000 }))
    if (i === 50) engine.admitGroup('job', tasks('j', 3, { arrivedAtMs: clock.nowMs(), declaredRunMs: 1_000 }))
    for (const id of Object.keys(takePlacements(engine))) {
      ends.set(id, clock.nowMs() + 1_000)
      if (id === 'j0') startedAtMs = clock.nowMs()
    }
    clock.advance(100)
    for (const [id, atMs] of ends) if (atMs <= clock.nowMs() && ends.delete(id)) finish(engine, id)
  }
  t.true(startedAtMs <= 5_000 + 1_000 + 2_000, `started at ${startedAtMs} ms, arrived at 5000 ms`)
})

/*
 * Two jobs each need three quarters of the capacity. If each held a half and waited for the rest, neither would ever
 * start and the hosts would be idle.
 */
test('two jobs that do not fit at the same time start one after the other', (t) => {
  const { clock, engine } = createEngine('resources', host('h1', cores(8)), host('h2', cores(8)))
  for (const item of tasks('s', 4)) engine.admit(item)
  takePlacements(engine)
  engine.admitGroup('a', tasks('a', 3))
  engine.admitGroup('b', tasks('b', 3))
  clock.advance(2_000)
  t.deepEqual(takePlacements(engine), {})
  for (const id of ['s0', 's1', 's2', 's3']) {
    finish(engine, id)
    clock.advance(10)
  }
  t.deepEqual(Object.keys(takePlacements(engine)).sort(), ['a0', 'a1', 'a2'])
  finish(engine, 'a0', 'a1', 'a2')
  t.deepEqual(Object.keys(takePlacements(engine)).sort(), ['b0', 'b1', 'b2'])
})

test('a reservation waits for capacity, starts on request and releases its capacity when dropped', (t) => {
  const { engine } = createEngine('resources', host('h1', cores(8)))
  engine.admit(work('small', { resources: cores(4) }))
  takePlacements(engine)
  t.deepEqual(engine.reserve('r', tasks('r', 2), 10_000), ['r0'])
  t.is(engine.startReserved('r'), undefined)
  finish(engine, 'small')
  takeDecisions(engine)
  t.deepEqual([...engine.reservedIds('r')].sort(), ['r0', 'r1'])
  t.deepEqual(engine.startReserved('r')?.map(({ hostId }) => hostId), ['h1', 'h1'])
  engine.reserve('again', tasks('again', 1), 10_000)
  engine.dropReservation('again')
  finish(engine, 'r0')
  engine.admit(work('next', { resources: cores(4) }))
  t.deepEqual(takePlacements(engine), { next: 'h1' })
})

/*
 * The coordinator of a job that spans schedulers dies after it has reserved capacity here. Without an expiry the
 * capacity would be held for ever and stay unused.
 */
test('a reservation that expires releases its capacity and can no longer start', (t) => {
  const { clock, engine } = createEngine('resources', host('h1', cores(8)))
  t.is(engine.reserve('r', tasks('r', 2), 5_000).length, 2)
  engine.admit(work('next', { resources: cores(8) }))
  t.deepEqual(takePlacements(engine), {})
  t.true(engine.nextWakeAtMs() <= 5_000)
  clock.advance(5_000)
  t.is(engine.startReserved('r'), undefined)
  t.deepEqual(takePlacements(engine), { next: 'h1' })
})

/*
 * A host with capacity held for a job is lost before the job starts. The job must not be started on a host that has
 * left.
 */
test('holds on a lost host are replaced by holds on other hosts', (t) => {
  const { engine } = createEngine('resources', host('h1', cores(4)), host('h2', cores(4)), host('h3', cores(4)))
  engine.reserve('r', tasks('r', 2), 10_000)
  const held = engine.reservedIds('r')
  t.is(held.length, 2)
  engine.removeHost('h1')
  engine.removeHost('h2')
  engine.putHost(host('h4', cores(4)))
  takeDecisions(engine)
  t.deepEqual(engine.startReserved('r')?.map(({ hostId }) => hostId).sort(), ['h3', 'h4'])
})
